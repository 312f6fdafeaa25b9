"""Bounded, ranked queue before the slots of one upstream."""

from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass

from .costs import CostEstimates
from .plan import LATE_WORTH, Waiting, plan_starts
from .pressure import OfferedWork
from .usage import SlotUsage

__all__ = ["AdmissionQueue", "Refuse", "Start"]


# A call may wait for this share of the slack to its objective, or longer where its
# kind is known to end in time all the same.
WAIT_SHARE = 0.5


# Where calls that can be in time ask for this share of the slots, a late call that
# starts makes one of them late.
FULL_SHARE = 0.9


# Told to callers until the first call of an upstream has ended: as long as a usual
# call takes.
FIRST_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Start:
    """The call runs now."""

    call: Hashable


@dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused; it was not run.

    `retry_after_s` is when the queue is expected to have room for it; 0 when
    that is not known.
    """

    call: Hashable
    reason: str
    retry_after_s: float = 0.0


Action = Start | Refuse


class AdmissionQueue:
    """Decides which calls run on an upstream, wait for it, or are refused.

    It is made for the load at which an upstream can't run all calls in time:
    then those are run that can still be answered within their objective, and
    those that can't be answered within their deadline are refused at once. While
    calls that can be in time fill the slots, late ones don't wait: each that starts
    makes another one late, and one that waits holds back the answers behind it on
    its caller's connection.

    Each event gives the actions to take. Times are in seconds of one clock
    that never steps. `can_start` is given a call and those that run, and can
    hold the call back; it is asked again after each finished call. Calls behind
    one that is held back wait too.

    Examples
    --------
    >>> queue = AdmissionQueue(slots=1, queue_limit=1)
    >>> queue.offer("a", now=0.0, deadline=1.0)
    [Start(call='a')]
    >>> queue.offer("b", now=0.0, deadline=1.0)
    []
    >>> queue.offer("c", now=0.0, deadline=1.0)[0].reason
    'queue of the upstream is full'
    >>> queue.finished("a", now=0.1)
    [Start(call='b')]
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        can_start: Callable[[Hashable, Collection[Hashable]], bool] | None = None,
    ) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.draining = False
        self.costs = CostEstimates()
        self.usage = SlotUsage()
        self._offered = OfferedWork()
        self._can_start = can_start
        # Start time and kind by running call.
        self._running: dict[Hashable, tuple[float, str]] = {}
        self._waiting: dict[Hashable, Waiting] = {}
        self._count = 0

    @property
    def work(self) -> int:
        """Calls that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def has_room(self) -> bool:
        """Whether a new call would start at once."""
        return (
            not self.draining and len(self._running) < self.slots and not self._waiting
        )

    def offer(
        self,
        call: Hashable,
        now: float,
        deadline: float,
        priority: int = 0,
        objective_at: float | None = None,
        kind: str = "",
    ) -> list[Action]:
        """Take a new call; no action means that it waits.

        Calls of one `kind` take about as long as each other.
        """
        if self.draining:
            return [Refuse(call, "upstream is leaving")]
        if deadline <= now:
            return [Refuse(call, "deadline passed")]
        objective = deadline if objective_at is None else min(objective_at, deadline)
        cost_s = self.costs.of(kind)
        if now + cost_s <= objective:
            self._offered.add(now, priority, cost_s)
        if (
            len(self._running) < self.slots
            and not self._waiting
            and self._startable(call)
        ):
            self._start(call, kind, now, 0.0, objective)
            return [Start(call)]
        self._count += 1
        # Where objectives are tight, all calls would count as late otherwise.
        slack_s = max(0.0, objective - now - cost_s)
        likely_s = min(self.costs.likely_s(kind), cost_s + WAIT_SHARE * slack_s)
        waiting = Waiting(
            call,
            deadline,
            objective,
            priority,
            cost_s,
            likely_s,
            kind,
            self._count,
            now,
        )
        self._waiting[call] = waiting
        return [*self._shed(now), *self.advance(now)]

    def expected_time_s(
        self,
        now: float,
        priority: int = 0,
        kind: str = "",
        objective_at: float = float("inf"),
    ) -> float:
        """Expected time from joining the queue to the answer.

        A new call passes those of lower priority and, unless it would itself be late
        here, those that are late and those whose objective ends after `objective_at`.
        """
        cost_s = self.costs.of(kind)
        if len(self._running) < self.slots:
            return cost_s
        is_late = now + cost_s > objective_at
        ahead_s = sum(
            waiting.cost_s
            for waiting in self._waiting.values()
            if waiting.priority < priority
            or (
                waiting.priority == priority
                and (
                    is_late
                    or now + waiting.likely_s <= waiting.objective_at <= objective_at
                )
            )
        )
        return cost_s + ahead_s / max(1, self.slots) + self._first_start_s

    def finished(self, call: Hashable, now: float) -> list[Action]:
        """A running call has ended."""
        started = self._running.pop(call, None)
        if started is not None:
            began, kind = started
            self.costs.add(kind, now - began)
            usage = self.usage.of(kind)
            usage.ended += 1
            usage.ran_s += now - began
            self.usage.running(now, len(self._running))
        return self.advance(now)

    def cancel(self, call: Hashable) -> bool:
        """Remove a waiting call; False when it does not wait."""
        return self._waiting.pop(call, None) is not None

    def set_limits(self, slots: int, queue_limit: int, now: float) -> list[Action]:
        """Change the limits."""
        self.slots = slots
        self.queue_limit = queue_limit
        return self.advance(now)

    def drain(self) -> list[Action]:
        """Refuse new and waiting calls; running ones finish."""
        self.draining = True
        actions: list[Action] = [
            Refuse(call, "upstream is leaving") for call in self._waiting
        ]
        self._waiting.clear()
        return actions

    def resume(self) -> None:
        """Take calls again after `drain`."""
        self.draining = False

    def _startable(self, call: Hashable) -> bool:
        return self._can_start is None or self._can_start(call, self._running.keys())

    @property
    def _first_start_s(self) -> float:
        """Expected time until a slot is free, in seconds."""
        if len(self._running) < self.slots:
            return 0.0
        return self.costs.mean_s / max(1, self.slots)

    def _planned(self, now: float) -> list[Waiting]:
        return plan_starts(self._waiting.values(), now, self._first_start_s, self.slots)

    def _shed(self, now: float) -> list[Action]:
        """Refuse what is over the limit, and what would end after its deadline."""
        actions: list[Action] = []
        is_full = len(self._running) >= self.slots
        wait_s = self._first_start_s
        kept = 0
        for waiting in self._planned(now):
            late_s = now + wait_s + waiting.cost_s - waiting.deadline
            if kept >= self.queue_limit:
                retry_s = max(wait_s, self.costs.mean_s) or FIRST_RETRY_S
                reason = "queue of the upstream is full"
            elif late_s > 0 and is_full:
                retry_s = late_s
                reason = "expected wait exceeds the deadline"
            elif is_full and self._gives_way(waiting, now):
                retry_s = max(wait_s, self.costs.mean_s)
                reason = "calls that can be in time fill the upstream"
            else:
                kept += 1
                wait_s += waiting.cost_s / max(1, self.slots)
                continue
            self.cancel(waiting.call)
            self.usage.of(waiting.kind).refused += 1
            actions.append(Refuse(waiting.call, reason, retry_s))
        return actions

    def _gives_way(self, waiting: Waiting, now: float) -> bool:
        """Whether a late call would take the place of calls that can be in time.

        One that is much shorter than these costs them little.
        """
        is_late = now + waiting.cost_s > waiting.objective_at
        is_short = waiting.cost_s < LATE_WORTH * self.costs.mean_s
        if not is_late or is_short:
            return False
        share = self._offered.share(now, waiting.priority, self.slots)
        return share >= FULL_SHARE

    def advance(self, now: float) -> list[Action]:
        """Start what can start; for use when `can_start` gives another answer."""
        actions: list[Action] = []
        expired = [w.call for w in self._waiting.values() if w.deadline <= now]
        for call in expired:
            self.cancel(call)
            actions.append(Refuse(call, "deadline passed"))
        if not self._waiting:
            return actions
        for waiting in self._planned(now):
            call = waiting.call
            if len(self._running) >= self.slots:
                break
            if not self._startable(call):
                # Calls behind it would otherwise keep the upstream busy, and one
                # that must run alone would wait for ever.
                break
            else:
                self.cancel(call)
                waited_s = now - waiting.offered_at
                self._start(call, waiting.kind, now, waited_s, waiting.objective_at)
                actions.append(Start(call))
        return actions

    def _start(
        self,
        call: Hashable,
        kind: str,
        now: float,
        waited_s: float,
        objective_at: float,
    ) -> None:
        self._running[call] = (now, kind)
        self.usage.running(now, len(self._running))
        usage = self.usage.of(kind)
        usage.started += 1
        usage.started_late += now + self.costs.of(kind) > objective_at
        usage.waited_s += waited_s
