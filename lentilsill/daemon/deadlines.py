"""Deadlines of calls that share one timer of the event loop."""

import asyncio
from collections.abc import Callable

__all__ = ["Deadlines", "run_after_reading"]

# A callback runs at most this much late, which is short compared with the deadlines of
# routes.
TICK_S = 0.005

# Time for which bytes that had arrived at a deadline are still read. It is not extended
# for a sender that never stops.
MAX_READ_S = 0.1
# Turns of the event loop that follow when this time is over: after a stall, the first
# one can run timers before it reads.
MAX_LATE_READ_TURNS = 2

Entry = tuple[int, Callable[[], object]]


class Deadlines:
    """Runs callbacks when deadlines expire.

    Almost all calls end before their deadline. With one timer per call, cancelled
    timers would stay in the heap of the event loop until their deadline, and the
    loop would clean up the heap in pauses that grow with the call rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, dict[Entry, None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_tick = 0

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self._buckets.values())

    def add(self, delay_s: float, callback: Callable[[], object]) -> Entry:
        """Schedule `callback` after `delay_s`; return the entry that `remove` takes."""
        loop = asyncio.get_running_loop()
        tick = int((loop.time() + delay_s) / TICK_S) + 1
        entry = (tick, callback)
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = {}
            if self._timer is None or tick < self._timer_tick:
                self._schedule(loop, tick)
        bucket[entry] = None
        return entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry; its callback may have run already."""
        bucket = self._buckets.get(entry[0])
        if bucket is not None:
            bucket.pop(entry, None)
            if not bucket:
                del self._buckets[entry[0]]

    def _schedule(self, loop: asyncio.AbstractEventLoop, tick: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_tick = tick
        self._timer = loop.call_at(tick * TICK_S, self._run_due)

    def _run_due(self) -> None:
        loop = asyncio.get_running_loop()
        now_tick = int(loop.time() / TICK_S)
        due = [
            tick for tick in self._buckets if tick <= max(now_tick, self._timer_tick)
        ]
        for tick in sorted(due):
            for _, callback in self._buckets.pop(tick):
                loop.call_soon(callback)
        self._timer = None
        if self._buckets:
            self._schedule(loop, min(self._buckets))


def run_after_reading(
    has_unread_input: Callable[[], bool], callback: Callable[[], object]
) -> None:
    """Run `callback` once bytes that have arrived are read, or after `MAX_READ_S`.

    After a stall, timers can run before the bytes that have arrived are read.
    """
    loop = asyncio.get_running_loop()
    end_at_s = loop.time() + MAX_READ_S

    def check(late_turns_left: int) -> None:
        if late_turns_left and has_unread_input():
            # The event loop reads before it runs timers that are due.
            is_late = loop.time() >= end_at_s
            loop.call_later(0, check, late_turns_left - is_late)
        else:
            callback()

    check(MAX_LATE_READ_TURNS)
