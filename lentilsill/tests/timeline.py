"""Simulated time for tests."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Timeline"]


class Timeline:
    """Calls scheduled actions in the order of their simulated times.

    Each action is called with its time, in seconds, and its arguments.
    """

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._insertion_numbers = itertools.count()

    def call_at(self, time_s: float, action: Callable, *args: object) -> None:
        """Schedule `action` at `time_s`; actions at the same time keep their order."""
        heapq.heappush(
            self._events, (time_s, next(self._insertion_numbers), action, args)
        )

    def run(self, until_s: float) -> None:
        """Call all actions up to `until_s`, including those that actions schedule."""
        while self._events:
            now_s, _, action, args = heapq.heappop(self._events)
            if now_s > until_s:
                break
            action(now_s, *args)
