"""Stand-ins and process control for the cases of the review.

The platform's store, workers and requesters follow the users' pages
(`PROTOCOL.md`, `DEPLOY.md`). Nodes are started with the `run` line of
`deploy/system.toml`. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2

HEARTBEAT_S = 0.87
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 6.0

ATTEMPT = "x-lentilsill-attempt-id"
TIMEOUT = "x-lentilsill-timeout-ms"
TARGET = "x-lentilsill-target-instance"
CALLER = "x-lentilsill-caller-service"
SEAL = "x-lentilsill-response-seal"


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


@dataclass
class Message:
    """An HTTP request or answer."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).strip() or b"0", 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        length = int(headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


def http_bytes(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


def answer_bytes(
    status: int, value: Any = None, headers: dict[str, str] | None = None
) -> bytes:
    """Return an answer with a JSON body."""
    body = b"" if value is None else json.dumps(value).encode()
    fields = {"Content-Type": "application/json", **(headers or {})}
    return http_bytes(f"HTTP/1.1 {status} Status", fields, body)


class Case:
    """A deployment of one case, its record and its verdict."""

    def __init__(self, folder: str) -> None:
        self.record_file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        # Each machine has a loopback address of its own.
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next_host = 1
        self.ports = self._find_ports()
        self.failures: list[str] = []
        self.max_lag_s = 0.0
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.violations: list[str] = []
        self._attempts = 0
        seed = os.environ.get("SEED", "")
        self.rng = random.Random(seed or None)

    def _find_ports(self) -> dict[str, int]:
        """Return ports that are free; they are the same on all machines."""
        names = ("inbound", "app", "ready", "outbound", "control", "store")
        for _ in range(100):
            first = random.randrange(20000, 30000, 32)
            try:
                for port in range(first, first + 32):
                    with socket.socket() as sock:
                        sock.bind((f"{self.net}.2", port))
            except OSError:
                continue
            return dict(zip(names, range(first, first + 6), strict=True)) | {
                "internal": first + 16
            }
        raise CannotRun("no free ports")

    async def watch_lag(self) -> None:
        """Measure how late this process, with all its stand-ins, runs."""
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due)

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def log(self, text: str) -> None:
        """Write a line of the record."""
        self.record_file.write(f"{self.now():8.3f}  {text}\n")
        self.record_file.flush()

    def violate(self, text: str) -> None:
        """Record that the rule is broken."""
        self.violations.append(text)
        self.log(f"RULE BROKEN: {text}")

    def new_ip(self) -> str:
        """Return the address of a new machine."""
        self._next_host += 1
        return f"{self.net}.{self._next_host}"

    def new_attempt(self) -> str:
        """Return the id of a new attempt of a requester."""
        self._attempts += 1
        return f"{self._attempts:08x}{random.getrandbits(32):08x}"

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run work until the case ends."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._end_task)
        self.tasks.append(task)
        return task

    def _end_task(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and (exc := task.exception()) is not None:
            self.failures.append(repr(exc))

    async def close(self) -> None:
        """End all processes and servers of the case."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.1)
        shutil.rmtree(self.tmp, ignore_errors=True)


def run_case(folder: str, play: Callable[[Case], Awaitable[None]]) -> int:
    """Play a case; return the exit status of its script."""

    async def main() -> int:
        loop = asyncio.get_running_loop()
        playing = asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, playing.cancel)
        try:
            case = Case(folder)
        except (CannotRun, OSError):
            return NOT_RUN
        status = NOT_RUN
        try:
            case.spawn(case.watch_lag())
            async with asyncio.timeout(110):
                await play(case)
            if case.failures:
                raise CannotRun(f"a stand-in failed: {case.failures[0]}")
            status = BROKEN if case.violations else HELD
        except asyncio.CancelledError:
            case.log("could not run: ended by a signal")
        except Exception as exc:
            case.log(f"could not run: {exc!r}")
        finally:
            await case.close()
            case.log(f"the stand-ins were late by {case.max_lag_s:.3f} s at most")
            case.log(f"exit status {status}, {len(case.violations)} violations")
        return status

    return asyncio.run(main())


# The platform's store


class Store:
    """The platform's metadata store: objects with revisions, and watches."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.address = f"{case.new_ip()}:{case.ports['store']}"
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Event()

    async def start(self) -> None:
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        self.case.servers.append(server)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator; return its revision."""
        return self._write(kind, name, spec, None)["metadata"]["revision"]

    def _write(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        old = self.objects.get((kind, name))
        if old is not None and (old["spec"], old["status"]) == (spec, status):
            return old
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = obj
        self._record(kind, obj, False)
        return obj

    def _record(self, kind: str, obj: dict[str, Any], deleted: bool) -> None:
        self.history.append((self.revision, kind, obj, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.case.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (req := await read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                writer.write(await self._answer(req))
                await writer.drain()
        self.case.writers.discard(writer)
        writer.close()

    async def _answer(self, req: Message) -> bytes:
        url = urlsplit(req.target)
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = parts[0]
        if req.method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(kind, query)
            after = query.get("after", "")
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.objects[kind, name] for name in names[:500]]
            value = {
                "items": items,
                "has_more": len(names) > 500,
                "store_revision": self.revision,
            }
            return answer_bytes(200, value)
        body = json.loads(req.body) if req.body else {}
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        obj = self.objects.get((kind, name))
        if req.method == "GET":
            return answer_bytes(404) if obj is None else answer_bytes(200, obj)
        if req.method == "POST":
            if obj is not None:
                return answer_bytes(409, obj)
            return answer_bytes(200, self._write(kind, name, body.get("spec"), None))
        if obj is None:
            return answer_bytes(404)
        expected = body.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != obj["metadata"]["revision"]:
            return answer_bytes(409, obj)
        if req.method == "DELETE":
            self.revision += 1
            del self.objects[kind, name]
            self._record(kind, obj, True)
            return answer_bytes(200, obj)
        if parts[-1] == "status" and len(parts) > 2:
            written = self._write(kind, name, obj["spec"], body.get("status"))
        else:
            written = self._write(kind, name, body.get("spec"), obj["status"])
        return answer_bytes(200, written)

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": obj, "deleted": deleted}
                for revision, of_kind, obj, deleted in self.history
                if revision > since and of_kind == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                value = {"events": events, "store_revision": self.revision}
                return answer_bytes(200, value)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


def route(
    name: str, prefix: str, service: str | None, kind: str = "safe", **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    value: dict[str, Any] = {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    }
    if service is not None:
        value["service"] = service
    return {**value, **fields}


def configuration(
    version: int,
    services: list[str],
    hosts: dict[str, list[dict[str, Any]]],
) -> dict[str, Any]:
    """Return what the operator writes to `config/main`."""
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [
            {"host": host, "path_routes": routes} for host, routes in hosts.items()
        ],
    }


# Workers

ENDLESS_MARK = b"Transfer-Encoding: chunked"
ENDLESS_CHUNK_BYTES = 1


@dataclass
class Run:
    """A request that a worker began to work on."""

    attempt: str
    worker: str
    at: float
    method: str
    target: str
    caller: str
    body: bytes


@dataclass(eq=False)
class Worker:
    """An application worker beside a node."""

    case: Case
    service: str
    ip: str
    zone: str
    work_s: float = 0.05
    slots: int = 12
    queue: int = 48
    id: str = ""
    state: str = "ready"
    sequence: int = 0
    born: int = 0
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    on_run: Callable[[Run], None] | None = None
    # Decides for each run whether its answer is a body without end.
    is_endless: Callable[[Run], bool] | None = None

    def __post_init__(self) -> None:
        self.id = self.id or f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.address = f"{self.ip}:{self.case.ports['app']}"
        self.control = f"{self.ip}:{self.case.ports['control']}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slot_free = asyncio.Event()
        self._beats: asyncio.Task[Any] | None = None
        self.has_ended = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.case.ports["app"]
        )
        self.case.servers.append(self._server)
        self._beats = self.case.spawn(self._beat())

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    def end(self) -> None:
        """End the process: its connections close, its address refuses others."""
        self.has_ended = True
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.case.log(f"worker {self.id} has ended")

    # Liveness reports

    def report(self) -> bytes:
        """Return the next liveness report."""
        self.sequence += 1
        value = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(value).encode()

    async def send_report(self, body: bytes, late: str = "") -> bool:
        """Send a report to the node on this machine; return if it was acknowledged."""
        status = await self._call("PUT", body)
        value = json.loads(body)
        if late or value["state"] != "ready":
            self.case.log(
                f"worker {self.id} report {value['sequence']} {value['state']}{late}"
                f" -> {status}"
            )
        return 200 <= status < 300

    async def send_leave(self) -> bool:
        """Send `DELETE /instances/ID`; return whether it was acknowledged."""
        body = json.dumps({"born": self.born}).encode()
        status = await self._call("DELETE", body)
        self.case.log(f"worker {self.id} DELETE -> {status}")
        return 200 <= status < 300

    async def _call(self, method: str, body: bytes) -> int:
        req = http_bytes(
            f"{method} /instances/{self.id} HTTP/1.1",
            {"Host": self.control, "Content-Type": "application/json"},
            body,
        )
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(self.control, req)
        except (OSError, TimeoutError):
            return 0
        return answer.status if answer else 0

    async def _beat(self) -> None:
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_S)

    # Requests

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.case.writers.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                data = await self._answer(req)
                writer.write(data)
                await writer.drain()
                if ENDLESS_MARK in data:
                    await self._write_without_end(writer)
                if b"\r\nConnection: close\r\n" in data.split(b"\r\n\r\n")[0] + b"\r\n":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self.case.writers.discard(writer)
            writer.close()

    async def _write_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Write small chunks until the caller closes."""
        chunk = b"%x\r\n" % ENDLESS_CHUNK_BYTES + b"z" * ENDLESS_CHUNK_BYTES + b"\r\n"
        self.case.log(f"worker {self.id} writes a body without end")
        started_at = self.case.now()
        try:
            while True:
                writer.write(chunk * (65536 // len(chunk)))
                await writer.drain()
        finally:
            lasted_s = self.case.now() - started_at
            self.case.log(f"worker {self.id}: the caller closed after {lasted_s:.2f} s")

    async def _answer(self, req: Message) -> bytes:
        headers = {
            "Keep-Alive": "timeout=10",
            "X-Lentilsill-Server-Load": f"{self.running},{self.waiting},{self.slots}",
        }
        if self.state != "ready":
            headers["Connection"] = "close"
        if req.target == "/health":
            headers["X-Lentilsill-Instance-Id"] = self.id
            status = 200 if self.state == "ready" else 503
            self.case.log(f"worker {self.id} health check -> {status}")
            return answer_bytes(status, None, headers)
        not_run = {**headers, "X-Lentilsill-Not-Executed": "1"}
        attempt = req.headers.get(ATTEMPT, "")
        if not attempt:
            return answer_bytes(400, None, not_run)
        headers["X-Lentilsill-Attempt-Id"] = attempt
        not_run["X-Lentilsill-Attempt-Id"] = attempt
        if req.headers.get(TARGET, self.id) != self.id:
            headers["X-Lentilsill-Instance-Id"] = self.id
            return answer_bytes(421, None, headers)
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return answer_bytes(503, None, not_run)
            self.waiting += 1
            while self.running >= self.slots:
                await self._slot_free.wait()
            self.waiting -= 1
        run = Run(
            attempt,
            self.id,
            self.case.now(),
            req.method,
            req.target,
            req.headers.get(CALLER, ""),
            req.body,
        )
        self.runs.append(run)
        self.case.log(f"worker {self.id} ({self.state}) runs {attempt} {req.start}")
        if self.on_run is not None:
            self.on_run(run)
        if self.is_endless is not None and self.is_endless(run):
            headers["X-Lentilsill-Response-Seal"] = "00000000.0"
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines]).encode()
            return head + b"\r\n" + ENDLESS_MARK + b"\r\n\r\n"
        self.running += 1
        try:
            budget_s = int(req.headers.get(TIMEOUT, "60000")) / 1000
            await asyncio.sleep(min(self.work_s, budget_s))
        finally:
            self.running -= 1
            self._slot_free.set()
            self._slot_free = asyncio.Event()
        if self.work_s > budget_s:
            return answer_bytes(504, None, headers)
        body = f"{self.id} {attempt}".encode()
        headers["X-Lentilsill-Response-Seal"] = f"{zlib.crc32(body):08x}.{len(body):x}"
        return http_bytes("HTTP/1.1 200 OK", headers, body)


def has_whole_body(answer: Message) -> bool:
    """Return whether a success has its seal and the body that belongs to it."""
    body = answer.body
    return answer.headers.get(SEAL) == f"{zlib.crc32(body):08x}.{len(body):x}"


# Nodes


@dataclass(eq=False)
class Node:
    """A node process, started as the deploy file says."""

    case: Case
    name: str
    zone: str
    zones: list[str]
    service: str
    store: Store
    ip: str = ""
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0
    fields: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ip = self.ip or self.case.new_ip()
        self.outbound = f"{self.ip}:{self.case.ports['outbound']}"
        self.settings = self.case.tmp / f"{self.name}.conf"
        self.output = self.case.tmp / f"{self.name}.log"
        self.case.nodes.append(self)

    def write_settings(self) -> None:
        ports = self.case.ports
        fields = {
            "node_name": self.name,
            "role": "lentilsilld",
            "machine_class": "sidecar",
            "serves": "sidecar",
            "ip": self.ip,
            "zone": self.zone,
            "region": "almaty",
            **{f"zones.{zone}": "almaty" for zone in self.zones},
            "listen.inbound": f"{self.ip}:{ports['inbound']}",
            "listen.outbound": self.outbound,
            "listen.ready": f"{self.ip}:{ports['ready']}",
            "listen.control": f"{self.ip}:{ports['control']}",
            "internal_ports": f"{ports['internal']},{ports['internal'] + 15}",
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
            "heartbeat_ms": "870",
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
            "app_addr": f"{self.ip}:{ports['app']}",
            "service": self.service,
            "platform.address": self.store.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            **self.fields,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["lentilsilld"]["run"].split()
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.case.tmp),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LENTILSILL_NODE_FILE": str(self.settings),
        }
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.started_at = self.case.now()
        self.case.log(f"node {self.name} started, pid {self.process.pid}")

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.case.log(f"node {self.name} gets {signal.Signals(number).name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        assert self.process is not None
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        req = http_bytes("GET /ready HTTP/1.1", {"Host": "ready"})
        try:
            async with asyncio.timeout(1.0):
                address = f"{self.ip}:{self.case.ports['ready']}"
                answer = await exchange(address, req)
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"node {self.name} does not become ready")
            await asyncio.sleep(0.1)
        self.case.log(f"node {self.name} is ready")


