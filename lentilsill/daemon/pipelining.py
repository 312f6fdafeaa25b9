"""HTTP pipelining: several requests in progress on one connection of a caller.

Tornado reads a request only after it has written the response to the previous
one. Here each request gets its own `HTTP1Connection` over the shared stream, so
that the next request is read while earlier ones are in progress. Responses are
written in the order of the requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lentilsill.wire.streams import ProtocolStream

from .connection_close import CloseReason, ConnectionClose
from .connection_memory import ConnectionMemory
from .held_bytes import MAX_HELD_ANSWER_BYTES, MAX_HELD_INPUT_BYTES, HeldBytes
from .request_stream import (
    OnAnswerHeld,
    PipelinedDelegate,
    RequestStream,
    ignore_held_answer,
)

__all__ = ["PipelinedConnection"]

# Further requests stay in the kernel's buffer until the oldest one is answered.
MAX_PIPELINED_REQUESTS = 32
# Time that a closing connection waits for the remainder of a request whose first bytes
# have arrived.
ARRIVAL_TIMEOUT_S = 0.2
# The first check of a caller that has ended its stream sends an interim response; the
# intervals of further checks double.
FIRST_CHECK_DELAY_S = 0.01
MAX_CHECK_DELAY_S = 0.1
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
BAD_REQUEST = b"400 Bad Request"
HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"
# The request has not run, and may be repeated.
OUT_OF_MEMORY = b"503 Service Unavailable\r\nRetry-After: 0.1"
NO_CONTENT_HEAD = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class PipelinedConnection:
    """A caller's connection with several requests in progress.

    Parameters
    ----------
    stream : ProtocolStream
    params : HTTP1ConnectionParameters
    make_delegate : callable
        Makes the delegate of a request from the `HTTP1Connection` on which the
        request is answered and the stream of the request.
    on_closed : callable
        Called once when the connection has closed.
    on_answer_held : OnAnswerHeld
    input_bytes, answer_bytes : HeldBytes, optional
        Bounds on unread bytes and on answers, which all connections share.
    """

    def __init__(
        self,
        stream: ProtocolStream,
        params: HTTP1ConnectionParameters,
        make_delegate: Callable[[HTTP1Connection, RequestStream], PipelinedDelegate],
        on_closed: Callable[["PipelinedConnection"], None],
        on_answer_held: OnAnswerHeld = ignore_held_answer,
        input_bytes: HeldBytes | None = None,
        answer_bytes: HeldBytes | None = None,
    ) -> None:
        self.stream = stream
        self._memory = ConnectionMemory(
            self,
            input_bytes or HeldBytes(MAX_HELD_INPUT_BYTES),
            answer_bytes or HeldBytes(MAX_HELD_ANSWER_BYTES),
        )
        stream.set_unread_callback(self._memory.set_unread_size)
        self.on_answer_held = on_answer_held
        self.last_used_s = asyncio.get_running_loop().time()
        self.is_closing = False
        self._is_out_of_memory = False
        self._params = params
        self._make_delegate = make_delegate
        self._on_closed = on_closed
        self._streams: deque[RequestStream] = deque()
        self._room_waiter: asyncio.Future[None] | None = None
        # Why no further request is read.
        self._end_reason: CloseReason | None = None
        self._close_reason: CloseReason | None = None
        self._idle_at_close_s = 0.0
        self._lost_attempts: list[str] = []
        stream.set_close_callback(self._on_stream_closed)
        stream.set_eof_callback(self._on_eof)

    async def run(self) -> None:
        """Read requests until the connection closes or reading is stopped."""
        while not (self.stream.closed() or self._end_reason):
            if len(self._streams) >= MAX_PIPELINED_REQUESTS:
                await self._wait_for_room()
                continue
            request_stream = RequestStream(self)
            self._streams.append(request_stream)
            # tornado declares an `IOStream` but uses only the part implemented here.
            http_conn = HTTP1Connection(request_stream, False, self._params)  # type: ignore[arg-type]
            request = self._make_delegate(http_conn, request_stream)
            request_stream.request = request
            reading = asyncio.ensure_future(http_conn.read_response(request))
            reading.add_done_callback(
                partial(self._end_request, request_stream, request)
            )
            await request.received
            self.last_used_s = asyncio.get_running_loop().time()

    def can_write(self, request_stream: RequestStream) -> bool:
        """Return whether all responses before that of `request_stream` are written."""
        return bool(self._streams) and self._streams[0] is request_stream

    def stop_reading(self, reason: CloseReason) -> None:
        """Read no further request; close once those that have arrived are answered."""
        if self._end_reason is None:
            self._end_reason = reason
        for request_stream in self._streams:
            request_stream.is_excluded |= not request_stream.has_begun

    def ends_with(self, request_stream: RequestStream) -> bool:
        """Return whether the connection closes after the answer to this request.

        A connection that stops ends with the last request that has arrived. Callers
        take requests behind an answer that says ``close`` as not read, so only the
        last answer may say it, and nothing may be passed on behind it.
        """
        if self._end_reason is None and not self.is_closing:
            return False
        begun = [stream for stream in self._streams if stream.has_begun]
        if begun[-1:] != [request_stream]:
            return False
        if self._has_finished_reading:
            self.stop_reading(CloseReason.STOP)
        return self._end_reason is not None

    def close_when_answered(self) -> None:
        """Close once all requests that have arrived are read and answered.

        Closing at once would leave requests unanswered that are already in the
        buffers of this host.
        """
        self.is_closing = True
        if self._has_finished_reading and not self.has_unsent_answers:
            self.close(CloseReason.STOP)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(ARRIVAL_TIMEOUT_S, self._close_unless_answering)

    def finish_reading(self) -> None:
        """Stop at the requests that have arrived, and close when they are answered."""
        self.stop_reading(CloseReason.STOP)
        self.close_if_answered()

    @property
    def has_unsent_answers(self) -> bool:
        """Whether requests are in progress or answers have not left this process."""
        if self.stream.closed():
            return False
        return self.stream.writing() or any(stream.is_due for stream in self._streams)

    def is_idle_since(self, time_s: float) -> bool:
        """Return whether nothing has arrived since then and no call is in progress."""
        used_s = max(self.last_used_s, self.stream.input_since_s)
        return (
            used_s < time_s
            and not any(stream.is_in_progress for stream in self._streams)
            and not self.stream.has_input_in_kernel()
        )

    @property
    def is_busy(self) -> bool:
        """Whether the end of the process would lose requests or answers."""
        if self.stream.closed():
            return bool(self.unsent_byte_count)
        return self.has_unsent_answers or self.stream.has_unread_input()

    @property
    def unsent_byte_count(self) -> int:
        """Number of written bytes that the kernel has not accepted."""
        return self.stream.unsent_byte_count

    @property
    def _has_finished_reading(self) -> bool:
        """Whether the connection is closing and all that has arrived has been read."""
        return self.is_closing and not (
            self.stream.closed() or self.stream.has_unread_input()
        )

    def _close_unless_answering(self) -> None:
        """Close unless answers are due; an incomplete last request is dropped.

        After a stall, timers can run before the bytes that have arrived are read.
        """
        if self.stream.has_input_in_kernel():
            loop = asyncio.get_running_loop()
            loop.call_later(ARRIVAL_TIMEOUT_S, self._close_unless_answering)
        elif not self.has_unsent_answers:
            self.close(CloseReason.STOP)

    @property
    def unsent_answer_bytes(self) -> int:
        """Number of bytes of answers that this process holds."""
        held = sum(stream.held_byte_count for stream in self._streams)
        return held + self.unsent_byte_count

    def measure_unsent(self) -> None:
        """Count answers that have not left this process."""
        self._memory.measure_unsent()

    def refuse_unread(self) -> None:
        """Drop the unread bytes, and close once the requests before are answered."""
        self._is_out_of_memory = True
        if not self.stream.drop_unread():
            self.stop_reading(CloseReason.BAD_REQUEST)
            self.close_if_answered()

    def abort(self, reason: CloseReason) -> None:
        """Close immediately; answers that the caller has not read are dropped."""
        self._set_close_reason(reason)
        self.stream.close()
        for request_stream in list(self._streams):
            request_stream.abort()

    def close(self, reason: CloseReason) -> None:
        """Close after the written bytes have been sent."""
        self._set_close_reason(reason)
        self.stream.close_gracefully()

    def record_lost(self, attempt_id: str) -> None:
        """Record a request that was passed on and whose caller gets no answer."""
        self._lost_attempts.append(attempt_id)

    def end_record(self) -> ConnectionClose:
        """Return how the connection ended; valid once it has closed."""
        self._set_close_reason(CloseReason.CALLER)
        assert self._close_reason is not None
        return ConnectionClose(
            self._close_reason,
            self._idle_at_close_s,
            self.stream.dropped_byte_count,
            tuple(self._lost_attempts),
        )

    def _set_close_reason(self, reason: CloseReason) -> None:
        """Keep the first reason, and the idle time at that moment."""
        if self._close_reason is None:
            self._close_reason = reason
            now_s = asyncio.get_running_loop().time()
            self._idle_at_close_s = now_s - self.last_used_s

    def _status(self, request_stream: RequestStream) -> bytes:
        """Return the status of a request that can't be read."""
        if self._is_out_of_memory:
            return OUT_OF_MEMORY
        return BAD_REQUEST if request_stream.has_begun else HEAD_TOO_LARGE

    async def _wait_for_room(self) -> None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._room_waiter = waiter
        await waiter

    def _end_request(
        self,
        request_stream: RequestStream,
        request: PipelinedDelegate,
        reading: "asyncio.Future[bool]",
    ) -> None:
        """Remove a request whose response was written or failed; flush the next."""
        match None if reading.cancelled() else reading.exception():
            case StreamClosedError() if self.stream.has_received_eof:
                self.stop_reading(CloseReason.CALLER)
            case None | StreamClosedError():
                pass
            case UnsatisfiableReadError():
                if request_stream.can_be_passed_on and not request.is_answered:
                    request_stream.write(NO_CONTENT_HEAD % self._status(request_stream))
                self.stop_reading(CloseReason.BAD_REQUEST)
            case exc:
                asyncio.get_running_loop().call_exception_handler(
                    {"message": "request handling failed", "exception": exc}
                )
                self.stop_reading(CloseReason.FAILED)
        request_stream.is_done = True
        self.last_used_s = asyncio.get_running_loop().time()
        if not request.received.done():
            request.received.set_result(None)
        while self._streams and self._streams[0].is_done:
            self._streams.popleft().release()
            if self._streams:
                self._streams[0].flush()
        if self._room_waiter is not None and not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self.close_if_answered()

    def close_if_answered(self) -> None:
        """Close if no further request is read and all answers are written."""
        if any(stream.is_due for stream in self._streams):
            return
        if self._end_reason is not None:
            self.close(self._end_reason)
        elif self._has_finished_reading and not self.stream.writing():
            self.close(CloseReason.STOP)

    def _on_eof(self) -> bool:
        """Stay open if requests are unanswered: the caller may still read.

        A caller that has closed its connection looks the same until something is
        sent to it.
        """
        is_unanswered = self.has_unsent_answers or self.stream.has_unread_input()
        if is_unanswered:
            self._schedule_check(FIRST_CHECK_DELAY_S, True)
        return is_unanswered

    def _schedule_check(self, delay_s: float, sends_probe: bool) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._check_caller, delay_s, sends_probe)

    def _check_caller(self, delay_s: float, sends_probe: bool) -> None:
        """Close if a caller that ended its stream doesn't read any more.

        Its host answers an interim response with a reset, of which the transport
        learns nothing because it has stopped reading.
        """
        if self.stream.closed():
            return
        if self.stream.is_broken():
            self.stream.close()
            return
        if sends_probe:
            sends_probe = not self._send_interim_response()
        self._schedule_check(min(2 * delay_s, MAX_CHECK_DELAY_S), sends_probe)

    def _send_interim_response(self) -> bool:
        """Send ``100 Continue`` if the next answer is due to an HTTP/1.1 request."""
        due = next((stream for stream in self._streams if stream.is_outstanding), None)
        if due is None or due.request is None or due.request.version != "HTTP/1.1":
            return False
        self.stream.write(INTERIM_RESPONSE)
        return True

    def _on_stream_closed(self) -> None:
        for request_stream in list(self._streams):
            request_stream.abort()
        if self._room_waiter is not None and not self._room_waiter.done():
            self._room_waiter.set_result(None)
        self._memory.release()
        self._on_closed(self)
