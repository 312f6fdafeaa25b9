"""HTTP server of the admin address: announcements, health and state dump."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import structlog
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilsill.findings import Findings
from lentilsill.membership import (
    Accepted,
    Disputed,
    Objection,
    Outdated,
    Refused,
    Verdict,
)
from lentilsill.wire.addresses import split_address

from .announcements import Announcements
from .context import Context
from .integration import DEFAULT_INTEGRATION, Integration

__all__ = ["AdminServer", "state_dump"]

MAX_HEADER_OR_BODY_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60
SILENCE_CHECK_INTERVAL_S = 0.25

log = structlog.get_logger()


class AdminServer:
    """Serves the admin address of a node.

    Parameters
    ----------
    ctx : Context
    on_upstream_crash : callable, optional
        Called with the id of an upstream that is dropped without having been deleted.
    upstream_in_flight : callable, optional
        Returns the number of calls in flight on an upstream, for the response to
        its announcement.
    integration : Integration
    """

    def __init__(
        self,
        ctx: Context,
        on_upstream_crash: Callable[[str], None] | None = None,
        upstream_in_flight: Callable[[str], int] | None = None,
        integration: Integration = DEFAULT_INTEGRATION,
    ) -> None:
        self.ctx = ctx
        self.integration = integration
        self.announcements = Announcements(ctx, on_upstream_crash)
        self.upstream_in_flight = upstream_in_flight or (lambda upstream: 0)
        self.port = 0
        self._server: HTTPServer | None = None

    def start(self, address: str | None = None) -> None:
        """Listen on `address`, by default the admin address of the settings."""
        cfg = self.ctx.cfg
        addresses = [address or cfg.admin_address, *cfg.extra_admin_addresses]
        sockets = [
            sock
            for host, port in map(split_address, addresses)
            for sock in bind_sockets(port, host)
        ]
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            self._application(),
            max_body_size=MAX_HEADER_OR_BODY_BYTES,
            max_header_size=MAX_HEADER_OR_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=IDLE_TIMEOUT_S,
        )
        self._server.add_sockets(sockets)
        self.ctx.spawn(self._drop_silent_upstreams())

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def _application(self) -> Application:
        args = {"server": self}
        integration = self.integration
        return Application(
            [
                (rf"{integration.upstreams_path}/([^/]+)", _UpstreamHandler, args),
                (r"/lentilsill/live", _LiveHandler, args),
                (integration.ready_path, _ReadyHandler, args),
                (r"/lentilsill/state", _StateHandler, args),
                (r"/metrics", _MetricsHandler, args),
            ],
            default_handler_class=_NotFoundHandler,
            default_handler_args=args,
            log_function=lambda handler: None,
        )

    async def _drop_silent_upstreams(self) -> None:
        """Check periodically for upstreams that are silent.

        The time by which a check is late is no silence of upstreams: the node could
        not read their announcements, which may still wait in the kernel. One check
        is therefore left out after a stall.
        """
        loop = asyncio.get_running_loop()
        was_late = False
        while True:
            due_s = loop.time() + SILENCE_CHECK_INTERVAL_S
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            late_s = max(0.0, loop.time() - due_s)
            self.announcements.excuse_silence(late_s)
            is_late = late_s > SILENCE_CHECK_INTERVAL_S
            if was_late or not is_late:
                self.announcements.drop_silent_upstreams()
            was_late = is_late and not was_late


def state_dump(ctx: Context) -> dict[str, Any]:
    """Return the state of the node as JSON values.

    A part that fails is replaced by its error, so that the others can be read.
    """
    board = ctx.board
    identity = ctx.links.identity
    dump: dict[str, Any] = {
        "node": identity.node,
        "domain": identity.domain,
        "instance": identity.instance,
        "wall_ms": ctx.wall_ms(),
        "ready": board.ready,
        "draining": board.draining,
        "in_flight": ctx.in_flight(),
        "members": len(board.members),
        "remote_nodes": len(board.remote_nodes),
        "traffic": {
            purpose: asdict(traffic) for purpose, traffic in ctx.links.traffic.items()
        },
        "links": ctx.links.count_open_links(),
        "upstreams": {
            name: {
                "service": record.service,
                "address": record.address,
                "slots": record.slots,
                "labels": dict(record.labels),
                "state": record.state.name.lower(),
                "ready_at_ms": record.ready_at_ms,
            }
            for name, record in sorted(board.upstreams.items())
        },
    }
    for name, part in board.dump_parts.items():
        try:
            dump[name] = part()
        except Exception as exc:
            dump[name] = {"error": f"{type(exc).__name__}: {exc}"}
    return dump


class _Handler(RequestHandler):
    server: AdminServer

    def initialize(self, server: AdminServer) -> None:
        self.server = server

    def reply(self, status: int, value: Any) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value, default=str) + "\n")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.reply(status_code, {"error": self._reason})


class _NotFoundHandler(_Handler):
    def prepare(self) -> None:
        self.reply(404, {"error": "not found"})


class _UpstreamHandler(_Handler):
    async def put(self, upstream: str) -> None:
        match self.server.integration.parse_announcement(upstream, self.request.body):
            case Err(findings):
                self._reject(upstream, findings)
            case Ok(announcement):
                self._answer(
                    await self.server.announcements.settle(announcement),
                    {"in_flight": self.server.upstream_in_flight(upstream)},
                )

    async def delete(self, upstream: str) -> None:
        match self.server.integration.parse_start_ms(self.request.body):
            case Err(findings):
                self._reject(upstream, findings)
            case Ok(started_ms):
                announcements = self.server.announcements
                self._answer(
                    await announcements.settle_deletion(upstream, started_ms), {}
                )

    def _reject(self, upstream: str, findings: Findings) -> None:
        self.server.announcements.reject(upstream, findings)
        self.reply(400, {"findings": [str(finding) for finding in findings]})

    def _answer(self, verdict: Verdict, accepted: dict[str, Any]) -> None:
        match verdict:
            case Accepted() | Outdated():
                # An outdated announcement agrees with what is in use.
                self.reply(200, accepted)
            case Refused(objection=Objection.TOO_MANY):
                self.reply(429, {"error": "too many upstreams on this node"})
            case Refused(objection=objection) | Disputed(objection=objection):
                self.reply(409, {"error": "not accepted", "reason": objection.value})


class _LiveHandler(_Handler):
    def get(self) -> None:
        self.reply(200, {"live": True})


class _ReadyHandler(_Handler):
    def get(self) -> None:
        board = self.server.ctx.board
        ready = board.ready and not board.draining
        self.reply(200 if ready else 503, {"ready": ready})


class _StateHandler(_Handler):
    def get(self) -> None:
        self.reply(200, state_dump(self.server.ctx))


class _MetricsHandler(_Handler):
    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.server.ctx.metrics.text())
