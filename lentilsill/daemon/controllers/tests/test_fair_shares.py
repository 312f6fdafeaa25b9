"""Organisations of callers share the slots of an upstream."""

import asyncio
import unittest
from typing import Any

from lentilsill.daemon.controllers.call_admission import Admission
from lentilsill.outcomes import Answer

from .call_builders import FakeNode, FakeUpstream, make_request, wait_for

SLOTS_AND_QUEUE = 18


class FairShareTests(unittest.IsolatedAsyncioTestCase):
    """Calls enter at `near`; `far` has an upstream of 6 slots and a queue of 12."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near, self.far = FakeNode("near"), FakeNode("far")
        for node in (self.near, self.far):
            self.addCleanup(node.close)
        admission: Any = self.near.entry.admission

        async def admit(req, route):
            organisation = req.path.split("/")[1]
            return Admission(req, route.priority, organisation, 1.0)

        admission.admit = admit
        self.gate = asyncio.Event()
        self.addCleanup(self.gate.set)

    def start_call(self, path):
        self.upstream.gates[path] = self.gate
        call = self.near.entry.handle(make_request("POST", path))
        return asyncio.ensure_future(call)

    async def fill(self, fair_shares):
        """Let the organisation `large` take all slots and the queue."""
        self.far.ctx.cfg = self.far.ctx.cfg.model_copy(
            update={
                "calls": self.far.ctx.cfg.calls.model_copy(
                    update={"fair_shares": fair_shares}
                )
            }
        )
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())
        calls = [self.start_call(f"/large/{n}") for n in range(SLOTS_AND_QUEUE)]
        await wait_for(lambda: self.far.destination.in_flight_total == len(calls))
        return calls

    async def test_full_queue_refuses_the_organisation_that_fills_it(self):
        """Guards against an organisation that is lost between the entry node and the
        queue, and against refusals that nothing shows."""
        calls = await self.fill(fair_shares=True)
        small = self.start_call("/small/0")
        await wait_for(lambda: any(call.done() for call in calls))
        self.gate.set()
        self.assertIsInstance(await small, Answer)
        results = await asyncio.gather(*calls)
        self.assertEqual(sum(isinstance(r, Answer) for r in results), 17)
        metrics = self.far.ctx.metrics.text()
        self.assertIn(b"lentilsill_calls_refused_above_share_total 1.0", metrics)
        dump: Any = self.far.destination._dump()
        self.assertEqual(set(dump["upstreams"]["w1"]["shares"]), {"large", "small"})

    async def test_organisations_are_ignored_without_the_setting(self):
        """Guards against a changed order of calls where the feature is off."""
        calls = await self.fill(fair_shares=False)
        small = await self.start_call("/small/0")
        self.assertNotIsInstance(small, Answer)
        self.gate.set()
        results = await asyncio.gather(*calls)
        self.assertTrue(all(isinstance(r, Answer) for r in results))
