"""Simulates calls to the admission queues of the upstreams of a service.

Callers behave as real ones do: they retry a refused call after the reported time, with
the remainder of its time limit.
"""

import math
import random
from dataclasses import dataclass, field
from typing import Any

from lentilsill.admission import AdmissionQueue, CallAges, Refuse, Start
from lentilsill.tests.timeline import Timeline

__all__ = ["CallerOutcomes", "Kind", "LoadSimulation"]

# Callers retry if the reported time is at most this share of their remaining time.
MAX_WAIT_SHARE = 1 / 3
MIN_PAUSE_S = 0.005
# Upstreams to which an attempt is offered before its caller is refused.
UPSTREAMS_PER_ATTEMPT = 2


@dataclass(frozen=True)
class Kind:
    """Calls of one kind; `spread` is the sigma of their log-normal service times.

    With `callers`, that many callers make one call at a time, and `per_s` is the number
    of calls that each starts a second while it waits for no answer.
    """

    name: str
    per_s: float
    service_time_s: float
    spread: float
    objective_s: float
    limit_s: float
    max_retries: int = 2
    organisation: str = ""
    weight: float = 0.0
    callers: int = 0


@dataclass
class CallerOutcomes:
    """Outcomes of the calls of a kind, and the longest wait of a refused attempt."""

    calls: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    longest_wait_s: float = 0.0


@dataclass(eq=False)
class _Call:
    kind: Kind
    began: float
    attempts: int = 0
    offered_at: float = 0.0
    untried: list[int] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.began + self.kind.limit_s


class LoadSimulation:
    """Seeded simulation of `duration_s` of a load with Poisson arrivals.

    `speeds` holds a factor per upstream by which service times are divided.
    """

    def __init__(
        self,
        kinds: list[Kind],
        speeds: tuple[float, ...],
        slots: int = 6,
        duration_s: float = 40.0,
        fair_shares: bool = False,
    ) -> None:
        self.kinds = kinds
        self.speeds = speeds
        self.duration_s = duration_s
        self.queues = [
            AdmissionQueue(slots, 12, fair_shares=fair_shares) for _ in speeds
        ]
        self.ages = CallAges()
        self.rng = random.Random(1)
        self.outcomes = {kind.name: CallerOutcomes() for kind in kinds}
        self._timeline = Timeline()

    def run(self) -> dict[str, CallerOutcomes]:
        """Run the simulation and return the outcomes by kind."""
        for kind in self.kinds:
            for _ in range(kind.callers or 1):
                at = self.rng.expovariate(kind.per_s) if kind.callers else 0.0
                self._timeline.call_at(at, self._arrive, kind)
        self._timeline.run(self.duration_s)
        return self.outcomes

    def _arrive(self, now: float, kind: Kind) -> None:
        self.outcomes[kind.name].calls += 1
        self._attempt(now, _Call(kind, now))
        if not kind.callers:
            self._schedule_next(now, kind)

    def _schedule_next(self, now: float, kind: Kind) -> None:
        self._timeline.call_at(
            now + self.rng.expovariate(kind.per_s), self._arrive, kind
        )

    def _attempt(self, now: float, call: _Call) -> None:
        call.offered_at = now
        name = call.kind.name
        limit_ms = round((call.deadline - now) * 1000)
        age_s = self.ages.age_ms(name, limit_ms) / 1000
        objective_at = now + call.kind.objective_s - age_s

        def expected_s(index: int) -> float:
            return self.queues[index].expected_time_s(
                now, 0, name, objective_at, call.kind.organisation
            )

        order = sorted(range(len(self.queues)), key=expected_s)
        call.untried = order[:UPSTREAMS_PER_ATTEMPT]
        self._offer(now, call, objective_at)

    def _offer(self, now: float, call: _Call, objective_at: float) -> None:
        index = call.untried.pop(0)
        kind = call.kind
        actions = self.queues[index].offer(
            call,
            now,
            call.deadline,
            0,
            objective_at,
            kind.name,
            kind.organisation,
            kind.weight,
        )
        self._apply(now, index, actions)

    def _apply(self, now: float, index: int, actions: list) -> None:
        for action in actions:
            call: Any = action.call
            match action:
                case Start():
                    kind = call.kind
                    mu = math.log(kind.service_time_s) - kind.spread**2 / 2
                    service_time_s = self.rng.lognormvariate(mu, kind.spread)
                    end = now + service_time_s / self.speeds[index]
                    self._timeline.call_at(end, self._end, index, call)
                case Refuse(retry_after_s=retry_after_s):
                    self._handle_refusal(now, call, retry_after_s)

    def _handle_refusal(self, now: float, call: _Call, retry_after_s: float) -> None:
        remaining_s = call.deadline - now
        if call.untried and remaining_s > 0:
            self._offer(now, call, call.began + call.kind.objective_s)
            return
        outcome = self.outcomes[call.kind.name]
        waited_s = now - call.offered_at
        outcome.longest_wait_s = max(outcome.longest_wait_s, waited_s)
        call.attempts += 1
        can_retry = retry_after_s <= MAX_WAIT_SHARE * remaining_s
        if call.attempts <= call.kind.max_retries and can_retry:
            pause_s = max(MIN_PAUSE_S, retry_after_s)
            self._timeline.call_at(now + pause_s, self._attempt, call)
        else:
            outcome.failed += 1
            self._end_for_caller(now, call)

    def _end_for_caller(self, now: float, call: _Call) -> None:
        if call.kind.callers:
            self._schedule_next(now, call.kind)

    def _end(self, now: float, index: int, call: _Call) -> None:
        outcome = self.outcomes[call.kind.name]
        if now > call.deadline:
            outcome.failed += 1
        elif now - call.began <= call.kind.objective_s:
            outcome.on_time += 1
        else:
            outcome.late += 1
        self._end_for_caller(now, call)
        self._apply(now, index, self.queues[index].finished(call, now))
