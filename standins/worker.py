"""Stand-in for an upstream: an HTTP echo that announces itself to its node.

Every path outside ``/standin/`` answers with JSON that holds the request's own
`X-Standin-Id` and body. Request headers set the behaviour of one request:
`X-Standin-Ms` (service time), `X-Standin-Bytes` (padding of the answer),
`X-Standin-Crash: 1` (the process dies), `X-Standin-Cut: 1` (the connection
closes in the middle of the answer). `POST /standin/faults` sets ``{"sick",
"silent", "extra_ms"}`` for all requests.
"""

import asyncio
import json
import os
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

__all__ = ["Execution", "Upstream", "main", "make_app"]

ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 2.0
LEAVE_POLL_S = 0.05
LEAVE_BOUND_S = 30.0
# A node that does not answer for so long cannot report calls in flight.
LEAVE_NODE_GONE_S = 3.0
CRASH_STATUS = 70


class UpstreamFaults(BaseModel):
    """Faults that apply to every request."""

    model_config = ConfigDict(extra="forbid")

    sick: bool = False
    silent: bool = False
    extra_ms: float = Field(default=0.0, ge=0)


@dataclass
class Execution:
    """One request as it was executed; times in seconds since the epoch."""

    call_id: str
    request_key: str
    idempotent: bool
    method: str
    path: str
    upstream: str
    start_s: float
    end_s: float = 0.0
    state: str = "running"


@dataclass
class Upstream:
    """State of the stand-in."""

    upstream: str
    service: str
    address: str
    admin: str
    slots: int
    labels: dict[str, str]
    service_time_ms: float = 0.0
    lying_health: bool = False
    record: TextIO | None = None
    state: str = "starting"
    in_flight: int = 0
    max_in_flight: int = 0
    node_in_flight: int = -1
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    executions: list[Execution] = field(default_factory=list)
    last_answer_s: float = field(default_factory=time.monotonic)

    def begin(self, execution: Execution) -> None:
        """Record an execution before any of it runs, so that a crash keeps it."""
        self.executions.append(execution)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if self.record is not None:
            self.record.write(json.dumps(asdict(execution)) + "\n")
            self.record.flush()

    def end(self, execution: Execution, state: str) -> None:
        """Record the end of an execution."""
        self.in_flight -= 1
        execution.end_s = time.time()
        execution.state = state

    async def announce(self, client: AsyncHTTPClient) -> None:
        """Tell the node the current state once; a node that is down is ignored."""
        body = {
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "labels": self.labels,
            "state": self.state,
        }
        req = HTTPRequest(
            f"http://{self.admin}/lentilsill/upstreams/{self.upstream}",
            method="PUT",
            body=json.dumps(body),
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        try:
            answer = json.loads((await client.fetch(req)).body)
        except (HTTPError, OSError, ValueError):
            return
        self.node_in_flight = int(answer.get("in_flight", 0))
        self.last_answer_s = time.monotonic()

    async def leave(self, client: AsyncHTTPClient) -> None:
        """Announce leaving, wait until no call is left, and withdraw."""
        self.state = "leaving"
        end_s = time.monotonic() + LEAVE_BOUND_S
        while time.monotonic() < end_s:
            self.node_in_flight = -1
            await self.announce(client)
            gone = time.monotonic() - self.last_answer_s > LEAVE_NODE_GONE_S
            if self.in_flight == 0 and (self.node_in_flight == 0 or gone):
                break
            await asyncio.sleep(LEAVE_POLL_S)
        req = HTTPRequest(
            f"http://{self.admin}/lentilsill/upstreams/{self.upstream}",
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
        self.gone = asyncio.Event()

    def on_connection_close(self) -> None:
        """Take a closed connection as a cancellation."""
        self.gone.set()

    async def run(self) -> None:
        headers = self.request.headers
        execution = Execution(
            call_id=headers.get("X-Standin-Id", ""),
            request_key=headers.get("Idempotency-Key", ""),
            idempotent=headers.get("X-Standin-Idempotent", "1") == "1",
            method=self.request.method or "",
            path=self.request.path,
            upstream=self.upstream.upstream,
            start_s=time.time(),
        )
        self.upstream.begin(execution)
        state = "failed"
        try:
            state = await self._run_request(execution)
        finally:
            self.upstream.end(execution, state)

    get = post = put = patch = delete = head = options = run

    async def _run_request(self, execution: Execution) -> str:
        headers = self.request.headers
        faults = self.upstream.faults
        service_ms = float(headers.get("X-Standin-Ms", self.upstream.service_time_ms))
        if await self._cancelled_within((service_ms + faults.extra_ms) / 1000):
            return "cancelled"
        if headers.get("X-Standin-Crash") == "1":
            os._exit(CRASH_STATUS)
        if faults.silent:
            await self.gone.wait()
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

    async def _cancelled_within(self, time_s: float) -> bool:
        if time_s <= 0:
            return False
        try:
            await asyncio.wait_for(self.gone.wait(), time_s)
        except TimeoutError:
            return False
        return True


class _ExecutionsHandler(_Base):
    def get(self) -> None:
        found = [asdict(execution) for execution in self.upstream.executions]
        self.finish({"executions": found, "max_in_flight": self.upstream.max_in_flight})


class _HealthHandler(_Base):
    def get(self) -> None:
        state = self.upstream
        if state.lying_health:
            self.finish({"healthy": True, "in_flight": 0, "slots": state.slots})
            return
        healthy = state.state == "ready" and not state.faults.sick
        self.set_status(200 if healthy else 503)
        self.finish(
            {"healthy": healthy, "in_flight": state.in_flight, "slots": state.slots}
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
    """Make the stand-in's HTTP application."""
    args = {"upstream": upstream}
    routes: list[Any] = [
        ("/standin/executions", _ExecutionsHandler, args),
        ("/standin/health", _HealthHandler, args),
        ("/standin/faults", _FaultsHandler, args),
        ("/.*", _EchoHandler, args),
    ]
    return Application(routes, log_function=lambda handler: None)


async def serve(upstream: Upstream, start_delay_ms: float) -> None:
    """Serve and announce until SIGTERM, then leave."""
    host, _, port = upstream.address.rpartition(":")
    HTTPServer(make_app(upstream)).listen(int(port), host)
    client = SimpleAsyncHTTPClient(force_instance=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    ready_at = loop.time() + start_delay_ms / 1000
    while not stop.is_set():
        left_s = ready_at - loop.time()
        if left_s <= 0:
            upstream.state = "ready"
        await upstream.announce(client)
        wait_s = ANNOUNCE_INTERVAL_S
        if upstream.state == "starting":
            wait_s = min(wait_s, max(0.0, ready_at - loop.time()))
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
        upstream=name,
        service=service,
        address=address,
        admin=admin,
        slots=slots,
        labels={key: value for key, _, value in pairs},
        service_time_ms=service_time_ms,
        lying_health=lying_health,
        record=record.open("a", encoding="utf-8") if record else None,
    )
    asyncio.run(serve(state, start_delay_ms))


if __name__ == "__main__":
    typer.run(main)
