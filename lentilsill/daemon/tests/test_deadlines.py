"""Deadlines that share one timer."""

import asyncio
import time
import unittest

from lentilsill.daemon.deadlines import Deadlines, run_after_reading


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


class RunAfterReadingTests(unittest.IsolatedAsyncioTestCase):
    TURN_S = 0.02
    # Callers are answered at most this long after a limit.
    MAX_LATENESS_S = 0.5

    async def test_sender_without_a_pause_puts_a_deadline_off(self):
        """Input is always unread, and each turn of the event loop takes long."""
        loop = asyncio.get_running_loop()
        ended = loop.create_future()

        def has_unread_input():
            time.sleep(self.TURN_S)
            return True

        started_at = loop.time()
        run_after_reading(has_unread_input, lambda: ended.set_result(loop.time()))
        async with asyncio.timeout(10):
            ended_at = await ended
        self.assertLess(ended_at - started_at, self.MAX_LATENESS_S)

    async def test_answer_that_arrived_in_a_stall_is_given_up_unread(self):
        """The loop reads only in the second turn after a stall."""
        turns_until_read = 2
        unread = []

        def has_unread_input():
            nonlocal turns_until_read
            turns_until_read -= 1
            return turns_until_read >= 0

        run_after_reading(
            has_unread_input, lambda: unread.append(turns_until_read >= 0)
        )
        time.sleep(1.0)
        await asyncio.sleep(0.05)
        self.assertEqual(unread, [False])
