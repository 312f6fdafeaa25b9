"""Bound on the bytes that a process holds for messages which are still arriving."""

from typing import Protocol

__all__ = ["HeldBytes", "Holder"]


class Holder(Protocol):
    """A message that is still arriving."""

    def drop_held_bytes(self) -> None:
        """Stop receiving the message, and free its bytes."""
        ...


class HeldBytes:
    """Bytes of all messages that are still arriving, of which each has a limit too.

    When their sum exceeds `limit_bytes`, the largest message is dropped. A sender that
    never stops thus loses its own messages, and not those of others, which are
    smaller.

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

    def add(self, holder: Holder, size: int) -> None:
        """Count bytes of a message, and drop the largest ones if there are too many."""
        self._sizes[holder] = self._sizes.get(holder, 0) + size
        self.total_bytes += size
        while self.total_bytes > self.limit_bytes and self._sizes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(largest)
            largest.drop_held_bytes()

    def remove(self, holder: Holder) -> None:
        """Count a message no more: it is complete, or has been dropped."""
        self.total_bytes -= self._sizes.pop(holder, 0)
