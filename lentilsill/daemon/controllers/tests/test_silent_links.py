"""Open links between nodes that go silent for good, while new ones work."""

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from lentilsill.daemon.blackboard import Topic
from lentilsill.membership import UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, Outcome
from lentilsill.retries import RetryBudget

from .call_builders import (
    HOST,
    BlackholeRelay,
    FakeNode,
    FakeUpstream,
    FreezableRelay,
    make_request,
    wait_for,
)
from .spread_builders import FakePlatform, start_node, wait_until

# A change is in force this long after its write; a node whose links were lost has 3 s
# more.
IN_FORCE_S = 2.0
OUT_OF_TOUCH_S = 3.0


def silence(links):
    """Drop all further bytes of open links; both ends keep them open."""
    for link in [*links._dialed_links(), *links.accepted]:
        link.stream.data_received = lambda data: None
        link.stream.write = lambda data, stream=link.stream: stream._completed_write


class SilentControlLinkTests(unittest.IsolatedAsyncioTestCase):
    """Five nodes in two domains."""

    async def asyncSetUp(self):
        self.platform = FakePlatform()
        self.nodes: list = []
        # The first node of each domain is the seed of the others there.
        for name, domain, seed in (
            ("a", "lahore", None),
            ("b", "lahore", 0),
            ("c", "lahore", 0),
            ("x", "multan", 0),
            ("y", "multan", 3),
        ):
            seeds = () if seed is None else (self.nodes[seed].address,)
            node = start_node(name, self.platform, seeds, domain, in_force_s=IN_FORCE_S)
            self.addCleanup(node.stop)
            self.nodes.append(node)
        await wait_until(lambda: all(node.ctx.board.ready for node in self.nodes))
        await wait_until(lambda: len(self.nodes[0].member_names) == 3)
        await wait_until(lambda: len(self.nodes[3].member_names) == 2)

    def silence_all(self):
        for node in self.nodes:
            silence(node.ctx.links)

    async def test_change_waits_on_silent_links(self):
        self.silence_all()
        await self.platform.write("slots", {"service": "slots"})
        await wait_until(
            lambda: all(node.documents.rows for node in self.nodes),
            timeout_s=IN_FORCE_S + OUT_OF_TOUCH_S,
        )

    async def test_leaving_upstream_stays_in_use_behind_silent_links(self):
        leaving, *others = self.nodes[:3]
        record = UpstreamRecord("u1", "slots", "", 6, (), UpstreamState.READY)
        leaving.ctx.board.upstreams["u1"] = record
        leaving.ctx.board.notify(Topic.UPSTREAMS)
        name = leaving.ctx.cfg.node
        for node in others:
            await wait_until(lambda node=node: node.ctx.board.members[name].upstreams)
        self.silence_all()
        leaving.ctx.board.draining = True
        leaving.ctx.board.notify(Topic.DRAIN)

        def is_known(node):
            member = node.ctx.board.members.get(name)
            return member is None or all(
                upstream.state is UpstreamState.LEAVING for upstream in member.upstreams
            )

        for node in others:
            await wait_until(
                lambda node=node: is_known(node), timeout_s=IN_FORCE_S + OUT_OF_TOUCH_S
            )


class SilentCallLinkTests(unittest.IsolatedAsyncioTestCase):
    """The node `near` has a link to `far`, which goes silent, and one to `other`."""

    async def test_request_that_did_not_arrive_can_not_be_tried_again(self):
        """The peer tells over a new connection that a POST has not arrived."""
        upstreams = [FakeUpstream(), FakeUpstream()]
        nodes = [FakeNode("near", 0.1), FakeNode("far"), FakeNode("other")]
        for upstream in upstreams:
            self.addCleanup(upstream.stop)
        for node in nodes:
            self.addCleanup(node.close)
        near, far, other = nodes
        far.add_upstream("w1", upstreams[0].port)
        other.add_upstream("w2", upstreams[1].port)
        relay = BlackholeRelay(far.ctx.links.port)
        self.addCleanup(relay.stop)
        behind_relay = far.record(f"{HOST}:{relay.port}")
        near.set_members(behind_relay)
        self.assertIsInstance(await near.entry.handle(make_request()), Answer)
        relay.blackhole()
        paths = [f"/p{number}" for number in range(6)]
        calls = [
            asyncio.ensure_future(near.entry.handle(make_request("POST", path)))
            for path in paths
        ]
        await wait_for(lambda: near.entry.peers.outstanding == len(paths))
        near.set_members(behind_relay, other.record())
        results = await asyncio.gather(*calls)
        self.assertEqual([r for r in results if not isinstance(r, Answer)], [])
        runs = [path for up in upstreams for path in up.seen if path in paths]
        self.assertEqual(sorted(runs), sorted(paths))


