"""HTTP client to one upstream, over kept connections.

`HTTP1Connection` never resends a request by itself, whereas libcurl resends on
a kept connection that closes before an answer.
"""

import asyncio
from collections import deque
from collections.abc import Iterable

import structlog
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lentilsill.daemon.integration import OWN_INTEGRATION, Integration
from lentilsill.daemon.outgoing import OutgoingHeaders
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.wire.links import split_address
from lentilsill.wire.streams import ProtocolStream

from .reasons import (
    CONNECTION_LOST,
    MISDIRECTED,
    REFUSED_BY_UPSTREAM,
    UNREACHABLE,
    not_run,
)

__all__ = ["HOP_BY_HOP", "Exchange", "UpstreamClient"]

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 1.0
# One answer must fit in a message of 8 MB beside its headers.
MAX_ANSWER_BYTES = 7 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 32
# Servers commonly close idle connections after 5 s or more.
MAX_IDLE_S = 4.0
# Share of the idle time that an upstream names after which its connection is
# not used any more; it may close it while a request is on its way.
KEEP_ALIVE_SHARE = 0.5
# Answers to earlier requests that are skipped on one connection.
MAX_STRAY_ANSWERS = 4
# Statuses that promise callers that the request did not run.
PROMISES = frozenset({408, 421, 429, 503})
MISDIRECTED_STATUS = 421
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Exchange:
    """One request on its connection; `abort` closes the connection."""

    __slots__ = ("aborted", "connecting", "stream")

    def __init__(self) -> None:
        self.aborted = ""
        self.stream: ProtocolStream | None = None
        self.connecting: asyncio.Future | None = None

    def abort(self, reason: str) -> None:
        """Stop waiting for the answer."""
        self.aborted = reason
        if self.connecting is not None:
            self.connecting.cancel()
        if self.stream is not None:
            self.stream.close()


class _Reader(HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(
        self, method: str, stream: ProtocolStream, integration: Integration, sent: str
    ) -> None:
        self.method = method
        self.stream = stream
        self.integration = integration
        # Id of the attempt that was sent; empty when answers repeat none.
        self.sent = sent
        self.status = 0
        self.headers: HTTPHeaders | None = None
        self.chunks: list[bytes] = []
        self.is_whole = False
        self.keeps = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        self.keeps = (
            start_line.version == "HTTP/1.1"
            and headers.get("Connection", "").lower() != "close"
        )

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_whole = self.status > 0 and self._is_delimited()

    def on_connection_close(self) -> None:
        self.is_whole = False

    def _is_delimited(self) -> bool:
        """Whether the end of the body is told from a lost connection."""
        assert self.headers is not None
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in (204, 304)
            or self.method == "HEAD"
            or (self.integration.unframed_answers and self.stream.has_ended)
        )

    @property
    def is_stray(self) -> bool:
        """Whether this whole answer belongs to an earlier request."""
        if not self.sent or not self.is_whole or self.headers is None:
            return False
        found = self.headers.get(self.integration.headers.attempt_id, self.sent)
        return found != self.sent

    def idle_s(self) -> float:
        """How long the connection may be kept for another request."""
        assert self.headers is not None
        _, _, text = self.headers.get("Keep-Alive", "").partition("timeout=")
        seconds = text.partition(",")[0].strip()
        if not seconds.isdigit():
            return MAX_IDLE_S
        return min(MAX_IDLE_S, KEEP_ALIVE_SHARE * int(seconds))

    def result(self) -> CallResult:
        """Give what a whole answer says of the execution."""
        assert self.headers is not None
        names = self.integration.headers
        proves_not_run = bool(names.not_run) and names.not_run in self.headers
        if names.target_upstream and self.status == MISDIRECTED_STATUS:
            return Refused(Outcome.NOT_RUN, MISDIRECTED, arrived=True)
        if proves_not_run:
            return Refused(Outcome.NOT_RUN, REFUSED_BY_UPSTREAM, arrived=True)
        if self.sent and names.attempt_id not in self.headers:
            return _lost("answer names no request")
        if names.not_run and self.status in PROMISES:
            return _unknown(f"status {self.status} without a proof")
        is_success = 200 <= self.status < 300
        has_digest = not names.answer_digest or names.answer_digest in self.headers
        if is_success and not has_digest:
            return _lost("answer has no digest")
        return self.answer()

    def answer(self) -> Answer:
        assert self.headers is not None
        headers = tuple(
            (name, value)
            for name, value in self.headers.get_all()
            if name.lower() not in HOP_BY_HOP
        )
        return Answer(self.status, headers, b"".join(self.chunks))


