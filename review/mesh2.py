"""Stand-ins of the platform's store, workers and requesters, and processes of nodes.

The cases in `review/6` to `review/10` use them. They need nothing but Python, and
speak what `PROTOCOL.md` says.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "Answer",
    "Cluster",
    "HttpRequest",
    "Node",
    "Record",
    "Store",
    "Worker",
    "call",
    "configuration",
    "read_answer",
    "route",
    "run_case",
]

REPOSITORY = Path(__file__).resolve().parents[1]
OUTBOUND, INBOUND, READY, CONTROL, APP = 8304, 8300, 8302, 8306, 8301
STORE_PORT = 8309
# First of the internal ports.
ADMIN = 7620
BEAT_S = 1.0
READY_TIMEOUT_S = 20.0
CASE_TIMEOUT_S = 117.0


class Record:
    """Lines about what was sent, answered and run, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        print(f"{time.monotonic() - self._start:8.3f} {text}", file=self._file)
        self._file.flush()


@dataclass
class HttpRequest:
    """A request that a stand-in has read; names of headers are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Return the next request of a connection, None at its end."""
    try:
        first, headers = await _read_head(reader)
        method, path, _ = first.split(" ", 2)
        return HttpRequest(method, path, headers, await _read_body(reader, headers))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def head(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


class Store:
    """The platform's store, in memory."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0.1)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (req := await read_request(reader)) is not None:
                status, value = await self._answer(req)
                body = json.dumps(value).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                }
                writer.write(head(status, fields) + body)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, req: HttpRequest) -> tuple[int, Any]:
        url = urlsplit(req.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, kind, *rest = url.path.split("/")
        if req.method == "GET":
            return await self._read(kind, rest, query)
        body = json.loads(req.body) if req.body else {}
        meta = body.get("metadata", {})
        name = rest[0] if rest else meta["name"]
        known = self.objects.get((kind, name))
        if req.method == "POST":
            if known is not None:
                return 409, known
            return 201, self.write(kind, name, body.get("spec"))
        if known is None:
            return 404, {"error": "no such object"}
        condition = meta.get("revision") or query.get("revision")
        if condition and int(condition) != known["metadata"]["revision"]:
            return 409, known
        if req.method == "DELETE":
            del self.objects[kind, name]
            return 200, self._add_event(kind, known, True)
        if rest[1:] == ["status"]:
            return 200, self.write(kind, name, known["spec"], body.get("status"))
        return 200, self.write(kind, name, body.get("spec"), known.get("status"))

    async def _read(
        self, kind: str, rest: list[str], query: dict[str, str]
    ) -> tuple[int, Any]:
        if rest:
            found = self.objects.get((kind, rest[0]))
            return (200, found) if found else (404, {"error": "no such object"})
        if "watch" in query:
            return 200, await self._watch(kind, query)
        items = [obj for (k, _), obj in sorted(self.objects.items()) if k == kind]
        return 200, {
            "items": items,
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        since = int(query["watch"])
        end_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for r, k, e in self._events if r > since and k == kind]
            left_s = end_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def write(
        self, kind: str, name: str, spec: Any, status: Any = None
    ) -> dict[str, Any]:
        """Create or replace an object, and return it."""
        known = self.objects.get((kind, name))
        if known and (known["spec"], known.get("status")) == (spec, status):
            return known
        created = known["metadata"]["created"] if known else self.revision + 1
        obj = {
            "metadata": {
                "name": name,
                "revision": 0,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = obj
        return self._add_event(kind, obj, False)

    def _add_event(self, kind: str, obj: dict[str, Any], deleted: bool) -> Any:
        self.revision += 1
        obj = json.loads(json.dumps(obj))
        obj["metadata"]["revision"] = self.revision
        if not deleted:
            self.objects[kind, obj["metadata"]["name"]] = obj
        self._events.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return obj


@dataclass
class Run:
    """A request that a worker began to work on."""

    at: float
    worker: str
    attempt: str
    req: HttpRequest


class Worker:
    """An application worker beside a node.

    `behave` may answer a request itself: it gets the request and the writer, and
    returns whether it did.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        zone: str,
        record: Record,
        slots: int = 12,
        work_s: float = 0.03,
    ) -> None:
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.record, self.slots, self.work_s = record, slots, work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.runs: list[Run] = []
        self.acks: list[tuple[float, str]] = []
        self.running = 0
        self.beats = True
        self.behave: (
            Callable[[HttpRequest, asyncio.StreamWriter], Awaitable[bool]] | None
        ) = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and report to the node."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, APP, backlog=512
        )
        self._beat_task = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End as a killed process does."""
        if self._beat_task is not None:
            self._beat_task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self) -> bytes:
        """Return the body of the next liveness report."""
        value = {
            "service": self.service,
            "address": f"{self.ip}:{APP}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": next(self.sequence),
            "born": self.born,
        }
        return json.dumps(value).encode()

    async def send_report(self, body: bytes | None = None) -> int:
        """Send a report, the next one by default; return its status, 0 without."""
        body = self.report() if body is None else body
        return await self._tell("PUT", body)

    async def leave(self) -> int:
        """Send the deletion; return its status."""
        return await self._tell("DELETE", json.dumps({"born": self.born}).encode())

    async def _tell(self, method: str, body: bytes) -> int:
        try:
            answer = await asyncio.wait_for(
                call(
                    (self.ip, CONTROL),
                    method,
                    f"/instances/{self.name}",
                    {"Content-Type": "application/json"},
                    body,
                ),
                1.0,
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0
        return answer.status

    async def _beat(self) -> None:
        while True:
            if self.beats:
                state = self.state
                status = await self.send_report()
                if status == 200:
                    self.acks.append((time.monotonic(), state))
            await asyncio.sleep(BEAT_S)

    def load(self) -> str:
        """Return the value of the load header."""
        return f"{min(self.running, self.slots)},0,{self.slots}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._handle(req, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, req: HttpRequest, writer: asyncio.StreamWriter) -> bool:
        if req.path == "/health":
            status = 200 if self.state == "ready" else 503
            fields = {"X-Lentilsill-Instance-Id": self.name, "Content-Length": "0"}
            writer.write(head(status, fields | {"X-Lentilsill-Server-Load": "0,0,12"}))
            return True
        attempt = req.headers.get("x-lentilsill-attempt-id", "")
        target = req.headers.get("x-lentilsill-target-instance", self.name)
        echo = {"X-Lentilsill-Attempt-Id": attempt}
        if target != self.name or not attempt:
            self.record.write(f"{self.name} rejects {attempt}")
            fields = {"X-Lentilsill-Not-Executed": "1", "Content-Length": "0"}
            status = 421 if attempt else 400
            writer.write(head(status, echo | fields))
            return True
        self.runs.append(Run(time.monotonic(), self.name, attempt, req))
        self.record.write(f"{self.name} runs {attempt} {req.method} {req.path}")
        self.running += 1
        try:
            if self.behave is not None and await self.behave(req, writer):
                return not writer.is_closing()
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.answer(req, writer)
        return True

    def answer(self, req: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a request that has run."""
        attempt = req.headers["x-lentilsill-attempt-id"]
        body = f"body of {attempt}\n".encode()
        fields = {
            "X-Lentilsill-Attempt-Id": attempt,
            "X-Lentilsill-Response-Seal": f"seal-{attempt}",
            "X-Lentilsill-Server-Load": self.load(),
            "Content-Length": str(len(body)),
        }
        writer.write(head(200, fields) + body)


