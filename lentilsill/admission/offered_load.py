"""Load that calls which can be on time offer to the slots of an upstream."""

import math

__all__ = ["OfferedLoad"]

# Spans several calls of typical length, so that a burst at light load doesn't count as
# overload.
WINDOW_S = 2.0
# Less urgent calls, with larger priority numbers, are counted under this one.
MAX_PRIORITY = 15


class OfferedLoad:
    """Slot time needed by calls that can be on time, averaged over `WINDOW_S`.

    Examples
    --------
    >>> work = OfferedLoad()
    >>> work.add(0.0, 1, 1.0); work.add(0.0, 2, 1.0)
    >>> work.share(0.0, 1, slots=1), work.share(0.0, 2, slots=1)
    (0.5, 1.0)
    >>> round(work.share(2.0, 2, slots=1), 2)
    0.37
    """

    def __init__(self) -> None:
        self._by_priority: dict[int, float] = {}
        self._updated_at = 0.0

    def add(self, now: float, priority: int, service_time_s: float) -> None:
        """Record an offered call that can still be on time."""
        self._decay(now)
        rank = min(priority, MAX_PRIORITY)
        self._by_priority[rank] = self._by_priority.get(rank, 0.0) + service_time_s

    def share(self, now: float, priority: int, slots: int) -> float:
        """Return the share of the slots that calls as urgent as this or more need."""
        self._decay(now)
        rank = min(priority, MAX_PRIORITY)
        work_s = sum(s for other, s in self._by_priority.items() if other <= rank)
        return work_s / (WINDOW_S * max(1, slots))

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / WINDOW_S)
        self._updated_at = now
        for rank in self._by_priority:
            self._by_priority[rank] *= factor
