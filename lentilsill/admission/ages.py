"""How long callers have already waited when their calls arrive."""

from collections import deque

__all__ = ["CallAges"]

# Limits that are remembered per route, and how many new ones change the estimate.
MAX_LIMITS = 64
LIMITS_PER_ESTIMATE = 16
# Share of the limits that are no longer than the one that a first attempt names.
# Under overload many calls are repeats; a few callers may name longer limits.
FIRST_ATTEMPT_SHARE = 0.9
MAX_ROUTES = 4096


class _Limits:
    """Recent time limits of one route, in ms."""

    __slots__ = ("fresh", "full_ms", "recent")

    def __init__(self) -> None:
        self.recent: deque[int] = deque(maxlen=MAX_LIMITS)
        self.fresh = 0
        self.full_ms = 0

    def add(self, limit_ms: int) -> None:
        self.recent.append(limit_ms)
        self.fresh += 1
        if self.fresh >= LIMITS_PER_ESTIMATE:
            self.fresh = 0
            ranked = sorted(self.recent)
            self.full_ms = ranked[int(FIRST_ATTEMPT_SHARE * (len(ranked) - 1))]


class CallAges:
    """Estimates how long ago a caller first tried, from the time that it still has.

    A caller that was refused comes back with what is left of its time limit, and
    one that had to wait for a connection starts with less. The objective of a
    route counts from the first attempt, so that under overload such calls must not
    take the place of calls that can still be on time. It is made for routes whose
    callers name about the same limit; where limits differ widely, the shorter ones
    are taken for older calls, which changes their order and nothing else.

    Examples
    --------
    >>> ages = CallAges()
    >>> [ages.estimate_age_ms("read", 1200) for _ in range(16)][-1]
    0
    >>> ages.estimate_age_ms("read", 1000), ages.estimate_age_ms("write", 1000)
    (200, 0)
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Limits] = {}

    def estimate_age_ms(self, route: str, limit_ms: int) -> int:
        """Take in the time limit of a call, and give the age of the call."""
        limits = self._by_route.get(route)
        if limits is None:
            if len(self._by_route) >= MAX_ROUTES:
                return 0
            limits = self._by_route[route] = _Limits()
        limits.add(limit_ms)
        return max(0, limits.full_ms - limit_ms)
