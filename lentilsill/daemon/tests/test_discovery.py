"""A restarted node asks its upstream who it is, whatever that sends."""

import asyncio
import random
import unittest

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.discovery import UpstreamDiscovery
from lentilsill.daemon.controllers.upstream_client import MAX_ANSWER_BYTES
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.tests.endless_server import EndlessServer
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

from .builders import node_settings

NAMES = HeaderNames(
    attempt_id="Attempt", answer_digest="Digest", load="Load", upstream="Instance"
)
HEALTHY = (
    b"HTTP/1.1 200 OK\r\nInstance: i-7\r\nLoad: 1,0,8\r\nContent-Length: 0\r\n\r\n"
)

# What is read beyond the largest answer lies in the buffers of the kernel.
BOUND_BYTES = MAX_ANSWER_BYTES + 16 * 1024 * 1024


class DiscoveryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addCleanup(self.server.stop)
        address = self.server.address
        cfg = node_settings("n1", host_upstream_address=address, host_service="s")
        links = PeerLinks(Identity("n1", "i-1", "d", "127.0.0.1:1"), "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        announcements = Announcements(self.ctx)
        discovery = UpstreamDiscovery(self.ctx, announcements, Integration(NAMES))
        self.run_checks = lambda: discovery._run(address)

    async def test_healthy_upstream_is_announced(self):
        """Guards against refused calls until the next announcement."""
        self.server.answer = HEALTHY
        await self.run_checks()
        self.assertEqual(self.ctx.board.upstreams["i-7"].slots, 8)

    async def test_leaving_or_failing_upstream_is_not_announced(self):
        """Guards against an upstream that left and is in use again after a restart."""
        self.server.answer = HEALTHY.replace(b"200 OK", b"503 Unavailable")
        await self.run_checks()
        self.assertEqual(self.ctx.board.upstreams, {})

    async def test_upstream_that_becomes_healthy_is_announced(self):
        """Guards against a doubt that outlives the health check which caused it."""
        self.server.answer = HEALTHY.replace(b"200 OK", b"503 Unavailable")
        self.server.later_answer = HEALTHY
        await self.run_checks()
        self.assertIn("i-7", self.ctx.board.upstreams)

    async def test_bytes_without_end_are_given_up(self):
        """Guards against an upstream whose bytes end the node of its host."""
        self.server.answer = HEALTHY.replace(b"Content-Length: 0\r\n", b"")
        self.server.filler = b"x" * 65536
        async with asyncio.timeout(5):
            await self.run_checks()
        self.assertLess(max(self.server.sent_bytes), BOUND_BYTES)
        self.assertEqual(self.ctx.board.upstreams, {})
