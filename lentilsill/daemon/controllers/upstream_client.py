"""HTTP client to one upstream, with keep-alive connections.

It uses `HTTP1Connection`, which never resends a request by itself. libcurl resends
when a reused connection closes before an answer.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial

import structlog
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lentilsill.daemon.held_bytes import MAX_HELD_ANSWER_BYTES, HeldBytes
from lentilsill.daemon.integration import DEFAULT_INTEGRATION, Integration
from lentilsill.daemon.outgoing_headers import OutgoingHeaders
from lentilsill.outcomes import CallResult, Outcome, Refused
from lentilsill.wire.streams import ProtocolStream

from .answer_reader import HOP_BY_HOP, AnswerReader, answer_lost, unknown_outcome
from .reasons import (
    CONNECTION_LOST,
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
# Answers to earlier requests that are skipped before a connection is closed.
MAX_STRAY_ANSWERS = 4
MAX_REFUSED_ATTEMPTS = 256


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
        held_bytes: HeldBytes | None = None,
    ) -> None:
        self.address = address
        self.post_reuse_s = post_reuse_s
        self.integration = integration
        self._connections = UpstreamConnections(address, on_closed)
        self._held_bytes = held_bytes or HeldBytes(MAX_HELD_ANSWER_BYTES)
        # Called with the head of each complete answer to a request, the time when the
        # head arrived and the time now, in seconds of the loop's clock.
        self.on_answer_head: Callable[[HTTPHeaders, float, float], None] | None = None
        # The last attempts that the upstream has refused; it may repeat the refusal.
        self._refused_attempts: dict[str, None] = {}
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
            result = await self._exchange(exchange, stream, *request, is_reused=True)
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
        is_reused: bool = False,
    ) -> CallResult | None:
        """Send one request; None if the connection closed before any answer."""
        exchange.stream = stream
        # tornado annotates the stream as `IOStream`; it calls only methods that
        # `ProtocolStream` has.
        conn = HTTP1Connection(stream, True, self._params)  # type: ignore[arg-type]
        sent_attempt_id = attempt_id if self.integration.headers.attempt_id else ""
        reader_of = partial(
            AnswerReader,
            method,
            stream,
            self.integration,
            sent_attempt_id,
            self.address,
            is_reused,
            partial(self._held_bytes.add, exchange),
        )
        reader = reader_of()
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
                reader = reader_of()
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
            self._held_bytes.remove(exchange)
            is_answered = done and reader.is_complete and not reader.is_stray
            if not is_answered:
                # The exception that ended the read refers to the reader.
                reader.body.clear()
            can_reuse = is_answered and reader.can_reuse_connection
            # Unsent bytes of this request must not precede the next request.
            if not can_reuse or stream.writing() or stream.closed():
                reason = _close_reason(stream, is_answered, can_reuse)
                stream.close()
                self._connections.record_close(
                    reason, exchange, attempt_id, not is_answered
                )
        if reader.odd_status is not None:
            log.warning(
                "answer_status_odd",
                upstream=self.address,
                attempt=sent_attempt_id,
                status=reader.odd_status,
            )
            return unknown_outcome(f"status {reader.odd_status:03} is no answer")
        if not reader.status:
            return _closed_early(exchange) if exchange.abort_reason else None
        if not reader.is_complete or reader.is_stray:
            return answer_lost(exchange.abort_reason or "answer is incomplete")
        result = reader.result()
        if isinstance(result, Refused):
            if result.outcome is Outcome.UNKNOWN and not reader.names_attempt:
                # The answer to this request may still follow.
                stream.close()
            result = self._check_repeat(result, sent_attempt_id)
        if not stream.closed():
            self._connections.keep(stream, reader.idle_limit_s())
        self._report_head(reader)
        return result

    def _check_repeat(self, refusal: Refused, attempt_id: str) -> Refused:
        """Return a refusal as unknown if it may be one that was given before."""
        if not attempt_id or refusal.outcome is not Outcome.NOT_RUN:
            return refusal
        if attempt_id in self._refused_attempts:
            return unknown_outcome("refusal of an attempt that was refused before")
        self._refused_attempts[attempt_id] = None
        if len(self._refused_attempts) > MAX_REFUSED_ATTEMPTS:
            del self._refused_attempts[next(iter(self._refused_attempts))]
        return refusal

    def _report_head(self, reader: AnswerReader) -> None:
        """Pass on the head of an answer unless another upstream may have sent it."""
        assert reader.headers is not None
        if self.on_answer_head is not None and reader.is_own:
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
    return unknown_outcome(exchange.abort_reason or CONNECTION_LOST)
