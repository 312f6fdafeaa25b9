"""HTTP client to one upstream, with keep-alive connections.

It uses `HTTP1Connection`, which never resends a request by itself. libcurl resends
when a reused connection closes before an answer.
"""

import asyncio
from collections.abc import Callable, Iterable

import structlog
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lentilsill.daemon.integration import DEFAULT_INTEGRATION, Integration
from lentilsill.daemon.outgoing_headers import OutgoingHeaders
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.wire.streams import ProtocolStream

from .reasons import (
    CONNECTION_LOST,
    MISDIRECTED,
    REFUSED_BY_UPSTREAM,
    RESET_BEFORE_REQUEST,
    UNREACHABLE,
    not_run_refusal,
)
from .upstream_connections import (
    MAX_IDLE_S,
    Exchange,
    OnUpstreamClosed,
    UpstreamCloseReason,
    UpstreamConnections,
    ignore_upstream_close,
)

__all__ = ["HOP_BY_HOP", "Exchange", "UpstreamClient"]

log = structlog.get_logger()

# An answer and its headers must fit in a message of 8 MB.
MAX_ANSWER_BYTES = 7 * 1024 * 1024
# A connection is reused only within this share of the upstream's keep-alive timeout,
# as the upstream may close it while a request is on its way.
KEEP_ALIVE_SHARE = 0.5
# Answers to earlier requests that are skipped before a connection is closed.
MAX_STRAY_ANSWERS = 4
# Names of headers in answers that are logged when a process first sees them.
MAX_LOGGED_HEADERS = 64
MAX_LOGGED_VALUE_CHARS = 64
# Statuses that callers take as a promise that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
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


_logged_headers: set[str] = set()


def _log_new_headers(address: str, headers: HTTPHeaders) -> None:
    """Log the headers whose names this process sees for the first time."""
    for name, value in headers.get_all():
        if name not in _logged_headers and len(_logged_headers) < MAX_LOGGED_HEADERS:
            _logged_headers.add(name)
            log.info(
                "answer_header_seen",
                upstream=address,
                name=name,
                value=value[:MAX_LOGGED_VALUE_CHARS],
            )