@dataclass
class Answer:
    """An answer that a requester has read."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; interim ones are skipped."""
    while True:
        first, headers = await _read_head(reader)
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    if "content-length" in headers or "transfer-encoding" in headers:
        return Answer(status, headers, await _read_body(reader, headers))
    body = b"" if status in (204, 304) else await reader.read()
    return Answer(status, headers, body)


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request."""
    fields = dict(headers)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send a request over a new connection, and return its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": f"{address[0]}:{address[1]}"} | headers
        writer.write(request_bytes(method, path, fields, body))
        return await read_answer(reader)
    finally:
        writer.close()


@dataclass
class Node:
    """A node process."""

    name: str
    ip: str
    zone: str
    service: str
    store: tuple[str, int]
    folder: Path
    zones: tuple[str, ...]
    extra: dict[str, str] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None

    @property
    def outbound(self) -> tuple[str, int]:
        """Address for requesters."""
        return self.ip, OUTBOUND

    def write_settings(self) -> Path:
        """Write the settings file as the platform does."""
        fields = {
            "node_name": self.name,
            "role": "lentilsilld",
            "machine_class": "sidecar",
            "serves": "sidecar",
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            **{f"zones.{zone}": "r1" for zone in self.zones},
            "listen.inbound": f"{self.ip}:{INBOUND}",
            "listen.outbound": f"{self.ip}:{OUTBOUND}",
            "listen.ready": f"{self.ip}:{READY}",
            "listen.control": f"{self.ip}:{CONTROL}",
            "internal_ports": f"{ADMIN},{ADMIN + 15}",
            "seeds": "",
            "bootstrap": "true",
            "loss_counts": "false",
            "limits.cpu_share": "0.86",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "static",
            "entry": "static",
            "heartbeat_ms": "1000",
            "contracts": "base,drain,config,cost,retry,recover,platform",
            "tolerate.machines": "2",
            "tolerate.zones": "1",
            "tolerate.regions": "0",
            "bounds.seed_lag_s": "3",
            "bounds.reuse_after_s": "2",
            "bounds.stable_window_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "6",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.rollback_window_ms": "250",
            "bounds.stretch_max_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "60",
            "bounds.recover_s": "15",
            "app_addr": f"{self.ip}:{APP}",
            "service": self.service,
            "platform.address": f"{self.store[0]}:{self.store[1]}",
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            **self.extra,
        }
        path = self.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        return path

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {name: os.environ[name] for name in ("PATH",) if name in os.environ}
        env |= {
            "HOME": str(self.folder),
            "PYTHONPATH": "target/deps",
            "LENTILSILL_NODE_FILE": str(self.write_settings()),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "lentilsill.platform"],
                cwd=REPOSITORY,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                call((self.ip, READY), "GET", "/ready", {}), 1.0
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log as far as it can be read."""
        lines = []
        for text in (self.folder / f"{self.name}.log").read_text().splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                lines.append({"event": "text", "text": text})
        return lines


