"""HTTP server for callers.

The server implements tornado's message delegates and not a `web.Application`,
which spends more time per call on handlers and headers.
"""

import asyncio
import socket
from collections.abc import Callable
from urllib.parse import parse_qs

import structlog
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.netutil import add_accept_handler, bind_sockets

from lentilsill.documents import CallerLimits
from lentilsill.outcomes import Outcome, Refused
from lentilsill.wire.links import split_address
from lentilsill.wire.streams import ProtocolStream

from .caller_request import CallerRequest, json_response, response_of
from .integration import DEFAULT_INTEGRATION, Integration
from .interfaces import CallService, IssuedKeys
from .pipelining import ARRIVAL_BOUND_S, OnHeld, PipelinedConnection, ignore_held

__all__ = ["CallerServer", "IssueKeys"]

log = structlog.get_logger()

IssueKeys = Callable[[int], IssuedKeys]

MAX_KEYS_PER_REQUEST = 1000
# As tornado's own server; a slow sender of headers is closed by it too.
IDLE_CONNECTION_S = 3600.0
SWEEP_S = 1.0
KEYS_PATH = "/lentilsill/keys"
OWN_PATHS = "/lentilsill/"
ARRIVAL_POLL_S = 0.005
# A caller that reads nothing for so long, in seconds, does not delay the exit further.
ANSWER_BOUND_S = 0.5
# Connections that wait to be accepted; a full queue costs callers seconds.
BACKLOG = 1024


class CallerServer:
    """Serves callers at ``ip:port``; failed calls get the status of section 5.1.

    Parameters
    ----------
    calls : CallService
    max_body_bytes : int
    issue_keys : callable, optional
        Gives the answer to ``POST /lentilsill/keys``.
    integration : Integration
    host_service : str
        Service of this host, which calls that begin here are marked with.
    limits : callable, optional
        Gives the limits of the documents in force, or None.
    on_held : callable, optional
        Takes the time in seconds that an answer waited for those before it.
    """

    def __init__(
        self,
        calls: CallService,
        max_body_bytes: int,
        issue_keys: IssueKeys | None = None,
        integration: Integration = DEFAULT_INTEGRATION,
        host_service: str = "",
        limits: Callable[[], CallerLimits | None] = lambda: None,
        on_held: OnHeld = ignore_held,
    ) -> None:
        self.calls = calls
        self.issue_keys = issue_keys
        self.integration = integration
        self.host_service = host_service
        self.limits = limits
        self._on_held = on_held
        self._max_body_bytes = max_body_bytes
        # The delegate checks the limit itself, to answer 413 and not 400. A
        # timer per request for the headers costs more than one for all.
        self._params = HTTP1ConnectionParameters(max_body_size=2**40)
        self._connections: dict[PipelinedConnection, asyncio.Task[None]] = {}
        self._stop_accepting: list[Callable[[], None]] = []
        self._sockets: list[socket.socket] = []
        self._sweeper: asyncio.TimerHandle | None = None
        self._requests: set[asyncio.Task[None]] = set()
        self._opening: set[asyncio.Task] = set()

    @property
    def max_body_bytes(self) -> int:
        """Largest body that is taken, by the settings and by the documents."""
        limits = self.limits()
        if limits is None:
            return self._max_body_bytes
        return min(self._max_body_bytes, limits.max_body_bytes)

    def listen(self, address: str) -> int:
        """Accept connections; gives the port."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        for sock in sockets:
            remove = add_accept_handler(sock, self._accept)
            self._stop_accepting += [remove, sock.close]
        self._sockets += sockets
        self._sweep()
        return sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections; requests in progress continue.

        What waits to be accepted would be reset with the socket, and is taken.
        """
        for sock in self._sockets:
            self._accept_waiting(sock)
        self._sockets.clear()
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()

    async def close(self) -> None:
        """Close connections after the requests in progress."""
        self.stop()
        if self._opening:
            await asyncio.wait(self._opening)
        for conn in list(self._connections):
            conn.leave()
        deadline = asyncio.get_running_loop().time() + ARRIVAL_BOUND_S
        while any(conn.is_reading for conn in self._connections):
            if asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(ARRIVAL_POLL_S)
        if self._requests:
            await asyncio.wait(self._requests)
        deadline = asyncio.get_running_loop().time() + ANSWER_BOUND_S
        while any(conn.owes_answers for conn in self._connections):
            if asyncio.get_running_loop().time() > deadline:
                log.warning("answers_dropped", connections=len(self._connections))
                break
            await asyncio.sleep(ARRIVAL_POLL_S)
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn, task in list(self._connections.items()):
            conn.close()
            task.cancel()

    def _accept_waiting(self, sock: socket.socket) -> None:
        for _ in range(BACKLOG):
            try:
                conn, address = sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            self._accept(conn, address)

    def _accept(self, sock: socket.socket, address: object) -> None:
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(
                lambda: ProtocolStream(on_connect=self._serve), sock
            )
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opened)

    def _opened(self, opening: asyncio.Task) -> None:
        self._opening.discard(opening)
        if not opening.cancelled() and opening.exception() is not None:
            log.warning("connection_failed", error=str(opening.exception()))

    def _serve(self, stream: ProtocolStream) -> None:
        conn = PipelinedConnection(
            stream, self._params, self._make_request, self._forget, self._on_held
        )
        self._connections[conn] = asyncio.ensure_future(conn.run())

    def _make_request(self, http, conn: PipelinedConnection) -> CallerRequest:
        return CallerRequest(self, http, conn)

    def _forget(self, conn: PipelinedConnection) -> None:
        self._connections.pop(conn, None)

    def _sweep(self) -> None:
        """Close connections without a request for a long time."""
        loop = asyncio.get_running_loop()
        limits = self.limits()
        idle_s = IDLE_CONNECTION_S
        if limits is not None:
            idle_s = limits.idle_timeout_ms / 1000
        limit = loop.time() - idle_s
        for conn in list(self._connections):
            if conn.used_at < limit and not conn.unanswered:
                conn.close()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def run(self, request: CallerRequest) -> None:
        """Start the call of a whole request."""
        task = asyncio.ensure_future(self._answer(request))
        request.task = task
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _answer(self, request: CallerRequest) -> None:
        path = request.path
        if path.startswith(OWN_PATHS) and not self.integration.routes_by_host:
            request.respond(*self._own_answer(request))
            return
        try:
            result = await self.calls.handle(request.call_request())
        except Exception:
            log.exception("call_failed", path=path)
            result = Refused(Outcome.UNKNOWN, "internal error")
        request.respond(*response_of(result))

    def _own_answer(
        self, request: CallerRequest
    ) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
        path, _, query = request.path.partition("?")
        if path != KEYS_PATH or self.issue_keys is None:
            return json_response(404, {"reason": "no such path"})
        if request.method != "POST":
            return json_response(405, {"reason": "only POST"})
        try:
            count = int(parse_qs(query).get("count", ["1"])[0])
        except ValueError:
            count = 0
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            reason = f"count must be 1 to {MAX_KEYS_PER_REQUEST}"
            return json_response(400, {"reason": reason})
        issued = self.issue_keys(count)
        if not issued.keys:
            return json_response(503, {"reason": "no node is ready"})
        value = {"keys": issued.keys, "expires_at_ms": issued.expires_at_ms}
        return json_response(200, value)
