"""A restarted node discovers its upstream by health checks with any answers."""

import asyncio
import random
import unittest

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.discovery import UpstreamDiscovery
from lentilsill.daemon.controllers.upstream_check import UpstreamCheck
from lentilsill.daemon.controllers.upstream_client import MAX_ANSWER_BYTES
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.tests.endless_server import EndlessServer
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

from .builders import node_settings

HEADER_NAMES = HeaderNames(
    attempt_id="Attempt", answer_digest="Digest", load="Load", upstream="Instance"
)
HEALTHY = (
    b"HTTP/1.1 200 OK\r\nInstance: i-7\r\nLoad: 1,0,8\r\nContent-Length: 0\r\n\r\n"
)

# Bytes that the server sends beyond the largest answer are in kernel buffers.
MAX_SENT_BYTES = MAX_ANSWER_BYTES + 16 * 1024 * 1024


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
        self.discovery = UpstreamDiscovery(
            self.ctx, announcements, UpstreamCheck(self.ctx, Integration(HEADER_NAMES))
        )
        self.run_checks = lambda: self.discovery._run(address)

    async def test_healthy_upstream_is_announced(self):
        """Guards against calls that are refused until the next announcement."""
        self.server.answer = HEALTHY
        await self.run_checks()
        self.assertEqual(self.ctx.board.upstreams["i-7"].slots, 8)

    async def test_slots_are_read_from_headers_with_any_number_of_figures(self):
        """Guards against the pace of the host that is taken for the number of slots:
        the last figure was read, and headers with four figures gave 250 slots."""
        for load, slots in (
            (b"1,0,8", 8),
            (b"1,0,8,250", 8),
            (b"1, 0, 8, 250", 8),
            (b",,8,x", 8),
            (b"1,0,8,250,3", 8),
            (b"1,0,x,250", 1),
            (b"1,0", 1),
            (b"1,0,,250", 1),
            (b"", 1),
        ):
            with self.subTest(load=load):
                self.server.answer = HEALTHY.replace(b"1,0,8", load)
                announcement = await self.discovery._check(self.server.address)
                assert announcement is not None
                self.assertEqual(announcement.record.slots, slots)

    async def test_leaving_or_failing_upstream_is_not_announced(self):
        """Guards against calls to a leaving upstream after a restart of its node."""
        self.server.answer = HEALTHY.replace(b"200 OK", b"503 Unavailable")
        await self.run_checks()
        self.assertEqual(self.ctx.board.upstreams, {})

    async def test_upstream_that_becomes_healthy_is_announced(self):
        """Guards against a failed health check that outweighs a later passed one."""
        self.server.answer = HEALTHY.replace(b"200 OK", b"503 Unavailable")
        self.server.later_answer = HEALTHY
        await self.run_checks()
        self.assertIn("i-7", self.ctx.board.upstreams)

    async def test_endless_answer_is_aborted(self):
        """Guards against an endless answer that exhausts the memory of the node."""
        self.server.answer = HEALTHY.replace(b"Content-Length: 0\r\n", b"")
        self.server.filler = b"x" * 65536
        async with asyncio.timeout(5):
            await self.run_checks()
        self.assertLess(max(self.server.sent_bytes), MAX_SENT_BYTES)
        self.assertEqual(self.ctx.board.upstreams, {})
