"""Simulation of callers at many nodes and the upstreams of one service.

A node learns the load of the upstreams only from the answers to its own calls. The
selectors and the queues are the ones that nodes use in production.
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

__all__ = ["CallCounts", "PlacementSimulation", "Traffic"]

SERVICE, ALL = "inventory", "all"
# Time of a message from one node to another, including the processor time of both.
MESSAGE_S = 0.002
# Additional time between nodes of different domains.
CROSS_DOMAIN_S = 0.0014
# Callers wait as long as a refusal states, up to this share of their remaining time.
MAX_WAIT_SHARE = 1 / 3
MAX_REFUSALS = 2


@dataclass(frozen=True)
class Traffic:
    """Calls of one kind, with times in seconds.

    `spread` is the sigma of the log-normal distribution of the times.
    """

    name: str
    per_s: float
    service_time_s: float
    spread: float
    objective_s: float
    limit_s: float
    priority: int = 0
    retries: int = 2
    # Share of calls that are pipelined behind another one on its connection.
    pipelined_share: float = 0.0


@dataclass
class CallCounts:
    """Counts of the calls of one kind by result, and of their messages."""

    calls: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    messages: int = 0
    remote: int = 0


@dataclass(eq=False)
class _Call:
    kind: Traffic
    entry: int
    started_at: float
    retries: int = 0
    probed: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    upstream: str = ""
    # Remaining time of the objective when the call was sent to the upstream.
    objective_remaining_s: float = 0.0
    is_probe: bool = False
    # A connection delivers answers in the order of its calls.
    before: "_Call | None" = None
    is_delivered: bool = False
    held: list[tuple[Callable, "_Call", tuple]] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.started_at + self.kind.limit_s


class PlacementSimulation:
    """Simulates `duration_s` of Poisson arrivals at `nodes` nodes, with a seed.

    `speeds` holds a factor per upstream. Upstreams and nodes are assigned to the
    `domains` in turn, and a message takes `message_s` between nodes. A call probes up
    to `max_probes` upstreams for a free slot before it waits at one of them.
    """

    def __init__(
        self,
        kinds: list[Traffic],
        speeds: tuple[float, ...],
        slots: int,
        nodes: int,
        max_probes: int,
        duration_s: float = 30.0,
        seed: int = 1,
        domains: int = 1,
        message_s: float = MESSAGE_S,
    ) -> None:
        self.kinds, self.speeds, self.duration_s = kinds, speeds, duration_s
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
        self.counts = {kind.name: CallCounts() for kind in kinds}
        self._newest: dict[tuple[str, int], _Call] = {}
        self._timeline = Timeline()

    def run(self) -> dict[str, CallCounts]:
        """Run the simulation and return the counts by kind of call."""
        for kind in self.kinds:
            self._timeline.call_at(0.0, self._arrive, kind)
        self._timeline.run(self.duration_s)
        return self.counts

    def _arrive(self, now: float, kind: Traffic) -> None:
        self.counts[kind.name].calls += 1
        entry = self.rng.randrange(len(self.selectors))
        call = _Call(kind, entry, now)
        if self.rng.random() < kind.pipelined_share:
            call.before = self._newest.get((kind.name, entry))
        self._newest[kind.name, entry] = call
        self._attempt(now, call)
        self._timeline.call_at(
            now + self.rng.expovariate(kind.per_s), self._arrive, kind
        )

    def _attempt(self, now: float, call: _Call) -> None:
        selector = self.selectors[call.entry]
        remaining_ms = max(
            1, round((call.started_at + call.kind.objective_s - now) * 1000)
        )
        call.objective_remaining_s = remaining_ms / 1000
        profile = CallProfile(remaining_ms, call.kind.name)
        local_names = selector.local_upstreams(SERVICE, ALL, now)
        untried = len(local_names - call.tried - call.probed)
        call.is_probe = not call.tried and decide_probe(
            len(call.probed), untried, self.max_probes
        )
        if call.is_probe and not call.probed:
            record = self.records[call.entry]
            call.is_probe = record.is_worthwhile(call.kind.name, self.rng.random())
        candidate = selector.pick(
            SERVICE, ALL, now, 10**9, call.tried, profile, call.probed, call.is_probe
        )
        if candidate is None:
            self._deliver(now, call, self._retry_later, 0.3)
            return
        call.upstream = candidate.upstream
        call.is_probe = call.is_probe and call.upstream in local_names
        selector.record_start(call.upstream, now)
        self.counts[call.kind.name].messages += 2
        self.counts[call.kind.name].remote += call.upstream not in local_names
        self._timeline.call_at(now + self._delay_s(call), self._offer, call)

    def _delay_s(self, call: _Call) -> float:
        is_local = self.domain[call.upstream] == self.selectors[call.entry].domain
        return self.message_s if is_local else self.message_s + CROSS_DOMAIN_S

    def _offer(self, now: float, call: _Call) -> None:
        queue = self.queues[call.upstream]
        if call.is_probe and not queue.has_room:
            self._answer(now, call, self._no_free_slot)
            return
        kind = call.kind
        objective_at = call.started_at + kind.objective_s
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
                    mu = math.log(kind.service_time_s) - kind.spread**2 / 2
                    service_time_s = self.rng.lognormvariate(mu, kind.spread)
                    end = now + service_time_s / self.speed[call.upstream]
                    self._timeline.call_at(end, self._end, call)
                case Refuse(retry_after_s=retry_after_s):
                    self._answer(now, call, self._refused, retry_after_s)

    def _end(self, now: float, call: _Call) -> None:
        self._apply(now, self.queues[call.upstream].finished(call, now))
        self._answer(now, call, self._answered)

    def _answer(self, now: float, call: _Call, action: Callable, *args: object) -> None:
        kind = call.kind
        objective_at = now + call.objective_remaining_s
        expected_s = self.queues[call.upstream].expected_time_s(
            now, kind.priority, kind.name, objective_at
        )
        self._timeline.call_at(
            now + self._delay_s(call),
            self._receive_report,
            call,
            expected_s,
            action,
            args,
        )

    def _receive_report(
        self, now: float, call: _Call, expected_s: float, action: Callable, args: tuple
    ) -> None:
        selector = self.selectors[call.entry]
        elapsed_ms = (now - call.started_at) * 1000 if action == self._answered else 0.0
        selector.record_end(call.upstream, now, False, elapsed_ms)
        selector.record_report(call.upstream, expected_s * 1000, now, call.kind.name)
        if call.is_probe:
            self.records[call.entry].add_result(
                call.kind.name, action != self._no_free_slot
            )
        action(now, call, *args)

    def _no_free_slot(self, now: float, call: _Call) -> None:
        call.probed.add(call.upstream)
        self._attempt(now, call)

    def _answered(self, now: float, call: _Call) -> None:
        is_late = now - call.started_at > call.kind.objective_s
        self.selectors[call.entry].record_lateness(call.kind.name, is_late)
        self._deliver(now, call, self._count_answer)

    def _deliver(self, now: float, call: _Call, action: Callable, *args: object):
        """Deliver an answer after the earlier ones on its connection."""
        before = call.before
        if before is not None and not before.is_delivered and now < before.deadline:
            before.held.append((action, call, args))
            return
        call.is_delivered = True
        call.before = None
        action(now, call, *args)
        held, call.held = call.held, []
        for next_action, follower, next_args in held:
            self._deliver(now, follower, next_action, *next_args)

    def _count_answer(self, now: float, call: _Call) -> None:
        counts = self.counts[call.kind.name]
        if now > call.deadline:
            counts.failed += 1
        elif now - call.started_at <= call.kind.objective_s:
            counts.on_time += 1
        else:
            counts.late += 1

    def _refused(self, now: float, call: _Call, retry_after_s: float) -> None:
        call.tried.add(call.upstream)
        self.selectors[call.entry].record_refusal(call.upstream, now, retry_after_s)
        if len(call.tried) < MAX_REFUSALS and now < call.deadline:
            self._attempt(now, call)
        else:
            self._deliver(now, call, self._retry_later, retry_after_s)

    def _retry_later(self, now: float, call: _Call, retry_after_s: float) -> None:
        remaining_s = call.deadline - now
        call.retries += 1
        if (
            call.retries > call.kind.retries
            or retry_after_s > MAX_WAIT_SHARE * remaining_s
        ):
            self.counts[call.kind.name].failed += 1
            return
        call.tried.clear()
        call.probed.clear()
        self._timeline.call_at(now + max(0.005, retry_after_s), self._attempt, call)


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
