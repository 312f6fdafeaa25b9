"""Repair of member tables and summaries, and pushes around dead nodes."""

import unittest
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.controllers.summaries import SummaryExchange
from lentilsill.daemon.controllers.table_repair import TableRepair
from lentilsill.daemon.controllers.tree_push import TreePush
from lentilsill.membership import (
    DomainSummary,
    Liveness,
    MemberTable,
    record_from_row,
)
from lentilsill.membership.tests.builders import make_record, make_upstream
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import Hello, encode
from lentilsill.wire.messages import Records, Summary

MEMBER_COUNT = 120
MAX_PROBES = 200


class FakeNode:
    """Member table and summaries of one node.

    Instead of being sent, a message is appended to `network` with its sender and
    receiver.
    """

    def __init__(self, name, seed, network, domain="lahore"):
        self.name = name
        self.network = network
        self.now_s = 0.0
        self.wall_ms = 0
        self.hello = Hello(1, name, name, domain, "control", "127.0.0.1:1")
        ctx: Any = SimpleNamespace(
            now=lambda: self.now_s,
            wall_ms=lambda: self.wall_ms,
            rng=Random(seed),
            board=Blackboard(EMPTY_SNAPSHOT),
            count=lambda *args: None,
            cfg=SimpleNamespace(
                node=name,
                domain=domain,
                membership=SimpleNamespace(probe_interval_s=1.0),
            ),
        )
        self.table = MemberTable(make_record(name), dead_retention_s=1e9)
        self.is_gateway = False
        self.summaries = SummaryExchange(ctx, lambda: self.is_gateway, lambda *args: 0)
        self.summaries._is_publish_pending = True
        self.repair = TableRepair(ctx, self.table, self.summaries)

    def link_to(self, other):
        def send(message):
            self.network.append((self, other, message))
            return True

        return SimpleNamespace(hello=other.hello, send=send)

    def probe(self, other):
        self.now_s += 1.0
        self.repair.start(self.link_to(other), other.repair.digest_hash)

    def receive(self, sender, message):
        link = self.link_to(sender)
        if isinstance(message, Summary):
            self.summaries._on_summary(link, message)
            return
        rows = [record_from_row(row) for row in message.rows]
        self.table.merge(rows, self.now_s)
        self.repair.answer(link, message, rows)

    def content(self):
        entries = self.table.live()
        summaries = self.summaries.listing()
        return {(e.record, e.liveness) for e in entries}, {
            (domain, content) for domain, _, content in summaries
        }


def make_summary(domain, generation, rng):
    nodes = [
        replace(
            make_record(f"{domain}-{i}", seq=rng.randrange(3)),
            domain=domain,
            upstreams=(make_upstream(f"u-{domain}-{i}"),),
        )
        for i in sorted(rng.sample(range(30), 20))
    ]
    return DomainSummary(domain, generation, (("slots", 20, 120),), tuple(nodes))


def merge_random_entries(node, seed):
    """Merge a random mixture of old and new records, verdicts and summaries."""
    rng = Random(seed)
    for i in range(MEMBER_COUNT):
        if rng.random() < 0.8:
            record = make_record(f"m{i}", 1, rng.randrange(3))
            verdict = rng.choices(list(Liveness), (8, 1, 1))[0]
            node.table.merge([(record, verdict)], 0.0)
    for generation in range(rng.randrange(3)):
        summary = make_summary("multan", generation, Random(generation))
        node.summaries._table.merge(summary)


