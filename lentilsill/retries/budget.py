"""Budgets that limit extra attempts to a share of the calls."""

from collections import deque
from typing import Protocol

__all__ = ["Budget", "RetryBudget", "SharedRetryBudget"]

# Largest number of tokens: it lets a service with few calls retry, and is small enough
# that retries to a failing service stop soon.
BURST_TOKENS = 10.0
# The sliding window has this many parts; the oldest part is dropped as a whole.
WINDOW_PARTS = 10
# A node uses only this share of what the ratio allows it. Calls that a retried call
# makes to other services are repeats too, but no node recognises them as such; a
# service that others call receives about as many of these as retries of its own calls.
RATIO_SHARE = 0.35
# The known nodes divide only this share of the allowance, because there may be nodes
# that they don't know.
ALLOWANCE_SHARE = 0.5


class Budget(Protocol):
    """Counts calls and grants extra attempts."""

    def add_call(self, now: float) -> None:
        """Count a call."""
        ...

    def take_attempt(self, now: float) -> bool:
        """Take an extra attempt; return False if there is none."""
        ...


class RetryBudget:
    """Token bucket: a call adds `percent` / 100 tokens, an extra attempt takes one.

    Examples
    --------
    >>> budget = RetryBudget(50.0, burst=1.0)
    >>> budget.take_attempt(), budget.take_attempt()
    (True, False)
    >>> budget.add_call(); budget.add_call()
    >>> budget.take_attempt()
    True
    """

    __slots__ = ("_tokens", "burst", "percent")

    def __init__(self, percent: float, burst: float = BURST_TOKENS) -> None:
        self.percent = percent
        self.burst = burst
        self._tokens = burst if percent > 0 else 0.0

    def add_call(self, now: float = 0.0) -> None:
        """Count a call."""
        self._tokens = min(self.burst, self._tokens + self.percent / 100)

    def take_attempt(self, now: float = 0.0) -> bool:
        """Take a token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SharedRetryBudget:
    """This node's part of a bound on the extra attempts of all nodes together.

    In any `window_s`, extra attempts stay below `ratio` of this node's calls plus its
    part of `allowance`. Both are reduced so that the bound also holds while nodes know
    fewer nodes than exist.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.5, window_s=10.0, allowance=4.0)
    >>> budget.take_attempt(0.0), budget.take_attempt(0.0), budget.take_attempt(0.0)
    (True, True, False)
    >>> for _ in range(6):
    ...     budget.add_call(1.0)
    >>> budget.take_attempt(1.0), budget.take_attempt(1.0)
    (True, False)
    >>> budget.take_attempt(20.0)
    True
    """

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.allowance = allowance
        self.nodes = 1
        # Number, calls and extra attempts of each part of the window.
        self._parts: deque[list[int]] = deque()

    def add_call(self, now: float) -> None:
        """Count a call."""
        self._current_part(now)[1] += 1

    def take_attempt(self, now: float) -> bool:
        """Take an extra attempt; return False if there is none."""
        part = self._current_part(now)
        calls = sum(part[1] for part in self._parts)
        extra = sum(part[2] for part in self._parts)
        from_calls = RATIO_SHARE * self.ratio * calls
        from_allowance = ALLOWANCE_SHARE * self.allowance / self.nodes
        if extra + 1 > from_calls + from_allowance:
            return False
        part[2] += 1
        return True

    def _current_part(self, now: float) -> list[int]:
        number = int(now * WINDOW_PARTS / self.window_s)
        while self._parts and self._parts[0][0] <= number - WINDOW_PARTS - 1:
            self._parts.popleft()
        if not self._parts or self._parts[-1][0] != number:
            self._parts.append([number, 0, 0])
        return self._parts[-1]
