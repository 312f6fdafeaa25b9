"""Token bucket that limits extra attempts to a share of calls."""

__all__ = ["RetryBudget"]

# Lets a service with few calls retry, while a failing one stops soon.
BURST = 10.0


class RetryBudget:
    """Each call adds `percent` / 100 tokens; each extra attempt takes one.

    Examples
    --------
    >>> budget = RetryBudget(50.0, burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.add_call(); budget.add_call()
    >>> budget.take()
    True
    """

    __slots__ = ("_tokens", "burst", "percent")

    def __init__(self, percent: float, burst: float = BURST) -> None:
        self.percent = percent
        self.burst = burst
        self._tokens = burst if percent > 0 else 0.0

    def add_call(self) -> None:
        """Count a call."""
        self._tokens = min(self.burst, self._tokens + self.percent / 100)

    def take(self) -> bool:
        """Take a token; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
