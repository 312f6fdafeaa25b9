"""Calls that probe upstreams for a free slot before they queue."""

import asyncio
import unittest

from lentilsill.daemon.controllers.reasons import BUSY
from lentilsill.outcomes import Answer, Outcome
from lentilsill.wire.messages import Call

from .call_builders import FakeNode, FakeUpstream, make_request, wait_for


class _CountingBudget:
    calls = 0

    def add_call(self, now):
        self.calls += 1

    def take_attempt(self, now):
        return True


class SlotProbeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.near = self.start_node("near")
        self.hosts = [self.start_node(name) for name in ("h1", "h2", "h3")]
        self.upstreams = []
        for number, host in enumerate(self.hosts):
            upstream = FakeUpstream()
            self.addCleanup(upstream.stop)
            self.upstreams.append(upstream)
            host.add_upstream(f"w{number}", upstream.port)
            queue = host.destination._upstreams[f"w{number}"].queue
            queue.set_limits(1, 12, 0.0)
        self.near.set_members(*(host.record() for host in self.hosts))

    def start_node(self, name):
        node = FakeNode(name)
        self.addCleanup(node.close)
        return node

    def queue(self, number):
        return self.hosts[number].destination._upstreams[f"w{number}"].queue

    async def occupy(self, numbers):
        """Occupy the only slot of some upstreams with calls from their own nodes."""
        running = []
        for number in numbers:
            path = f"/held{number}"
            self.upstreams[number].gates[path] = asyncio.Event()
            host = self.hosts[number]
            host.set_members(host.record())
            running.append(
                asyncio.ensure_future(host.entry.handle(make_request(path=path)))
            )
            await wait_for(lambda n=number, p=path: p in self.upstreams[n].seen)
        return running

    async def release(self, running):
        for upstream in self.upstreams:
            for gate in upstream.gates.values():
                gate.set()
        return await asyncio.gather(*running)

    async def test_call_finds_the_only_free_slot(self):
        """Guards against a call that queues while another upstream has a free slot."""
        running = await self.occupy((0, 1))
        for number in range(10):
            path = f"/{number}"
            async with asyncio.timeout(2):
                result = await self.near.entry.handle(make_request(path=path))
            self.assertEqual(result.body, path.encode())
            self.assertIn(path, self.upstreams[2].seen)
        await self.release(running)

    async def test_call_that_is_not_idempotent_runs_once(self):
        """Guards against a second execution of a call that was sent as a probe (G6)."""
        running = await self.occupy((0, 1))
        for number in range(10):
            req = make_request("POST", f"/{number}", b"x")
            result = await self.near.entry.handle(req)
            self.assertIsInstance(result, Answer)
        await self.release(running)
        seen = [path for upstream in self.upstreams for path in upstream.seen]
        self.assertEqual(len(seen), len(set(seen)))

    async def test_call_queues_when_no_slot_is_free(self):
        """Guards against a refusal of a call that can still be answered."""
        running = await self.occupy((0, 1, 2))
        call = asyncio.ensure_future(self.near.entry.handle(make_request(path="/a")))
        await wait_for(lambda: sum(self.queue(n).call_count for n in range(3)) == 4)
        results = await self.release([*running, call])
        self.assertTrue(all(isinstance(result, Answer) for result in results))

    async def test_probe_without_a_free_slot_is_refused_as_not_run(self):
        """Guards against the outcome ``not_run`` for a call that runs (G5)."""
        running = await self.occupy((0,))
        call = Call(
            9, "w0", "GET", "/b", (), b"", 900, True, "", "slots", 1, only_if_free=True
        )
        reply = await self.near.entry.peers.send(
            self.hosts[0].ctx.cfg.peer_address, call, self.near.ctx.now() + 1
        )
        self.assertEqual(reply.result.outcome, Outcome.NOT_RUN)
        self.assertEqual(reply.result.reason, BUSY)
        await self.release(running)
        self.assertNotIn("/b", self.upstreams[0].seen)

    async def test_budget_counts_a_call_once(self):
        """Guards against more retries than the budget allows.

        A call that probes several upstreams counts as one call.
        """
        running = await self.occupy((0, 1))
        budget = _CountingBudget()
        self.near.entry._budgets.for_retries = lambda progress, service: budget
        await self.near.entry.handle(make_request(path="/c"))
        self.assertEqual(budget.calls, 1)
        await self.release(running)
