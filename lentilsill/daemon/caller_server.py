"""HTTP server for callers.

The server implements tornado's connection delegates and not a
`web.Application`, which spends more time per call on handlers and headers.
"""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from http.client import responses
from urllib.parse import parse_qs

import structlog
from tornado.http1connection import HTTP1ConnectionParameters, HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.wire.links import split_address
from lentilsill.wire.streams import ProtocolStream

from .controllers.reasons import NO_ROUTE
from .controllers.upstream_client import HOP_BY_HOP
from .interfaces import CallRequest, CallService, IssuedKeys
from .outgoing import OutgoingHeaders

__all__ = ["CallerServer", "IssueKeys"]

log = structlog.get_logger()

IssueKeys = Callable[[int], IssuedKeys]

MAX_KEYS_PER_REQUEST = 1000
# As tornado's own server; a slow sender of headers is closed by it too.
IDLE_CONNECTION_S = 3600.0
KEYS_PATH = "/lentilsill/keys"
OUTCOME_HEADER = "Lentilsill-Outcome"
STATUS_OF_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.RUN_ANSWER_LOST: 502,
    Outcome.UNKNOWN: 504,
}
# Headers with a meaning to the node itself.
OWN_HEADERS = frozenset({"idempotency-key", "lentilsill-deadline-ms"})
NOT_FORWARDED = HOP_BY_HOP | OWN_HEADERS


