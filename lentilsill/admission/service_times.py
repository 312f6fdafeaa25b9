"""Estimates of how long calls occupy a slot of an upstream."""

from dataclasses import dataclass

__all__ = ["ServiceTimes"]

# Weight of the newest service time in the moving averages.
TIME_WEIGHT = 0.1
# Kinds with an average of their own; a route is one kind.
MAX_KINDS = 256


# The likely maximum is this many mean deviations above the mean. About three quarters
# of the calls take no longer when their times spread by half of the mean.
LIKELY_MAX_DEVIATIONS = 1.5

# Share of the remaining time of a waiting call that is reserved for its run.
MAX_RUN_SHARE = 0.5


@dataclass(slots=True)
class _MovingAverage:
    """Moving averages of a time and of its absolute deviation, in seconds."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, duration_s: float) -> None:
        error_s = abs(duration_s - self.mean_s)
        self.deviation_s += TIME_WEIGHT * (error_s - self.deviation_s)
        self.mean_s += TIME_WEIGHT * (duration_s - self.mean_s)


class ServiceTimes:
    """Moving averages of service times, by kind of call and over all calls.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> times.add("read", 0.02)
    >>> times.expected_s("read"), times.expected_s("write"), times.mean_s
    (0.02, 0.02, 0.02)
    >>> times.add("read", 0.04)
    >>> round(times.expected_s("read"), 3), round(times.likely_max_s("read"), 3)
    (0.022, 0.025)
    """

    def __init__(self) -> None:
        self._all_kinds = _MovingAverage(0.0)
        self._by_kind: dict[str, _MovingAverage] = {}

    @property
    def mean_s(self) -> float:
        """Expected service time of any call in seconds."""
        return self._all_kinds.mean_s

    def expected_s(self, kind: str) -> float:
        """Return the expected time in seconds; for a new kind, that of any call."""
        return self._by_kind.get(kind, self._all_kinds).mean_s

    def likely_max_s(self, kind: str) -> float:
        """Return the time in seconds that most calls of the kind don't exceed."""
        times = self._by_kind.get(kind, self._all_kinds)
        return times.mean_s + LIKELY_MAX_DEVIATIONS * times.deviation_s

    def latest_start_s(self, remaining_s: float, kind: str = "") -> float:
        """Return the time in seconds after which a call is not worth starting.

        `remaining_s` is left until its deadline. Its caller then learns of the refusal
        before the deadline. At least half of the time can be spent waiting, as some
        calls take less time than the mean.
        """
        return remaining_s - min(self.expected_s(kind), MAX_RUN_SHARE * remaining_s)

    def add(self, kind: str, duration_s: float) -> None:
        """Record the service time of a finished call."""
        if self._all_kinds.mean_s:
            self._all_kinds.add(duration_s)
        else:
            self._all_kinds.mean_s = duration_s
        times = self._by_kind.get(kind)
        if times is not None:
            times.add(duration_s)
        elif len(self._by_kind) < MAX_KINDS:
            self._by_kind[kind] = _MovingAverage(duration_s)
