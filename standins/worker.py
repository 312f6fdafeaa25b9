"""Stand-in for an upstream: an HTTP echo server that announces itself to its node.

A request for a path outside ``/standin/`` is answered with JSON that contains its
own `X-Standin-Id` and body. Request headers control a single request:
`X-Standin-Ms` (service time in milliseconds), `X-Standin-Bytes` (padding of the
answer), `X-Standin-Crash: 1` (the process exits), `X-Standin-Cut: 1` (the
connection closes in the middle of the answer). `POST /standin/faults` takes
``{"sick", "silent", "extra_ms", "share", "route"}``, which apply to this share of the
requests whose path contains the route.
"""

import asyncio
import json
import os
import random
import signal
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any, TextIO

import typer
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from .caller import API_KEY_PREFIX

__all__ = ["Execution", "Upstream", "main", "make_app"]

ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 2.0
LEAVE_POLL_S = 0.05
LEAVE_TIMEOUT_S = 30.0
# After this time without an answer, the node counts as gone: it can no longer
# report calls in flight.
LEAVE_NODE_TIMEOUT_S = 3.0
CRASH_EXIT_STATUS = 70


class UpstreamFaults(BaseModel):
    """Faults of requests: status 500, no answer, added delay.

    They apply to a share of the requests whose path contains `route`.
    """

    model_config = ConfigDict(extra="forbid")

    sick: bool = False
    silent: bool = False
    extra_ms: float = Field(default=0.0, ge=0)
    share: float = Field(default=1.0, ge=0, le=1)
    route: str = ""


@dataclass
class Execution:
    """One executed request; times are in seconds since the epoch."""

    call_id: str
    request_key: str
    idempotent: bool
    method: str
    path: str
    upstream: str
    start_s: float
    end_s: float = 0.0
    state: str = "running"
    organisation: str = ""
    has_api_key: bool = False
    service: str = ""
    version: str = ""
    is_bad: bool = False


