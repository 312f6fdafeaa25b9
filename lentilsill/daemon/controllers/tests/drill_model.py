"""Model of a fleet whose store comes back from older copies of itself.

Nodes hold the real bundles, and messages, reads and faults are events of one queue.
Times are in seconds of simulated time.
"""

import heapq
import itertools
import json
from dataclasses import dataclass, field
from random import Random

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.distribution import Ask, DigestValue, SendDigest, compare_digests
from lentilsill.versioning import EMPTY_SNAPSHOT, era_of, make_position
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Delta
from standins.store import CompactedError, Store

__all__ = ["DrillModel"]

NAME = "main"
KIND = "config"
WATCHERS = 2
READ_INTERVAL_S = 0.05
DIGEST_INTERVAL_S = 1.0
MESSAGE_S = (0.001, 0.05)
# Some answers of the store are on the way while it comes back from a copy.
LATE_SHARE = 0.05
LATE_S = (0.5, 3.0)
EDIT_INTERVAL_S = (0.5, 2.0)
# The operator notices a loss and writes the lost versions again, in order.
REWRITE_DELAY_S = (0.05, 1.0)
# A node is in touch this long after its start or the end of a cut.
STABLE_WINDOW_S = 3.0


@dataclass
class Node:
    """One boot of a node, with the numbers that were in force there, in order."""

    name: str
    domain: int
    bundle: BundleController
    started_s: float = 0.0
    latest_era: int = 0
    seen: list[int] = field(default_factory=list)

    @property
    def number(self):
        """Number of the version in force; 0 if there is none."""
        return self.bundle.in_force.version if self.bundle.in_force else 0

    def merge(self, delta):
        new = self.bundle.merge(delta)
        if self.number and self.seen[-1:] != [self.number]:
            self.seen.append(self.number)
        return new

    def digest(self):
        return DigestValue(self.bundle.complete_as_of, self.bundle.content_hash)


