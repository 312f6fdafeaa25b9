"""Seeded model of roll-outs: nodes, upstreams, messages and store without a network."""

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from lentilsill.rollouts import (
    Announce,
    ExposureLimits,
    Heartbeat,
    Order,
    ReportToDeciders,
    ReportToDomains,
    RolloutState,
    ServiceRollout,
    Stage,
    Store,
    VersionChoice,
    View,
)

LIMITS = ExposureLimits(share=0.1, calls=50, rollback_s=5.0)
TICK_S = 0.05
COLD_S = 3.0
COLD_FACTOR = 4.0
# Upstreams that are younger count as cold.
WARM_AFTER_S = 4.0
ROUTES = ("get", "put", "find", "list")
ROUTE_MS = {"get": 20.0, "put": 60.0, "find": 120.0, "list": 250.0}


@dataclass(frozen=True)
class Badness:
    """What is wrong with a version from `since_s` on; `route` empty means all."""

    failing: float = 0.0
    slow: float = 0.0
    slow_factor: float = 5.0
    since_s: float = 0.0
    route: str = ""


@dataclass(frozen=True)
class Load:
    """Parameters of a run; times are in seconds from the order."""

    nodes: int
    calls_per_s: float = 300.0
    duration_s: float = 30.0
    domains: int = 3
    bad: Badness | None = None
    old_failing: float = 0.001
    cut_domain: tuple[float, float] | None = None
    store_down: tuple[float, float] | None = None
    killed_deciders_at: tuple[float, ...] = ()
    suspended: tuple[float, float] | None = None
    restarted_at: float | None = None
    # Nodes restart one after the other from the first time on, with this pause.
    rolling_restart: tuple[float, float] | None = None


@dataclass
class Upstream:
    """An upstream; `factor` is how long work takes in units of the usual time."""

    name: str
    is_new: bool
    domain: int
    started_s: float
    factor: float
    failing: float = 0.0


@dataclass
class Figures:
    """What a run counts."""

    sent: int = 0
    exposed: int = 0
    bad_answers: int = 0
    limit_s: float = math.inf
    exposed_late: int = 0
    completed_s: float = math.inf
    old_in_flight: int = 0
    outcome: Stage | None = None
    reason: str = ""
    messages: int = 0


class SimNode:
    """A node; its calls at old upstreams are counted by the model."""

    def __init__(self, model: "Model", index: int) -> None:
        self.name = f"n{index:03}"
        self.domain = index % model.load.domains
        self.start(model)
        self.phase_s = model.rng.uniform(0, 0.25)

    def start(self, model: "Model") -> None:
        self.rollout = ServiceRollout(self.name, f"d{self.domain}", LIMITS, 1.0)
        self.is_alive = True
        self.others_in_flight = 0
        self.store_read_at = -math.inf
        self.suspended_until = -math.inf