# Requesters


async def exchange(address: str, req: bytes) -> Message | None:
    """Send a request on a new connection; None if it ends without an answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(req)
        await writer.drain()
        return await read_message(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


@dataclass
class Sent:
    """A request of a requester and what it got; status 0 is a closed connection."""

    attempt: str
    at: float
    status: int = 0
    ended_at: float = 0.0
    answer: Message | None = None


def request_bytes(
    attempt: str,
    host: str,
    target: str,
    method: str = "GET",
    body: bytes = b"",
    timeout_ms: int = 1200,
) -> bytes:
    """Return a request as requesters send it."""
    headers = {
        "Host": host,
        "X-Lentilsill-Attempt-Id": attempt,
        "X-Lentilsill-Timeout-Ms": str(timeout_ms),
    }
    return http_bytes(f"{method} {target} HTTP/1.1", headers, body)


def _own_reason(answer: Message | None) -> str:
    """Return the reason that a node gives in an answer of its own."""
    is_own = answer is not None and SEAL not in answer.headers
    return answer.body[:120].decode("latin1") if answer and is_own else ""


async def send_request(
    case: Case,
    node: Node,
    host: str,
    target: str,
    method: str = "GET",
    body: bytes = b"",
    timeout_ms: int = 1200,
) -> Sent:
    """Send a request on a new connection to the node of the machine."""
    sent = Sent(case.new_attempt(), case.now())
    req = request_bytes(sent.attempt, host, target, method, body, timeout_ms)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            sent.answer = await exchange(node.outbound, req)
    except (OSError, TimeoutError):
        pass
    sent.status = sent.answer.status if sent.answer else 0
    sent.ended_at = case.now()
    case.log(
        f"request {sent.attempt} {method} {host}{target} at {node.name}"
        f" sent {sent.at:.3f} -> {sent.status or 'no answer'}"
        f" {_own_reason(sent.answer)}"
    )
    return sent
