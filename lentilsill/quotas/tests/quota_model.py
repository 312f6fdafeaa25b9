"""Seeded model of nodes that share quotas, with messages, faults and callers."""

import bisect
import heapq
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from lentilsill.documents import Organisation, Quota
from lentilsill.quotas import (
    Allocator,
    AllocatorRanking,
    GrantReply,
    NodeCount,
    OrganisationTokens,
    QuotaBounds,
    QuotaClient,
    TokenRequest,
)

SHARDS = 8
TICK_S = 0.1
COALESCE_S = 0.001
MAX_WAIT_S = 0.1
LOCAL_DELAY_S = 0.0003
REMOTE_DELAY_S = 0.0014
# Peers learn of a death or a cut after this time.
DETECTION_S = 1.5
VIEW_INTERVAL_S = 0.5


@dataclass(eq=False)
class ModelNode:
    """One node process; a restart makes a new one with the same name."""

    name: str
    domain: int
    instance: str
    client: QuotaClient
    allocator: Allocator
    counted: NodeCount
    is_alive: bool = True
    suspended_until: float = 0.0
    flush_at: float = 0.0
    seen_names: frozenset[str] = frozenset()
    waiting: dict[str, deque[float]] = field(default_factory=lambda: defaultdict(deque))


@dataclass
class Callers:
    """Callers of one organisation: calls a second, and the nodes that get them."""

    organisation: str
    rate_per_s: float
    nodes: list[str]


