"""One request on a caller's connection: its part of the connection's stream."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tornado.httputil import HTTPMessageDelegate
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from .connection_close import CloseReason

if TYPE_CHECKING:
    from .pipelining import PipelinedConnection

__all__ = [
    "OnAnswerHeld",
    "PipelinedDelegate",
    "RequestStream",
    "ignore_held_answer",
]

# Callback that receives the time in seconds that an answer was held until earlier ones
# were written.
OnAnswerHeld = Callable[[float], None]


def ignore_held_answer(held_s: float) -> None:
    """Do nothing; the default for `OnAnswerHeld`."""


class PipelinedDelegate(HTTPMessageDelegate):
    """Receives one request; `received` is done when its last byte has arrived."""

    received: "asyncio.Future[None]"
    # HTTP version, empty until the head is parsed.
    version: str
    # Whether the request was read completely and its call was started.
    is_passed_on: bool
    # Whether its answer was written, or held until earlier ones are written.
    is_answered: bool

    def record_lost(self) -> None:
        """Record that the caller gets no answer, if the request was passed on."""


class RequestStream:
    """View of the connection's stream for one request.

    Reads pass through; writes are held until the earlier responses are written.

    A request has begun when its head has arrived, is passed on when its call starts,
    is answered when its answer is written or held, and is done when its answer has
    ended. `is_excluded` is set when the connection reads no further request before the
    head of this one has arrived.
    """

    def __init__(self, conn: "PipelinedConnection") -> None:
        self.conn = conn
        self._stream = conn.stream
        self._head: asyncio.Future[bytes] | None = None
        self._pending_writes: list[tuple[bytes, asyncio.Future[None]]] = []
        self._held_since_s = 0.0
        self.request: PipelinedDelegate | None = None
        self.on_close: Callable[[], None] | None = None
        self.is_done = False
        self.is_excluded = False
        self.max_buffer_size = conn.stream.max_buffer_size
        self.read_bytes = conn.stream.read_bytes
        self.read_until = conn.stream.read_until

    @property
    def io_loop(self) -> IOLoop:
        return IOLoop.current()

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> "asyncio.Future[bytes]":
        """Read up to and including a match; the first read is that of the head."""
        fut = self._stream.read_until_regex(regex, max_bytes)
        if self._head is None:
            self._head = fut
        return fut

    @property
    def has_begun(self) -> bool:
        """Whether the head of the request has arrived.

        It has as soon as its bytes are taken from the connection, before the task
        that parses them runs.
        """
        head = self._head
        if head is None or self.is_excluded or not head.done():
            return False
        return not (head.cancelled() or head.exception())

    @property
    def can_be_passed_on(self) -> bool:
        """Whether the caller can still get an answer to the request."""
        return not (self.is_excluded or self.conn.stream.closed())

    @property
    def is_outstanding(self) -> bool:
        """Whether the head of the request has arrived and its answer is due."""
        if self.is_done or not self.has_begun:
            return False
        return self.request is None or not self.request.is_answered

    @property
    def is_in_progress(self) -> bool:
        """Whether the request was passed on and its answer has not ended."""
        is_passed_on = self.request is not None and self.request.is_passed_on
        return (is_passed_on and not self.is_done) or bool(self._pending_writes)

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Write now, or when the earlier responses have been written.

        Raises
        ------
        StreamClosedError
            The connection has closed, or reads this request no more.
        """
        if self.is_excluded:
            raise StreamClosedError()
        if self.conn.can_write(self):
            fut = self._stream.write(data)
            if self._stream.writing():
                self.conn.measure_unsent()
            return fut
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        if not self._pending_writes:
            self._held_since_s = loop.time()
        self._pending_writes.append((data, fut))
        self.conn.measure_unsent()
        return fut

    @property
    def held_byte_count(self) -> int:
        """Number of bytes that are held until earlier answers are written."""
        return sum(len(data) for data, _ in self._pending_writes)

    @property
    def head_size(self) -> int:
        """Size of the head of the request in bytes; 0 until it has arrived."""
        return len(self._head.result()) if self._head and self.has_begun else 0

    def flush(self) -> None:
        """Write the data that was held until the earlier responses were written."""
        pending_writes, self._pending_writes = self._pending_writes, []
        if pending_writes:
            now_s = asyncio.get_running_loop().time()
            self.conn.on_answer_held(now_s - self._held_since_s)
        for data, fut in pending_writes:
            try:
                self._stream.write(data)
            except StreamClosedError:
                self.abort()
                return
            if not fut.done():
                fut.set_result(None)

    @property
    def is_due(self) -> bool:
        """Whether an answer is due, or held until earlier ones are written."""
        return self.is_outstanding or bool(self._pending_writes)

    def abort(self) -> None:
        """Notify the request that the connection has closed."""
        if self._pending_writes and self.request is not None:
            self.request.record_lost()
        for _, fut in self._pending_writes:
            if not fut.done():
                fut.set_exception(StreamClosedError())
                fut.exception()
        self._pending_writes.clear()
        callback, self.on_close = self.on_close, None
        if callback is not None:
            callback()

    def release(self) -> None:
        """Drop the request after its answer has ended, or will never be written.

        The request refers to this stream. Without this, each call leaves a cycle that
        holds its headers and body until the next garbage collection.
        """
        self.request = None

    def close(self) -> None:
        """Close the connection once the requests that have arrived are answered.

        Tornado calls this when the request said so or is malformed.
        """
        is_passed_on = self.request is not None and self.request.is_passed_on
        self.conn.stop_reading(
            CloseReason.REQUESTED if is_passed_on else CloseReason.BAD_REQUEST
        )

    def closed(self) -> bool:
        return self._stream.closed()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        self.on_close = callback

    def set_nodelay(self, value: bool) -> None:
        """Do nothing, as `ProtocolStream` does."""
