"""How much of an upstream's slots the calls take that can be in time."""

import math

__all__ = ["OfferedWork"]

# Several calls of usual length: a bunch of arrivals at light load is no overload.
WINDOW_S = 2.0
# Priorities that are told apart; less urgent ones count as the last of them.
MAX_PRIORITY = 15


class OfferedWork:
    """Slot time that calls in time asked for, averaged over about `WINDOW_S`.

    Examples
    --------
    >>> work = OfferedWork()
    >>> work.add(0.0, 1, 1.0); work.add(0.0, 2, 1.0)
    >>> work.share(0.0, 1, slots=1), work.share(0.0, 2, slots=1)
    (0.5, 1.0)
    >>> round(work.share(2.0, 2, slots=1), 2)
    0.37
    """

    def __init__(self) -> None:
        self._by_priority: dict[int, float] = {}
        self._at = 0.0

    def add(self, now: float, priority: int, cost_s: float) -> None:
        """Take in a call that is offered and can still be in time."""
        self._age(now)
        rank = min(priority, MAX_PRIORITY)
        self._by_priority[rank] = self._by_priority.get(rank, 0.0) + cost_s

    def share(self, now: float, priority: int, slots: int) -> float:
        """Share of the slots that calls of this priority or a more urgent one fill."""
        self._age(now)
        rank = min(priority, MAX_PRIORITY)
        work_s = sum(s for other, s in self._by_priority.items() if other <= rank)
        return work_s / (WINDOW_S * max(1, slots))

    def _age(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / WINDOW_S)
        self._at = now
        for rank in self._by_priority:
            self._by_priority[rank] *= kept
