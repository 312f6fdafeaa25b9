"""Upstreams get no more requests than the limit that their answers name."""

import asyncio
import unittest

from lentilsill.outcomes import Answer, Outcome

from .call_builders import FakeNode, FakeUpstream, make_request, wait_for

LIMIT_PER_S = 10.0
# What an upstream may get beyond its limit: half of the limit, and 5 requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


class NamedLimitTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.nodes = {}

    def start_node(self, name, port=0):
        node = self.nodes[name] = FakeNode(name, port=port)
        self.addCleanup(node.close)
        return node

    def start_nodes(self, *names):
        """Start the node of the upstream, `host`, and entry nodes."""
        self.start_node("host").add_upstream("w1", self.upstream.port)
        for name in names:
            self.start_node(name)
        self.share_members()
        return [self.nodes[name] for name in ("host", *names)]

    def share_members(self):
        records = [node.record() for node in self.nodes.values()]
        for node in self.nodes.values():
            node.set_members(*records)

    def name_limit(self, text):
        self.upstream.extra_head = f"Lentilsill-Limit: {text}\r\n".encode()

    async def call_for(self, nodes, seconds, pause_s=0.005):
        """Send calls over the nodes in turn; return their results."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        calls = []
        while loop.time() < end:
            for node in nodes:
                calls.append(asyncio.ensure_future(node.entry.handle(make_request())))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*calls)

    async def count_requests(self, nodes, seconds):
        """Return the requests that the upstream gets meanwhile, and the results."""
        before = len(self.upstream.seen)
        results = await self.call_for(nodes, seconds)
        return len(self.upstream.seen) - before, results

    def allowed(self, seconds, limit_per_s=LIMIT_PER_S):
        return LIMIT_FACTOR * limit_per_s * seconds + LIMIT_SLACK

    async def test_upstream_gets_more_requests_than_the_limit_that_it_named(self):
        """Guards against a limit that no node or each node alone keeps."""
        nodes = self.start_nodes("a", "b")
        self.name_limit(LIMIT_PER_S)
        await self.call_for(nodes, 0.3)
        count, results = await self.count_requests(nodes, 1.5)
        self.assertLessEqual(count, self.allowed(1.5))
        self.assertGreaterEqual(count, 0.8 * LIMIT_PER_S * 1.5)
        refused = [result for result in results if not isinstance(result, Answer)]
        self.assertTrue(refused)
        for result in refused:
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            self.assertFalse(result.arrived)
            self.assertGreater(result.retry_after_s, 0)

    async def test_restarted_node_exceeds_the_limit_that_its_upstream_named(self):
        """Guards against a limit that is lost with the process that heard it."""
        nodes = self.start_nodes("a", "b")
        limit_per_s = 1.0
        self.name_limit(limit_per_s)
        await self.call_for(nodes, 0.3)
        host = self.nodes["host"]
        host.close()
        await asyncio.sleep(0.1)
        # The upstream is too busy to answer, so that no answer names the limit again.
        self.upstream.gates["/a"] = asyncio.Event()
        restarted = self.start_node("host", host.port)
        restarted.add_upstream("w1", self.upstream.port)
        self.share_members()
        before = len(self.upstream.seen)
        calls = asyncio.ensure_future(self.call_for(nodes[1:], 0.3))
        await asyncio.sleep(0.4)
        count = len(self.upstream.seen) - before
        self.assertLessEqual(count, self.allowed(0.4, limit_per_s))
        self.upstream.gates["/a"].set()
        await calls

    async def test_limit_ends_with_the_first_answer_without_it(self):
        """Guards against a limit that outlives the need of its upstream."""
        nodes = self.start_nodes("a")
        self.name_limit(LIMIT_PER_S)
        await self.call_for(nodes, 0.3)
        self.upstream.extra_head = b""
        await self.call_for(nodes, 0.3)
        count, _ = await self.count_requests(nodes, 0.5)
        self.assertGreater(count, self.allowed(0.5))

    async def test_unreadable_limit_changes_nothing(self):
        """Guards against a bad value that stops or frees the calls of an upstream."""
        nodes = self.start_nodes("a")
        for text in ("-1", "nan", "inf", "x", "", "1e999"):
            self.name_limit(text)
            count, _ = await self.count_requests(nodes, 0.2)
            self.assertGreater(count, self.allowed(0.2), text)
        self.name_limit(LIMIT_PER_S)
        await self.call_for(nodes, 0.3)
        for text in ("-1", "nan", "x"):
            self.name_limit(text)
            count, _ = await self.count_requests(nodes, 0.5)
            self.assertLessEqual(count, self.allowed(0.5), text)

    async def test_limit_of_zero_lets_no_calls_through_and_ends(self):
        """Guards against an upstream that is never called again."""
        nodes = self.start_nodes("a")
        self.name_limit(0)
        await self.call_for(nodes, 0.2)
        count, _ = await self.count_requests(nodes, 1.0)
        self.assertLessEqual(count, 1)
        self.upstream.extra_head = b""
        before = len(self.upstream.seen)
        calls = asyncio.ensure_future(self.call_for(nodes, 11.0, 0.05))
        await wait_for(lambda: len(self.upstream.seen) > before + 2, 12.0)
        calls.cancel()
