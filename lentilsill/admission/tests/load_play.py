"""Plays a load of callers against the queues of a service's upstreams.

Callers behave as real ones: a refused call comes back after the time that it was told,
with what is left of its time limit.
"""

import math
import random
from dataclasses import dataclass, field
from typing import Any

from lentilsill.admission import AdmissionQueue, CallAges, Refuse, Start
from lentilsill.tests.timeline import Timeline

__all__ = ["Kind", "LoadPlay", "Outcome"]

# Callers wait as long as they are told up to this share of the time they have left.
MAX_WAIT_SHARE = 1 / 3
MIN_PAUSE_S = 0.005
# Upstreams that a call is offered to before its caller is refused.
CHOICES = 2


@dataclass(frozen=True)
class Kind:
    """Calls alike: times in seconds, `spread` of a log-normal distribution."""

    name: str
    per_s: float
    cost_s: float
    spread: float
    objective_s: float
    limit_s: float
    repeats: int = 2


@dataclass
class Outcome:
    """What callers of a kind got; the longest wait of a refused attempt in s."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    longest_wait_s: float = 0.0


@dataclass(eq=False)
class _Call:
    kind: Kind
    began: float
    attempts: int = 0
    offered_at: float = 0.0
    choices: list[int] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.began + self.kind.limit_s


class LoadPlay:
    """Plays `seconds` of a load with Poisson arrivals; seeded.

    `speeds` holds a factor per upstream, by which its calls take less time.
    """

    def __init__(
        self,
        kinds: list[Kind],
        speeds: tuple[float, ...],
        slots: int = 6,
        seconds: float = 40.0,
    ) -> None:
        self.kinds = kinds
        self.speeds = speeds
        self.seconds = seconds
        self.queues = [AdmissionQueue(slots, 12) for _ in speeds]
        self.ages = CallAges()
        self.rng = random.Random(1)
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self._timeline = Timeline()

    def run(self) -> dict[str, Outcome]:
        """Play the load; give the outcomes by kind."""
        for kind in self.kinds:
            self._timeline.at(0.0, self._arrive, kind)
        self._timeline.run(self.seconds)
        return self.outcomes

    def _arrive(self, now: float, kind: Kind) -> None:
        self.outcomes[kind.name].calls += 1
        self._attempt(now, _Call(kind, now))
        self._timeline.at(now + self.rng.expovariate(kind.per_s), self._arrive, kind)

    def _attempt(self, now: float, call: _Call) -> None:
        call.offered_at = now
        name = call.kind.name
        limit_ms = round((call.deadline - now) * 1000)
        age_s = self.ages.estimate_age_ms(name, limit_ms) / 1000
        objective_at = now + call.kind.objective_s - age_s

        def expected_s(number: int) -> float:
            return self.queues[number].expected_time_s(now, 0, name, objective_at)

        order = sorted(range(len(self.queues)), key=expected_s)
        call.choices = order[:CHOICES]
        self._offer(now, call, objective_at)

    def _offer(self, now: float, call: _Call, objective_at: float) -> None:
        number = call.choices.pop(0)
        actions = self.queues[number].offer(
            call, now, call.deadline, 0, objective_at, call.kind.name
        )
        self._apply(now, number, actions)

    def _apply(self, now: float, number: int, actions: list) -> None:
        for action in actions:
            call: Any = action.call
            match action:
                case Start():
                    kind = call.kind
                    middle = math.log(kind.cost_s) - kind.spread**2 / 2
                    taken_s = self.rng.lognormvariate(middle, kind.spread)
                    end = now + taken_s / self.speeds[number]
                    self._timeline.at(end, self._end, number, call)
                case Refuse(retry_after_s=retry_after_s):
                    self._refused(now, call, retry_after_s)

    def _refused(self, now: float, call: _Call, retry_after_s: float) -> None:
        left_s = call.deadline - now
        if call.choices and left_s > 0:
            self._offer(now, call, call.began + call.kind.objective_s)
            return
        outcome = self.outcomes[call.kind.name]
        waited_s = now - call.offered_at
        outcome.longest_wait_s = max(outcome.longest_wait_s, waited_s)
        call.attempts += 1
        comes_back = retry_after_s <= MAX_WAIT_SHARE * left_s
        if call.attempts <= call.kind.repeats and comes_back:
            pause_s = max(MIN_PAUSE_S, retry_after_s)
            self._timeline.at(now + pause_s, self._attempt, call)
        else:
            outcome.failed += 1

    def _end(self, now: float, number: int, call: _Call) -> None:
        outcome = self.outcomes[call.kind.name]
        if now > call.deadline:
            outcome.failed += 1
        elif now - call.began <= call.kind.objective_s:
            outcome.in_time += 1
        else:
            outcome.late += 1
        self._apply(now, number, self.queues[number].finished(call, now))