class RepairTests(unittest.TestCase):
    def assert_tables_become_equal(self, seed, loss_share):
        rng = Random(seed)
        network: list = []
        nodes = [FakeNode(name, seed, network) for name in "abc"]
        for i, node in enumerate(nodes):
            merge_random_entries(node, seed * 10 + i)
        for _ in range(MAX_PROBES):
            first, second = rng.sample(nodes, 2)
            first.probe(second)
            for _ in range(20):
                if not network:
                    break
                # Messages arrive in any order; some are lost, some are repeated later.
                sender, receiver, message = network.pop(rng.randrange(len(network)))
                draw = rng.random()
                if draw >= loss_share:
                    receiver.receive(sender, message)
                if draw >= 1 - loss_share:
                    network.append((sender, receiver, message))
            if nodes[0].content() == nodes[1].content() == nodes[2].content():
                return
        self.fail(f"seed {seed}: tables differ after {MAX_PROBES} probes")

    def test_tables_become_equal_despite_lost_repeated_and_reordered_messages(self):
        """Guards against differences that no exchange detects or removes."""
        for seed in range(12):
            self.assert_tables_become_equal(seed, loss_share=0.3)

    def test_repair_of_one_difference_takes_few_bytes(self):
        """Guards against a repair that sends the whole table for one changed record."""
        network: list = []
        a, b = (FakeNode(name, 1, network) for name in "ab")
        rows = [(make_record(f"m{i}"), Liveness.ALIVE) for i in range(509)]
        for node in (a, b):
            node.table.merge(rows, 0.0)
            node.table.merge([(make_record(n), Liveness.ALIVE) for n in "ab"], 0.0)
        b.table.merge([(make_record("m7", seq=1), Liveness.ALIVE)], 1.0)
        a.probe(b)
        total_bytes = 0
        while network:
            sender, receiver, message = network.pop(0)
            total_bytes += len(encode(message))
            receiver.receive(sender, message)
        self.assertEqual(a.content(), b.content())
        self.assertLess(total_bytes, 1200)

    def test_summary_of_a_domain_whose_clock_was_ahead_is_replaced(self):
        """Guards against calls by an old summary for as long as a clock was ahead.

        All nodes of the domain have restarted since, and their clocks are right.
        """
        network: list = []
        gateway = FakeNode("g", 1, network, "multan")
        gateway.is_gateway = True
        gateway.wall_ms = 5000
        remote = FakeNode("r", 2, network)
        remote.summaries._table.merge(make_summary("multan", 10**12, Random(3)))
        record = replace(make_record("g"), domain="multan")
        gateway.summaries.set_members({"g": record}, ("g",))
        for _ in range(3):
            # The gateway sends its listing at intervals.
            gateway.now_s += 5.0
            remote.now_s += 5.0
            gateway.summaries._update_summary()
            listing = Records((), summaries=gateway.summaries.listing())
            network.append((gateway, remote, listing))
            message_count = 0
            while network:
                sender, receiver, message = network.pop(0)
                receiver.receive(sender, message)
                message_count += 1
            self.assertLess(message_count, 8)
        known, own = (
            {name: content for name, _, content in node.summaries.listing()}
            for node in (remote, gateway)
        )
        self.assertEqual(known["multan"], own["multan"])

    def test_repair_does_not_restore_removed_dead_node(self):
        """Guards against records of dead nodes that are never removed from all tables.

        Repair would copy such a record back to tables that have already removed it.
        """
        network: list = []
        a, b = (FakeNode(name, 1, network) for name in "ab")
        a.table.merge([(make_record("gone"), Liveness.DEAD)], 0.0)
        b.table.merge([(make_record("new"), Liveness.ALIVE)], 0.0)
        for first, second in ((a, b), (b, a)):
            first.probe(second)
            while network:
                sender, receiver, message = network.pop(0)
                receiver.receive(sender, message)
        self.assertIsNone(b.table.get("gone"))
        self.assertIsNotNone(a.table.get("new"))


class TreePushTests(unittest.TestCase):
    def push(self, size, dead):
        """Push from n0 over fake links.

        Returns the nodes that were reached and the number of dials.
        """
        names = [f"n{i}" for i in range(size)]
        reached, dialed = set(), []

        def make_tree_push(name):
            def send_checked(address, purpose, message, on_unsent):
                dialed.append(address)
                if address in dead:
                    on_unsent()
                elif address not in reached:
                    reached.add(address)
                    make_tree_push(address).push("n0", message)

            ctx: Any = SimpleNamespace(
                links=SimpleNamespace(send_checked=send_checked),
                count=lambda *args: None,
                cfg=SimpleNamespace(node=name, distribution=SimpleNamespace(fanout=8)),
            )
            return TreePush(ctx, lambda: names, lambda node: node)

        make_tree_push("n0").push("n0", Records(()))
        return reached, len(dialed)

    def test_subtrees_of_dead_children_are_reached(self):
        """Guards against a subtree that gets no push until the death is detected."""
        for seed in range(20):
            dead = set(Random(seed).sample([f"n{i}" for i in range(1, 511)], 50))
            reached, _ = self.push(511, dead)
            self.assertEqual(len(reached), 510 - len(dead), seed)

    def test_dials_of_an_isolated_node_are_limited(self):
        """Guards against a burst of dials by a node that has lost its network."""
        _, dial_count = self.push(511, {f"n{i}" for i in range(1, 511)})
        self.assertLessEqual(dial_count, 100)
