"""HTTP server for callers.

The server implements tornado's message delegates instead of a `web.Application`,
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
from lentilsill.wire.addresses import split_address
from lentilsill.wire.streams import ProtocolStream

from .caller_request import CallerRequest, call_response, json_response
from .connection_close import CloseReason, OnClosed, ignore_close
from .held_bytes import (
    MAX_HELD_ANSWER_BYTES,
    MAX_HELD_CALL_BYTES,
    MAX_HELD_INPUT_BYTES,
    HeldBytes,
)
from .integration import DEFAULT_INTEGRATION, Integration
from .interfaces import CallService, IssuedKeys
from .pipelining import PipelinedConnection
from .request_stream import OnAnswerHeld, RequestStream, ignore_held_answer

__all__ = ["CallerServer", "IssueKeys"]

log = structlog.get_logger()

IssueKeys = Callable[[int], IssuedKeys]

MAX_KEYS_PER_REQUEST = 1000
# The default of tornado's server. This timeout also ends connections that send headers
# slowly.
IDLE_TIMEOUT_S = 3600.0
IDLE_CHECK_INTERVAL_S = 1.0
KEYS_PATH = "/lentilsill/keys"
NODE_PATH_PREFIX = "/lentilsill/"
POLL_INTERVAL_S = 0.005
# After this time, requests behind others on a connection are not read any more, so that
# a caller that sends without a pause does not delay the exit.
MAX_READING_S = 1.0
# The exit waits about 2 s for callers that neither send nor read anything; the kernel
# takes bytes only when about a third of its buffer is free. Polls are counted, since a
# stall of this process leaves callers no time.
MAX_IDLE_POLLS = 400
# Connections that wait to be accepted. A full queue delays callers by seconds.
ACCEPT_BACKLOG = 1024


class CallerServer:
    """Serves callers at ``ip:port``.

    A failed call gets the status of its outcome (section 5.1).

    Parameters
    ----------
    calls : CallService
    max_body_bytes : int
    issue_keys : callable, optional
        Returns the given number of keys for ``POST /lentilsill/keys``.
    integration : Integration
    host_service : str
        Service of this host, named in the caller service header of its calls.
    limits : callable, optional
        Returns the limits of the documents in force, or None.
    on_answer_held : callable, optional
        Receives the time in seconds that an answer was held until earlier ones
        on its connection were written.
    on_closed : callable, optional
        Receives each connection that has closed.
    answer_bytes : HeldBytes, optional
        Bound on answers that are arriving, and on those that callers don't read.
    """

    def __init__(
        self,
        calls: CallService,
        max_body_bytes: int,
        issue_keys: IssueKeys | None = None,
        integration: Integration = DEFAULT_INTEGRATION,
        host_service: str = "",
        limits: Callable[[], CallerLimits | None] = lambda: None,
        on_answer_held: OnAnswerHeld = ignore_held_answer,
        on_closed: OnClosed = ignore_close,
        answer_bytes: HeldBytes | None = None,
    ) -> None:
        self.calls = calls
        self.issue_keys = issue_keys
        self.integration = integration
        self.host_service = host_service
        self.limits = limits
        self._on_answer_held = on_answer_held
        self._on_closed = on_closed
        self._max_body_bytes = max_body_bytes
        # The delegate checks the body size itself, since tornado would answer 400
        # instead of 413. There is no header timeout per request, as one timer for
        # all connections costs less.
        self._params = HTTP1ConnectionParameters(max_body_size=2**40)
        self._connections: dict[PipelinedConnection, asyncio.Task[None]] = {}
        self._stop_accepting: list[Callable[[], None]] = []
        self._sockets: list[socket.socket] = []
        self._idle_timer: asyncio.TimerHandle | None = None
        self._request_tasks: set[asyncio.Task[None]] = set()
        self.held_bytes = HeldBytes(MAX_HELD_INPUT_BYTES)
        self._answer_bytes = answer_bytes or HeldBytes(MAX_HELD_ANSWER_BYTES)
        self._call_bytes = 0
        self._opening: set[asyncio.Task] = set()

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body accepted by settings and documents, in bytes."""
        limits = self.limits()
        if limits is None:
            return self._max_body_bytes
        return min(self._max_body_bytes, limits.max_body_bytes)

    def listen(self, address: str) -> int:
        """Accept connections; return the port."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host, backlog=ACCEPT_BACKLOG)
        for sock in sockets:
            remove = add_accept_handler(sock, self._accept)
            self._stop_accepting += [remove, sock.close]
        self._sockets += sockets
        self._close_idle()
        return sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections; requests in progress continue.

        Connections in the accept queue are accepted first, since closing the socket
        would reset them.
        """
        for sock in self._sockets:
            self._accept_queued(sock)
        self._sockets.clear()
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()

    async def close(self) -> None:
        """Close the connections after their requests in progress are answered."""
        self.stop()
        if self._opening:
            await asyncio.wait(self._opening)
        for conn in list(self._connections):
            conn.close_when_answered()
        await self._wait_until_answered()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for conn, task in list(self._connections.items()):
            conn.close(CloseReason.STOP)
            task.cancel()

    async def _wait_until_answered(self) -> None:
        """Wait while calls are in progress or callers send or read something."""
        loop = asyncio.get_running_loop()
        progress: tuple[int, ...] = ()
        started_at_s = loop.time()
        polls_left = MAX_IDLE_POLLS
        while busy := [conn for conn in self._connections if conn.is_busy]:
            if loop.time() - started_at_s > MAX_READING_S:
                for conn in busy:
                    conn.finish_reading()
            unsent = sum(conn.unsent_byte_count for conn in busy)
            if self._request_tasks or progress != (len(busy), unsent):
                progress, polls_left = (len(busy), unsent), MAX_IDLE_POLLS
            elif not polls_left:
                log.warning("answers_dropped", connections=len(busy))
                break
            polls_left -= 1
            await asyncio.sleep(POLL_INTERVAL_S)

    def _accept_queued(self, sock: socket.socket) -> None:
        for _ in range(ACCEPT_BACKLOG):
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
            stream,
            self._params,
            self._make_request,
            self._forget,
            self._on_answer_held,
            self.held_bytes,
            self._answer_bytes,
        )
        self._connections[conn] = asyncio.ensure_future(conn.run())

    def _make_request(self, http, stream: RequestStream) -> CallerRequest:
        return CallerRequest(self, http, stream)

    def _forget(self, conn: PipelinedConnection) -> None:
        self._connections.pop(conn, None)
        self._on_closed(conn.end_record())

    def _close_idle(self) -> None:
        """Close connections that have been idle too long; repeat periodically."""
        loop = asyncio.get_running_loop()
        limits = self.limits()
        idle_s = IDLE_TIMEOUT_S
        if limits is not None:
            idle_s = limits.idle_timeout_ms / 1000
        used_before_s = loop.time() - idle_s
        for conn in list(self._connections):
            if conn.is_idle_since(used_before_s):
                conn.close(CloseReason.IDLE)
        self._idle_timer = loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle)

    def start_call(self, request: CallerRequest) -> None:
        """Start the call of a request that has arrived completely."""
        size = request.size
        if self._call_bytes + size > MAX_HELD_CALL_BYTES:
            request.refuse_overload()
            return
        task = asyncio.ensure_future(self._answer(request))
        self._call_bytes += size
        request.task = task
        self._request_tasks.add(task)
        task.add_done_callback(lambda ended: self._end_call(ended, size))

    def _end_call(self, task: asyncio.Task[None], size: int) -> None:
        self._request_tasks.discard(task)
        self._call_bytes -= size

    async def _answer(self, request: CallerRequest) -> None:
        path = request.path
        if path.startswith(NODE_PATH_PREFIX) and not self.integration.routes_by_host:
            request.respond(*self._answer_node_path(request))
            return
        try:
            result = await self.calls.handle(request.call_request())
        except asyncio.CancelledError:
            if request.is_answered:
                # The caller has closed its connection.
                raise
            log.warning("call_cancelled", path=path)
            result = Refused(Outcome.UNKNOWN, "call was cancelled")
        except Exception:
            log.exception("call_failed", path=path)
            result = Refused(Outcome.UNKNOWN, "internal error")
        request.respond(*call_response(result))

    def _answer_node_path(
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
