"""Calls end on the clock of the node that has taken them."""

import asyncio
import gc
import time
import unittest
from collections import Counter

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.call_limits import CallLimits
from lentilsill.outcomes import Answer, Outcome

from .call_builders import FakeNode, FakeUpstream, make_request

ANSWER = Answer(200, (), b"ok")
UPSTREAM_SLOTS = 6
# Shorter than the deadline of the route.
CALLS_END_S = 0.5


class CallLimitTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = FakeNode("near")
        self.addCleanup(self.node.close)
        self.limits = CallLimits(self.node.ctx)

    def run_call(self, call, limit_s):
        return self.limits.run(call, self.node.ctx.now() + limit_s)

    async def test_limit_that_is_due_when_its_call_ends_cancels_later_work(self):
        """The callback of an expired deadline still runs after its removal."""

        async def stall():
            time.sleep(0.05)
            return ANSWER

        self.assertIs(await self.run_call(stall(), 0.01), ANSWER)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.node.ctx.deadlines), 0)

    async def test_ended_call_leaves_a_reference_cycle(self):
        """The garbage collector has to free each call."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        await self.run_call(asyncio.sleep(0, ANSWER), 5.0)
        self.assertEqual(gc.collect(), 0)

    async def test_stall_of_the_process_counts_against_a_call(self):
        """The stall begins in the grace; the call ends in the turns after it."""

        async def answer_after_stall():
            await asyncio.sleep(0.05)
            time.sleep(0.3)
            await asyncio.sleep(0.02)
            return ANSWER

        result = await self.run_call(answer_after_stall(), 0.01)
        self.assertIs(result, ANSWER)

    async def test_call_that_never_ends_has_no_answer(self):
        result = await self.run_call(asyncio.sleep(5), 0.01)
        self.assertIs(result.outcome, Outcome.UNKNOWN)
        # The task that ran the call can go on.
        await asyncio.sleep(0)
        task = asyncio.current_task()
        self.assertEqual(task and task.cancelling(), 0)

    async def test_caller_that_leaves_is_taken_for_the_limit(self):
        call = asyncio.ensure_future(self.run_call(asyncio.sleep(5), 1.0))
        await asyncio.sleep(0.01)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call


class StoppingNodeTests(unittest.IsolatedAsyncioTestCase):
    """A node that ends its calls soon; the upstream of its peer has no free slot."""

    async def test_request_that_no_upstream_began_counts_as_unknown(self):
        """Guards against 504 for a request that its caller could send elsewhere."""
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        gate = upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(gate.set)
        node, peer = FakeNode("near"), FakeNode("far")
        for started in (node, peer):
            self.addCleanup(started.close)
        peer.add_upstream("w1", upstream.port)
        node.set_members(peer.record())
        board = node.ctx.board
        board.draining = True
        board.calls_end_at_s = node.ctx.now() + CALLS_END_S
        board.notify(Topic.DRAIN)
        calls = [
            asyncio.ensure_future(node.entry.handle(make_request("POST", "/p")))
            for _ in range(UPSTREAM_SLOTS + 2)
        ]
        results = await asyncio.gather(*calls)
        self.assertEqual(len(upstream.seen), UPSTREAM_SLOTS)
        outcomes = Counter(getattr(result, "outcome", result) for result in results)
        self.assertEqual(outcomes[Outcome.NOT_RUN], 2, outcomes)
