"""Deadlines that share a timer."""

import asyncio
import unittest

from lentilsill.daemon.deadlines import Deadlines


class DeadlineTests(unittest.IsolatedAsyncioTestCase):
    async def test_earlier_deadline_added_later_is_met_first(self):
        """Guards against a timer that stays set for the first deadline."""
        deadlines = Deadlines()
        order = []
        last = asyncio.Event()

        def end():
            order.append("c")
            last.set()

        loop = asyncio.get_running_loop()
        start = loop.time()
        deadlines.add(0.06, end)
        deadlines.add(0.03, lambda: order.append("b"))
        deadlines.remove(deadlines.add(0.02, lambda: order.append("removed")))
        deadlines.add(0.01, lambda: order.append("a"))
        deadlines.add(-1.0, lambda: order.append("past"))
        await asyncio.wait_for(last.wait(), 5)
        self.assertGreaterEqual(loop.time() - start, 0.06)
        self.assertEqual(order, ["past", "a", "b", "c"])
        self.assertEqual(len(deadlines), 0)
