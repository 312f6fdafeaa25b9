"""Simulation of the placement of calls in a deployment, over simulated time.

The selectors, slot probes and admission queues are those that nodes use in production.
A node learns the load of upstreams only from the answers to its own calls.
"""

import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from lentilsill.admission import AdmissionQueue, HostPace, Refuse, Start
from lentilsill.documents import Limits, ServiceDocument, UpstreamSet
from lentilsill.membership import NodeRecord, NodeState, UpstreamRecord, UpstreamState
from lentilsill.retries import SlotProbeRecord, decide_probe
from lentilsill.routing import CallProfile, Selector
from lentilsill.tests.timeline import Timeline
from lentilsill.versioning import Snapshot

from .load_figures import LoadFigures
from .load_model import Deployment, HostSpeed, Kind, ServiceLoad

__all__ = ["Call", "LoadSimulation", "Policy", "Upstream"]

ALL = "all"
# Time of a message from one node to another, including the processor time of both.
MESSAGE_S = 0.001
# Callers wait as long as a refusal states, up to this share of their remaining time.
MAX_WAIT_SHARE = 1 / 3
MAX_RETRIES = 2
MAX_REFUSALS = 2
QUEUE_LIMIT = 12


class Policy:
    """How nodes choose; subclasses are the policies that are compared."""

    name = "current"
    max_probes = 2
    probes_other_domains = False
    uses_pace = False
    reports_busy_share = False
    min_found_share = 0.1

    def make_selector(
        self, domain: str, rng: random.Random, simulation: "LoadSimulation"
    ) -> Selector:
        """Return the selector of one node."""
        return Selector(domain, rng)

    def describe(self, upstream: "Upstream", call: "Call", now: float) -> Any:
        """Return what the destination adds to the answer to a call."""
        return round(100 * upstream.queue.busy_share)

    def learn(self, selector: Selector, call: "Call", extra: Any, now: float) -> None:
        """Receive at the entry node what the destination has added."""


@dataclass(eq=False)
class Upstream:
    """An upstream with its host and queue."""

    name: str
    service: ServiceLoad
    domain: str
    host: HostSpeed
    queue: AdmissionQueue
    on_the_way: int = 0
    pace: HostPace = field(default_factory=HostPace)


@dataclass(eq=False)
class Call:
    """A call at its entry node; `on_end` is given to calls that running calls make."""

    service: ServiceLoad
    kind: Kind
    entry: int
    domain: int
    started_at: float
    deadline: float
    on_end: Callable[[float], None] | None = None
    retries: int = 0
    probed: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    upstream: str = ""
    objective_remaining_s: float = 0.0
    is_probe: bool = False
    # When the call arrived where it waits for a slot.
    queued_at: float | None = None
    has_ended: bool = False

    @property
    def kind_name(self) -> str:
        """Kind of the call, as nodes name it."""
        return f"{self.service.name}/{self.kind.name}"


