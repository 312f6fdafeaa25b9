"""Slots that an upstream reserves for calls on which running calls wait."""

import math

__all__ = ["InnerSlots"]

# Time constant of the mean. It spans several inner calls, and releases nine slots
# within about a second after the last of them.
MEAN_S = 0.4
# A refused inner call fails the call that waits for it, and its slot time is lost. One
# more slot is reserved then, also if all inner calls are refused.
SLOTS_PER_REFUSAL = 1.0
# Below this mean, and without an inner call here, no slot is reserved.
MIN_MEAN = 0.5


class InnerSlots:
    """Decides how many slots of an upstream callers' calls leave to inner calls.

    An inner call is one on which a running call waits, of a service that in turn
    waits for calls of this upstream's service. If callers' calls held all slots of both
    services, every one of them would wait for an inner call that no slot is left for.

    The number of reserved slots is the mean number of inner calls that run or wait
    here, plus its square root, the deviation of a number of independent calls. Waiting
    calls count, so that more slots are reserved until none waits. Times are in
    seconds of one monotonic clock.

    Examples
    --------
    >>> inner = InnerSlots()
    >>> inner.reserved(0.0, 9)
    0
    >>> for _ in range(4): inner.arrive(0.0)
    >>> inner.reserved(5.0, 9), inner.reserved(5.0, 5)
    (6, 5)
    >>> for _ in range(4): inner.leave(was_running=False)
    >>> inner.reserved(6.0, 9)
    0
    """

    def __init__(self) -> None:
        self.running = 0
        self.refused = 0
        self._count = 0
        self._mean = 0.0
        self._updated_at = 0.0

    def arrive(self, now: float) -> None:
        """Record an inner call that was offered."""
        self._update(now)
        self._count += 1

    def leave(self, was_running: bool, now: float = 0.0) -> None:
        """Record an inner call that has ended, was cancelled or was refused.

        Without a time, it counts from the last event.
        """
        self._update(now)
        self._count -= 1
        self.running -= was_running

    def refuse(self, slots: int) -> None:
        """Record that an inner call which has left was refused."""
        self.refused += 1
        self._mean = max(self._mean, min(slots, self._mean + SLOTS_PER_REFUSAL))

    def reserved(self, now: float, slots: int) -> int:
        """Return how many of the slots callers' calls may not take."""
        if not (self._count or self._mean):
            return 0
        self._update(now)
        if not self._count and self._mean < MIN_MEAN:
            self._mean = 0.0
            return 0
        return min(slots, round(self._mean + math.sqrt(self._mean)))

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s > 0:
            self._updated_at = now
            weight = math.exp(-elapsed_s / MEAN_S)
            self._mean = self._count + (self._mean - self._count) * weight
