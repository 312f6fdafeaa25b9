"""How long calls take on an upstream."""

from dataclasses import dataclass

__all__ = ["CostEstimates"]

# Weight of the newest time in the moving averages.
TIME_WEIGHT = 0.1
# Kinds that are told apart; a route is one kind.
MAX_KINDS = 256


# Calls are planned with this many mean deviations above the mean time: about three
# quarters of calls whose times spread by half take no longer.
DEVIATIONS = 1.5


@dataclass(slots=True)
class _Times:
    """Moving averages of a time and of its distance from the average, in s."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, taken_s: float) -> None:
        distance_s = abs(taken_s - self.mean_s)
        self.deviation_s += TIME_WEIGHT * (distance_s - self.deviation_s)
        self.mean_s += TIME_WEIGHT * (taken_s - self.mean_s)


class CostEstimates:
    """Moving averages of service times, by kind of call and over all.

    Examples
    --------
    >>> costs = CostEstimates()
    >>> costs.add("read", 0.02)
    >>> costs.of("read"), costs.of("write"), costs.mean_s
    (0.02, 0.02, 0.02)
    >>> costs.add("read", 0.04)
    >>> round(costs.of("read"), 3), round(costs.likely_s("read"), 3)
    (0.022, 0.025)
    """

    def __init__(self) -> None:
        self._all = _Times(0.0)
        self._by_kind: dict[str, _Times] = {}

    @property
    def mean_s(self) -> float:
        """Expected time of any call in seconds."""
        return self._all.mean_s

    def of(self, kind: str) -> float:
        """Expected time of a call in seconds; that of all for a new kind."""
        return self._by_kind.get(kind, self._all).mean_s

    def likely_s(self, kind: str) -> float:
        """Time in seconds that most calls of the kind don't exceed."""
        times = self._by_kind.get(kind, self._all)
        return times.mean_s + DEVIATIONS * times.deviation_s

    def add(self, kind: str, taken_s: float) -> None:
        """Take in the time of a finished call."""
        if self._all.mean_s:
            self._all.add(taken_s)
        else:
            self._all.mean_s = taken_s
        times = self._by_kind.get(kind)
        if times is not None:
            times.add(taken_s)
        elif len(self._by_kind) < MAX_KINDS:
            self._by_kind[kind] = _Times(taken_s)
