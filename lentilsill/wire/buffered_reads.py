"""Reads that are completed from the received bytes of one connection."""

import asyncio
from collections.abc import Callable

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

__all__ = ["BufferedReads", "FindEnd"]

# Reads that one connection completes in a turn of the event loop. A peer that sends
# tiny pieces must not delay timers and other connections.
MAX_READS_PER_TURN = 96

# Returns the length of the bytes that complete a read, or 0.
FindEnd = Callable[[bytearray], int]


class BufferedReads:
    """Received bytes that are unread, and the read that waits for more.

    Parameters
    ----------
    has_ended : callable
        Returns whether no further bytes will arrive.
    on_room : callable
        Called when a read needs more bytes, or has taken some.
    """

    def __init__(
        self, has_ended: Callable[[], bool], on_room: Callable[[], None]
    ) -> None:
        self.buffer = bytearray()
        # Receives the number of unread bytes when it has changed.
        self.on_size: Callable[[int], None] | None = None
        self._reported_size = 0
        self._loop = asyncio.get_running_loop()
        self._has_ended = has_ended
        self._on_room = on_room
        self._pending: tuple[asyncio.Future[bytes], FindEnd] | None = None
        self._reads_left_in_turn = MAX_READS_PER_TURN
        # Set while the pending read waits for the next turn of the event loop.
        self._deferral: asyncio.Handle | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a read has not ended."""
        return self._pending is not None

    @property
    def is_waiting(self) -> bool:
        """Whether a read waits for bytes that have not arrived."""
        return self._pending is not None and self._deferral is None

    def start(self, find_end: FindEnd) -> asyncio.Future[bytes]:
        """Start a read; it ends immediately if its bytes have arrived.

        Raises
        ------
        StreamClosedError
            The bytes have not arrived, and no further ones will.
        """
        fut: asyncio.Future[bytes] = self._loop.create_future()
        self._pending = (fut, find_end)
        if self.buffer and not self._reads_left_in_turn:
            self._deferral = self._loop.call_soon(self._run_deferred)
            return fut
        if self.buffer:
            self._reads_left_in_turn -= 1
            self._try_complete()
        if self._pending is not None:
            if self._has_ended():
                self._pending = None
                raise StreamClosedError()
            self._on_room()
        return fut

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self.buffer += data
        if self._deferral is None:
            self._reads_left_in_turn = MAX_READS_PER_TURN
            if self._pending is not None:
                self._try_complete()
        self._report_size()

    def drop(self) -> None:
        """Drop the received bytes; a pending read can't be completed any more."""
        self.buffer.clear()
        self._report_size()
        if self._deferral is not None:
            self._deferral.cancel()
            self._deferral = None

    def fail_pending(self) -> None:
        """Fail the pending read, unless bytes that have arrived may complete it."""
        if self._pending is not None and self._deferral is None:
            fut, _ = self._pending
            self._pending = None
            if not fut.done():
                fut.set_exception(StreamClosedError())
                fut.exception()

    def refuse_pending(self) -> bool:
        """Fail the pending read as one that can't be completed; False without one."""
        if self._pending is None:
            return False
        fut, _ = self._pending
        self._pending = None
        if not fut.done():
            fut.set_exception(UnsatisfiableReadError("too many unread bytes"))
        return True

    def _report_size(self) -> None:
        size = len(self.buffer)
        if size != self._reported_size and self.on_size is not None:
            self._reported_size = size
            self.on_size(size)

    def _run_deferred(self) -> None:
        self._deferral = None
        self._reads_left_in_turn = MAX_READS_PER_TURN
        if self._pending is not None:
            self._try_complete()
        if self._pending is not None:
            if self._has_ended():
                self.fail_pending()
            else:
                self._on_room()

    def _try_complete(self) -> None:
        assert self._pending is not None
        fut, find_end = self._pending
        try:
            size = find_end(self.buffer)
        except UnsatisfiableReadError as exc:
            self._pending = None
            if not fut.done():
                fut.set_exception(exc)
            return
        if not size:
            return
        self._pending = None
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self._on_room()
        if not fut.done():
            fut.set_result(data)
        self._report_size()
