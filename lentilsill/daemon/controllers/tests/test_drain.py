"""Tests that a draining node answers accepted calls and refuses later ones."""

import asyncio
import threading
import unittest
from dataclasses import replace
from typing import Any

from lentilsill.daemon.controllers.drain import LAST_CALLS_S, DrainController
from lentilsill.drain import DrainReason
from lentilsill.outcomes import Answer, Outcome, Refused

from .call_builders import FakeNode, FakeUpstream, RawPeer, make_request, wait_for

TIMEOUT_S = 5.0


class DrainTests(unittest.IsolatedAsyncioTestCase):
    """Drains the node `near`, whose calls run on an upstream of the node `far`."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near, self.far = FakeNode("near"), FakeNode("far")
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())
        ctx = self.near.ctx
        calls = ctx.cfg.calls.model_copy(
            update={"drain_min_s": 0.1, "drain_take_s": 0.3, "drain_bound_s": 2.0}
        )
        ctx.cfg = ctx.cfg.model_copy(update={"calls": calls})
        self.drain = DrainController(ctx, lambda: self.near.entry.in_flight)

    async def test_callers_that_never_stop_do_not_prolong_the_drain(self):
        """Guards against calls that are accepted shortly before the process is killed.

        Callers that find too few other nodes keep sending, so that the node is never
        idle and the calls are lost (studnar-registre trouble-3, LOST).
        """
        results: list[Any] = []

        async def call_forever():
            while True:
                results.append(await self.near.entry.handle(make_request()))
                # A refused caller sends again at once, despite `retry_after_s`.
                await asyncio.sleep(0)

        callers = [asyncio.ensure_future(call_forever()) for _ in range(16)]
        async with asyncio.timeout(1.5):
            reason = await self.drain.run()
        for caller in callers:
            caller.cancel()
        self.assertEqual(reason, DrainReason.IDLE)
        self.assertIsInstance(results[0], Answer)
        self.assertEqual(results[-1].outcome, Outcome.NOT_RUN)
        self.assertGreater(results[-1].retry_after_s, 0)

    async def test_accepted_call_is_answered(self):
        """Guards against a drain that abandons a call running on an upstream (G8)."""
        self.upstream.gates["/slow"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request(path="/slow")))
        await wait_for(lambda: "/slow" in self.upstream.seen)
        drain = asyncio.ensure_future(self.drain.run())
        await wait_for(lambda: self.near.ctx.board.is_refusing_callers)
        self.assertFalse(drain.done())
        self.upstream.gates["/slow"].set()
        self.assertIsInstance(await call, Answer)
        self.assertEqual(await drain, DrainReason.IDLE)

    async def test_call_in_progress_is_cut_when_the_process_is_killed(self):
        """Its limit is beyond the grace period, so that nothing else ends it."""
        self.upstream.gates["/slow"] = asyncio.Event()
        self.addCleanup(self.upstream.gates["/slow"].set)
        calls = [
            asyncio.ensure_future(self.near.entry.handle(make_request(method, "/slow")))
            for method in ("GET", "POST")
        ]
        await wait_for(lambda: len(self.upstream.seen) == 2)
        self.drain.state = replace(self.drain.state, bound_s=0.5)
        limits = self.near.ctx.cfg.calls.model_copy(update={"drain_bound_s": 0.5})
        self.near.ctx.cfg = self.near.ctx.cfg.model_copy(update={"calls": limits})
        self.assertEqual(await self.drain.run(), DrainReason.BOUND)
        async with asyncio.timeout(LAST_CALLS_S + 0.3):
            results = await asyncio.gather(*calls)
        outcomes = {getattr(result, "outcome", None) for result in results}
        self.assertEqual(outcomes, {Outcome.UNKNOWN})

    async def test_calls_at_a_silent_peer_are_cut_when_the_process_is_killed(self):
        """The peer takes the calls and says nothing more, also on a new link."""
        peer = RawPeer()
        self.addCleanup(peer.close)
        self.near.set_members(peer.record())
        threading.Thread(target=peer.receive_call, daemon=True).start()
        calls = [
            asyncio.ensure_future(self.near.entry.handle(make_request(method, "/slow")))
            for method in ("GET", "POST")
        ]
        await asyncio.sleep(0.2)
        limits = self.near.ctx.cfg.calls.model_copy(update={"drain_bound_s": 0.5})
        self.near.ctx.cfg = self.near.ctx.cfg.model_copy(update={"calls": limits})
        self.drain.state = replace(self.drain.state, bound_s=0.5)
        started_at = self.near.ctx.now()
        await self.drain.run()
        async with asyncio.timeout(TIMEOUT_S):
            results = await asyncio.gather(*calls)
        ended_s = self.near.ctx.now() - started_at
        self.assertLess(ended_s, 0.5 + LAST_CALLS_S + 0.3)
        self.assertTrue(all(isinstance(result, Refused) for result in results))

    async def test_late_call_may_run_beyond_the_end_of_the_process(self):
        """It is accepted in the drain with more time than the process has left."""
        limits: list[int] = []
        execute = self.far.destination.execute

        async def record(execution):
            limits.append(execution.call.deadline_ms)
            return await execute(execution)

        self.far.destination.execute = record  # type: ignore[method-assign]
        self.drain.begin()
        await self.near.entry.handle(make_request("POST"))
        self.assertLessEqual(limits[0], 1000 * (2.0 + LAST_CALLS_S))