class LoadSimulation:
    """Simulates `duration_s` of a deployment's load with a seed and a policy."""

    def __init__(
        self, deployment: Deployment, policy: Policy, seed: int, duration_s: float
    ) -> None:
        self.deployment, self.policy, self.duration_s = deployment, policy, duration_s
        self.rng = random.Random(seed)
        self.upstreams: dict[str, Upstream] = {}
        for service in deployment.services:
            self._add_upstreams(service)
        snapshot = _snapshot(deployment)
        records = [_record(u) for u in self.upstreams.values()]
        self.names = list(self.upstreams)
        self.selectors = []
        for number, upstream in enumerate(self.upstreams.values()):
            rng = random.Random(seed * 1000 + number)
            selector = policy.make_selector(upstream.domain, rng, self)
            selector.update(snapshot, records)
            self.selectors.append(selector)
        self._entries: dict[str, list[int]] = defaultdict(list)
        for number, upstream in enumerate(self.upstreams.values()):
            self._entries[upstream.domain].append(number)
        self._probes = [SlotProbeRecord(policy.min_found_share) for _ in self.selectors]
        self.figures = LoadFigures(list(self.upstreams.values()))
        self._kinds = {
            f"{s.name}/{k.name}": (s, k) for s in deployment.services for k in s.kinds
        }
        self._timeline = Timeline()

    def _add_upstreams(self, service: ServiceLoad) -> None:
        d = self.deployment
        for number in range(service.upstreams):
            name = f"{service.name}-{number}"
            is_cold = number < d.cold_count
            is_slow = not is_cold and number < d.cold_count + d.slow_count
            host = HostSpeed(d, self.duration_s, self.rng, is_cold, is_slow)
            queue = AdmissionQueue(service.slots, QUEUE_LIMIT)
            domain = f"d{number % d.domains}"
            self.upstreams[name] = Upstream(name, service, domain, host, queue)

    def run(self) -> LoadFigures:
        """Run the simulation and return its figures."""
        d = self.deployment
        for service in d.services:
            speed = sum(
                u.host.base for u in self.upstreams.values() if u.service is service
            )
            for kind in service.kinds:
                if not kind.share:
                    continue
                per_s = d.calls_per_s(service, kind, speed) / d.domains
                for domain in range(d.domains):
                    args = (service, kind, domain, per_s)
                    self._timeline.call_at(0.0, self._arrive, *args)
        self._timeline.run(self.duration_s)
        self.figures.finish(self.duration_s)
        return self.figures

    def _arrive(
        self, now: float, service: ServiceLoad, kind: Kind, domain: int, per_s: float
    ) -> None:
        peak_per_s = per_s * (1 + self.deployment.wave)
        next_at = now + self.rng.expovariate(peak_per_s)
        args = (service, kind, domain, per_s)
        self._timeline.call_at(next_at, self._arrive, *args)
        if self.rng.random() * peak_per_s > per_s * self.deployment.demand(domain, now):
            return
        entry = self.rng.choice(self._entries[f"d{domain}"])
        call = Call(service, kind, entry, domain, now, now + kind.deadline_s)
        self.figures.add_call(call)
        self._attempt(now, call)

    def _attempt(self, now: float, call: Call) -> None:
        selector = self.selectors[call.entry]
        remaining_s = call.started_at + call.kind.objective_s - now
        call.objective_remaining_s = max(0.001, remaining_s)
        profile = CallProfile(round(call.objective_remaining_s * 1000), call.kind_name)
        service = call.service.name
        local_names = selector.local_upstreams(service, ALL, now)
        untried = len(local_names - call.tried - call.probed)
        call.is_probe = not call.tried and decide_probe(
            len(call.probed), untried, self.policy.max_probes
        )
        if call.is_probe and not call.probed:
            record = self._probes[call.entry]
            call.is_probe = record.is_worthwhile(call.kind_name, self.rng.random())
        candidate = selector.pick(
            service, ALL, now, 10**9, call.tried, profile, call.probed, call.is_probe
        )
        if candidate is None:
            self._retry_later(now, call, 0.3)
            return
        call.upstream = candidate.upstream
        is_local = call.upstream in local_names
        call.is_probe = call.is_probe and (is_local or self.policy.probes_other_domains)
        selector.record_start(call.upstream, now)
        self.figures.add_attempt(call, is_local, now)
        self.upstreams[call.upstream].on_the_way += 1
        self._timeline.call_at(now + self._delay_s(call), self._offer, call)

    def _delay_s(self, call: Call) -> float:
        if call.upstream == self.names[call.entry]:
            return 0.0
        domain = self.upstreams[call.upstream].domain
        is_local = domain == self.selectors[call.entry].domain
        return MESSAGE_S + (0.0 if is_local else self.deployment.cross_domain_s)

    def _offer(self, now: float, call: Call) -> None:
        upstream = self.upstreams[call.upstream]
        upstream.on_the_way -= 1
        if call.is_probe and not upstream.queue.has_room:
            self._answer(now, call, self._no_free_slot)
            return
        self.figures.before_change(upstream, now)
        had_room = upstream.queue.has_room
        call.queued_at = now
        actions = upstream.queue.offer(
            call,
            now,
            call.deadline,
            call.kind.priority,
            call.started_at + call.kind.objective_s,
            call.kind_name,
        )
        if not had_room and not any(action.call is call for action in actions):
            self.figures.add_wait(call, self._has_idle_peer(upstream))
        self._apply(now, actions)

    def _has_idle_peer(self, upstream: Upstream) -> bool:
        return any(
            other.service is upstream.service
            and other.domain == upstream.domain
            and other.queue.has_room
            for other in self.upstreams.values()
        )

    def _apply(self, now: float, actions: list) -> None:
        for action in actions:
            call: Any = action.call
            match action:
                case Start():
                    self._start(now, call)
                case Refuse(retry_after_s=retry_after_s):
                    self._answer(now, call, self._refused, retry_after_s)

    def _start(self, now: float, call: Call) -> None:
        kind, upstream = call.kind, self.upstreams[call.upstream]
        mu = math.log(kind.service_time_s) - kind.spread**2 / 2
        end = upstream.host.end(now, self.rng.lognormvariate(mu, kind.spread))
        if not kind.inner or self.rng.random() >= kind.inner_share:
            self._timeline.call_at(end, self._end, call)
            return
        # The call that this one makes begins in the middle of its work.
        middle = (now + end) / 2
        self._timeline.call_at(middle, self._call_inner, call, end - middle)

    def _call_inner(self, now: float, call: Call, remaining_s: float) -> None:
        service, kind = self._kinds[call.kind.inner]
        entry = self.names.index(call.upstream)
        deadline = min(call.deadline, now + kind.deadline_s)

        def resume(ended_at: float) -> None:
            self._timeline.call_at(ended_at + remaining_s, self._end, call)

        domain = int(self.upstreams[call.upstream].domain[1:])
        inner = Call(service, kind, entry, domain, now, max(now, deadline), resume)
        self.figures.add_call(inner)
        self._attempt(now, inner)

    def _end(self, now: float, call: Call) -> None:
        upstream = self.upstreams[call.upstream]
        self.figures.before_change(upstream, now)
        upstream.pace.record(round(100 * upstream.host.pace(now)), now)
        self._apply(now, upstream.queue.finished(call, now))
        self._answer(now, call, self._answered)

    def _answer(self, now: float, call: Call, action: Callable, *args: object) -> None:
        kind, upstream = call.kind, self.upstreams[call.upstream]
        expected_s = upstream.queue.expected_time_s(
            now, kind.priority, call.kind_name, now + call.objective_remaining_s
        )
        if self.policy.uses_pace:
            expected_s *= upstream.pace.factor(now)
        extra = self.policy.describe(upstream, call, now)
        report = (expected_s, extra, action, args)
        self._timeline.call_at(now + self._delay_s(call), self._receive, call, *report)

    def _receive(
        self, now: float, call: Call, expected_s: float, extra: Any, action, args: tuple
    ) -> None:
        selector = self.selectors[call.entry]
        elapsed_ms = (now - call.started_at) * 1000 if action == self._answered else 0.0
        selector.record_end(call.upstream, now, False, elapsed_ms)
        busy_percent = extra if self.policy.reports_busy_share else -1
        selector.record_report(
            call.upstream, expected_s * 1000, now, call.kind_name, busy_percent
        )
        self.policy.learn(selector, call, extra, now)
        if call.is_probe:
            found = action != self._no_free_slot
            self._probes[call.entry].add_result(call.kind_name, found)
        action(now, call, *args)

    def _no_free_slot(self, now: float, call: Call) -> None:
        call.probed.add(call.upstream)
        self._attempt(now, call)

    def _answered(self, now: float, call: Call) -> None:
        is_late = now - call.started_at > call.kind.objective_s
        self.selectors[call.entry].record_lateness(call.kind_name, is_late)
        self._finish(now, call, now <= call.deadline)

    def _finish(self, now: float, call: Call, is_served: bool) -> None:
        self.figures.add_end(call, now, is_served)
        if call.on_end is not None:
            call.on_end(now)

    def _refused(self, now: float, call: Call, retry_after_s: float) -> None:
        call.tried.add(call.upstream)
        self.selectors[call.entry].record_refusal(call.upstream, now, retry_after_s)
        if len(call.tried) < MAX_REFUSALS and now < call.deadline:
            self._attempt(now, call)
        else:
            self._retry_later(now, call, retry_after_s)

    def _retry_later(self, now: float, call: Call, retry_after_s: float) -> None:
        remaining_s = call.deadline - now
        call.retries += 1
        has_time = retry_after_s <= MAX_WAIT_SHARE * remaining_s
        if call.retries > MAX_RETRIES or not has_time or call.on_end is not None:
            self._finish(now, call, False)
            return
        call.tried.clear()
        call.probed.clear()
        self._timeline.call_at(now + max(0.005, retry_after_s), self._attempt, call)


def _snapshot(deployment: Deployment) -> Snapshot:
    sets = {ALL: UpstreamSet(ALL)}
    documents = {
        s.name: ServiceDocument(s.name, 1, sets, (), Limits(), ())
        for s in deployment.services
    }
    return Snapshot(MappingProxyType(documents), 1)


def _record(upstream: Upstream) -> NodeRecord:
    address = "127.0.0.1:1"
    slots = upstream.service.slots
    record = UpstreamRecord(
        upstream.name, upstream.service.name, address, slots, (), UpstreamState.READY
    )
    name, domain = f"n-{upstream.name}", upstream.domain
    return NodeRecord(name, domain, name, 1, 1, address, "", NodeState.READY, (record,))
