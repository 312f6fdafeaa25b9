"""Simulation, without processes, of entry nodes that call an upstream with a limit.

The node beside the upstream keeps the limit with a `RateLimiter`. Entry nodes learn the
limit from the results of their calls and send it along with later calls. After a
refusal, an entry node leaves the upstream out until the time that the refusal names.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from lentilsill.admission import Notice, RateLimiter, newer_notice
from lentilsill.routing.selector import MAX_REFUSAL_HOLD_S, REFUSAL_HOLD_S

__all__ = ["Faults", "LimitSimulation", "most_in_window"]

WINDOW_S = 4.0
# An entry node counts as told this long after it has passed on an answer.
TOLD_AFTER_S = 0.5


def most_in_window(times, window_s=WINDOW_S):
    """Return the largest number of `times` in any window of `window_s` seconds."""
    recent: deque = deque()
    most = 0
    for at in sorted(times):
        recent.append(at)
        while recent[0] <= at - window_s:
            recent.popleft()
        most = max(most, len(recent))
    return most


@dataclass(frozen=True)
class Faults:
    """Times in seconds at which the node beside the upstream is disturbed.

    During a freeze or a cut, calls wait on the links and arrive at its end.
    """

    restarts: tuple[float, ...] = ()
    freezes: tuple[tuple[float, float], ...] = ()


@dataclass
class _Entry:
    held_until: float = 0.0
    notice: Notice | None = None
    told_at: float = float("inf")


@dataclass
class LimitSimulation:
    """One upstream that names a limit from `named_at` on, called by `nodes` nodes.

    `calls_per_s` calls a second choose the upstream, over all nodes. An answer takes
    `answer_s` seconds; the upstream runs `slots` calls at once.
    """

    nodes: int
    limit_per_s: float
    calls_per_s: float
    seed: int
    seconds: float = 40.0
    named_at: float = 5.0
    slots: int = 12
    answer_s: float = 0.09
    link_s: float = 0.001
    faults: Faults = Faults()
    sent_at: list[float] = field(default_factory=list)
    told_sent_at: list[float] = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.entries = [_Entry() for _ in range(self.nodes)]
        self.limiter = RateLimiter()
        self.notice: Notice | None = None
        self.running = 0
        self._order = itertools.count()
        self._events: list = []

    def run(self):
        """Run the simulation; return itself."""
        self._schedule(0.0, self._create_call)
        for at in self.faults.restarts:
            self._schedule(at, self._restart)
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            if now > self.seconds:
                break
            action(now, *args)
        return self

    def share_used(self, start_s, end_s):
        """Return the share of the limit that calls got between two times."""
        count = sum(start_s <= at < end_s for at in self.sent_at)
        return count / (self.limit_per_s * (end_s - start_s))

    def _schedule(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._order), action, args))

    def _arrival(self, now):
        for start, end in self.faults.freezes:
            if start <= now < end:
                return end
        return now

    def _create_call(self, now):
        self._schedule(now + self.rng.expovariate(self.calls_per_s), self._create_call)
        entry = self.rng.choice(self.entries)
        if now < entry.held_until:
            return
        self._schedule(
            self._arrival(now + self.link_s), self._receive, entry, entry.notice
        )

    def _receive(self, now, entry, notice):
        if notice is not None:
            self._apply(notice, now)
        wait_s = self.limiter.wait_s(now)
        if wait_s > 0 or self.running >= self.slots:
            self._schedule(now + self.link_s, self._refuse, entry, wait_s, self.notice)
            return
        assert self.limiter.take(now)
        self.running += 1
        self.sent_at.append(now)
        if now - self.link_s >= entry.told_at + TOLD_AFTER_S:
            self.told_sent_at.append(now)
        duration_s = self.rng.uniform(0.5, 1.5) * self.answer_s
        self._schedule(self._arrival(now + duration_s), self._answer, entry)

    def _answer(self, now, entry):
        self.running = max(0, self.running - 1)
        if now >= self.named_at:
            self._apply(Notice(self.limit_per_s, now), now)
        self._schedule(now + self.link_s, self._pass_on, entry, self.notice)

    def _pass_on(self, now, entry, notice):
        if notice is not None:
            entry.notice = newer_notice(entry.notice, notice)
            entry.told_at = min(entry.told_at, now)

    def _refuse(self, now, entry, wait_s, notice):
        hold_s = min(wait_s or REFUSAL_HOLD_S, MAX_REFUSAL_HOLD_S)
        entry.held_until = now + hold_s
        if notice is not None:
            entry.notice = newer_notice(entry.notice, notice)

    def _apply(self, notice, now):
        if newer_notice(self.notice, notice) == notice:
            if self.notice is None or notice.limit_per_s != self.notice.limit_per_s:
                self.limiter.set_limit(notice.limit_per_s, now)
            self.notice = notice

    def _restart(self, now):
        self.limiter = RateLimiter()
        self.notice = None
        self.running = 0
