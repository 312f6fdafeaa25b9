"""An upstream counts as silent only while the node could have heard it."""

import asyncio
import json
import time
import unittest

from lentilsill.daemon.admin_server import SILENCE_CHECK_INTERVAL_S, AdminServer
from lentilsill.daemon.controllers.tests.claim_builders import make_node, wait_for

TIMEOUT_S = 1.0
BODY = {"service": "slots", "address": "127.0.0.1:9", "slots": 6, "state": "ready"}


class SilentUpstreamTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ctx = make_node(1)
        cfg = self.ctx.cfg
        membership = cfg.membership.model_copy(update={"announce_timeout_s": TIMEOUT_S})
        self.ctx.cfg = cfg.model_copy(update={"membership": membership})
        self.dropped: list[str] = []
        self.server = AdminServer(self.ctx, self.dropped.append)
        self.server.start("127.0.0.1:0")

    async def asyncTearDown(self):
        self.server.stop()
        self.ctx.links.close()
        for task in list(self.ctx.tasks):
            task.cancel()

    async def announce(self):
        """Send an announcement without waiting for its answer."""
        port = self.server.port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        body = json.dumps(BODY).encode()
        writer.write(
            b"PUT /lentilsill/upstreams/w1 HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    async def test_stalled_node_drops_an_upstream_whose_announcement_waits(self):
        """Guards against work that is given up though the upstream is well."""
        await self.announce()
        await wait_for(lambda: self.ctx.board.upstreams)
        await asyncio.sleep(0.1)
        await self.announce()
        time.sleep(TIMEOUT_S + 0.5)
        await asyncio.sleep(0.05)
        self.assertEqual(self.dropped, [])

    async def test_stalls_do_not_hide_an_upstream_that_has_died(self):
        """Guards against calls that are sent to a dead upstream for long."""
        await self.announce()
        await wait_for(lambda: self.ctx.board.upstreams)
        time.sleep(TIMEOUT_S + 0.5)
        await asyncio.sleep(0.05)
        start_s = time.monotonic()
        await wait_for(lambda: self.dropped == ["w1"])
        # On a busy machine the checks are late, which extends the time.
        limit_s = 2 * TIMEOUT_S + 3 * SILENCE_CHECK_INTERVAL_S
        self.assertLess(time.monotonic() - start_s, limit_s)
