"""Tests of the reload of settings while a node runs."""

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
        self.load_count = 0
        self.new_cfg = cfg
        self.findings = Findings()
        self.task = asyncio.ensure_future(SettingsReload(self.ctx, self.load).run())
        self.addCleanup(self.task.cancel)
        await asyncio.sleep(0)

    def load(self):
        self.load_count += 1
        if self.findings:
            raise FindingsError(self.findings)
        return self.new_cfg

    async def send_sighup(self):
        count_before = self.load_count
        os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(5):
            while self.load_count == count_before:
                await asyncio.sleep(0.005)

    async def test_sighup_reloads_settings_and_the_process_continues(self):
        """Guards against a node that exits on SIGHUP: in run scale-1 of santa-kz, nine
        processes exited with code 129."""
        self.new_cfg = node_settings("n1", host_service="a", peer_address="127.0.0.1:9")
        await self.send_sighup()
        self.assertEqual(self.ctx.cfg.host_service, "a")
        # Listening addresses are bound only at the start.
        self.assertEqual(self.ctx.cfg.peer_address, "127.0.0.1:1")

    async def test_sighup_during_the_exit_does_not_end_the_process(self):
        """Guards against exit status 129 of a node that has drained."""
        self.addCleanup(signal.signal, signal.SIGHUP, signal.SIG_DFL)
        self.task.cancel()
        await asyncio.wait([self.task])
        self.assertEqual(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)

    async def test_settings_with_findings_change_nothing(self):
        """Guards against a node that applies invalid settings."""
        self.findings.add("domain", "is wrong")
        await self.send_sighup()
        self.assertEqual(self.ctx.cfg, node_settings("n1"))