class _AnswerReader(HTTPMessageDelegate):
    """Collects one answer to a request."""

    def __init__(
        self,
        method: str,
        stream: ProtocolStream,
        integration: Integration,
        sent_attempt_id: str,
        address: str,
    ) -> None:
        self.address = address
        self.method = method
        self.stream = stream
        self.integration = integration
        # Empty when the integration's answers don't repeat the attempt id.
        self.sent_attempt_id = sent_attempt_id
        self.status = 0
        self.headers: HTTPHeaders | None = None
        self.headed_at = 0.0
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.can_reuse_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        self.headed_at = asyncio.get_running_loop().time()
        _log_new_headers(self.address, headers)
        options = headers.get("Connection", "").lower().split(",")
        self.can_reuse_connection = start_line.version == "HTTP/1.1" and not any(
            option.strip() == "close" for option in options
        )

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = self.status > 0 and self._is_delimited()

    def on_connection_close(self) -> None:
        self.is_complete = False

    def _is_delimited(self) -> bool:
        """Return whether the body's end is distinguishable from a lost connection."""
        assert self.headers is not None
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in (204, 304)
            or self.method == "HEAD"
            or (
                self.integration.accepts_unframed_answers
                and self.stream.has_received_eof
            )
        )

    @property
    def is_stray(self) -> bool:
        """Whether this answer is complete and belongs to an earlier request."""
        if not self.sent_attempt_id or not self.is_complete or self.headers is None:
            return False
        answered_attempt_id = self.headers.get(
            self.integration.headers.attempt_id, self.sent_attempt_id
        )
        return answered_attempt_id != self.sent_attempt_id

    def idle_limit_s(self) -> float:
        """Return how long the connection may be idle before its next request."""
        assert self.headers is not None
        _, _, text = self.headers.get("Keep-Alive", "").partition("timeout=")
        seconds = text.partition(",")[0].strip()
        if not seconds.isdigit():
            return MAX_IDLE_S
        return min(MAX_IDLE_S, KEEP_ALIVE_SHARE * int(seconds))

    def result(self) -> CallResult:
        """Return what a complete answer proves about the execution."""
        assert self.headers is not None
        names = self.integration.headers
        proves_not_run = bool(names.not_run) and names.not_run in self.headers
        if names.target_upstream and self.status == MISDIRECTED_STATUS:
            return Refused(Outcome.NOT_RUN, MISDIRECTED, arrived=True)
        if proves_not_run:
            return Refused(Outcome.NOT_RUN, REFUSED_BY_UPSTREAM, arrived=True)
        if self.sent_attempt_id and names.attempt_id not in self.headers:
            return _answer_lost("answer names no request")
        if names.not_run and self.status in NOT_RUN_STATUSES:
            return _unknown(f"status {self.status} without a proof")
        is_success = 200 <= self.status < 300
        has_digest = not names.answer_digest or names.answer_digest in self.headers
        if is_success and not has_digest:
            return _answer_lost("answer has no digest")
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

    A request that isn't idempotent uses a connection that has been idle for at most
    `post_reuse_s` seconds, or a new one.
    """

    def __init__(
        self,
        address: str,
        post_reuse_s: float = 0.0,
        integration: Integration = DEFAULT_INTEGRATION,
        on_closed: OnUpstreamClosed = ignore_upstream_close,
    ) -> None:
        self.address = address
        self.post_reuse_s = post_reuse_s
        self.integration = integration
        self._connections = UpstreamConnections(address, on_closed)
        # Called with the head of each complete answer to a request, the time when the
        # head arrived and the time now, in seconds of the loop's clock.
        self.on_answer_head: Callable[[HTTPHeaders, float, float], None] | None = None
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
        """Send a request and return the complete answer, or a refusal.

        A reused connection may close while the request is on its way; whether the
        request ran is then unknown. An idempotent request is sent again over a new
        connection. For other requests the risk is kept small: a connection is
        reused only after a short idle time, only if the kernel has not seen it close,
        and only before the idle times after which the upstream has closed others.
        """
        stream = self._connections.take(
            exchange, MAX_IDLE_S if idempotent else self.post_reuse_s
        )
        was_sent = stream is not None
        request = (method, path, headers, body, attempt_id)
        if stream is not None:
            result = await self._exchange(exchange, stream, *request)
            if result is not None:
                return result
            self._connections.learn_idle_limit(exchange.idle_s)
            if not idempotent:
                return _closed_early(exchange)
        try:
            stream = await self._connections.connect(exchange)
        except (OSError, StreamClosedError, TimeoutError) as exc:
            is_reset = isinstance(exc, ConnectionResetError)
            if is_reset:
                self._connections.record_close(
                    UpstreamCloseReason.CLOSED_UNUSED, exchange, attempt_id, False
                )
            if was_sent:
                return _closed_early(exchange)
            if is_reset and not exchange.abort_reason:
                return not_run_refusal(RESET_BEFORE_REQUEST)
            return not_run_refusal(exchange.abort_reason or f"{UNREACHABLE}{exc}")
        result = await self._exchange(exchange, stream, *request)
        return result or _closed_early(exchange)

    async def is_accepting(self) -> bool:
        """Return whether the upstream accepts connections."""
        try:
            stream = await self._connections.connect(Exchange())
        except ConnectionResetError:
            # A process that has died refuses connections instead.
            return True
        except (OSError, StreamClosedError, TimeoutError):
            return False
        stream.close()
        return True

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

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
        """Send one request; None if the connection closed before any answer."""
        exchange.stream = stream
        # tornado annotates the stream as `IOStream`; it calls only methods that
        # `ProtocolStream` has.
        conn = HTTP1Connection(stream, True, self._params)  # type: ignore[arg-type]
        sent_attempt_id = attempt_id if self.integration.headers.attempt_id else ""
        reader = _AnswerReader(
            method, stream, self.integration, sent_attempt_id, self.address
        )
        length = len(body) if body or method in ("POST", "PUT", "PATCH") else None
        if not self.integration.routes_by_host:
            headers = (("Host", self.address), *headers)
        outgoing_headers = OutgoingHeaders(headers, length)
        done = False
        try:
            conn.write_headers(
                RequestStartLine(method, path, ""), outgoing_headers, body
            )
            conn.finish()
        except Exception as exc:
            # Headers that can't be sent raise before the first byte is written.
            stream.close()
            return not_run_refusal(f"request can't be sent: {exc}")
        try:
            done = await conn.read_response(reader)
            for _ in range(MAX_STRAY_ANSWERS):
                if not done or not reader.is_stray:
                    break
                log.info("stray_answer", upstream=self.address, attempt=sent_attempt_id)
                reader = _AnswerReader(
                    method, stream, self.integration, sent_attempt_id, self.address
                )
                conn = HTTP1Connection(stream, True, self._params)  # type: ignore[arg-type]
                conn.finish()
                done = await conn.read_response(reader)
        except (StreamClosedError, UnsatisfiableReadError):
            pass
        except asyncio.CancelledError:
            exchange.abort_reason = exchange.abort_reason or "cancelled"
            raise
        finally:
            # The connection may carry another request from now on.
            exchange.stream = None
            is_answered = done and reader.is_complete and not reader.is_stray
            can_reuse = is_answered and reader.can_reuse_connection
            # Unsent bytes of this request must not precede the next request.
            if not can_reuse or stream.writing() or stream.closed():
                reason = _close_reason(stream, is_answered, can_reuse)
                stream.close()
                self._connections.record_close(
                    reason, exchange, attempt_id, not is_answered
                )
        if not reader.status:
            return _closed_early(exchange) if exchange.abort_reason else None
        if not reader.is_complete or reader.is_stray:
            return _answer_lost(exchange.abort_reason or "answer is incomplete")
        if not stream.closed():
            self._connections.keep(stream, reader.idle_limit_s())
        self._report_head(reader)
        return reader.result()

    def _report_head(self, reader: _AnswerReader) -> None:
        """Pass on the head of an answer unless another upstream may have sent it."""
        assert reader.headers is not None
        is_named = not reader.sent_attempt_id or (
            self.integration.headers.attempt_id in reader.headers
        )
        is_own = is_named and reader.status != MISDIRECTED_STATUS
        if self.on_answer_head is not None and is_own:
            now = asyncio.get_running_loop().time()
            self.on_answer_head(reader.headers, reader.headed_at, now)


def _close_reason(
    stream: ProtocolStream, is_answered: bool, can_reuse: bool
) -> UpstreamCloseReason:
    """Return why a connection takes no further request."""
    if is_answered and not can_reuse:
        return UpstreamCloseReason.REQUESTED
    if stream.closed() or stream.has_received_eof:
        return (
            UpstreamCloseReason.CLOSED_IDLE
            if is_answered
            else UpstreamCloseReason.CLOSED_IN_REQUEST
        )
    return UpstreamCloseReason.BAD_ANSWER


def _closed_early(exchange: Exchange) -> Refused:
    return _unknown(exchange.abort_reason or CONNECTION_LOST)


def _unknown(reason: str) -> Refused:
    return Refused(Outcome.UNKNOWN, reason, arrived=True)


def _answer_lost(reason: str) -> Refused:
    return Refused(Outcome.RUN_ANSWER_LOST, reason, arrived=True)
