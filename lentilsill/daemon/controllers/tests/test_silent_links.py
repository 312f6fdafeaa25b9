"""Open links between nodes that go silent for good, while new ones work."""

import asyncio
import unittest

from lentilsill.daemon.blackboard import Topic
from lentilsill.membership import UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer

from .call_builders import (
    HOST,
    BlackholeRelay,
    FakeNode,
    FakeUpstream,
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
