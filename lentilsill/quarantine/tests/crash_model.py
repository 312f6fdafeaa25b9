"""Seeded model of nodes, upstreams and requests, without processes and network."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from lentilsill.quarantine import CrashTracker, Run, choose_trial_place

__all__ = ["CrashModel", "Request"]

ZONES = 3
SERVICES = 3
MAX_ATTEMPTS = 2
WORK_S = 0.2
# A request that crashes upstreams does so at the beginning of its run.
CRASH_AFTER_S = 0.01
# A node confirms the death of its upstream before it reports it.
CRASH_CHECK_S = 0.05
MIN_REPORT_DELAY_S, MAX_REPORT_DELAY_S = 0.005, 0.04
RESTART_S = 3.0
CALLER_RETRY_S = 0.3
# A started node asks this many peers for their reports.
LEARN_FROM = 3
LEARN_AFTER_S = 0.2
TIME_BUDGET_S = 1.2


@dataclass(eq=False, slots=True)
class Request:
    """A request of a caller at one node; `fingerprint` is the same for its copies."""

    fingerprint: str
    service: int
    entry: int
    is_guilty: bool
    sent_at_s: float
    tries_left: int = 1
    attempts: int = 0
    tried: set[int] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class _Execution:
    req: Request
    is_trial: bool
    boot: int


@dataclass(eq=False, slots=True)
class _Node:
    """A node with its upstream; `boot` counts the starts of the upstream."""

    zone: int
    service: int
    tracker: CrashTracker = field(default_factory=CrashTracker)
    running: list[_Execution] = field(default_factory=list)
    waiting: deque[Request] = field(default_factory=deque)
    is_up: bool = True
    boot: int = 0


class CrashModel:
    """Nodes that follow the rules of the quarantine.

    `served`, `refused` and `guilty_runs_at` hold what happened: counts of harmless
    requests by fingerprint, and the times at which guilty ones began to run.
    """

    def __init__(self, node_count: int, slots: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.slots = slots
        self.now = 0.0
        self.nodes = [
            _Node(i % ZONES, (i // ZONES) % SERVICES) for i in range(node_count)
        ]
        self.served: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.guilty_runs_at: list[float] = []
        self._loss_ids = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def run_until(self, end_s: float) -> None:
        """Play all events before `end_s`."""
        while self._events and self._events[0][0] < end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def add_load(self, use: float, popular_share: float, end_s: float) -> None:
        """Send harmless requests that keep the share `use` of the slots busy.

        Requests of `popular_share` are copies of one request of each service.
        """
        rate = use * self.slots * len(self.nodes) / WORK_S
        unique = itertools.count()

        def send() -> None:
            service = self.rng.randrange(SERVICES)
            is_popular = self.rng.random() < popular_share
            path = "top" if is_popular else str(next(unique))
            entry = self.rng.randrange(len(self.nodes))
            name = f"{service}/{path}"
            self.start(Request(name, service, entry, False, self.now))
            if self.now < end_s:
                self.at(self.now + self.rng.expovariate(rate), send)

        self.at(0.0, send)

    def lose(self, node_ids: list[int], at_s: float, spread_s: float) -> None:
        """Let upstreams die for another reason, over the time `spread_s`."""
        for i in node_ids:
            self.at(at_s + self.rng.uniform(0, spread_s), partial(self._die, i))

    def send_guilty(self, name: str, service: int, times_s: list[float]) -> None:
        """Send copies of a request that crashes upstreams, at all nodes at once."""
        for time_s in times_s:
            for entry in range(len(self.nodes)):
                req = Request(name, service, entry, True, time_s, tries_left=0)
                self.at(time_s, partial(self.start, req))

    def restart_node(self, i: int) -> None:
        """Lose what a node knows; it learns the reports of a peer a little later."""
        self.nodes[i].tracker = CrashTracker()
        others = [n for n in self.nodes if n is not self.nodes[i]]
        peers = self.rng.sample(others, LEARN_FROM)

        def learn() -> None:
            for peer in peers:
                rows = peer.tracker.report(self.now)
                losses = peer.tracker.losses_of(rows, self.now)
                self.nodes[i].tracker.merge(rows, losses, (), self.now)

        self.at(self.now + LEARN_AFTER_S, learn)

    def start(self, req: Request) -> None:
        """Make the next attempt of a request at its entry node."""
        tracker = self.nodes[req.entry].tracker
        name = req.fingerprint
        if tracker.is_quarantined(name, self.now) or tracker.hold_s(name, self.now):
            self._refuse(req)
            return
        usable = [
            i
            for i, node in enumerate(self.nodes)
            if node.is_up and node.service == req.service and i not in req.tried
        ]
        if not usable or req.attempts >= MAX_ATTEMPTS:
            self._retry(req)
            return
        if tracker.is_suspect(name, self.now):
            chosen = choose_trial_place(name, map(str, usable))
            place = int(chosen or usable[0])
        else:
            place = min(
                self.rng.sample(usable, min(2, len(usable))),
                key=lambda i: len(self.nodes[i].running) + len(self.nodes[i].waiting),
            )
        req.tried.add(place)
        self.nodes[place].waiting.append(req)
        self._advance(place)

    def _advance(self, i: int) -> None:
        node = self.nodes[i]
        while node.waiting and len(node.running) < self.slots and node.is_up:
            req = node.waiting[0]
            others = tuple(run.req.fingerprint for run in node.running)
            if self.now - req.sent_at_s > TIME_BUDGET_S:
                node.waiting.popleft()
                continue
            if not node.tracker.can_start(req.fingerprint, others, self.now):
                return
            node.waiting.popleft()
            if node.tracker.is_quarantined(req.fingerprint, self.now):
                self._refuse(req)
                continue
            self._begin(i, req)

    def _begin(self, i: int, req: Request) -> None:
        node = self.nodes[i]
        req.attempts += 1
        is_trial = node.tracker.is_suspect(req.fingerprint, self.now)
        run = _Execution(req, is_trial, node.boot)
        node.running.append(run)
        if req.is_guilty:
            self.guilty_runs_at.append(self.now)
            self.at(self.now + CRASH_AFTER_S, lambda: self._die(i, node.boot))
        else:
            work_s = self.rng.uniform(0.5, 1.5) * WORK_S
            self.at(self.now + work_s, lambda: self._finish(i, run))

    def _finish(self, i: int, run: _Execution) -> None:
        node = self.nodes[i]
        if run not in node.running:
            return
        node.running.remove(run)
        name = run.req.fingerprint
        losses = node.tracker.loss_count(name, self.now)
        if node.tracker.finished(name, self.now) and (losses > 1 or not run.is_trial):
            self._report(i, cleared=((name, 0),))
        self.nodes[run.req.entry].tracker.finished(name, self.now)
        self.served[name] += 1
        self._advance(i)

    def _die(self, i: int, boot: int | None = None) -> None:
        node = self.nodes[i]
        if not node.is_up or (boot is not None and boot != node.boot):
            return
        node.is_up = False
        lost, node.running = node.running, []
        runs = tuple(Run(run.req.fingerprint, run.is_trial) for run in lost)

        def confirm() -> None:
            loss_id = str(next(self._loss_ids))
            rows = node.tracker.record_loss(loss_id, runs, self.now)
            self._report(i, losses=rows)
            waiting, node.waiting = node.waiting, deque()
            for req in waiting:
                if node.tracker.is_suspect(req.fingerprint, self.now):
                    self._refuse(req)
                else:
                    self.start(req)
            for run in lost:
                # The entry node is told that the upstream died during the call.
                self.nodes[run.req.entry].tracker.suspect(run.req.fingerprint, self.now)
                if not run.is_trial:
                    self.start(run.req)
                elif not run.req.is_guilty:
                    self._retry(run.req)

        self.at(self.now + CRASH_CHECK_S, confirm)
        self.at(self.now + RESTART_S, lambda: self._come_back(node))

    def _come_back(self, node: _Node) -> None:
        node.is_up = True
        node.boot += 1

    def _report(self, i: int, losses: tuple = (), cleared: tuple = ()) -> None:
        for node in self.nodes:
            if node is self.nodes[i]:
                continue
            delay_s = self.rng.uniform(MIN_REPORT_DELAY_S, MAX_REPORT_DELAY_S)

            def receive(tracker: CrashTracker = node.tracker) -> None:
                tracker.merge((), losses, cleared, self.now)

            self.at(self.now + delay_s, receive)

    def _refuse(self, req: Request) -> None:
        if not req.is_guilty:
            self.refused[req.fingerprint] += 1
        self._retry(req)

    def _retry(self, req: Request) -> None:
        if not req.tries_left:
            return
        again = Request(
            req.fingerprint,
            req.service,
            self.rng.randrange(len(self.nodes)),
            req.is_guilty,
            self.now + CALLER_RETRY_S,
            req.tries_left - 1,
        )
        self.at(again.sent_at_s, lambda: self.start(again))
