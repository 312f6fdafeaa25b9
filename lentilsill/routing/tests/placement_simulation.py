"""Plays callers at many nodes against the upstreams of one service.

Each caller's node knows the load of upstreams from their answers to its own calls
only, as in the product; the selectors and the queues are the product's.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from lentilsill.admission import AdmissionQueue, Refuse, Start
from lentilsill.documents import Limits, ServiceDocument, UpstreamSet
from lentilsill.membership import NodeRecord, NodeState, UpstreamRecord, UpstreamState
from lentilsill.retries import SlotProbeRecord, decide_probe
from lentilsill.routing import CallProfile, Selector
from lentilsill.tests.timeline import Timeline
from lentilsill.versioning import Snapshot

__all__ = ["PlacementSimulation", "Served", "Traffic"]

SERVICE, ALL = "inventory", "all"
# One way between two nodes, with the processor time of both, in seconds.
MESSAGE_S = 0.002
# Added between domains.
CROSSING_S = 0.0014
# Callers wait as long as they are told up to this share of the time they have left.
MAX_WAIT_SHARE = 1 / 3
OVERLOADED_CHOICES = 2


@dataclass(frozen=True)
class Traffic:
    """Calls alike: times in seconds, `spread` of a log-normal distribution."""

    name: str
    per_s: float
    cost_s: float
    spread: float
    objective_s: float
    limit_s: float
    priority: int = 0
    repeats: int = 2
    # Share of calls that are sent behind another one on its connection.
    ahead: float = 0.0


@dataclass
class Served:
    """What callers of one kind got."""

    calls: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    messages: int = 0
    crossed: int = 0


@dataclass(eq=False)
class _Call:
    kind: Traffic
    entry: int
    began: float
    repeats: int = 0
    asked: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    upstream: str = ""
    # What was left of its objective when it was sent to the upstream.
    left_s: float = 0.0
    asks: bool = False
    # Answers leave a connection in the order of its calls.
    before: "_Call | None" = None
    is_delivered: bool = False
    held: list[tuple[Callable, "_Call", tuple]] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.began + self.kind.limit_s


class PlacementSimulation:
    """Plays `seconds` of Poisson arrivals, spread over `nodes` nodes; seeded.

    `speeds` holds a factor per upstream; upstreams and nodes are dealt out to the
    `domains` in turn, and a message takes `message_s` between nodes. With
    `max_probes`, that many upstreams are asked for a free slot before a call waits at
    one of them.
    """

    def __init__(
        self,
        kinds: list[Traffic],
        speeds: tuple[float, ...],
        slots: int,
        nodes: int,
        max_probes: int,
        seconds: float = 30.0,
        seed: int = 1,
        domains: int = 1,
        message_s: float = MESSAGE_S,
    ) -> None:
        self.kinds, self.speeds, self.seconds = kinds, speeds, seconds
        self.max_probes = max_probes
        self.message_s = message_s
        self.rng = random.Random(seed)
        names = [f"w{number}" for number in range(len(speeds))]
        self.speed = dict(zip(names, speeds, strict=True))
        self.queues = {name: AdmissionQueue(slots, 12) for name in names}
        snapshot = _snapshot()
        self.domain = {name: f"d{i % domains}" for i, name in enumerate(names)}
        records = [_record(name, slots, self.domain[name]) for name in names]
        self.selectors = []
        for number in range(nodes):
            selector = Selector(
                f"d{number % domains}", random.Random(seed * 1000 + number)
            )
            selector.update(snapshot, records)
            self.selectors.append(selector)
        self.records = [SlotProbeRecord() for _ in self.selectors]
        self.served = {kind.name: Served() for kind in kinds}
        self._newest: dict[tuple[str, int], _Call] = {}
        self._timeline = Timeline()

    def run(self) -> dict[str, Served]:
        """Play the load; give what callers got by kind."""
        for kind in self.kinds:
            self._timeline.at(0.0, self._arrive, kind)
        self._timeline.run(self.seconds)
        return self.served

    def _arrive(self, now: float, kind: Traffic) -> None:
        self.served[kind.name].calls += 1
        entry = self.rng.randrange(len(self.selectors))
        call = _Call(kind, entry, now)
        if self.rng.random() < kind.ahead:
            call.before = self._newest.get((kind.name, entry))
        self._newest[kind.name, entry] = call
        self._attempt(now, call)
        self._timeline.at(now + self.rng.expovariate(kind.per_s), self._arrive, kind)

    def _attempt(self, now: float, call: _Call) -> None:
        selector = self.selectors[call.entry]
        left_ms = max(1, round((call.began + call.kind.objective_s - now) * 1000))
        call.left_s = left_ms / 1000
        demand = CallProfile(left_ms, call.kind.name)
        near = selector.local_upstreams(SERVICE, ALL, now)
        untried = len(near - call.tried - call.asked)
        call.asks = not call.tried and decide_probe(
            len(call.asked), untried, self.max_probes
        )
        if call.asks and not call.asked:
            record = self.records[call.entry]
            call.asks = record.is_worthwhile(call.kind.name, self.rng.random())
        found = selector.pick(
            SERVICE, ALL, now, 10**9, call.tried, demand, call.asked, call.asks
        )
        if found is None:
            self._deliver(now, call, self._come_back, 0.3)
            return
        call.upstream = found.upstream
        call.asks = call.asks and call.upstream in near
        selector.record_start(call.upstream, now)
        self.served[call.kind.name].messages += 2
        self.served[call.kind.name].crossed += call.upstream not in near
        self._timeline.at(now + self._delay_s(call), self._offer, call)

    def _delay_s(self, call: _Call) -> float:
        is_near = self.domain[call.upstream] == self.selectors[call.entry].domain
        return self.message_s if is_near else self.message_s + CROSSING_S

    def _offer(self, now: float, call: _Call) -> None:
        queue = self.queues[call.upstream]
        if call.asks and not queue.has_room:
            self._answer(now, call, self._declined)
            return
        kind = call.kind
        objective_at = call.began + kind.objective_s
        self._apply(
            now,
            queue.offer(
                call, now, call.deadline, kind.priority, objective_at, kind.name
            ),
        )

    def _apply(self, now: float, actions: list) -> None:
        for action in actions:
            call: Any = action.call
            match action:
                case Start():
                    kind = call.kind
                    middle = math.log(kind.cost_s) - kind.spread**2 / 2
                    taken_s = self.rng.lognormvariate(middle, kind.spread)
                    end = now + taken_s / self.speed[call.upstream]
                    self._timeline.at(end, self._end, call)
                case Refuse(retry_after_s=retry_after_s):
                    self._answer(now, call, self._refused, retry_after_s)

    def _end(self, now: float, call: _Call) -> None:
        self._apply(now, self.queues[call.upstream].finished(call, now))
        self._answer(now, call, self._answered)

    def _answer(self, now: float, call: _Call, action: Callable, *args: object) -> None:
        kind = call.kind
        objective_at = now + call.left_s
        expected_s = self.queues[call.upstream].expected_time_s(
            now, kind.priority, kind.name, objective_at
        )
        self._timeline.at(
            now + self._delay_s(call), self._told, call, expected_s, action, args
        )

    def _told(
        self, now: float, call: _Call, expected_s: float, action: Callable, args: tuple
    ) -> None:
        selector = self.selectors[call.entry]
        taken_ms = (now - call.began) * 1000 if action == self._answered else 0.0
        selector.record_end(call.upstream, now, False, taken_ms)
        selector.record_report(call.upstream, expected_s * 1000, now, call.kind.name)
        if call.asks:
            self.records[call.entry].add_result(
                call.kind.name, action != self._declined
            )
        action(now, call, *args)

    def _declined(self, now: float, call: _Call) -> None:
        call.asked.add(call.upstream)
        self._attempt(now, call)

    def _answered(self, now: float, call: _Call) -> None:
        is_late = now - call.began > call.kind.objective_s
        self.selectors[call.entry].record_lateness(call.kind.name, is_late)
        self._deliver(now, call, self._got_answer)

    def _deliver(self, now: float, call: _Call, action: Callable, *args: object):
        """Hand an answer to its caller after those before it on the connection."""
        before = call.before
        if before is not None and not before.is_delivered and now < before.deadline:
            before.held.append((action, call, args))
            return
        call.is_delivered = True
        call.before = None
        action(now, call, *args)
        held, call.held = call.held, []
        for later, follower, rest in held:
            self._deliver(now, follower, later, *rest)

    def _got_answer(self, now: float, call: _Call) -> None:
        served = self.served[call.kind.name]
        if now > call.deadline:
            served.failed += 1
        elif now - call.began <= call.kind.objective_s:
            served.in_time += 1
        else:
            served.late += 1

    def _refused(self, now: float, call: _Call, retry_after_s: float) -> None:
        call.tried.add(call.upstream)
        self.selectors[call.entry].record_refusal(call.upstream, now, retry_after_s)
        if len(call.tried) < OVERLOADED_CHOICES and now < call.deadline:
            self._attempt(now, call)
        else:
            self._deliver(now, call, self._come_back, retry_after_s)

    def _come_back(self, now: float, call: _Call, retry_after_s: float) -> None:
        left_s = call.deadline - now
        call.repeats += 1
        if call.repeats > call.kind.repeats or retry_after_s > MAX_WAIT_SHARE * left_s:
            self.served[call.kind.name].failed += 1
            return
        call.tried.clear()
        call.asked.clear()
        self._timeline.at(now + max(0.005, retry_after_s), self._attempt, call)


def _snapshot() -> Snapshot:
    sets = {ALL: UpstreamSet(ALL)}
    document = ServiceDocument(SERVICE, 1, sets, (), Limits(), ())
    return Snapshot(MappingProxyType({SERVICE: document}), 1)


def _record(name: str, slots: int, domain: str) -> NodeRecord:
    address = "127.0.0.1:1"
    upstream = UpstreamRecord(name, SERVICE, address, slots, (), UpstreamState.READY)
    return NodeRecord(
        f"n-{name}", domain, name, 1, 1, address, "", NodeState.READY, (upstream,)
    )
