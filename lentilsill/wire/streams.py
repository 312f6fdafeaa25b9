"""Byte stream for tornado's HTTP/1 connections and for peer links.

`tornado.iostream.IOStream` makes a future per write, tries to read before data
has arrived, and changes what the event loop waits for several times per message.
`ProtocolStream` implements the part of its interface that `HTTP1Connection` uses, on
an asyncio transport that stays registered for reading.
"""

import asyncio
import re
import select
from collections.abc import Callable
from weakref import WeakKeyDictionary

from tornado.ioloop import IOLoop
from tornado.iostream import (
    StreamBufferFullError,
    StreamClosedError,
    UnsatisfiableReadError,
)

from .buffered_reads import BufferedReads, FindEnd

__all__ = ["ProtocolStream"]

# With more unread bytes than this, the transport stops reading from the socket.
MAX_UNREAD_BYTES = 64 * 1024
# Bytes that one connection takes from the kernel in a turn of the event loop.
MAX_RECEIVED_BYTES = 64 * 1024
# A peer that has read the end of the stream closes its side well within this time, and
# one that still reads takes some of the written bytes.
LINGER_S = 1.0
# Lingering ends after this many times `LINGER_S` in which the kernel took nothing: it
# takes bytes only when about a third of its buffer is free.
MAX_READ_PAUSES = 5
DEFAULT_MAX_BUFFER_BYTES = 100 * 1024 * 1024


# All connections of an event loop receive into the same buffer, one after another.
_receive_buffers: WeakKeyDictionary[asyncio.AbstractEventLoop, memoryview] = (
    WeakKeyDictionary()
)


