"""Calls of running calls are recognised, and slots are reserved only in cycles."""

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from lentilsill.outcomes import Answer

from .call_builders import HOST, FakeNode, FakeUpstream, make_request, wait_for

SLOTS = 6


class InnerCallTests(unittest.IsolatedAsyncioTestCase):
    """`near` and `far` each have an upstream of 6 slots of the service `slots`, so that
    a call of one for the other is a cycle."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.gate = asyncio.Event()
        self.addCleanup(self.gate.set)

    def start(self, inner_slots=True):
        self.near, self.far = FakeNode("near"), FakeNode("far")
        for node in (self.near, self.far):
            self.addCleanup(node.close)
            calls = node.ctx.cfg.calls.model_copy(update={"inner_slots": inner_slots})
            node.ctx.cfg = node.ctx.cfg.model_copy(update={"calls": calls})
            node.destination.inner_calls.start()
        self.near.add_upstream("w1", self.upstream.port)
        self.far.add_upstream("w2", self.upstream.port)
        self.near.set_members(self.far.record())

    def call(self, path, caller_ip):
        self.upstream.gates[path] = self.gate
        req = replace(make_request("GET", path), caller_ip=caller_ip)
        return asyncio.ensure_future(self.near.entry.handle(req))

    async def run_call_at_near(self):
        """Let the upstream of `near` run a call that enters at `far`."""
        self.far.set_members(self.near.record())
        self.upstream.gates["/outer"] = self.gate
        handled = self.far.entry.handle(make_request("GET", "/outer"))
        outer = asyncio.ensure_future(handled)
        await wait_for(lambda: self.near.destination.in_flight("w1"))
        return outer

    @property
    def queue(self) -> Any:
        return self.far.destination._upstreams["w2"].queue

    async def test_call_of_a_running_call_is_inner(self):
        """Guards against inner calls that arrive as callers' calls, and against kept
        slots that nothing shows."""
        self.start()
        outer = await self.run_call_at_near()
        calls = [self.call("/inner", HOST) for _ in range(2)]
        await wait_for(lambda: self.queue.inner_slots.running == 2)
        calls.append(self.call("/other", "10.0.0.9"))
        await wait_for(lambda: self.queue.call_count == 3)
        self.assertEqual(self.queue.inner_slots.running, 2)
        await asyncio.sleep(0.3)
        self.far.destination.inner_calls.check()
        self.assertIn(b"slots_reserved", self.far.ctx.metrics.text())
        self.gate.set()
        results = await asyncio.gather(outer, *calls)
        self.assertTrue(all(isinstance(r, Answer) for r in results))

    async def test_calls_are_not_inner_without_circle_or_setting(self):
        """Guards against slots that a service outside of cycles reserves."""
        for is_on in (False, True):
            self.start(is_on)
            outer = None if is_on else await self.run_call_at_near()
            call = self.call("/a", HOST)
            await wait_for(lambda: self.queue.call_count == 1)
            self.assertEqual(self.queue.inner_slots.running, 0)
            self.gate.set()
            await asyncio.gather(call, *[outer] * (outer is not None))
            self.gate.clear()
