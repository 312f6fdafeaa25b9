"""Bounds on the bytes that a process holds for its callers and upstreams."""

from typing import Protocol

__all__ = [
    "MAX_HELD_ANSWER_BYTES",
    "MAX_HELD_CALL_BYTES",
    "MAX_HELD_INPUT_BYTES",
    "HeldBytes",
    "Holder",
    "MeasuredHolder",
]

# Bounds of a process; a node may take 128 MB, and has other messages to hold.
# Answers that upstreams send, and those that callers have not read.
MAX_HELD_ANSWER_BYTES = 24 * 1024 * 1024
# Requests of callers that are arriving.
MAX_HELD_INPUT_BYTES = 8 * 1024 * 1024
# Requests of callers whose calls are in progress.
MAX_HELD_CALL_BYTES = 8 * 1024 * 1024


class Holder(Protocol):
    """A message or connection that holds bytes."""

    def drop_held_bytes(self) -> None:
        """Free the bytes, and hold no further ones."""
        ...


class MeasuredHolder(Holder, Protocol):
    """A holder that knows how many bytes it holds, which may change at any time."""

    @property
    def held_byte_count(self) -> int:
        """Number of bytes that are held now."""
        ...


class HeldBytes:
    """Bytes of many holders, of which each has a limit too.

    When their sum exceeds `limit_bytes`, the largest holder is dropped. A sender that
    never stops, or a receiver that does not read, thus loses its own messages, and not
    those of others, which are smaller.

    Examples
    --------
    >>> class Message:
    ...     def drop_held_bytes(self):
    ...         print("dropped")
    >>> held, small, endless = HeldBytes(100), Message(), Message()
    >>> held.add(small, 20)
    >>> held.add(endless, 70)
    >>> held.add(small, 20)
    dropped
    >>> held.total_bytes
    40
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._sizes: dict[Holder, int] = {}
        # Holders whose size may have changed since it was counted.
        self._measured: set[MeasuredHolder] = set()

    def add(self, holder: Holder, size: int) -> None:
        """Count further bytes of a holder."""
        self.set_size(holder, self._sizes.get(holder, 0) + size)

    def set_size(self, holder: Holder, size: int) -> None:
        """Count `size` bytes for a holder, and drop the largest ones if necessary."""
        self._count(holder, size)
        if self.total_bytes > self.limit_bytes:
            self._drop_largest()

    def measure(self, holder: MeasuredHolder) -> None:
        """Count the bytes that a holder holds now, after some were added.

        Others are dropped before it, unless it holds most of the bytes: its receiver
        had no time to read them.
        """
        self._measured.add(holder)
        self._count(holder, holder.held_byte_count)
        if self.total_bytes > self.limit_bytes:
            self._drop_largest(holder)

    def remove(self, holder: Holder) -> None:
        """Count a holder no more."""
        self.total_bytes -= self._sizes.pop(holder, 0)
        self._measured.discard(holder)  # type: ignore[arg-type]

    def _count(self, holder: Holder, size: int) -> None:
        self.total_bytes += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)

    def _drop_largest(self, newest: Holder | None = None) -> None:
        for measured in list(self._measured):
            self._count(measured, measured.held_byte_count)
        while self.total_bytes > self.limit_bytes and self._sizes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            if largest is newest and 2 * self._sizes[largest] < self.limit_bytes:
                others = (holder for holder in self._sizes if holder is not newest)
                largest = max(others, key=self._sizes.__getitem__)
            self.remove(largest)
            largest.drop_held_bytes()
