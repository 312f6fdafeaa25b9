"""Simulates two services whose running calls make calls to each other."""

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from lentilsill.admission import AdmissionQueue, Refuse, Start
from lentilsill.tests.timeline import Timeline

__all__ = ["InnerCallSimulation", "Nesting"]

# Upstreams of the services, their slots, and deadlines of calls, as in deployment D.
UPSTREAMS = (15, 22)
SLOTS = 9
QUEUE_LIMIT = 18
DEADLINE_S = (3.0, 6.0)
INNER_DEADLINE_S = 0.6
SPREAD = 0.5
DELAY_S = 0.001
# Upstreams that a node knows as candidates of a call, and offers of a call.
CANDIDATES = 5
MAX_OFFERS = 3
CHECK_INTERVAL_S = 0.25
# The load begins with free slots; outcomes count from this time on.
WARM_UP_S = 3.0


@dataclass(frozen=True)
class Nesting:
    """Calls that are nested `depth` deep; times are mean work at the usual speed."""

    depth: int
    work_s: float
    inner_work_s: float

    def slot_time_s(self) -> float:
        """Return the time of all slots for a call whose inner calls never wait."""
        inner_s = [self.inner_work_s + 2 * DELAY_S] * self.depth
        return self.work_s + sum(inner_s) + sum(i * s for i, s in enumerate(inner_s, 1))


@dataclass(eq=False)
class _Call:
    service: int
    depth: int
    deadline: float
    part_s: float
    parent: "_Call | None" = None
    child: "_Call | None" = None
    untried: list[int] = field(default_factory=list)
    index: int = -1
    state: str = "new"


class InnerCallSimulation:
    """Seeded simulation of callers' calls at `load` times the capacity of the slots.

    A call does half of its work, holds its slot while it makes a call to the other
    service, and then does the other half. It fails if the inner call fails. `ended` and
    `served` count calls by whether they are inner ones.
    """

    def __init__(self, nesting: Nesting, load: float, inner_slots: bool) -> None:
        self.nesting = nesting
        self.inner_slots = inner_slots
        self.rng = random.Random(1)
        self.ended: Counter[bool] = Counter()
        self.served: Counter[bool] = Counter()
        self.queues = [
            [AdmissionQueue(SLOTS, QUEUE_LIMIT) for _ in range(n)] for n in UPSTREAMS
        ]
        self.speeds = [
            [self.rng.uniform(0.5, 1.6) for _ in range(n)] for n in UPSTREAMS
        ]
        self.capacity_per_s = (
            SLOTS * sum(map(sum, self.speeds)) / self.nesting.slot_time_s()
        )
        self._per_s = load * self.capacity_per_s
        self._timeline = Timeline()

    def run(self, duration_s: float) -> tuple[float, float]:
        """Return callers' served calls relative to the capacity, and inner calls'."""
        self._timeline.call_at(0.0, self._arrive)
        self._timeline.call_at(0.0, self._check)
        self._timeline.run(WARM_UP_S + duration_s)
        return (
            self.served[False] / (duration_s * self.capacity_per_s),
            self.served[True] / max(1, self.ended[True]),
        )

    def _check(self, now: float) -> None:
        for queues in self.queues:
            for queue in queues:
                self._apply(now, queue.advance(now))
        self._timeline.call_at(now + CHECK_INTERVAL_S, self._check)

    def _arrive(self, now: float) -> None:
        self._timeline.call_at(now + self.rng.expovariate(self._per_s), self._arrive)
        weights = [sum(speeds) for speeds in self.speeds]
        (service,) = self.rng.choices(range(len(weights)), weights)
        self._begin(now, service, 0, now + self.rng.uniform(*DEADLINE_S))

    def _begin(
        self,
        now: float,
        service: int,
        depth: int,
        deadline: float,
        parent: _Call | None = None,
    ) -> _Call:
        mean_s = self.nesting.inner_work_s if depth else self.nesting.work_s
        mu = math.log(mean_s) - SPREAD**2 / 2
        parts = 2 if depth < self.nesting.depth else 1
        part_s = self.rng.lognormvariate(mu, SPREAD) / parts
        call = _Call(service, depth, deadline, part_s, parent)
        queues = self.queues[service]
        candidates = self.rng.sample(range(len(queues)), CANDIDATES)
        candidates.sort(
            key=lambda i: queues[i].expected_time_s(
                now, kind=self._kind(call), is_inner=self._is_inner(call)
            )
        )
        call.untried = candidates[:MAX_OFFERS]
        self._timeline.call_at(deadline, self._end, call, False)
        self._timeline.call_at(now + DELAY_S, self._offer, call)
        return call

    def _is_inner(self, call: _Call) -> bool:
        return self.inner_slots and call.depth > 0

    def _kind(self, call: _Call) -> str:
        return "inner" if call.depth else "outer"

    def _queue(self, call: _Call) -> AdmissionQueue:
        return self.queues[call.service][call.index]

    def _offer(self, now: float, call: _Call) -> None:
        if call.state == "ended":
            return
        call.state = "waiting"
        call.index = call.untried.pop(0)
        queue, kind = self._queue(call), self._kind(call)
        inner = self._is_inner(call)
        actions = queue.offer(call, now, call.deadline, kind=kind, is_inner=inner)
        latest_s = queue.service_times.latest_start_s(call.deadline - now, kind)
        self._timeline.call_at(now + latest_s, self._drop, call, queue)
        self._apply(now, actions)

    def _drop(self, now: float, call: _Call, queue: AdmissionQueue) -> None:
        if queue.cancel(call):
            self._refuse(now, call)

    def _apply(self, now: float, actions: list) -> None:
        for action in actions:
            call: Any = action.call
            match action:
                case Start():
                    call.state = "running"
                    self._work(now, call, self._call_inner)
                case Refuse():
                    self._refuse(now, call)

    def _refuse(self, now: float, call: _Call) -> None:
        if call.untried:
            self._timeline.call_at(now + 2 * DELAY_S, self._offer, call)
        else:
            self._end(now, call, False)

    def _work(self, now: float, call: _Call, then: Any) -> None:
        part_s = call.part_s / self.speeds[call.service][call.index]
        self._timeline.call_at(now + part_s, then, call)

    def _call_inner(self, now: float, call: _Call) -> None:
        if call.state != "running":
            return
        if call.depth == self.nesting.depth:
            self._end(now, call, True)
            return
        deadline = min(call.deadline, now + INNER_DEADLINE_S)
        call.child = self._begin(now, 1 - call.service, call.depth + 1, deadline, call)

    def _resume(self, now: float, call: _Call, is_answered: bool) -> None:
        if call.state != "running":
            return
        if is_answered:
            self._work(now, call, lambda end, call: self._end(end, call, True))
        else:
            self._end(now, call, False)

    def _end(self, now: float, call: _Call, is_served: bool) -> None:
        if call.state == "ended":
            return
        state, call.state = call.state, "ended"
        if now >= WARM_UP_S:
            self.ended[call.depth > 0] += 1
            self.served[call.depth > 0] += is_served
        if call.child is not None:
            self._end(now, call.child, False)
        if state == "running":
            self._apply(now, self._queue(call).finished(call, now))
        elif state == "waiting":
            self._queue(call).cancel(call)
        if call.parent is not None:
            self._timeline.call_at(now + DELAY_S, self._resume, call.parent, is_served)
