"""Versions reach every node in time although open links carry nothing any more."""

import unittest

from .spread_builders import FakePlatform, start_node, wait_until
from .test_spread import make_bundle

# A push over a silent link is repeated over a new one within this time.
REPEATED_S = 1.0


def silence(link):
    """Drop all further bytes of a link; both ends keep it open."""
    link.stream.buffer_updated = lambda size: None
    link.stream.write = lambda data: link.stream._completed_write


class SilentPushTests(unittest.IsolatedAsyncioTestCase):
    """Two watchers, and a node that gets versions from them alone."""

    async def asyncSetUp(self):
        self.platform = FakePlatform()
        await self.platform.write("main", make_bundle(0))
        down = FakePlatform(is_up=False)
        self.nodes: list = []
        for name, platform, rate in (
            ("a", self.platform, 50),
            ("b", self.platform, 50),
            ("c", down, 5),
        ):
            seeds = tuple(node.address for node in self.nodes[:1])
            node = start_node(name, platform, seeds, documents="bundle", link_mbps=rate)
            self.addCleanup(node.stop)
            self.nodes.append(node)
        await wait_until(
            lambda: all(node.member_names == set("abc") for node in self.nodes)
        )
        await wait_until(lambda: self.are_at(1))
        self.receiver = self.nodes[2]

    def are_at(self, version):
        return all(node.documents.bundle_version == version for node in self.nodes)

    def links_of_receiver(self):
        links = self.receiver.ctx.links
        return [*links._dialed_links(), *links.accepted]

    async def test_push_over_a_silent_link_is_lost(self):
        """Guards against a node that waits for a digest of a random peer (G9)."""
        await self.platform.write("main", make_bundle(1))
        await wait_until(lambda: self.are_at(2))
        for link in self.links_of_receiver():
            silence(link)
        self.receiver.distribution._handle_digest = lambda link, theirs: False
        await self.platform.write("main", make_bundle(2))
        await wait_until(lambda: self.are_at(3), timeout_s=REPEATED_S)

    async def test_request_to_a_silent_peer_delays_those_to_others(self):
        """Guards against a node that asks nobody else until the request is late."""
        first, second = self.nodes[:2]
        to_first = await self.receiver.ctx.links.connect(first.address, "control")
        to_second = await self.receiver.ctx.links.connect(second.address, "control")
        silence(to_first)
        for node in (first, second):
            node.distribution._push = lambda delta, root: None
        await self.platform.write("main", make_bundle(1))
        await wait_until(lambda: second.documents.bundle_version == 2)
        theirs = second.distribution._local_digest()
        distribution = self.receiver.distribution
        distribution._handle_digest(to_first, theirs)

        def has_version():
            distribution._handle_digest(to_second, theirs)
            return self.are_at(2)

        await wait_until(has_version, timeout_s=REPEATED_S)