class CallerServer(HTTPServerConnectionDelegate):
    """Serves callers at ``ip:port``; failed calls get the status of section 5.1.

    `issue_keys` gives the answer to ``POST /lentilsill/keys``.
    """

    def __init__(
        self,
        calls: CallService,
        max_body_bytes: int,
        issue_keys: IssueKeys | None = None,
    ) -> None:
        self.calls = calls
        self.max_body_bytes = max_body_bytes
        self.issue_keys = issue_keys
        # The delegate checks the limit itself, to answer 413 and not 400. A
        # timer per request for the headers costs more than one for all.
        self._params = HTTP1ConnectionParameters(max_body_size=2**40)
        self._connections: dict[HTTP1ServerConnection, float] = {}
        self._stop_accepting: list[Callable[[], None]] = []
        self._sweeper: asyncio.TimerHandle | None = None
        self._requests: set[asyncio.Task[None]] = set()
        self._opening: set[asyncio.Task] = set()

    def listen(self, address: str) -> int:
        """Accept connections; gives the port."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        for sock in sockets:
            remove = add_accept_handler(sock, self._accept)
            self._stop_accepting += [remove, sock.close]
        self._sweep()
        return sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections; requests in progress continue."""
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()

    async def close(self) -> None:
        """Close idle connections after the requests in progress."""
        self.stop()
        if self._opening:
            await asyncio.wait(self._opening)
        if self._requests:
            await asyncio.wait(self._requests)
        if self._sweeper is not None:
            self._sweeper.cancel()
        while self._connections:
            await next(iter(self._connections)).close()

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
        # tornado types the stream as an `IOStream`, of which it uses a part.
        conn = HTTP1ServerConnection(stream, self._params)  # type: ignore[arg-type]
        self._touch(conn)
        conn.start_serving(self)

    def _touch(self, conn: HTTP1ServerConnection) -> None:
        self._connections[conn] = asyncio.get_running_loop().time()

    def _sweep(self) -> None:
        """Close connections without a request for a long time."""
        loop = asyncio.get_running_loop()
        limit = loop.time() - IDLE_CONNECTION_S
        for conn, used_at in list(self._connections.items()):
            if used_at < limit:
                conn.stream.close()
        self._sweeper = loop.call_later(IDLE_CONNECTION_S / 10, self._sweep)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection (tornado's interface)."""
        self._connections.pop(server_conn, None)  # type: ignore[call-overload]

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Take a new request (tornado's interface)."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._touch(server_conn)
        return _Request(self, request_conn)

    def run(self, request: "_Request") -> None:
        """Start the call of a whole request."""
        task = asyncio.ensure_future(self._answer(request))
        request.task = task
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _answer(self, request: "_Request") -> None:
        path = request.path
        if path.startswith("/lentilsill/"):
            request.respond(*self._own_answer(request))
            return
        service, slash, rest = path[1:].partition("/")
        if not slash:
            service, mark, query = service.partition("?")
            rest = mark + query
        req = CallRequest(
            service,
            request.method,
            "/" + rest,
            request.forwarded_headers(),
            b"".join(request.chunks),
            request.headers.get("Idempotency-Key", ""),
            request.deadline_ms,
        )
        try:
            result = await self.calls.handle(req)
        except Exception:
            log.exception("call_failed", service=service)
            result = Refused(Outcome.UNKNOWN, "internal error")
        request.respond(*_response(result))

    def _own_answer(
        self, request: "_Request"
    ) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
        path, _, query = request.path.partition("?")
        if path != KEYS_PATH or self.issue_keys is None:
            return _json(404, {"reason": "no such path"})
        if request.method != "POST":
            return _json(405, {"reason": "only POST"})
        try:
            count = int(parse_qs(query).get("count", ["1"])[0])
        except ValueError:
            count = 0
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            reason = f"count must be 1 to {MAX_KEYS_PER_REQUEST}"
            return _json(400, {"reason": reason})
        issued = self.issue_keys(count)
        if not issued.keys:
            return _json(503, {"reason": "no node is ready"})
        value = {"keys": issued.keys, "expires_at_ms": issued.expires_at_ms}
        return _json(200, value)


class _Request(HTTPMessageDelegate):
    """One request of a caller on its connection."""

    def __init__(self, server: CallerServer, conn: HTTPConnection) -> None:
        self.server = server
        self.conn = conn
        self.method = ""
        self.path = ""
        self.headers = HTTPHeaders()
        self.deadline_ms = 0
        self.chunks: list[bytes] = []
        self.size = 0
        self.task: asyncio.Task[None] | None = None
        self.is_answered = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.method, self.path, _ = start_line
        self.headers = headers
        length = headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.server.max_body_bytes:
            self._refuse(413, "body is over the limit")
            return None
        deadline = headers.get("Lentilsill-Deadline-Ms", "0")
        if not (deadline.isascii() and deadline.isdigit()):
            self._refuse(400, "Lentilsill-Deadline-Ms is not a number")
        else:
            self.deadline_ms = int(deadline)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.size += len(chunk)
        if self.size > self.server.max_body_bytes:
            self._refuse(413, "body is over the limit")
        elif not self.is_answered:
            self.chunks.append(chunk)
        return None

    def finish(self) -> None:
        if self.is_answered:
            return
        self.conn.set_close_callback(self.on_connection_close)  # type: ignore
        self.server.run(self)

    def on_connection_close(self) -> None:
        self.is_answered = True
        self.chunks.clear()
        if self.task is not None:
            self.task.cancel()

    def forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Give the headers that the upstream gets."""
        dropped = NOT_FORWARDED
        connection = self.headers.get("Connection")
        if connection is not None and connection.lower() not in ("keep-alive", "close"):
            named = {name.strip().lower() for name in connection.split(",")}
            dropped = dropped | named
        return tuple(
            (name, value)
            for name, value in self.headers.get_all()
            if name.lower() not in dropped
        )

    def _refuse(self, status: int, reason: str) -> None:
        body = {"outcome": Outcome.NOT_RUN.value, "reason": reason}
        self.respond(*_json(status, body, Outcome.NOT_RUN))

    def respond(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Write the whole response; a caller that has gone gets none."""
        if self.is_answered:
            return
        self.is_answered = True
        length: int | None = len(body)
        if self.method == "HEAD" or status in (204, 304):
            body, length = b"", None
        fields = OutgoingHeaders(headers, length)
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "?"))
        try:
            fut = self.conn.write_headers(start_line, fields, body)
            fut.add_done_callback(_ignore_closed)
            self.conn.finish()
        except StreamClosedError:
            pass
        except ValueError:
            # Nothing has been written; the caller would wait without an answer.
            log.exception("answer_not_written", path=self.path)
            self.is_answered = False
            reason = "answer can't be written"
            self.respond(*_response(Refused(Outcome.RUN_ANSWER_LOST, reason)))


def _response(result: CallResult) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
    match result:
        case Answer(status, headers, body):
            return status, headers, body
        case Refused(outcome, reason):
            status = 404 if reason == NO_ROUTE else STATUS_OF_OUTCOME[outcome]
            value = {"outcome": outcome.value, "reason": reason}
            return _json(status, value, outcome)


def _json(
    status: int, value: dict, outcome: Outcome | None = None
) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
    headers = [("Content-Type", "application/json")]
    if outcome is not None:
        headers.append((OUTCOME_HEADER, outcome.value))
    return status, tuple(headers), json.dumps(value).encode()


def _ignore_closed(fut: "asyncio.Future[None]") -> None:
    """Take the error of a write to a caller that has gone."""
    if not fut.cancelled():
        fut.exception()
