"""Estimates of how long ago callers first tried their calls."""

from collections import deque

__all__ = ["CallAges"]

MAX_LIMITS_PER_ROUTE = 64
# New limits of a route after which its estimate is updated.
LIMITS_PER_ESTIMATE = 16
# The quantile of the limits that is taken as the limit of first attempts. It is high
# because under overload many calls are repeats, which have less time left; it isn't
# the maximum because a few callers may name longer limits.
FIRST_ATTEMPT_QUANTILE = 0.9
MAX_ROUTES = 4096


class _Limits:
    """Recent time limits of one route in ms, and the estimate for first attempts."""

    __slots__ = ("first_attempt_ms", "new_count", "recent")

    def __init__(self) -> None:
        self.recent: deque[int] = deque(maxlen=MAX_LIMITS_PER_ROUTE)
        self.new_count = 0
        self.first_attempt_ms = 0

    def add(self, limit_ms: int) -> None:
        self.recent.append(limit_ms)
        self.new_count += 1
        if self.new_count >= LIMITS_PER_ESTIMATE:
            self.new_count = 0
            ranked = sorted(self.recent)
            self.first_attempt_ms = ranked[
                int(FIRST_ATTEMPT_QUANTILE * (len(ranked) - 1))
            ]


class CallAges:
    """Estimates how long ago a caller first tried, from the time that it has left.

    A caller that was refused retries with the remainder of its time limit, and one
    that had to wait for a connection starts with less. The objective of a route
    counts from the first attempt, so under overload such calls must not take the
    place of calls that can still be on time. The estimate suits routes whose callers
    name about the same limit. Where limits differ widely, calls with shorter limits
    seem older, which only changes the order of the calls.

    Examples
    --------
    >>> ages = CallAges()
    >>> [ages.age_ms("read", 1200) for _ in range(16)][-1]
    0
    >>> ages.age_ms("read", 1000), ages.age_ms("write", 1000)
    (200, 0)
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Limits] = {}

    def age_ms(self, route: str, limit_ms: int) -> int:
        """Record the time limit of a call and return the estimated age of the call."""
        limits = self._by_route.get(route)
        if limits is None:
            if len(self._by_route) >= MAX_ROUTES:
                return 0
            limits = self._by_route[route] = _Limits()
        limits.add(limit_ms)
        return max(0, limits.first_attempt_ms - limit_ms)
