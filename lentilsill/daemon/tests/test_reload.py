"""Settings change while a node runs, and a signal for it does not end the node."""

import asyncio
import os
import random
import signal
import unittest

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.reload import SettingsReload
from lentilsill.findings import Findings, FindingsError
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

from .builders import node_settings


class ReloadTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        links = PeerLinks(Identity("n1", "i", "d", "127.0.0.1:1"), "127.0.0.1")
        cfg = node_settings("n1")
        self.ctx = Context(
            cfg, Blackboard(EMPTY_SNAPSHOT), links, None, random.Random(1)
        )
        self.loads = 0
        self.new = cfg
        self.findings = Findings()
        task = asyncio.ensure_future(SettingsReload(self.ctx, self.load).run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    def load(self):
        self.loads += 1
        if self.findings:
            raise FindingsError(self.findings)
        return self.new

    async def hang_up(self):
        before = self.loads
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(5):
            while self.loads == before:
                await asyncio.sleep(0.005)

    async def test_signal_reloads_and_the_process_goes_on(self):
        """Guards against a node that SIGHUP ends: on santa-kz scale-1 nine processes
        ended with code 129."""
        self.new = node_settings("n1", host_service="a", peer_address="127.0.0.1:9")
        await self.hang_up()
        self.assertEqual(self.ctx.cfg.host_service, "a")
        # Addresses are bound at the start.
        self.assertEqual(self.ctx.cfg.peer_address, "127.0.0.1:1")

    async def test_settings_with_findings_change_nothing(self):
        """Guards against a node that a bad edit of its settings changes."""
        self.findings.add("domain", "is wrong")
        await self.hang_up()
        self.assertEqual(self.ctx.cfg, node_settings("n1"))
