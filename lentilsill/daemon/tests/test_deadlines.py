"""Deadlines that share one timer."""

import asyncio
import unittest

from lentilsill.daemon.deadlines import Deadlines


class DeadlineTests(unittest.IsolatedAsyncioTestCase):
    async def test_earlier_deadline_added_later_expires_first(self):
        """Guards against a timer that stays set to the first deadline added."""
        deadlines = Deadlines()
        calls = []
        all_ended = asyncio.Event()

        def record_last():
            calls.append("c")
            all_ended.set()

        loop = asyncio.get_running_loop()
        start = loop.time()
        deadlines.add(0.06, record_last)
        deadlines.add(0.03, lambda: calls.append("b"))
        deadlines.remove(deadlines.add(0.02, lambda: calls.append("removed")))
        deadlines.add(0.01, lambda: calls.append("a"))
        deadlines.add(-1.0, lambda: calls.append("past"))
        await asyncio.wait_for(all_ended.wait(), 5)
        self.assertGreaterEqual(loop.time() - start, 0.06)
        self.assertEqual(calls, ["past", "a", "b", "c"])
        self.assertEqual(len(deadlines), 0)