@dataclass
class Upstream:
    """State of the stand-in, with the record of its executions."""

    name: str
    service: str
    address: str
    admin_address: str
    slots: int
    labels: dict[str, str]
    service_time_ms: float = 0.0
    has_fixed_health: bool = False
    record_file: TextIO | None = None
    state: str = "starting"
    in_flight: int = 0
    max_in_flight: int = 0
    # Calls in flight that the node last reported; -1 before its answer.
    node_in_flight: int = -1
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    executions: list[Execution] = field(default_factory=list)
    last_node_answer_s: float = field(default_factory=time.monotonic)

    def record_start(self, execution: Execution) -> None:
        """Record an execution before it starts, so that the record survives a crash."""
        self.executions.append(execution)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if self.record_file is not None:
            self.record_file.write(json.dumps(asdict(execution)) + "\n")
            self.record_file.flush()

    def record_end(self, execution: Execution, state: str) -> None:
        """Record the end of an execution."""
        self.in_flight -= 1
        execution.end_s = time.time()
        execution.state = state

    async def announce(self, client: AsyncHTTPClient) -> None:
        """Report the current state to the node once; ignore a node that is down."""
        body = {
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "labels": self.labels,
            "state": self.state,
        }
        req = HTTPRequest(
            f"http://{self.admin_address}/lentilsill/upstreams/{self.name}",
            method="PUT",
            body=json.dumps(body),
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        try:
            answer = json.loads((await client.fetch(req)).body)
        except (HTTPError, OSError, ValueError):
            return
        self.node_in_flight = int(answer.get("in_flight", 0))
        self.last_node_answer_s = time.monotonic()

    async def leave(self, client: AsyncHTTPClient) -> None:
        """Announce leaving, wait until no call is in flight, and deregister."""
        self.state = "leaving"
        end_s = time.monotonic() + LEAVE_TIMEOUT_S
        while time.monotonic() < end_s:
            self.node_in_flight = -1
            await self.announce(client)
            is_node_gone = (
                time.monotonic() - self.last_node_answer_s > LEAVE_NODE_TIMEOUT_S
            )
            if self.in_flight == 0 and (self.node_in_flight == 0 or is_node_gone):
                break
            await asyncio.sleep(LEAVE_POLL_S)
        req = HTTPRequest(
            f"http://{self.admin_address}/lentilsill/upstreams/{self.name}",
            method="DELETE",
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        await client.fetch(req, raise_error=False)


class _Base(RequestHandler):
    def initialize(self, upstream: Upstream) -> None:
        self.upstream = upstream


class _EchoHandler(_Base):
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def prepare(self) -> None:
        self.disconnected = asyncio.Event()

    def on_connection_close(self) -> None:
        """Treat a closed connection as a cancellation."""
        self.disconnected.set()

    async def run(self) -> None:
        headers = self.request.headers
        faults = self._draw_faults()
        execution = Execution(
            call_id=headers.get("X-Standin-Id", ""),
            request_key=headers.get("Idempotency-Key", ""),
            idempotent=headers.get("X-Standin-Idempotent", "1") == "1",
            method=self.request.method or "",
            path=self.request.path,
            upstream=self.upstream.name,
            start_s=time.time(),
            organisation=headers.get("Lentilsill-Organisation", ""),
            has_api_key=any(API_KEY_PREFIX in value for value in headers.values()),
            service=self.upstream.service,
            version=self.upstream.labels.get("version", ""),
            is_bad=faults.sick or faults.extra_ms > 0,
        )
        self.upstream.record_start(execution)
        state = "failed"
        try:
            state = await self._run_request(execution, faults)
        finally:
            self.upstream.record_end(execution, state)

    get = post = put = patch = delete = head = options = run

    def _draw_faults(self) -> UpstreamFaults:
        """Return the faults that apply to this request."""
        faults = self.upstream.faults
        if faults.route in self.request.path and random.random() < faults.share:
            return faults
        return UpstreamFaults()

    async def _run_request(self, execution: Execution, faults: UpstreamFaults) -> str:
        headers = self.request.headers
        service_ms = float(headers.get("X-Standin-Ms", self.upstream.service_time_ms))
        if await self._is_cancelled_within((service_ms + faults.extra_ms) / 1000):
            return "cancelled"
        if headers.get("X-Standin-Crash") == "1":
            os._exit(CRASH_EXIT_STATUS)
        if faults.silent:
            await self.disconnected.wait()
            return "silent"
        answer = {
            "id": execution.call_id,
            "upstream": execution.upstream,
            "body": self.request.body.decode("utf-8", "replace"),
            "padding": "x" * int(headers.get("X-Standin-Bytes", "0")),
        }
        body = json.dumps(answer).encode()
        self.set_header("X-Standin-Id", execution.call_id)
        self.set_header("Content-Type", "application/json")
        if headers.get("X-Standin-Cut") == "1":
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: len(body) // 2])
            await self.flush()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return "cut"
        self.set_status(500 if faults.sick else 200)
        await self.finish(body)
        return "sick" if faults.sick else "done"

    async def _is_cancelled_within(self, time_s: float) -> bool:
        if time_s <= 0:
            return False
        try:
            await asyncio.wait_for(self.disconnected.wait(), time_s)
        except TimeoutError:
            return False
        return True


class _ExecutionsHandler(_Base):
    def get(self) -> None:
        executions = [asdict(execution) for execution in self.upstream.executions]
        self.finish(
            {"executions": executions, "max_in_flight": self.upstream.max_in_flight}
        )


class _HealthHandler(_Base):
    def get(self) -> None:
        upstream = self.upstream
        if upstream.has_fixed_health:
            self.finish({"healthy": True, "in_flight": 0, "slots": upstream.slots})
            return
        is_healthy = upstream.state == "ready" and not upstream.faults.sick
        self.set_status(200 if is_healthy else 503)
        self.finish(
            {
                "healthy": is_healthy,
                "in_flight": upstream.in_flight,
                "slots": upstream.slots,
            }
        )


class _FaultsHandler(_Base):
    def post(self) -> None:
        try:
            faults = UpstreamFaults.model_validate_json(self.request.body)
        except ValidationError as exc:
            self.set_status(400)
            self.finish({"reason": str(exc)})
            return
        self.upstream.faults = faults
        self.finish(faults.model_dump())


def make_app(upstream: Upstream) -> Application:
    """Return the HTTP application of the stand-in."""
    args = {"upstream": upstream}
    routes: list[Any] = [
        ("/standin/executions", _ExecutionsHandler, args),
        ("/standin/health", _HealthHandler, args),
        ("/standin/faults", _FaultsHandler, args),
        ("/.*", _EchoHandler, args),
    ]
    return Application(routes, log_function=lambda handler: None)


async def serve(upstream: Upstream, start_delay_ms: float) -> None:
    """Answer requests and announce the state until SIGTERM, then leave."""
    host, _, port = upstream.address.rpartition(":")
    HTTPServer(make_app(upstream)).listen(int(port), host)
    client = SimpleAsyncHTTPClient(force_instance=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    ready_at_s = loop.time() + start_delay_ms / 1000
    while not stop.is_set():
        remaining_s = ready_at_s - loop.time()
        if remaining_s <= 0:
            upstream.state = "ready"
        await upstream.announce(client)
        wait_s = ANNOUNCE_INTERVAL_S
        if upstream.state == "starting":
            wait_s = min(wait_s, max(0.0, ready_at_s - loop.time()))
        try:
            await asyncio.wait_for(stop.wait(), wait_s)
        except TimeoutError:
            continue
    await upstream.leave(client)


def main(
    service: Annotated[str, typer.Option()],
    address: Annotated[str, typer.Option(help="ip:port")],
    admin: Annotated[str, typer.Option(help="Admin address of the node")],
    slots: Annotated[int, typer.Option()] = 6,
    upstream: Annotated[str, typer.Option(help="Default: from the address")] = "",
    labels: Annotated[list[str] | None, typer.Option(help="name=value")] = None,
    start_delay_ms: Annotated[float, typer.Option()] = 0.0,
    service_time_ms: Annotated[float, typer.Option()] = 5.0,
    lying_health: Annotated[bool, typer.Option()] = False,
    record: Annotated[Path | None, typer.Option(help="JSON lines")] = None,
) -> None:
    """Run an upstream stand-in."""
    name = upstream or f"{service}-{address}".replace(".", "-").replace(":", "-")
    pairs = [label.partition("=") for label in labels or []]
    state = Upstream(
        name=name,
        service=service,
        address=address,
        admin_address=admin,
        slots=slots,
        labels={key: value for key, _, value in pairs},
        service_time_ms=service_time_ms,
        has_fixed_health=lying_health,
        record_file=record.open("a", encoding="utf-8") if record else None,
    )
    asyncio.run(serve(state, start_delay_ms))


if __name__ == "__main__":
    typer.run(main)