class QuotaModel:
    """Nodes in domains that are connected by messages with delays.

    Messages are not ordered. `groups` gives the group of a domain or node; messages
    between groups are lost. `late_share` is the share of messages that take up to 3 s.
    """

    def __init__(
        self, seed: int, node_count: int, quotas: dict[str, Quota], domains: int = 3
    ) -> None:
        self.rng = Random(seed)
        self.bounds = QuotaBounds()
        self.now = 0.0
        self.late_share = 0.0
        self.groups: dict[object, int] = {}
        self.callers: list[Callers] = []
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.denied: dict[str, list[float]] = defaultdict(list)
        self.waits: list[float] = []
        self.messages = 0
        self.rows = 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._event_count = 0
        self.version = 1
        self.organisations: dict[str, Organisation] = {}
        self.nodes: dict[str, ModelNode] = {}
        self._entry_count = node_count
        self._seen_groups: dict[object, int] = {}
        self.set_quotas(quotas)
        for i in range(node_count):
            self.start(f"n{i}", i % domains, at=self.rng.uniform(0.0, 0.3))
        self.after(1.0, self._update_views)

    # Events

    def after(self, delay_s: float, run: Callable[[], object]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, run))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = end

    # Nodes and faults

    def set_quotas(self, quotas: dict[str, Quota]) -> None:
        """Put a new configuration in force; nodes receive it within 0.5 s."""
        self.organisations = {
            name: Organisation(name, frozenset(), None, quota)
            for name, quota in quotas.items()
        }
        self.version += 1
        version, organisations = self.version, self.organisations
        for node in self.nodes.values():
            self.after(
                self.rng.uniform(0.0, 0.5),
                partial(node.client.set_organisations, organisations, version),
            )

    def start(self, name: str, domain: int, at: float = 0.0) -> None:
        node = ModelNode(
            name,
            domain,
            f"{name}-{self.rng.getrandbits(32)}",
            QuotaClient(name, SHARDS, self.bounds, at),
            Allocator(SHARDS, self.bounds, Random(self.rng.random()), at),
            NodeCount(at),
        )
        node.client.set_organisations(self.organisations, self.version)
        self.nodes[name] = node
        node.counted.directory_entries = self._entry_count
        self._see(node)
        self.after(
            at - self.now + self.rng.uniform(0, TICK_S), lambda: self._tick(node)
        )

    def kill(self, name: str, restart_after_s: float | None = None) -> None:
        """Kill a process; without a restart, its host is lost and does not answer."""
        node = self.nodes[name]
        node.is_alive = False
        if restart_after_s is None:
            self.groups[name] = -1 - self._event_count
            self.after(DETECTION_S, lambda: self.nodes.pop(name))
        else:
            self.after(restart_after_s, lambda: self.start(name, node.domain, self.now))

    def suspend(self, name: str, seconds: float) -> None:
        self.nodes[name].suspended_until = self.now + seconds

    def _group(self, node: ModelNode) -> int:
        return self.groups.get(node.name, self.groups.get(node.domain, 0))

    def _update_views(self) -> None:
        """Let nodes see the others of their group, some time after a change."""
        groups = dict(self.groups)
        self.after(DETECTION_S, lambda: self._see_all(groups))
        self.after(VIEW_INTERVAL_S, self._update_views)

    def _see_all(self, groups: dict[object, int]) -> None:
        self._seen_groups = groups
        for node in self.nodes.values():
            if node.is_alive and node.suspended_until <= self.now:
                self._see(node)

    def _see(self, node: ModelNode) -> None:
        seen = [other for other in self.nodes.values() if self._sees(node, other)]
        domains: dict[str, set[str]] = defaultdict(set)
        for other in seen:
            domains[str(other.domain)].add(other.name)
        node.counted.observe(domains, {}, set(), self.now)
        names = frozenset(other.name for other in seen)
        if names != node.seen_names:
            node.seen_names = names
            node.client.ranking = AllocatorRanking(
                dict.fromkeys(names, 0),
                dict.fromkeys(domains[str(node.domain)], 0),
                node.name,
            )
        node.client.node_count = node.counted.value(self.now)

    def _sees(self, node: ModelNode, other: ModelNode) -> bool:
        groups = self._seen_groups

        def group(other: ModelNode) -> int:
            return groups.get(other.name, groups.get(other.domain, 0))

        return group(other) == group(node)

    # Messages

    def _tick(self, node: ModelNode) -> None:
        if not node.is_alive:
            return
        if self.now < node.suspended_until:
            self.after(node.suspended_until - self.now, lambda: self._tick(node))
            return
        self._poll(node)
        self.after(TICK_S, lambda: self._tick(node))

    def _flush_soon(self, node: ModelNode) -> None:
        if node.flush_at <= self.now:
            node.flush_at = self.now + COALESCE_S
            self.after(COALESCE_S, lambda: self._poll(node))

    def _poll(self, node: ModelNode) -> None:
        if not node.is_alive or self.now < node.suspended_until:
            return
        for outgoing in node.client.poll(self.now):
            request = outgoing.request
            self.messages += 1
            self.rows += len(request.asks)
            if outgoing.node == node.name:
                self._allocate(node, node, request)
                continue
            target = self.nodes.get(outgoing.node)
            if target is None or self._group(target) != self._group(node):
                continue
            if not target.is_alive:
                self.after(
                    REMOTE_DELAY_S,
                    partial(self._refuse, node, outgoing.node),
                )
                continue
            if outgoing.instance and outgoing.instance != target.instance:
                node.client.on_instance(outgoing.node, target.instance)
                continue
            self._deliver(node, target, partial(self._allocate, node, target, request))

    def _refuse(self, node: ModelNode, name: str) -> None:
        node.client.on_unreachable(name, True, self.now)

    def _deliver(
        self, source: ModelNode, target: ModelNode, run: Callable[[], object]
    ) -> None:
        near = source.domain == target.domain
        delay_s = (LOCAL_DELAY_S if near else REMOTE_DELAY_S) * self.rng.uniform(1, 2)
        if self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(0.0, 3.0)

        def arrive() -> None:
            if not target.is_alive or self._group(target) != self._group(source):
                return
            if self.now < target.suspended_until:
                self.after(target.suspended_until - self.now + 1e-4, arrive)
                return
            run()

        self.after(delay_s, arrive)

    def _allocate(
        self, source: ModelNode, target: ModelNode, request: TokenRequest
    ) -> None:
        count = target.client.node_count
        reply = target.allocator.handle(source.instance, request, count, self.now)
        if reply is None:
            return
        if source is target:
            self._on_reply(source, target, reply)
        else:
            self._deliver(target, source, lambda: self._on_reply(source, target, reply))

    def _on_reply(self, node: ModelNode, target: ModelNode, reply: GrantReply) -> None:
        changed = node.client.on_reply(target.name, target.instance, reply, self.now)
        for tokens in changed:
            waiting = node.waiting[tokens.name]
            while waiting and tokens.take_for_waiting(self.now):
                self._admit(tokens.name, waiting.popleft())
            if waiting and self.now < tokens.denied_until:
                while len(waiting) > tokens.kept_waiting(self.now):
                    self.denied[tokens.name].append(waiting.pop())
                if waiting:
                    wait_s = tokens.denied_until - self.now
                    self.after(wait_s, partial(self._ask_again, node, tokens))
            tokens.waiting = len(waiting)

    def _ask_again(self, node: ModelNode, tokens: OrganisationTokens) -> None:
        node.client.ask_again(tokens)
        self._flush_soon(node)

    # Calls

    def add_callers(
        self, organisation: str, rate_per_s: float, nodes: list[str]
    ) -> Callers:
        callers = Callers(organisation, rate_per_s, nodes)
        self.callers.append(callers)
        self.after(self.rng.expovariate(rate_per_s), lambda: self._call(callers))
        return callers

    def _call(self, callers: Callers) -> None:
        self.after(
            self.rng.expovariate(callers.rate_per_s), lambda: self._call(callers)
        )
        name = callers.organisation
        node = self.nodes.get(self.rng.choice(callers.nodes))
        if node is None or not node.is_alive or self.now < node.suspended_until:
            return
        tokens = node.client.find(name)
        if tokens is None:
            # The configuration is not in force yet.
            assert not node.client.is_in_use
            return
        wait_s = node.client.take(tokens, self.now)
        if node.client.has_requests:
            self._flush_soon(node)
        if wait_s == 0.0:
            self._admit(name, self.now)
        elif wait_s is not None:
            self.denied[name].append(self.now)
        else:
            node.waiting[name].append(self.now)
            tokens.waiting += 1
            called_at = self.now
            self.after(MAX_WAIT_S, lambda: self._end_wait(node, name, called_at))

    def _end_wait(self, node: ModelNode, name: str, called_at: float) -> None:
        waiting = node.waiting[name]
        while waiting and waiting[0] <= called_at:
            self.denied[name].append(waiting.popleft())
        tokens = node.client.organisations.get(name)
        if tokens is not None:
            tokens.waiting = len(waiting)

    def _admit(self, name: str, called_at: float) -> None:
        self.admitted[name].append(self.now)
        self.waits.append(self.now - called_at)

    # Results

    def excess(
        self, name: str, quota: Quota, start: float = 0.0, end: float = 1e9
    ) -> float:
        """Return the calls of the fullest window as a share of the largest allowed."""
        times = [t for t in self.admitted[name] if start <= t <= end]
        window_s = self.bounds.window_s
        fullest = max(
            (bisect.bisect_right(times, t + window_s) - i for i, t in enumerate(times)),
            default=0,
        )
        return fullest / self.bounds.max_calls(quota)

    def used(self, name: str, quota: Quota, start: float, end: float) -> float:
        """Return the calls in a time as a share of the quota's rate."""
        count = sum(start <= t < end for t in self.admitted[name])
        return count / (quota.rate_per_s * (end - start))
