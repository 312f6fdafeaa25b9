"""Limit on the calls a second that an upstream names itself."""

import math

__all__ = ["MIN_LIMIT_PER_S", "RateLimiter", "parse_limit"]

# An upstream that takes no calls is called at this rate all the same, as only an
# answer can tell that it takes calls again.
MIN_LIMIT_PER_S = 0.1
# Unused calls of this time may be made up for at once.
BURST_S = 0.5
# Share of the burst that is kept for the more urgent calls.
RESERVE_SHARE = 0.2
# A priority counts as in use for this long after its last call.
PRIORITY_MEMORY_S = 1.0


def parse_limit(text: str) -> float:
    """Parse a limit in calls a second.

    Raises
    ------
    ValueError
        The text is not a finite decimal number of at least 0.

    Examples
    --------
    >>> parse_limit("22.5")
    22.5
    >>> parse_limit("1e999")
    Traceback (most recent call last):
    ValueError: limit '1e999' is not a finite number of at least 0
    """
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if not (math.isfinite(limit_per_s) and limit_per_s >= 0):
        raise ValueError(f"limit {text[:40]!r} is not a finite number of at least 0")
    return limit_per_s


class RateLimiter:
    """Token bucket that keeps the calls of one upstream within its limit.

    It is kept by the node beside the upstream, which sends all of its calls. Over any
    time of t seconds, it lets through at most ``limit * (t + BURST_S) + 1`` calls.
    Times are in seconds of one monotonic clock.

    Examples
    --------
    >>> limiter = RateLimiter()
    >>> limiter.wait_s(now=0.0)
    0.0
    >>> limiter.set_limit(4.0, now=0.0)
    >>> limiter.wait_s(now=0.0), limiter.wait_s(now=0.25)
    (0.25, 0.0)
    >>> limiter.take(now=0.25), limiter.take(now=0.25)
    (True, False)
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        # Time of the last call by priority; 0 is the most urgent priority.
        self._seen_at: dict[int, float] = {}

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Change the limit; None lifts it."""
        if limit_per_s is None or self.limit_per_s is None:
            self._tokens = 0.0
        else:
            self._refill(now)
        self._refilled_at = now
        self.limit_per_s = limit_per_s
        self._tokens = min(self._tokens, self._capacity)

    def wait_s(self, now: float, priority: int = 0, ahead: int = 0) -> float:
        """Return the time until a call may be sent, 0 when it may be sent now.

        `ahead` calls wait before it. Less urgent calls leave a reserve to those that
        are more urgent.
        """
        if self.limit_per_s is None:
            return 0.0
        self._refill(now)
        needed = 1.0 + ahead
        if self._yields_to_urgent(priority, now):
            needed = max(
                needed, min(self._capacity, needed + RESERVE_SHARE * self._capacity)
            )
        return max(0.0, needed - self._tokens) / self._rate

    def take(self, now: float) -> bool:
        """Count a call that is sent now; False if the limit does not allow it."""
        if self.limit_per_s is None:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    @property
    def _rate(self) -> float:
        return max(MIN_LIMIT_PER_S, self.limit_per_s or 0.0)

    @property
    def _capacity(self) -> float:
        return 1.0 + BURST_S * self._rate

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._tokens = min(self._capacity, self._tokens + elapsed_s * self._rate)
        self._refilled_at = max(now, self._refilled_at)

    def _yields_to_urgent(self, priority: int, now: float) -> bool:
        self._seen_at[priority] = now
        if len(self._seen_at) == 1:
            return False
        oldest = now - PRIORITY_MEMORY_S
        self._seen_at = {p: at for p, at in self._seen_at.items() if at >= oldest}
        return min(self._seen_at) < priority
