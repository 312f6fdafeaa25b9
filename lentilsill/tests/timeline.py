"""Simulated time: actions in the order of their moments."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Timeline"]


class Timeline:
    """Calls each action with its moment, in seconds, and its arguments."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def call_at(self, when: float, action: Callable, *args: object) -> None:
        """Let `action` happen at `when`; equal moments keep their order."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def run(self, until: float) -> None:
        """Call actions up to the moment `until`, those that they add included."""
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            if now > until:
                break
            action(now, *args)
