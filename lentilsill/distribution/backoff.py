"""Delays between attempts."""

from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff with full jitter; delays are in seconds.

    The delay is uniform between 0 and a bound that doubles up to `cap_s`, so
    that nodes which fail together do not return together.
    """

    def __init__(self, base_s: float, cap_s: float, rng: Random) -> None:
        self._base_s = base_s
        self._cap_s = cap_s
        self._rng = rng
        self._failures = 0

    def next_delay(self) -> float:
        """Count a failure and give the delay before the next attempt."""
        bound = min(self._cap_s, self._base_s * 2**self._failures)
        # Beyond this the power exceeds any cap and only grows the integer.
        self._failures = min(self._failures + 1, 30)
        return self._rng.uniform(0, bound)

    def reset(self) -> None:
        """Start again at the base after a success."""
        self._failures = 0