class SilentLinkTimeTests(unittest.IsolatedAsyncioTestCase):
    """Calls of 1 s from `near` to `far`, behind a relay, or to `other`."""

    async def asyncSetUp(self):
        self.upstreams = [FakeUpstream(), FakeUpstream()]
        self.near, self.far, self.other = (
            FakeNode(name) for name in ("near", "far", "other")
        )
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
        for node in (self.near, self.far, self.other):
            self.addCleanup(node.close)
        self.far.add_upstream("w1", self.upstreams[0].port)
        self.other.add_upstream("w2", self.upstreams[1].port)

    def put_behind(self, relay):
        self.addCleanup(relay.stop)
        self.behind_relay = self.far.record(f"{HOST}:{relay.port}")
        self.near.set_members(self.behind_relay)

    async def call(self, method="POST", path="/a", deadline_ms=1000):
        return await self.near.entry.handle(
            make_request(method, path, deadline_ms=deadline_ms)
        )

    async def make_slow_call(self):
        """Make a call of 0.3 s; the entry node takes this for the usual time."""
        gate = self.upstreams[0].gates["/usual"] = asyncio.Event()
        asyncio.get_running_loop().call_later(0.3, gate.set)
        self.assertIsInstance(await self.call(path="/usual"), Answer)

    async def call_on_silent_link(self, method):
        """Make a call over a link that has just become silent."""
        relay = BlackholeRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        await self.make_slow_call()
        relay.blackhole()
        call = asyncio.ensure_future(self.call(method, "/silent"))
        await wait_for(lambda: self.near.entry.peers.outstanding)
        self.near.set_members(self.behind_relay, self.other.record())
        async with asyncio.timeout(0.6):
            return await call

    async def test_call_that_did_not_arrive_goes_elsewhere_in_time(self):
        """Guards against calls that wait on a silent link until their deadline."""
        for method in ("GET", "POST"):
            with self.subTest(method):
                result = await self.call_on_silent_link(method)
                self.assertIsInstance(result, Answer)

    async def test_call_that_did_not_arrive_takes_no_retry_token(self):
        """Guards against a retry of an idempotent call before it is known that its
        attempt reached no upstream, which costs the budget."""
        budget = RetryBudget(0.0)
        budgets: Any = self.near.entry._budgets
        budgets.for_retries = lambda progress, service: budget
        self.assertIsInstance(await self.call_on_silent_link("GET"), Answer)

    async def test_running_call_is_answered_over_the_new_link(self):
        """Guards against a second execution when only the link is dead."""
        relay = BlackholeRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        gate = self.upstreams[0].gates["/slow"] = asyncio.Event()
        call = asyncio.ensure_future(self.call(path="/slow"))
        await wait_for(lambda: self.upstreams[0].seen)
        relay.blackhole()
        await asyncio.sleep(0.3)
        gate.set()
        async with asyncio.timeout(0.4):
            self.assertIsInstance(await call, Answer)
        self.assertEqual(self.upstreams[0].seen, ["/slow"])

    async def test_link_of_a_stalled_node_is_kept(self):
        """Guards against a node that stalls for 0.2 s and loses its links by that."""
        relay = FreezableRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        self.assertIsInstance(await self.call(), Answer)
        relay.freeze()
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.2)
        relay.resume()
        self.assertIsInstance(await call, Answer)
        self.assertNotIn(b"silent_link", self.near.ctx.metrics.text())

    async def test_node_that_answers_no_new_link_delays_a_call_little(self):
        """Guards against a call that waits until its deadline for a connection to a
        node that was cut off; it reached no upstream and got 504."""
        relay = FreezableRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        relay.freeze()
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.05)
        self.near.set_members(self.behind_relay, self.other.record())
        async with asyncio.timeout(0.8):
            self.assertIsInstance(await call, Answer)

    async def test_later_calls_do_not_wait_for_the_same_dial_again(self):
        """Guards against each call to a node that was cut off waiting for itself."""
        relay = FreezableRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        relay.freeze()
        loop = asyncio.get_running_loop()
        await self.call(deadline_ms=3000)
        started_at = loop.time()
        result = await self.call(deadline_ms=3000)
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertLess(loop.time() - started_at, 0.1)

    @property
    def dials(self):
        return self.near.ctx.links.traffic["calls"].dials

    async def test_node_that_stalls_again_gets_no_second_link(self):
        """Guards against handshakes that slow a host which has too little time."""
        relay = FreezableRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        self.assertIsInstance(await self.call(), Answer)
        for _ in range(2):
            relay.freeze()
            call = asyncio.ensure_future(self.call())
            await asyncio.sleep(0.2)
            relay.resume()
            self.assertIsInstance(await call, Answer)
            await asyncio.sleep(0.1)
        self.assertEqual(self.dials, 2)

    async def test_second_link_that_is_refused_is_not_dialed_again(self):
        """Guards against a dial at each check of a silent link."""
        relay = BlackholeRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        self.assertIsInstance(await self.call(), Answer)
        relay.blackhole()
        relay.stop()
        call = asyncio.ensure_future(self.call())
        self.addCleanup(call.cancel)
        await wait_for(lambda: b"silent_link" in self.near.ctx.metrics.text())
        self.assertLessEqual(self.dials, 3)

    async def test_late_answer_ends_the_wait_for_a_newer_view(self):
        """Guards against an answer that has arrived and is held back for up to 0.5 s,
        while its call waits because another upstream leaves."""
        relay = FreezableRelay(self.far.ctx.links.port)
        self.put_behind(relay)
        self.assertIsInstance(await self.call(), Answer)
        gate = self.upstreams[0].gates["/slow"] = asyncio.Event()
        call = asyncio.ensure_future(self.call("GET", "/slow", 3000))
        await wait_for(lambda: "/slow" in self.upstreams[0].seen)
        self.near.set_members(self.behind_relay, self.other.record())
        ready = self.other.ctx.board.upstreams["w2"]
        leaving = replace(ready, state=UpstreamState.LEAVING)
        self.other.ctx.board.upstreams["w2"] = leaving
        self.other.destination.refresh()
        relay.freeze()
        metrics = self.near.ctx.metrics
        await wait_for(lambda: b"waited_for_view" in metrics.text())
        gate.set()
        relay.resume()
        async with asyncio.timeout(0.3):
            self.assertIsInstance(await call, Answer)
