"""How long calls take on an upstream."""

__all__ = ["CostEstimates"]

# Weight of the newest time in the moving averages.
TIME_WEIGHT = 0.1
# Kinds that are told apart; a route is one kind.
MAX_KINDS = 256


class CostEstimates:
    """Moving averages of service times, by kind of call and over all.

    Examples
    --------
    >>> costs = CostEstimates()
    >>> costs.add("read", 0.02)
    >>> costs.of("read"), costs.of("write"), costs.mean_s
    (0.02, 0.02, 0.02)
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._by_kind: dict[str, float] = {}

    def of(self, kind: str) -> float:
        """Expected time of a call in seconds; that of all for a new kind."""
        return self._by_kind.get(kind, self.mean_s)

    def add(self, kind: str, taken_s: float) -> None:
        """Take in the time of a finished call."""
        self.mean_s = _moved(self.mean_s, taken_s)
        if kind in self._by_kind or len(self._by_kind) < MAX_KINDS:
            self._by_kind[kind] = _moved(self._by_kind.get(kind, 0.0), taken_s)


def _moved(average: float, value: float) -> float:
    if not average:
        return value
    return average + TIME_WEIGHT * (value - average)
