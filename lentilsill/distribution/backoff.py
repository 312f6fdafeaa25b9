"""Exponential backoff between attempts."""

from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff with full jitter; delays are in seconds.

    The delay is uniform between 0 and a bound that starts at `base_s` and doubles
    up to `cap_s`, so that nodes that fail together do not retry together.
    """

    def __init__(self, base_s: float, cap_s: float, rng: Random) -> None:
        self._base_s = base_s
        self._cap_s = cap_s
        self._rng = rng
        self._failures = 0

    def next_delay(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        bound = min(self._cap_s, self._base_s * 2**self._failures)
        # 2**30 exceeds any cap; a larger exponent would only make a larger integer.
        self._failures = min(self._failures + 1, 30)
        return self._rng.uniform(0, bound)

    def reset(self) -> None:
        """Reset the bound to `base_s` after a success."""
        self._failures = 0