class DrillModel:
    """Runs edits, returns of the store, cuts and restarts with one seed.

    Parameters
    ----------
    size : int
        Number of nodes, in domains of equal size.
    """

    def __init__(self, size, seed, domains=3):
        self.rng = Random(seed)
        self.now_s = 0.0
        self.store = Store(era=1, clock=lambda: self.now_s)
        self.cut_domains: set[int] = set()
        self.problems: list[str] = []
        # Time of each acknowledgement of a version that the store still holds.
        self.acknowledged: dict[int, float] = {}
        self._lost: list[int] = []
        self._events: list = []
        self._order = itertools.count()
        self._number = 0
        self._cut_ended_s = dict.fromkeys(range(domains), 0.0)
        self.nodes = [self._make_node(i, i % domains) for i in range(size)]

    def _make_node(self, index, domain):
        name = f"n{index}"
        links = PeerLinks(Identity(name, "i", "d", "127.0.0.1:1"), "127.0.0.1")
        cfg = node_settings(name, documents="bundle")
        ctx = Context(cfg, Blackboard(EMPTY_SNAPSHOT), links, None, self.rng)
        return Node(name, domain, BundleController(ctx), self.now_s)

    # Events

    def at(self, delay_s, action, *args):
        entry = (self.now_s + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, entry)

    def run(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_s = until_s

    def start(self):
        self.edit()
        for index in range(len(self.nodes)):
            self.at(self.rng.uniform(0, DIGEST_INTERVAL_S), self.exchange, index)
            if self._is_watcher(index):
                self.at(self.rng.uniform(0, 0.1), self.read, index)
        self.at(1.0, self.edit_again)

    def _is_watcher(self, index):
        peers = [i for i, n in enumerate(self.nodes)]
        domain = self.nodes[index].domain
        ranked = [i for i in peers if self.nodes[i].domain == domain]
        return index in ranked[:WATCHERS]

    # The operator

    def edit_again(self):
        self.edit()
        self.at(self.rng.uniform(*EDIT_INTERVAL_S), self.edit_again)

    def edit(self):
        self._number += self.rng.randint(1, 5)
        self.write(self._number)

    def write(self, number):
        value = {"version": number, "documents": [{"service": f"s{number}"}]}
        self.store.put(KIND, NAME, value, None)
        self.acknowledged[number] = self.now_s

    def drill(self, age_s):
        """Lose the writes of the last `age_s` seconds; the operator writes again."""
        lost = [n for n, at in self.acknowledged.items() if at > self.now_s - age_s]
        self.store.restore(age_s)
        for number in lost:
            del self.acknowledged[number]
        self._lost = sorted({*self._lost, *lost})
        for _ in range(self.rng.randint(0, 30)):
            self.store.put("status", "s", self.rng.random(), None)
        self.at(self.rng.uniform(*REWRITE_DELAY_S), self.write_lost_again)

    def write_lost_again(self):
        lost, self._lost = self._lost, []
        for number in lost:
            if number >= self._stored_number():
                self.write(number)

    def _stored_number(self):
        change = self.store.objects.get((KIND, NAME))
        return change.value["version"] if change is not None else 0

    # Reads of the store

    def read(self, index):
        node = self.nodes[index]
        if node.domain not in self.cut_domains:
            is_late = self.rng.random() < LATE_SHARE
            delay_s = self.rng.uniform(*(LATE_S if is_late else MESSAGE_S))
            self.at(delay_s, self.receive_answer, node, *self._answer(node))
        self.at(READ_INTERVAL_S, self.read, index)

    def _answer(self, node):
        """Return the era and the delta of a read, which starts now."""
        era, since = self.store.era or 0, node.bundle.complete_as_of
        try:
            if era != era_of(since) or not since:
                raise CompactedError(0)
            changes = self.store.changes(KIND, since & (2**40 - 1))
            is_full = False
        except CompactedError:
            changes = self.store.objects_of(KIND)
            is_full = True
        rows = tuple(
            (c.name, make_position(era, c.version), False, json.dumps(c.value))
            for c in changes
        )
        revision = make_position(era, self.store.revision)
        return era, Delta(0 if is_full else since, revision, is_full, rows)

    def receive_answer(self, node, era, delta):
        if era < node.latest_era:
            return
        node.latest_era = era
        new = node.merge(delta)
        if new is not None and (new.rows or new.patches):
            self.push(node, new)

    # Messages between nodes

    def _peers(self, node):
        return [n for n in self.nodes if n.domain == node.domain and n is not node]

    def push(self, node, delta):
        for peer in self._peers(node):
            self.at(self.rng.uniform(*MESSAGE_S), self.receive_push, peer, delta)

    def receive_push(self, node, delta):
        if node in self.nodes:
            node.merge(delta)

    def exchange(self, index):
        node = self.nodes[index]
        peers = self._peers(node)
        if self._is_watcher(index) and self.rng.random() < 0.5:
            peers = [n for n in self.nodes if n.domain != node.domain]
        peer = self.rng.choice(peers)
        if peer.domain == node.domain or not {peer.domain, node.domain} & (
            self.cut_domains
        ):
            self.compare(node, peer)
            self.compare(peer, node)
        self.at(DIGEST_INTERVAL_S, self.exchange, index)

    def compare(self, node, peer):
        """Compare the digests; the node requests changes from the peer if due."""
        match compare_digests(node.digest(), peer.digest()):
            case Ask():
                held = node.bundle.bundle_version
                delta = peer.bundle.delta_since(node.bundle.complete_as_of, held)
                new = node.merge(delta)
                is_remote = peer.domain != node.domain
                if is_remote and new is not None and (new.rows or new.patches):
                    self.push(node, new)
            case SendDigest():
                pass
            case other if hasattr(other, "complete_as_of"):
                base = node.bundle.complete_as_of
                node.merge(Delta(base, other.complete_as_of, False, ()))

    # Faults

    def cut(self, domain, for_s):
        self.cut_domains.add(domain)
        self.at(for_s, self.heal, domain)

    def heal(self, domain):
        self.cut_domains.discard(domain)
        self._cut_ended_s[domain] = self.now_s

    def restart(self, index):
        self.check_order(self.nodes[index])
        self.nodes[index] = self._make_node(index, self.nodes[index].domain)

    # Checks

    def check_order(self, node):
        if node.seen != sorted(node.seen):
            self.problems.append(f"{self.now_s:.2f} {node.name} went back: {node.seen}")

    def check_in_force(self, bound_s):
        """Check that versions older than `bound_s` are in force at nodes in touch."""
        due = [n for n, at in self.acknowledged.items() if at <= self.now_s - bound_s]
        for node in self.nodes:
            since_s = max(node.started_s, self._cut_ended_s[node.domain])
            is_in_touch = self.now_s - since_s >= STABLE_WINDOW_S
            is_cut = node.domain in self.cut_domains
            if due and is_in_touch and not is_cut and node.number < max(due):
                self.problems.append(
                    f"{self.now_s:.2f} {node.name} has {node.number}, not {max(due)}"
                )

    def check_all(self):
        for node in self.nodes:
            self.check_order(node)
        return self.problems
