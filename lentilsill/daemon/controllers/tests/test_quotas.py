"""Quotas between nodes on loopback."""

import asyncio
import time
import unittest
from dataclasses import replace
from types import MappingProxyType

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.quota_view import QuotaView
from lentilsill.daemon.controllers.quotas import QuotaController, boot_time
from lentilsill.daemon.controllers.reasons import NO_UPSTREAM, OVER_QUOTA
from lentilsill.documents import Organisation, Quota, key_digest
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.quotas import QuotaBounds, QuotaClient
from lentilsill.settings import QuotaSettings
from lentilsill.wire import CALLS
from lentilsill.wire.messages import QuotaRequest

from .call_builders import (
    BlackholeRelay,
    FakeNode,
    FakeUpstream,
    make_request,
    wait_for,
)

QUOTA = Quota(40.0, 10.0)
KEY = "k-limited"
LIMITED = Organisation("limited", (key_digest(KEY.encode()),), None, QUOTA)
FREE = Organisation("free", frozenset())


def make_limited_request():
    """Build a request of a caller of the limited organisation."""
    return replace(make_request(), headers=(("Authorization", f"Bearer {KEY}"),))


class QuotaNode(FakeNode):
    """Node whose callers are all of the limited organisation."""

    def __init__(self, name):
        super().__init__(name)
        self.ctx.cfg = self.ctx.cfg.model_copy(update={"organisations": True})
        self.quotas = QuotaController(self.ctx, QuotaSettings())
        self.quotas.start()
        self.entry.admission.quotas = self.quotas


class QuotaTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.nodes = [self.start_node(f"n{i}") for i in range(3)]
        self.nodes[0].add_upstream("w", self.upstream.port)
        self.join(self.nodes)

    def start_node(self, name, node_type=QuotaNode):
        node = node_type(name)
        self.addCleanup(node.close)
        board = node.ctx.board
        organisations = MappingProxyType({o.name: o for o in (LIMITED, FREE)})
        board.snapshot = replace(board.snapshot, organisations=organisations)
        board.notify(Topic.IN_FORCE)
        return node

    def join(self, nodes):
        for node in nodes:
            node.set_members(*(other.record() for other in nodes))
            node.ctx.board.notify(Topic.MEMBERS)

    async def wait_for_shares(self, share):
        """Wait until one node holds this share of the limited organisation's quota."""
        shard = self.nodes[0].quotas.client.find("limited").shard

        def held():
            shares = [node.quotas.allocator.share(shard) for node in self.nodes]
            return max(shares) > share - 0.01

        await wait_for(held)

    async def call_for(self, node, seconds):
        """Make 300 calls a second for some time, and return their results."""
        calls = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            calls.append(
                asyncio.ensure_future(node.entry.handle(make_limited_request()))
            )
            await asyncio.sleep(1 / 300)
        return await asyncio.gather(*calls)

    def allocator_of(self, node):
        client = node.quotas.client
        return client.allocators()[client.find("limited").shard]

    async def test_calls_at_one_node_use_the_whole_quota_and_no_more(self):
        """Guards against shares per node, and against calls beyond the quota."""
        await self.wait_for_shares(1.0)
        results = await self.call_for(self.nodes[1], 2.0)
        served = [r for r in results if isinstance(r, Answer)]
        allowed = QUOTA.rate_per_s * 2.0 + QUOTA.burst
        self.assertLessEqual(len(served), allowed * 1.1 + 20)
        self.assertGreaterEqual(len(served), QUOTA.rate_per_s * 2.0 * 0.9)
        refused = [r for r in results if isinstance(r, Refused)]
        self.assertEqual({r.reason for r in refused}, {OVER_QUOTA})
        self.assertEqual({r.outcome for r in refused}, {Outcome.NOT_RUN})
        self.assertTrue(all(0 < r.retry_after_s <= 1.5 for r in refused))
        self.assertEqual(self.nodes[1].quotas.waiting_count, 0)

    async def test_another_node_allocates_when_the_first_is_gone(self):
        """Guards against an organisation that is refused after the loss of one node."""
        await self.wait_for_shares(1.0)
        lost = next(n for n in self.nodes if n.ctx.cfg.node == self.allocator_of(n))
        self.nodes.remove(lost)
        lost.close()
        started_at = time.monotonic()
        await self.wait_for_shares(2 / 3)
        self.assertLess(time.monotonic() - started_at, 2.5)
        caller = next(n for n in self.nodes if n.ctx.cfg.node != self.allocator_of(n))
        await wait_for(lambda: self.allocator_of(caller) != lost.ctx.cfg.node)
        wait_s = await caller.quotas.take(LIMITED, 1.0)
        self.assertLess(wait_s or 0.0, 0.5)

    async def test_silent_link_to_the_allocator_is_replaced(self):
        """Guards against an allocator that is out of reach while new links work."""
        await self.wait_for_shares(1.0)
        name = self.allocator_of(self.nodes[0])
        caller = next(n for n in self.nodes if n.ctx.cfg.node != name)
        allocator = next(n for n in self.nodes if n.ctx.cfg.node == name)
        relay = BlackholeRelay(allocator.port)
        self.addCleanup(relay.stop)
        address = f"127.0.0.1:{relay.port}"
        records = [n.record(address if n is allocator else "") for n in self.nodes]
        caller.set_members(*records)
        caller.ctx.board.notify(Topic.MEMBERS)
        links = caller.ctx.links
        await wait_for(lambda: links.find(address, CALLS) is not None)
        silent_link = links.find(address, CALLS)
        relay.blackhole()
        await wait_for(lambda: self.allocator_of(caller) != name)
        await wait_for(lambda: self.allocator_of(caller) == name)
        self.assertIsNot(links.find(address, CALLS), silent_link)

    async def test_call_that_was_not_run_returns_its_token(self):
        """Guards against a quota used up by calls that no upstream ran."""
        await self.wait_for_shares(1.0)
        node = self.nodes[2]
        records = [replace(other.record(), upstreams=()) for other in self.nodes]
        node.set_members(*records)
        for _ in range(30):
            result = await node.entry.handle(make_limited_request())
            self.assertEqual(result.reason, NO_UPSTREAM)

    async def test_organisation_without_a_quota_sends_nothing(self):
        """Guards against costs for calls that are not limited."""
        node = self.nodes[1]
        self.assertIsNone(await node.quotas.take(FREE, 1.0))
        self.assertFalse(node.quotas.client.has_requests)

    async def test_peers_without_the_feature_get_no_requests(self):
        """Guards against a message that a node of an earlier release can't read.

        It would close the link, with the calls on it.
        """
        old = self.start_node("old", FakeNode)
        received = []
        old.ctx.links.on(QuotaRequest, lambda link, message: received.append(message))
        node = self.nodes[0]
        self.join([node, old])
        await node.ctx.links.connect(old.ctx.cfg.peer_address, CALLS)
        await wait_for(lambda: self.allocator_of(node) == node.ctx.cfg.node)
        self.assertEqual(received, [])
        self.assertEqual(old.ctx.links._make_hello(CALLS).features, ())

    async def test_call_waits_no_longer_than_its_deadline(self):
        """Guards against callers who have given up while their call waits."""
        node = self.nodes[1]
        # Requests get no reply.
        node.quotas.client.poll = lambda now: []
        started_at = time.monotonic()
        result = await node.entry.handle(
            replace(make_limited_request(), deadline_ms=10)
        )
        self.assertLess(time.monotonic() - started_at, 0.08)
        self.assertEqual(result.reason, OVER_QUOTA)

    async def test_cancelled_call_stops_waiting(self):
        """Guards against a drain that waits for callers who have left."""
        node = self.nodes[1]
        call = asyncio.ensure_future(node.entry.handle(make_limited_request()))
        await wait_for(lambda: node.quotas.waiting_count == 1)
        self.assertEqual(node.entry.admission.waiting_count, 1)
        call.cancel()
        await asyncio.wait([call])
        self.assertEqual(node.quotas.waiting_count, 0)
        self.assertEqual(node.quotas.client.find("limited").waiting, 0)

    async def test_first_processes_lend_before_their_first_lease(self):
        """Guards against calls refused while a system starts for the first time.

        A process that knows a much older node may have had a process before it.
        """
        wall_ms = self.nodes[0].ctx.wall_ms()
        for oldest_ms, has_waited in ((wall_ms, False), (wall_ms - 60_000, True)):
            nodes = [self.start_node("n9"), *self.nodes[:2]]
            ages = (wall_ms, wall_ms, oldest_ms)
            board = nodes[0].ctx.board
            nodes[0].set_members(
                *(
                    replace(node.record(), generation=age)
                    for node, age in zip(nodes, ages, strict=True)
                )
            )
            board.notify(Topic.MEMBERS)
            board.is_first_process = True
            await asyncio.sleep(0.8)
            client = nodes[0].quotas.client
            self.assertEqual(client.node_count, 3)
            self.assertEqual(client.had_predecessor, has_waited)

    async def test_first_start_waits_until_the_entries_just_read_have_settled(self):
        """Guards against the check of a node count from before the read."""
        node = self.nodes[0]
        wall_ms = node.ctx.wall_ms()
        node.set_members(*(replace(n.record(), generation=wall_ms) for n in self.nodes))
        client = QuotaClient("n0", 8, QuotaBounds(), 100.0)
        view = QuotaView(node.ctx, client, tuple, 100.0)
        view.update(100.1)
        view.update(100.2)
        board = node.ctx.board
        board.directory_entries, board.is_first_process = 9, True
        for now, has_waited in ((100.5, True), (100.8, False)):
            view.update(now)
            self.assertEqual(
                (client.node_count, client.had_predecessor), (9, has_waited)
            )

    async def test_nodes_are_counted_when_the_first_quota_comes_into_force(self):
        """Guards against a call before the next tick that uses the whole quota."""
        node = QuotaNode("n9")
        self.addCleanup(node.close)
        board = node.ctx.board
        await wait_for(lambda: not node.quotas._view.is_starting(boot_time()))
        node.set_members(*(other.record() for other in (node, *self.nodes)))
        board.notify(Topic.MEMBERS)
        await asyncio.sleep(0.6)
        organisations = MappingProxyType({LIMITED.name: LIMITED})
        board.snapshot = replace(board.snapshot, organisations=organisations)
        board.notify(Topic.IN_FORCE)
        self.assertEqual(node.quotas.client.node_count, 4)

    async def test_dump_names_allocators_and_shares(self):
        """Guards against a refusal whose reason operators can't look up."""
        await self.wait_for_shares(1.0)
        await self.nodes[1].quotas.take(LIMITED, 1.0)
        dump = self.nodes[1].ctx.board.dump_parts["quotas"]()
        self.assertEqual(dump["nodes"], 3)
        self.assertEqual(dump["organisations"][0]["name"], "limited")
