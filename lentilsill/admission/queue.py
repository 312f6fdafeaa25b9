"""Bounded priority queue for the slots of one upstream."""

from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass
from typing import Any

from .actions import Action, Refuse, Start
from .inner_slots import InnerSlots
from .offered_load import OfferedLoad
from .plan import WaitingCall, plan_starts
from .service_times import ServiceTimes
from .shares import FairShares, cost_s
from .usage import SlotUsage

__all__ = ["AdmissionQueue"]

# The slack of a call is the time to its objective minus its expected service time. At
# most this share of it is reserved in case the call takes longer than expected, and
# less where the likely maximum of its kind needs less. The call may wait for the
# remainder.
MAX_MARGIN_SHARE = 0.5

# Calls above their share are found when calls arrive and end. For expected times, the
# last result is used up to this age, in seconds.
MAX_ESTIMATE_AGE_S = 0.01

# Reported to callers until the first call of an upstream has ended; about the service
# time of a typical call.
DEFAULT_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class _Running:
    """A running call; `charged_s` is the slot time charged to its organisation."""

    began: float
    kind: str
    organisation: str
    charged_s: float
    is_inner: bool


class AdmissionQueue:
    """Decides which calls of an upstream start, wait or are refused.

    Under overload, when an upstream can't run all calls on time, the queue starts those
    that can still be answered within their objective, and refuses at once those that
    can't be answered within their deadline. While calls that can be on time fill the
    slots, late ones don't wait: each that starts makes another one late, and one that
    waits delays the answers behind it on its caller's connection.

    The methods for events return the actions to take. Times are in seconds of one
    monotonic clock. `can_start` receives a call and the running calls, and returns
    whether the call can start now; it is called again after each finished call. Calls
    behind one that can't start wait too.

    With `fair_shares`, calls of organisations above their share (`FairShares`) start
    last among those of their priority, and are refused first.

    Other calls than inner ones leave free the slots that `InnerSlots` reserves.

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
        fair_shares: bool = False,
    ) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.draining = False
        self.service_times = ServiceTimes()
        self.usage = SlotUsage()
        self.shares = FairShares() if fair_shares else None
        self.inner_slots = InnerSlots()
        self._offered_load = OfferedLoad()
        self._can_start = can_start
        self._running: dict[Hashable, _Running] = {}
        self._waiting: dict[Hashable, WaitingCall] = {}
        self._arrival_count = 0
        self._above_share: frozenset[int] = frozenset()
        self._above_found_at = float("-inf")

    @property
    def call_count(self) -> int:
        """Number of calls that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def busy_share(self) -> float:
        """Calls that run or wait, per slot; above 1 while calls wait."""
        return self.call_count / max(1, self.slots)

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting)

    @property
    def waiting_calls(self) -> tuple[Any, ...]:
        """The calls that wait, in the order of their arrival."""
        return tuple(self._waiting)

    @property
    def has_room(self) -> bool:
        """Whether a new call would start at once unless slots are reserved."""
        return not (self.draining or self._waiting) and len(self._running) < self.slots

    def has_slot(self, now: float, is_inner: bool = False) -> bool:
        """Return whether a slot is free that such a call may take."""
        running, inner = len(self._running), self.inner_slots
        if is_inner or running >= self.slots:
            return running < self.slots
        return running - inner.running < self.slots - inner.reserved(now, self.slots)

    def offer(
        self,
        call: Hashable,
        now: float,
        deadline: float,
        priority: int = 0,
        objective_at: float | None = None,
        kind: str = "",
        organisation: str = "",
        weight: float = 0.0,
        is_inner: bool = False,
    ) -> list[Action]:
        """Offer a new call; it waits if no action is returned for it.

        Calls of one `kind` have similar service times. `organisation` is that of the
        caller, with its weight in the division of the slots; 0 if it has none. With
        `is_inner`, a running call waits for it, see `InnerSlots`.
        """
        if self.draining:
            return [Refuse(call, "upstream is leaving")]
        if deadline <= now:
            return [Refuse(call, "deadline passed")]
        objective = deadline if objective_at is None else min(objective_at, deadline)
        service_time_s = self.service_times.expected_s(kind)
        if now + service_time_s <= objective:
            self._offered_load.add(now, priority, service_time_s)
        if self.shares is not None:
            self.shares.offer(organisation, weight, now)
        if is_inner:
            self.inner_slots.arrive(now)
        has_slot = not self._waiting and self.has_slot(now, is_inner)
        if has_slot and self._is_startable(call):
            self._start(call, kind, now, 0.0, objective, organisation, is_inner)
            return [Start(call)]
        self._arrival_count += 1
        # Without a limit on the margin, all calls with a tight objective would count as
        # late.
        slack_s = max(0.0, objective - now - service_time_s)
        likely_max_s = min(
            self.service_times.likely_max_s(kind),
            service_time_s + MAX_MARGIN_SHARE * slack_s,
        )
        waiting = WaitingCall(
            call,
            deadline,
            objective,
            priority,
            service_time_s,
            likely_max_s,
            kind,
            self._arrival_count,
            now,
            organisation,
            is_inner,
        )
        self._waiting[call] = waiting
        return [*self._shed_load(now), *self.advance(now)]

    def expected_time_s(
        self,
        now: float,
        priority: int = 0,
        kind: str = "",
        objective_at: float = float("inf"),
        organisation: str = "",
        is_inner: bool = False,
    ) -> float:
        """Return the expected time in seconds from arrival to the answer.

        A new call overtakes less urgent calls. Unless it would itself be late here,
        it also overtakes late calls and calls whose objective is after `objective_at`.
        It overtakes calls above their share unless it would be one of them.
        """
        service_time_s = self.service_times.expected_s(kind)
        if self.has_slot(now, is_inner):
            return service_time_s
        is_late = now + service_time_s > objective_at
        above = self._find_above_share(now, MAX_ESTIMATE_AGE_S)
        if above and self.shares and self.shares.has_used_share(organisation):
            above = frozenset()
        ahead_s = sum(
            waiting.service_time_s
            for waiting in self._waiting.values()
            if waiting.arrival_number not in above
            and (
                waiting.priority < priority
                or (
                    waiting.priority == priority
                    and (
                        is_late
                        or now + waiting.likely_max_s
                        <= waiting.objective_at
                        <= objective_at
                    )
                )
            )
        )
        return service_time_s + ahead_s / max(1, self.slots) + self._first_start_s

    def finished(self, call: Hashable, now: float) -> list[Action]:
        """Record the end of a running call, and start calls that wait."""
        run = self._end_run(call, now, was_sent=True)
        if run is not None:
            ran_s = now - run.began
            self.service_times.add(run.kind, ran_s)
            usage = self.usage.of_kind(run.kind)
            usage.ended += 1
            usage.ran_s += ran_s
        return self.advance(now)

    def release(self, call: Hashable, now: float) -> list[Action]:
        """Free the slot of a call that started and was not sent after all."""
        self._end_run(call, now, was_sent=False)
        return self.advance(now)

    def _end_run(self, call: Hashable, now: float, was_sent: bool) -> _Running | None:
        run = self._running.pop(call, None)
        if run is not None:
            if run.is_inner:
                self.inner_slots.leave(was_running=True, now=now)
            if self.shares is not None:
                ran_s = now - run.began if was_sent else 0.0
                self.shares.correct(run.organisation, ran_s - run.charged_s, now)
            self.usage.set_running(now, len(self._running))
        return run

    def cancel(self, call: Hashable, is_refused: bool = False) -> bool:
        """Remove a waiting call; return False if it doesn't wait."""
        waiting = self._waiting.pop(call, None)
        if waiting is not None and waiting.is_inner:
            self.inner_slots.leave(was_running=False)
            if is_refused:
                self.inner_slots.refuse(self.slots)
        return waiting is not None

    def set_limits(self, slots: int, queue_limit: int, now: float) -> list[Action]:
        """Change the limits, and start calls for which there are slots now."""
        self.slots = slots
        self.queue_limit = queue_limit
        return self.advance(now)

    def drain(self) -> list[Action]:
        """Refuse new and waiting calls; running calls may finish."""
        self.draining = True
        waiting = tuple(self._waiting)
        for call in waiting:
            self.cancel(call)
        return [Refuse(call, "upstream is leaving") for call in waiting]

    def resume(self) -> None:
        """Accept calls again after `drain`."""
        self.draining = False

    def _is_startable(self, call: Hashable) -> bool:
        return self._can_start is None or self._can_start(call, self._running.keys())

    @property
    def _first_start_s(self) -> float:
        """Expected time until a slot is free, in seconds."""
        if len(self._running) < self.slots:
            return 0.0
        return self.service_times.mean_s / max(1, self.slots)

    def _find_above_share(self, now: float, max_age_s: float = 0.0) -> frozenset[int]:
        """Return arrival numbers of calls above their share, at most this old."""
        if self.shares is None:
            return frozenset()
        if not now - self._above_found_at < max_age_s:
            self._above_share = self.shares.find_above(self._waiting.values(), now)
            self._above_found_at = now
        return self._above_share

    def _plan(self, now: float, above_share: frozenset[int]) -> list[WaitingCall]:
        return plan_starts(
            self._waiting.values(), now, self._first_start_s, self.slots, above_share
        )

    def _shed_load(self, now: float) -> list[Action]:
        """Refuse waiting calls that exceed the limit or would end after their deadline.

        Late calls that would delay calls on time are refused too.
        """
        actions: list[Action] = []
        wait_s = self._first_start_s
        kept = 0
        above_share = self._find_above_share(now)
        for waiting in self._plan(now, above_share):
            is_above = waiting.arrival_number in above_share
            is_full = not self.has_slot(now, waiting.is_inner)
            # While calls above their share wait, those give way to late ones below it.
            has_precedence = bool(above_share) and not is_above
            overrun_s = now + wait_s + waiting.service_time_s - waiting.deadline
            if kept >= self.queue_limit:
                retry_after_s = (
                    max(wait_s, self.service_times.mean_s) or DEFAULT_RETRY_AFTER_S
                )
                reason = "queue of the upstream is full"
            elif overrun_s > 0 and is_full:
                retry_after_s = overrun_s
                reason = "expected wait exceeds the deadline"
            elif (
                is_full
                and not has_precedence
                and self._offered_load.is_delayed_by(
                    waiting, now, self.slots, self.service_times.mean_s
                )
            ):
                retry_after_s = max(wait_s, self.service_times.mean_s)
                reason = "calls that can be in time fill the upstream"
            else:
                kept += 1
                wait_s += waiting.service_time_s / max(1, self.slots)
                continue
            self.cancel(waiting.call, is_refused=True)
            self.usage.of_kind(waiting.kind).refused += 1
            actions.append(Refuse(waiting.call, reason, retry_after_s, is_above))
        return actions

    def advance(self, now: float) -> list[Action]:
        """Start the calls that can start; to be called when `can_start` has changed."""
        actions: list[Action] = []
        expired = [w.call for w in self._waiting.values() if w.deadline <= now]
        for call in expired:
            self.cancel(call, is_refused=True)
            actions.append(Refuse(call, "deadline passed"))
        if not self._waiting or len(self._running) >= self.slots:
            return actions
        for waiting in self._plan(now, self._find_above_share(now)):
            call = waiting.call
            if len(self._running) >= self.slots:
                break
            if not self.has_slot(now, waiting.is_inner):
                continue
            if not self._is_startable(call):
                # If calls behind this call started, they would keep the upstream busy,
                # and a call that must run alone would never start.
                break
            del self._waiting[call]
            self._start(
                call,
                waiting.kind,
                now,
                now - waiting.offered_at,
                waiting.objective_at,
                waiting.organisation,
                waiting.is_inner,
            )
            actions.append(Start(call))
        return actions

    def _start(
        self,
        call: Hashable,
        kind: str,
        now: float,
        waited_s: float,
        objective_at: float,
        organisation: str,
        is_inner: bool,
    ) -> None:
        self.inner_slots.running += is_inner
        service_time_s = self.service_times.expected_s(kind)
        charged_s = cost_s(service_time_s)
        self._running[call] = _Running(now, kind, organisation, charged_s, is_inner)
        if self.shares is not None:
            self.shares.start(organisation, charged_s, now)
        self.usage.set_running(now, len(self._running))
        usage = self.usage.of_kind(kind)
        usage.started += 1
        usage.started_late += now + service_time_s > objective_at
        usage.waited_s += waited_s