def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> Any:
    """Return a route of the configuration."""
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 3,
    } | fields


def configuration(version: int, services: list[str], routes: list[Any]) -> Any:
    """Return the spec of `config/main` with one host."""
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 120}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [{"host": "h.example", "path_routes": routes}],
    }


class Cluster:
    """A small deployment on loopback addresses: a store, nodes and workers.

    `places` holds the zone and the service of each host.
    """

    def __init__(
        self,
        record: Record,
        places: list[tuple[str, str]],
        extra: dict[str, str] | None = None,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="mesh2-"))
        net = _free_network(len(places))
        self.store = Store((f"127.{net}.1", STORE_PORT))
        zones = tuple(sorted({zone for zone, _ in places}))
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        for index, (zone, service) in enumerate(places):
            ip = f"127.{net}.{index + 10}"
            node = Node(
                f"n{index}",
                ip,
                zone,
                service,
                self.store.address,
                self.folder,
                zones,
                dict(extra or {}),
            )
            self.nodes.append(node)
            self.workers.append(Worker(f"w{index}", service, ip, zone, record))

    @contextlib.asynccontextmanager
    async def running(self, config: Any) -> AsyncIterator["Cluster"]:
        """Start everything, wait until it is ready, and end it at the exit."""
        try:
            await self.store.start()
            self.store.write("config", "main", config)
            for worker in self.workers:
                await worker.start()
            for node in self.nodes:
                node.start()
            await self.wait_ready()
            yield self
        finally:
            for node in self.nodes:
                if node.process is not None and node.process.poll() is None:
                    node.signal(signal.SIGCONT)
                    node.kill()
            for worker in self.workers:
                await worker.stop()
            await self.store.stop()
            if "MESH_KEEP" in os.environ:
                print(f"logs in {self.folder}")
            else:
                shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready, and know the workers."""
        end_at = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end_at:
                    raise TimeoutError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)

    @property
    def runs(self) -> list[Run]:
        """All runs of all workers."""
        return [run for worker in self.workers for run in worker.runs]


def run_case(main: Callable[[], Awaitable[int]]) -> int:
    """Run a case, and return its exit status: 2 if it could not run to its end."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # The processes of the nodes end with the case.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await main()

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"could not run: {type(exc).__name__}: {exc}")
        return 2


def _free_network(host_count: int) -> str:
    """Return the middle of loopback addresses on which all ports are free."""
    for _ in range(50):
        net = f"{random.randint(40, 240)}.{random.randint(1, 250)}"
        addresses = [(f"127.{net}.1", STORE_PORT)]
        for index in range(host_count):
            ip = f"127.{net}.{index + 10}"
            ports = (OUTBOUND, INBOUND, READY, CONTROL, APP, ADMIN)
            addresses += [(ip, port) for port in ports]
        try:
            for address in addresses:
                with socket.socket() as sock:
                    sock.bind(address)
        except OSError:
            continue
        return net
    raise OSError("no free loopback addresses")