class ProtocolStream(asyncio.BufferedProtocol):
    """Byte stream of one connection; at most one read may be pending at a time.

    Parameters
    ----------
    max_write_buffer_size : int or None
        Bytes that may be buffered for the peer; a write that would exceed it raises
        `StreamBufferFullError`. None stands for no limit.
    on_connect : callable, optional
        Called with the stream when its connection is made.
    """

    def __init__(
        self,
        max_write_buffer_size: int | None = None,
        on_connect: Callable[["ProtocolStream"], None] | None = None,
    ) -> None:
        self.max_buffer_size = DEFAULT_MAX_BUFFER_BYTES
        self.max_write_buffer_size = max_write_buffer_size
        self._on_connect = on_connect
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reads = BufferedReads(
            lambda: self._is_closed or self.has_received_eof, self._resume_reading
        )
        self._is_closed = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._pending_writes: list[asyncio.Future[None]] = []
        self._completed_write: asyncio.Future[None] = self._loop.create_future()
        self._completed_write.set_result(None)
        self._close_callback: Callable[[], None] | None = None
        self._eof_callback: Callable[[], bool] | None = None
        # True when the peer has ended the stream, rather than reset it.
        self.has_received_eof = False
        self._consumer: Callable[[bytes], None] | None = None
        self.is_input_held = False
        # Written bytes that this process dropped when it closed the connection.
        self.dropped_byte_count = 0
        # Time of the event loop's clock when the unread bytes began to arrive.
        self.input_since_s = 0.0

    @property
    def io_loop(self) -> IOLoop:
        """The event loop as tornado sees it."""
        return IOLoop.current()

    @property
    def peer_ip(self) -> str:
        """Address of the other end; empty if the connection is not open."""
        if self._transport is None:
            return ""
        address = self._transport.get_extra_info("peername")
        return address[0] if address else ""

    def read_bytes(self, size: int, partial: bool = False) -> asyncio.Future[bytes]:
        """Read `size` bytes, or up to `size` with `partial`."""

        def find_end(buffer: bytearray) -> int:
            if partial:
                return min(len(buffer), size)
            return size if len(buffer) >= size else 0

        return self._start_read(find_end)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> asyncio.Future[bytes]:
        """Read up to and including `delimiter`."""
        return self.read_until_regex(re.escape(delimiter), max_bytes)

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> asyncio.Future[bytes]:
        """Read up to and including a match of `regex`."""
        search = re.compile(regex).search

        def find_end(buffer: bytearray) -> int:
            match = search(buffer)
            end = match.end() if match else 0
            if max_bytes is not None and (end or len(buffer)) > max_bytes:
                raise UnsatisfiableReadError(f"nothing found in {max_bytes} bytes")
            return end

        return self._start_read(find_end)

    def consume(self, consumer: Callable[[bytes], None]) -> None:
        """Pass all further bytes to `consumer` as they arrive.

        Bytes that have arrived already are passed to it immediately. The stream is
        closed when `consumer` raises.
        """
        self._consumer = consumer
        data = bytes(self._reads.buffer)
        self._reads.drop()
        self._resume_reading()
        if data:
            consumer(data)

    def hold_input(self) -> None:
        """Read nothing until `release_input`; bytes at the consumer count as unread."""
        self.is_input_held = True
        self._pause_reading()

    def release_input(self) -> None:
        """End `hold_input`."""
        self.is_input_held = False
        self._resume_reading()

    def _start_read(self, find_end: FindEnd) -> asyncio.Future[bytes]:
        if self._reads.is_pending:
            raise (
                StreamClosedError() if self._is_closed else RuntimeError("read pending")
            )
        return self._reads.start(find_end)

    def _resume_reading(self) -> None:
        if not self._is_reading_paused or self._is_closed or self.is_input_held:
            return
        if self._reads.is_waiting or len(self._reads.buffer) <= MAX_UNREAD_BYTES:
            self._is_reading_paused = False
            assert self._transport is not None
            self._transport.resume_reading()

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Send bytes; the future is done when the kernel has accepted them all.

        Raises
        ------
        StreamClosedError
            The stream is closed.
        StreamBufferFullError
            Too many bytes are buffered for the peer.
        """
        if self._is_closed:
            raise StreamClosedError()
        transport = self._transport
        assert transport is not None
        if not self.has_room(len(data)):
            raise StreamBufferFullError("too many bytes buffered for the peer")
        if data:
            transport.write(data)
        if not self._is_writing_paused:
            return self._completed_write
        fut: asyncio.Future[None] = self._loop.create_future()
        fut.add_done_callback(_retrieve_exception)
        self._pending_writes.append(fut)
        return fut

    def has_room(self, size: int) -> bool:
        """Return whether the stream is open and can buffer `size` more bytes."""
        if self._is_closed or self._transport is None:
            return False
        if not self._is_writing_paused or self.max_write_buffer_size is None:
            return True
        buffered_bytes = self._transport.get_write_buffer_size()
        return buffered_bytes + size <= self.max_write_buffer_size

    def writing(self) -> bool:
        """Return whether bytes are buffered for the peer."""
        return self._is_writing_paused

    def set_nodelay(self, value: bool) -> None:
        """Do nothing: asyncio sets TCP_NODELAY on each connection that it opens."""

    def closed(self) -> bool:
        """Return whether the stream is closed; received bytes can still be read."""
        return self._is_closed

    def is_open_without_input(self) -> bool:
        """Return whether the stream is open and has received neither bytes nor a close.

        This asks the kernel, since the event loop may not have processed either yet.
        """
        return not (
            self._is_closed
            or self._transport is None
            or self._transport.is_closing()
            or self.has_received_eof
            or self.has_unread_input()
        )

    def has_unread_input(self) -> bool:
        """Return whether bytes are unread, here or in the kernel."""
        return (
            bool(self._reads.buffer) or self.is_input_held or self.has_input_in_kernel()
        )

    def has_input_in_kernel(self) -> bool:
        """Return whether the kernel holds bytes or a close that was not read."""
        if self._is_closed or self.has_received_eof:
            return False
        return bool(self._poll(select.POLLIN))

    def is_broken(self) -> bool:
        """Return whether the kernel knows that the peer has reset the connection."""
        return not self._is_closed and bool(self._poll(0))

    def _poll(self, events: int) -> list[tuple[int, int]]:
        if self._transport is None or self._transport.is_closing():
            return []
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), events)
        return poll.poll(0)

    def close(self) -> None:
        """Close immediately; bytes buffered in either direction are dropped."""
        self._abort()
        self._reads.drop()
        self._set_closed()

    def drop_unread(self) -> bool:
        """Drop the unread bytes; return whether a read was pending.

        The pending read fails with `UnsatisfiableReadError`.
        """
        self._reads.drop()
        return self._reads.refuse_pending()

    def set_unread_callback(self, callback: Callable[[int], None]) -> None:
        """Set the function that receives the number of unread bytes as it changes."""
        self._reads.on_size = callback

    def close_gracefully(self) -> None:
        """Close once the written bytes are sent, and discard what still arrives.

        Closing with unread bytes resets the connection, and after a reset the peer can
        lose a response that it has not read yet.
        """
        transport = self._transport
        if self._is_closed or transport is None:
            return
        self._reads.drop()
        self._resume_reading()
        self._set_closed()
        try:
            if transport.can_write_eof():
                transport.write_eof()
        except OSError:
            # The peer has reset the connection, so it reads nothing any more.
            self._abort()
        else:
            self._linger()

    def _linger(self, pause_count: int = 0) -> None:
        unsent_count = self.unsent_byte_count
        self._loop.call_later(LINGER_S, self._end_linger, unsent_count, pause_count)

    def _end_linger(self, earlier_unsent_count: int, pause_count: int) -> None:
        """Close, unless the peer has read some of the written bytes meanwhile.

        After a stall, timers can run before the transport has written to the room
        that the peer has made.
        """
        unsent_count = self.unsent_byte_count
        has_room = bool(unsent_count and self._poll(select.POLLOUT))
        if unsent_count < earlier_unsent_count or has_room:
            self._linger()
        elif unsent_count and pause_count < MAX_READ_PAUSES:
            self._linger(pause_count + 1)
        elif self._poll(select.POLLIN):
            # Closing with unread bytes resets the connection; they are read first.
            self._loop.call_later(0, self._abort)
        else:
            self._abort()

    @property
    def unsent_byte_count(self) -> int:
        """Number of written bytes that the kernel has not accepted."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def _abort(self) -> None:
        if self._transport is not None:
            self.dropped_byte_count += self.unsent_byte_count
            self._transport.abort()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function that is called once after the connection has closed."""
        self._close_callback = callback

    def set_eof_callback(self, callback: Callable[[], bool]) -> None:
        """Set the function that is called when the peer has ended its stream.

        The connection stays open for writing if it returns True.
        """
        self._eof_callback = callback

    def _set_closed(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._reads.fail_pending()
        for write in self._pending_writes:
            if not write.done():
                write.set_exception(StreamClosedError())
        self._pending_writes.clear()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport receives."""
        buffer = _receive_buffers.get(self._loop)
        if buffer is None:
            buffer = memoryview(bytearray(MAX_RECEIVED_BYTES))
            _receive_buffers[self._loop] = buffer
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that the transport has received."""
        self.data_received(bytes(_receive_buffers[self._loop][:nbytes]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        # `pause_writing` is called as soon as the kernel does not accept all bytes.
        transport.set_write_buffer_limits(0)
        self._transport = transport
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        if self._is_closed:
            return
        if self._consumer is not None:
            self._consumer(data)
            return
        if not self._reads.buffer:
            self.input_since_s = self._loop.time()
        self._reads.feed(data)
        if len(self._reads.buffer) > MAX_UNREAD_BYTES and not self._reads.is_waiting:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer ended its stream; return whether to stay open."""
        self.has_received_eof = True
        if self._is_closed or self._eof_callback is None or not self._eof_callback():
            return False
        self._reads.fail_pending()
        return True

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and not self._is_closed:
            self._is_reading_paused = True
            assert self._transport is not None
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        for write in self._pending_writes:
            if not write.done():
                write.set_result(None)
        self._pending_writes.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._set_closed()
        callback = self._close_callback
        if callback is not None:
            self._close_callback = None
            callback()


def _retrieve_exception(fut: "asyncio.Future[None]") -> None:
    if not fut.cancelled():
        fut.exception()