@dataclass
class Model:
    """One run."""

    load: Load
    seed: int
    figures: Figures = field(default_factory=Figures)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.nodes = [SimNode(self, i) for i in range(self.load.nodes)]
        self.stored: RolloutState | None = None
        count = max(5, self.load.nodes // 3)
        self.upstreams = [
            Upstream(
                f"{'new' if is_new else 'old'}{i}",
                is_new,
                i % self.load.domains,
                self.rng.uniform(-1.0, 1.0) if is_new else -100.0,
                self.rng.uniform(0.6, 2.0),
                0.0 if is_new else self.load.old_failing,
            )
            for is_new in (False, True)
            for i in range(count)
        ]
        self.order = Order("slots", "v2", self.load.duration_s, "order-1", 7)

    def run(self) -> Figures:
        """Run to a little after the end of the order's time."""
        self.at(0.0, self.write_order)
        for at_s in self.load.killed_deciders_at:
            self.at(at_s, self.kill_deciders)
        if self.load.restarted_at is not None:
            self.at(self.load.restarted_at, self.restart_all)
        if self.load.suspended is not None:
            self.at(self.load.suspended[0], self.suspend_some)
        if self.load.rolling_restart is not None:
            begin_s, pause_s = self.load.rolling_restart
            for number, node in enumerate(self.nodes):
                self.at(begin_s + number * pause_s, partial(self.restart, node))
        while self.now < self.load.duration_s + 3.0:
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for node in self.nodes:
                if self.is_running(node):
                    if node.rollout.state is not None or not self.is_restarted():
                        self.send_calls(node)
                    self.tick(node)
            self.now += TICK_S
        return self.figures

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.numbers), action))

    def is_restarted(self) -> bool:
        restarted_at = self.load.restarted_at
        return restarted_at is not None and self.now >= restarted_at

    # Faults

    def is_running(self, node: SimNode) -> bool:
        return node.is_alive and self.now >= node.suspended_until

    def is_cut(self, one: int, other: int) -> bool:
        cut = self.load.cut_domain
        is_now = cut is not None and cut[0] <= self.now < cut[1]
        return is_now and one != other and 0 in (one, other)

    def is_store_down(self, node: SimNode) -> bool:
        down = self.load.store_down
        is_down = down is not None and down[0] <= self.now < down[1]
        cut = self.load.cut_domain
        is_cut = cut is not None and cut[0] <= self.now < cut[1] and node.domain == 0
        return is_down or is_cut

    def kill_deciders(self) -> None:
        for node in [n for n in self.nodes if self.is_decider(n)]:
            node.is_alive = False
            self.at(self.now + 3.0, partial(node.start, self))

    def restart_all(self) -> None:
        """Restart all nodes; they accept calls when they know the state."""
        for node in self.nodes:
            node.is_alive = False
            delay_s = self.rng.uniform(0.2, 1.0)
            self.at(self.now + delay_s, partial(node.start, self))

    def restart(self, node: SimNode) -> None:
        """Restart a node, which asks another one for the state when it has started."""

        def start() -> None:
            node.start(self)
            peer = self.rng.choice([n for n in self.nodes if n.is_alive])
            if peer.rollout.state is not None:
                self.send_state(peer, node, peer.rollout.state, False)

        node.is_alive = False
        self.at(self.now + 0.5, start)

    def suspend_some(self) -> None:
        begin, end = self.load.suspended or (0.0, 0.0)
        for node in self.rng.sample(self.nodes, max(1, len(self.nodes) // 5)):
            node.suspended_until = end

    # Messages

    def members(self, domain: int) -> list[SimNode]:
        return [n for n in self.nodes if n.domain == domain and n.is_alive]

    def is_decider(self, node: SimNode) -> bool:
        return node in self.members(node.domain)[:2]

    def send(self, sender: SimNode, to: SimNode, act: Callable[[], None]) -> None:
        self.figures.messages += 1
        delay_s = self.rng.uniform(0.002, 0.15)

        def deliver() -> None:
            if not to.is_alive or self.is_cut(sender.domain, to.domain):
                return
            if self.now < to.suspended_until:
                self.at(to.suspended_until, deliver)
            else:
                act()

        if not self.is_cut(sender.domain, to.domain):
            self.at(self.now + delay_s, deliver)

    def broadcast(
        self, sender: SimNode, state: RolloutState, is_heartbeat: bool
    ) -> None:
        for node in self.nodes:
            if is_heartbeat and node.domain != sender.domain:
                continue
            self.send_state(sender, node, state, is_heartbeat)

    def send_state(
        self, sender: SimNode, node: SimNode, state: RolloutState, is_heartbeat: bool
    ) -> None:
        age_s = sender.rollout.age_s(self.now)
        shifting_s = sender.rollout.shifting_age_s(self.now)
        sent_at = self.now

        def act() -> None:
            # A heartbeat counts from when it was sent.
            at = sent_at if is_heartbeat else self.now
            members = [n.name for n in self.nodes]
            node.rollout.learn(state, at, age_s, members, is_heartbeat, shifting_s)

        self.send(sender, node, act)

    def tick(self, node: SimNode) -> None:
        node.phase_s -= TICK_S
        if node.phase_s > 0:
            return
        node.phase_s += 0.25
        is_decider = self.is_decider(node)
        if is_decider and not self.is_store_down(node):
            node.store_read_at = self.now
            if self.stored is not None:
                self.read_store(node)
        local = [n.name for n in self.members(node.domain)]
        domains = [f"d{i}" for i in range(self.load.domains) if i != node.domain]
        view = View(
            local, domains, is_decider, node.others_in_flight, node.store_read_at
        )
        for action in node.rollout.tick(self.now, view):
            match action:
                case Announce(state):
                    self.broadcast(node, state, False)
                case Heartbeat(state):
                    self.broadcast(node, state, True)
                case Store(state):
                    self.at(self.now + 0.02, partial(self.store, node, state))
                case ReportToDeciders(report):
                    for to in self.members(node.domain)[:2]:
                        self.send(
                            node,
                            to,
                            partial(to.rollout.add_report, report, self.now),
                        )
                case ReportToDomains(report):
                    for to in [n for n in self.nodes if n.domain != node.domain]:
                        if self.is_decider(to):
                            receive = to.rollout.add_domain_report
                            deliver = partial(receive, report, self.now, node.name)
                            self.send(node, to, deliver)

    # Store

    def write_order(self) -> None:
        """Write the order; the watchers learn of it within 0.2 s."""
        for node in [n for n in self.nodes if self.is_decider(n)]:
            self.at(self.rng.uniform(0.01, 0.2), partial(self.learn_order, node))

    def learn_order(self, node: SimNode) -> None:
        state = RolloutState(self.order, 0)
        node.rollout.learn(state, self.now, self.now, self.all_names())
        self.broadcast(node, state, False)

    def read_store(self, node: SimNode) -> None:
        assert self.stored is not None
        if node.rollout.state is None:
            node.rollout.learn(self.stored, self.now, self.now, self.all_names())
        if node.rollout.learn_stored(self.stored, self.now):
            assert node.rollout.state is not None
            self.broadcast(node, node.rollout.state, False)

    def all_names(self) -> list[str]:
        return [n.name for n in self.nodes]

    def store(self, node: SimNode, state: RolloutState) -> None:
        if self.is_store_down(node):
            return
        if self.stored is None or not self.stored.is_outcome:
            self.stored = replace(state, is_stored=True)
            if state.stage.is_final:
                self.record_outcome(self.stored)
        self.read_store(node)

    def record_outcome(self, state: RolloutState) -> None:
        figures = self.figures
        figures.outcome, figures.reason = state.stage, state.reason
        if state.stage is Stage.COMPLETED:
            figures.completed_s = self.now
            figures.old_in_flight = sum(n.others_in_flight for n in self.nodes)

    # Calls

    def send_calls(self, node: SimNode) -> None:
        expected = self.load.calls_per_s / len(self.nodes) * TICK_S
        count = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(count):
            self.send_call(node)

    def send_call(self, node: SimNode) -> None:
        rollout = node.rollout.rollout
        choice = VersionChoice.ANY
        if rollout is not None:
            choice = rollout.choose(self.now, self.rng)
        upstream = self.choose_upstream(choice)
        figures = self.figures
        figures.sent += 1
        figures.exposed += upstream.is_new
        if upstream.is_new and self.now > figures.limit_s:
            figures.exposed_late += 1
        if rollout is not None:
            rollout.record_sent(upstream.is_new, self.now)
        if not upstream.is_new:
            node.others_in_flight += 1
        self.run_call(node, upstream)

    def run_call(self, node: SimNode, upstream: Upstream) -> None:
        route = self.rng.choice(ROUTES)
        duration_ms = (
            ROUTE_MS[route] * upstream.factor * self.rng.gammavariate(3, 1 / 3)
        )
        age_s = self.now - upstream.started_s
        if age_s < COLD_S:
            duration_ms *= COLD_FACTOR
        is_failure = self.rng.random() < upstream.failing
        is_bad = is_failure
        bad = self.load.bad
        is_bad_now = bad and upstream.is_new and self.now >= bad.since_s
        if bad and is_bad_now and bad.route in ("", route):
            is_failure |= self.rng.random() < bad.failing
            is_slow = self.rng.random() < bad.slow
            duration_ms *= bad.slow_factor if is_slow else 1.0
            is_bad = is_failure or is_slow

        def end() -> None:
            if not upstream.is_new:
                node.others_in_flight = max(0, node.others_in_flight - 1)
            if upstream.is_new and is_bad:
                self.figures.bad_answers += 1
                if self.figures.bad_answers == 50:
                    self.figures.limit_s = self.now + LIMITS.rollback_s
            rollout = node.rollout.rollout
            if rollout is not None and self.is_running(node):
                is_warm = age_s >= WARM_AFTER_S
                rollout.evidence.record(
                    upstream.name if upstream.is_new else "",
                    route,
                    is_failure,
                    duration_ms if is_warm else None,
                )

        self.at(self.now + min(1.0, duration_ms / 1000), end)

    def choose_upstream(self, choice: VersionChoice) -> Upstream:
        match choice:
            case VersionChoice.ANY:
                group = self.upstreams
            case VersionChoice.CANARIES:
                new = [u for u in self.upstreams if u.is_new]
                group = new[: max(3, math.ceil(LIMITS.share * len(new)))]
            case VersionChoice.TARGET | VersionChoice.PREFER_TARGET:
                group = [u for u in self.upstreams if u.is_new]
            case _:
                group = [u for u in self.upstreams if not u.is_new]
        return self.rng.choice(group)
