"""Requests that were in flight at crashes, on nodes that report them to each other."""

import asyncio
import unittest
from dataclasses import replace

from lentilsill.daemon.controllers.local_upstream import call_fingerprint
from lentilsill.daemon.controllers.quarantine import QuarantineController
from lentilsill.daemon.controllers.tests.call_builders import (
    FakeNode,
    FakeUpstream,
    make_request,
    wait_for,
)
from lentilsill.outcomes import Answer, Outcome

CALLER = "Caller"


class SuspectTests(unittest.IsolatedAsyncioTestCase):
    """Three nodes with an upstream each, which also take the calls of callers."""

    async def asyncSetUp(self):
        self.nodes, self.guards, self.upstreams = [], [], []
        for number in range(3):
            node = FakeNode(f"n{number}")
            self.addCleanup(node.close)
            guard = QuarantineController(node.ctx)
            node.destination.guard = node.entry.guard = guard
            guard.start()
            self.guards.append(guard)
            upstream = FakeUpstream()
            self.addCleanup(upstream.stop)
            node.add_upstream(f"w{number}", upstream.port)
            node.destination.drop_upstream = self.drop(node)
            self.nodes.append(node)
            self.upstreams.append(upstream)
        self.set_members()

    def set_members(self, *nodes):
        for node in self.nodes:
            node.set_members(*(other.record() for other in nodes or self.nodes))

    def drop(self, node):
        def drop_upstream(upstream, reason):
            node.ctx.board.upstreams.pop(upstream, None)
            node.destination.refresh()
            self.set_members()
            return True

        return drop_upstream

    def trackers(self):
        return [guard.tracker for guard in self.guards]

    def gate(self, number, path):
        """Hold requests of the path at an upstream; it then closes the connection."""
        gate = self.upstreams[number].gates[path] = asyncio.Event()
        self.upstreams[number].raw_answers[path] = b""
        return gate

    def call(self, number, path="/top", method="GET"):
        return asyncio.ensure_future(
            self.nodes[number].entry.handle(make_request(method, path))
        )

    async def start_at(self, number, path="/top", method="GET"):
        """Start a call at the upstream of a node."""
        self.set_members(self.nodes[number])
        call = self.call(number, path, method)
        await wait_for(lambda: path in self.upstreams[number].seen)
        self.set_members()
        return call

    async def crash(self, number, gate):
        self.upstreams[number].stop()
        gate.set()

    async def test_upstreams_that_crash_together_quarantine_a_popular_request(self):
        """Two upstreams of a rack each had the same request alone, by chance."""
        gates = [self.gate(number, "/top") for number in (0, 1)]
        calls = [await self.start_at(number) for number in (0, 1)]
        for number in (0, 1):
            await self.crash(number, gates[number])
            # The first crash is reported before the second one is confirmed.
            await asyncio.sleep(0.03)
        await asyncio.gather(*calls)
        await wait_for(lambda: not self.nodes[1].ctx.board.upstreams)
        results = [await self.call(number) for number in (2, 0, 1, 2)]
        self.assertEqual([r for r in results if not isinstance(r, Answer)], [])
        self.assertEqual([t.quarantined(0.0) for t in self.trackers()], [()] * 3)

    async def test_run_that_ends_elsewhere_leaves_its_copies_suspects(self):
        """A copy that was running at the crash shows that the request is harmless."""
        slow = self.upstreams[2].gates["/top"] = asyncio.Event()
        other_call = await self.start_at(2)
        gate = self.gate(0, "/top")
        call = await self.start_at(0)
        await self.crash(0, gate)
        await wait_for(lambda: all(len(t) for t in self.trackers()))
        slow.set()
        await asyncio.gather(call, other_call)
        await wait_for(lambda: not any(len(t) for t in self.trackers()))

    async def test_copies_of_a_crashing_request_crash_an_upstream_each(self):
        """Copies come at all nodes at once, after the first crash was reported."""
        gate = self.gate(0, "/bad")
        first = await self.start_at(0, "/bad", "POST")
        await self.crash(0, gate)
        await first
        await wait_for(lambda: all(len(t) for t in self.trackers()))
        gates = [self.gate(number, "/bad") for number in (1, 2)]
        copies = [self.call(number, "/bad", "POST") for number in (0, 1, 2)]
        await wait_for(lambda: self.upstreams[1].seen or self.upstreams[2].seen)
        await asyncio.sleep(0.1)
        runs = [len(upstream.seen) for upstream in self.upstreams[1:]]
        self.assertEqual(sorted(runs), [0, 1])
        chosen = 1 if self.upstreams[1].seen else 2
        await self.crash(chosen, gates[chosen - 1])
        results = await asyncio.gather(*copies)
        self.assertEqual(
            sorted(result.outcome for result in results),
            sorted([Outcome.UNKNOWN, Outcome.NOT_RUN, Outcome.NOT_RUN]),
        )
        self.assertEqual(sum(len(u.seen) for u in self.upstreams[1:]), 1)
        await wait_for(lambda: all(t.quarantined(0.0) for t in self.trackers()))

    async def test_refusal_of_one_callers_request_holds_for_all_callers(self):
        """The requests are equal but for the service of the caller."""
        req = make_request("GET", "/bad")
        names = [
            call_fingerprint(replace(req, headers=((CALLER, caller),)), CALLER)
            for caller in ("a", "b", "a")
        ]
        self.assertEqual(names[0], names[2])
        self.assertNotEqual(names[0], names[1])

    async def test_request_that_ran_is_refused_as_not_run_when_it_is_a_suspect(self):
        """Its first attempt got a failure; the second one waits for a trial."""
        failed = b"HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail"
        self.upstreams[0].raw_answers["/top"] = failed
        gate = self.upstreams[0].gates["/top"] = asyncio.Event()
        call = await self.start_at(0)
        self.set_members(self.nodes[1])
        req = make_request("GET", "/top")
        self.guards[1].record_suspect(call_fingerprint(req, ""))
        busy = self.upstreams[1].gates["/busy"] = asyncio.Event()
        self.addCleanup(busy.set)
        other = await self.start_at(1, "/busy")
        self.set_members(self.nodes[1])
        gate.set()
        await wait_for(lambda: self.nodes[1].destination.in_flight_total == 2)
        self.nodes[1].destination.on_upstream_crash("w1")
        result = await call
        self.assertEqual(getattr(result, "status", None), 500)
        busy.set()
        await other

    async def test_suspect_that_waited_behind_a_lost_trial_is_refused(self):
        """The trial was of another request, which shared the first crash with it."""
        for path in ("/bad", "/top"):
            name = call_fingerprint(make_request("GET", path), "")
            self.guards[1].record_suspect(name)
        gate = self.gate(1, "/bad")
        trial = await self.start_at(1, "/bad")
        self.set_members(self.nodes[1])
        call = self.call(0)
        await wait_for(lambda: self.nodes[1].destination.in_flight_total == 2)
        self.set_members()
        await self.crash(1, gate)
        await trial
        self.assertIsInstance(await call, Answer)
