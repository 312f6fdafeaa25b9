"""Pace of work on a host, as its upstream states it in answers."""

import math

__all__ = ["HostPace"]

# The pace of a shared host changes about every 0.6 s, so that a figure says little
# about the next call after this time.
MEMORY_S = 0.5
# Weight of the newest figure in the average that service times include.
AVERAGE_WEIGHT = 0.05


class HostPace:
    """Time that work takes now, relative to the time that it took on average.

    Averages of service times include the average pace. Confidence in a figure decreases
    with its age.

    Examples
    --------
    >>> pace = HostPace()
    >>> pace.record(100, now=0.0)
    >>> pace.record(200, now=1.0)
    >>> round(pace.factor(1.0), 2), round(pace.factor(9.0), 2)
    (1.9, 1.0)
    """

    def __init__(self) -> None:
        self._percent = 100.0
        self._average_percent = 0.0
        self._recorded_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether the upstream has stated a pace."""
        return self._average_percent > 0

    def record(self, percent: int, now: float) -> None:
        """Record the pace, in percent of the usual time for the same work."""
        if not self._average_percent:
            self._average_percent = float(percent)
        self._average_percent += AVERAGE_WEIGHT * (percent - self._average_percent)
        self._percent, self._recorded_at = float(percent), now

    def factor(self, now: float) -> float:
        """Return by what an average service time is to be multiplied now."""
        if not self._average_percent:
            return 1.0
        confidence = math.exp(-max(0.0, now - self._recorded_at) / MEMORY_S)
        return 1.0 + confidence * (self._percent / self._average_percent - 1.0)
