"""Offered load of the calls to an upstream that can still be on time."""

import math

from .plan import LATE_ANSWER_VALUE, WaitingCall

__all__ = ["OfferedLoad"]

# The window spans several calls of typical length, so that a burst at light load
# doesn't count as overload.
WINDOW_S = 2.0
# Calls with a larger priority number, which are less urgent, count under this one.
MAX_PRIORITY = 15
# When calls that can be on time need this share of the slots, each late call that
# starts makes one of them late.
FULL_LOAD_SHARE = 0.9


class OfferedLoad:
    """Slot time needed by calls that can be on time, averaged over `WINDOW_S`.

    Examples
    --------
    >>> load = OfferedLoad()
    >>> load.add(0.0, 1, 1.0); load.add(0.0, 2, 1.0)
    >>> load.share(0.0, 1, slots=1), load.share(0.0, 2, slots=1)
    (0.5, 1.0)
    >>> round(load.share(2.0, 2, slots=1), 2)
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
        """Return the share of the slots that calls up to this priority number need."""
        self._decay(now)
        rank = min(priority, MAX_PRIORITY)
        load_s = sum(s for other, s in self._by_priority.items() if other <= rank)
        return load_s / (WINDOW_S * max(1, slots))

    def is_delayed_by(
        self, waiting: WaitingCall, now: float, slots: int, mean_s: float
    ) -> bool:
        """Return whether the call is late and would delay calls that can be on time.

        A call that is much shorter than the mean `mean_s` delays them little.
        """
        is_late = now + waiting.service_time_s > waiting.objective_at
        is_short = waiting.service_time_s < LATE_ANSWER_VALUE * mean_s
        if not is_late or is_short:
            return False
        return self.share(now, waiting.priority, slots) >= FULL_LOAD_SHARE

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / WINDOW_S)
        self._updated_at = now
        for rank in self._by_priority:
            self._by_priority[rank] *= factor