class UpstreamClient:
    """Sends requests to the upstream at `address` (``ip:port``).

    A request that may not be repeated goes over a connection that was used
    within `reuse_s` seconds, or over a new one.
    """

    def __init__(
        self,
        address: str,
        reuse_s: float = 0.0,
        integration: Integration = OWN_INTEGRATION,
    ) -> None:
        self.address = address
        self.reuse_s = reuse_s
        self.integration = integration
        self._target = split_address(address)
        self._idle: deque[tuple[float, ProtocolStream]] = deque()
        self._params = HTTP1ConnectionParameters(
            max_body_size=MAX_ANSWER_BYTES, decompress=False
        )

    async def send(
        self,
        exchange: Exchange,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        idempotent: bool,
        attempt_id: str = "",
    ) -> CallResult:
        """Send a request once and give the whole answer or what is known.

        A kept connection may close while the request is on its way, which leaves
        its execution unknown. An idempotent one is sent again over a new
        connection then. For others the chance is kept small: the connection was
        used a short time ago, and the kernel knows of no close before use.
        """
        stream = self._take_idle(MAX_IDLE_S if idempotent else self.reuse_s)
        sent_before = stream is not None
        request = (method, path, headers, body, attempt_id)
        if stream is not None:
            result = await self._exchange(exchange, stream, *request)
            if result is not None:
                return result
            if not idempotent:
                return _closed_early(exchange)
        try:
            stream = await self._connect(exchange)
        except (OSError, StreamClosedError, TimeoutError) as exc:
            if sent_before:
                return _closed_early(exchange)
            return not_run(exchange.aborted or f"{UNREACHABLE}{exc}")
        result = await self._exchange(exchange, stream, *request)
        return result or _closed_early(exchange)

    async def is_accepting(self) -> bool:
        """Whether the upstream accepts connections."""
        try:
            stream = await self._connect(Exchange())
        except (OSError, StreamClosedError, TimeoutError):
            return False
        stream.close()
        return True

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    def _take_idle(self, max_idle_s: float) -> ProtocolStream | None:
        """Take the connection that was used last, if that is recent enough."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            since, stream = self._idle[-1]
            if since < now - MAX_IDLE_S:
                self.close()
            elif since < now - max_idle_s:
                break
            else:
                self._idle.pop()
                if stream.is_quiet():
                    return stream
                stream.close()
        return None

    async def _connect(self, exchange: Exchange) -> ProtocolStream:
        if exchange.aborted:
            raise StreamClosedError()
        loop = asyncio.get_running_loop()
        connecting = asyncio.ensure_future(
            loop.create_connection(ProtocolStream, *self._target)
        )
        exchange.connecting = connecting
        timer = loop.call_later(CONNECT_TIMEOUT_S, connecting.cancel)
        try:
            await asyncio.wait([connecting])
        except asyncio.CancelledError:
            connecting.cancel()
            connecting.add_done_callback(_drop_connection)
            raise
        finally:
            timer.cancel()
            exchange.connecting = None
        if connecting.cancelled():
            raise TimeoutError("no connection in time")
        _, stream = connecting.result()
        exchange.stream = stream
        return stream

    async def _exchange(
        self,
        exchange: Exchange,
        stream: ProtocolStream,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        attempt_id: str,
    ) -> CallResult | None:
        """Run one request; None when the connection closed before any answer."""
        exchange.stream = stream
        # tornado types the stream as an `IOStream`, of which it uses a part.
        conn = HTTP1Connection(stream, True, self._params)  # type: ignore[arg-type]
        sent = attempt_id if self.integration.headers.attempt_id else ""
        reader = _Reader(method, stream, self.integration, sent)
        length = len(body) if body or method in ("POST", "PUT", "PATCH") else None
        if not self.integration.routes_by_host:
            headers = (("Host", self.address), *headers)
        fields = OutgoingHeaders(headers, length)
        done = False
        try:
            conn.write_headers(RequestStartLine(method, path, ""), fields, body)
            conn.finish()
        except Exception as exc:
            # Headers that can't be sent raise before the first byte is written.
            stream.close()
            return not_run(f"request can't be sent: {exc}")
        try:
            done = await conn.read_response(reader)
            for _ in range(MAX_STRAY_ANSWERS):
                if not done or not reader.is_stray:
                    break
                log.info("stray_answer", upstream=self.address, attempt=sent)
                reader = _Reader(method, stream, self.integration, sent)
                conn = HTTP1Connection(stream, True, self._params)  # type: ignore[arg-type]
                conn.finish()
                done = await conn.read_response(reader)
        except (StreamClosedError, UnsatisfiableReadError):
            pass
        finally:
            is_clean = done and reader.is_whole and not reader.is_stray
            # Bytes of the request that still wait belong to no further one.
            if not (is_clean and reader.keeps) or stream.writing():
                stream.close()
        if not reader.status:
            return _closed_early(exchange) if exchange.aborted else None
        if not reader.is_whole or reader.is_stray:
            return _lost(exchange.aborted or "answer is incomplete")
        if not stream.closed():
            self._keep(stream, reader.idle_s())
        return reader.result()

    def _keep(self, stream: ProtocolStream, idle_s: float) -> None:
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            self._idle.popleft()[1].close()
        used_at = asyncio.get_running_loop().time() - (MAX_IDLE_S - idle_s)
        self._idle.append((used_at, stream))


def _drop_connection(connecting: asyncio.Future) -> None:
    """Close a connection that was made when nobody waited for it any more."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result()[0].abort()


def _closed_early(exchange: Exchange) -> Refused:
    return _unknown(exchange.aborted or CONNECTION_LOST)


def _unknown(reason: str) -> Refused:
    return Refused(Outcome.UNKNOWN, reason, arrived=True)


def _lost(reason: str) -> Refused:
    return Refused(Outcome.RUN_ANSWER_LOST, reason, arrived=True)
