"""Faults of upstreams, links and nodes on the path of a call."""

import asyncio
import dataclasses
import unittest

from lentilsill.daemon.controllers.local_upstream import request_fingerprint
from lentilsill.daemon.controllers.quarantine import QuarantineController
from lentilsill.daemon.controllers.tests.call_builders import (
    HOST,
    BlackholeRelay,
    FakeNode,
    FakeUpstream,
    free_port,
    make_request,
    wait_for,
)
from lentilsill.outcomes import Answer, Outcome, Refused


class QuarantineAll:
    """Quarantines every request."""

    def is_quarantined(self, fingerprint):
        return True


class CallFaultTests(unittest.IsolatedAsyncioTestCase):
    """Calls enter at the node `near`; their upstream is on the node `far`."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = self.node("near")
        self.far = self.node("far")
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())

    def node(self, name, silent_link_s=1.0):
        node = FakeNode(name, silent_link_s)
        self.addCleanup(node.close)
        return node

    async def call(self, method="GET", path="/a", **fields):
        req = dataclasses.replace(make_request(method, path), **fields)
        return await self.near.entry.handle(req)

    async def test_full_ledger_refuses_a_call_as_not_run(self):
        """Guards against a call that runs without an execution record (G6)."""
        self.far.destination.served_calls.ledger.max_records = 1
        gate = self.upstream.gates["/p"] = asyncio.Event()
        first = asyncio.ensure_future(self.call("POST", "/p"))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        second = await self.call("POST", "/q")
        self.assertEqual(second.outcome, Outcome.NOT_RUN)
        gate.set()
        self.assertEqual((await first).body, b"/p")
        # The entry node has settled the first call, which frees its record.
        self.assertEqual((await self.call("POST", "/r")).body, b"/r")
        self.assertEqual(self.upstream.seen, ["/p", "/r"])

    async def test_quarantined_request_does_not_run(self):
        """Guards against another crash, and against ``not_run`` for a key that ran."""
        self.near.entry.guard = QuarantineAll()
        self.assertEqual((await self.call("POST")).outcome, Outcome.NOT_RUN)
        keyed = await self.call("POST", request_key="key")
        self.assertEqual(keyed.outcome, Outcome.UNKNOWN)
        # The destination node refuses the call of an entry node without crash reports.
        self.near.entry.guard = None
        self.far.destination.guard = QuarantineAll()
        self.assertEqual((await self.call("POST")).outcome, Outcome.NOT_RUN)
        self.assertEqual(self.upstream.seen, [])

    def guard(self, node):
        """Add to the node a quarantine whose reports reach no other node."""
        guard = QuarantineController(node.ctx, lambda root, message: 0)
        node.destination.guard = guard
        return guard

    async def test_next_attempt_after_a_crash_runs_alone(self):
        """Guards against a second crash that doesn't show which request caused it.

        The next attempt can arrive before the report of the first crash. If it ran
        beside another call, the second crash would raise neither count; the poison
        scenario lost a third upstream that way.
        """
        dying, busy = FakeUpstream(), FakeUpstream()
        self.addCleanup(busy.stop)
        nodes = [self.node("dying"), self.node("busy")]
        guards = [self.guard(node) for node in nodes]
        for node, upstream in zip(nodes, (dying, busy), strict=True):
            node.add_upstream(f"on-{node.ctx.cfg.node}", upstream.port)
            upstream.raw_answers["/bad"] = b""
        crash = dying.gates["/bad"] = asyncio.Event()
        other = busy.gates["/other"] = asyncio.Event()
        self.near.set_members(nodes[1].record())
        innocent = asyncio.ensure_future(self.call("GET", "/other"))
        await wait_for(lambda: busy.seen == ["/other"])
        self.near.set_members(nodes[0].record())
        bad = asyncio.ensure_future(self.call("GET", "/bad"))
        await wait_for(lambda: dying.seen == ["/bad"])
        self.near.set_members(*(node.record() for node in nodes))
        dying.stop()
        crash.set()
        await wait_for(lambda: nodes[1].destination.in_flight_total == 2)
        self.assertEqual(busy.seen, ["/other"])
        busy.stop()
        other.set()
        self.assertEqual((await innocent).body, b"/other")
        self.assertEqual((await bad).outcome, Outcome.UNKNOWN)
        fingerprint = guards[1].tracker.report(0.0)[0][0]
        await wait_for(lambda: guards[1].is_quarantined(fingerprint))

    async def test_call_after_a_crash_does_not_share_it(self):
        """Guards against an innocent call that makes a crash inconclusive.

        The call started when the upstream had died, but its other connections were
        not closed yet; the poison scenario (seed 18305) then lost a third upstream.
        """
        guard = self.guard(self.far)
        dying = FakeUpstream()
        self.far.add_upstream("w0", dying.port)
        self.near.set_members(self.far.record())
        self.far.ctx.board.upstreams.pop("w1")
        self.near.set_members(self.far.record())
        dying.raw_answers["/bad"] = b""
        crash = dying.gates["/bad"] = asyncio.Event()
        for path in ("/bad", "/waiting"):
            req = make_request("GET", path)
            name = request_fingerprint("", req.service, "GET", path, b"")
            guard.record_suspect(name)
        bad = asyncio.ensure_future(self.call("GET", "/bad"))
        await wait_for(lambda: dying.seen == ["/bad"])
        waiting = asyncio.ensure_future(self.call("GET", "/waiting"))
        await wait_for(lambda: self.far.destination.in_flight_total == 2)
        crash.set()
        await wait_for(lambda: self.far.destination.in_flight_total != 2)
        self.assertEqual(dying.seen, ["/bad"])
        dying.stop()
        await bad
        waiting.cancel()
        rows = {name: count for name, count, _ in guard.tracker.report(0.0)}
        self.assertEqual(sorted(rows.values()), [1, 2])

    async def test_chunked_and_interim_answers_are_whole_or_lost(self):
        """Guards against delivery of an answer cut at a chunk, or of a 1xx answer."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.upstream.raw_answers = {
            "/chunked": chunked + b"2\r\nde\r\n0\r\n\r\n",
            "/cut": chunked + b"2\r\nd",
            "/interim": interim + interim + final,
            "/only-interim": interim,
        }
        answer = await self.call("POST", "/chunked")
        self.assertEqual(answer.body, b"abcde")
        self.assertNotIn("Transfer-Encoding", dict(answer.headers))
        lost = await self.call("POST", "/cut")
        self.assertEqual(lost.outcome, Outcome.RUN_ANSWER_LOST)
        answer = await self.call("POST", "/interim")
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertNotIn("Link", dict(answer.headers))
        unknown = await self.call("POST", "/only-interim")
        self.assertEqual(unknown.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.upstream.seen), 4)

    async def test_calls_spill_over_to_another_domain_and_return(self):
        """Guards against refusal of calls that another domain can answer."""
        remote = dataclasses.replace(self.far.record(), domain="multan")
        self.near.add_upstream("w0", free_port())
        self.near.set_members(self.near.record(), remote)
        self.assertEqual((await self.call("POST", "/p")).body, b"/p")
        local = FakeUpstream()
        self.addCleanup(local.stop)
        self.near.add_upstream("w0", local.port)
        self.near.set_members(self.near.record(), remote)
        for _ in range(5):
            await self.call("POST", "/q")
        self.assertEqual((self.upstream.seen, len(local.seen)), (["/p"], 5))

    async def test_cancellation_reaches_the_upstream(self):
        """Guards against an upstream that works for a caller that has disconnected."""
        self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(self.upstream.gates["/p"].set)
        call = asyncio.ensure_future(self.call("GET", "/p"))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        call.cancel()
        await wait_for(lambda: self.upstream.cancelled == ["/p"])

    async def test_post_after_idle_close_uses_a_new_connection(self):
        """Guards against ``unknown`` when the upstream closed an idle connection."""
        for i in range(5):
            self.assertEqual((await self.call("POST", f"/{i}")).body, f"/{i}".encode())
            self.assertEqual(len(self.upstream.streams), 1)
            self.upstream.close_idle()
        self.assertEqual(len(self.upstream.seen), 5)

    async def test_post_lost_on_a_kept_connection_is_not_sent_again(self):
        """Guards against a second execution after a connection closed (G6).

        The upstream closes a reused connection after it has received the request.
        """
        self.upstream.raw_answers["/p"] = b""
        self.assertIsInstance(await self.call("POST"), Answer)
        result = await self.call("POST", "/p")
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.upstream.seen, ["/a", "/p"])

    async def test_silent_link_leaves_time_for_a_second_attempt(self):
        """Guards against a lookup that waits on a dead link until its deadline.

        The deadline is 800 ms.
        """
        other = self.node("other")
        other.add_upstream("w2", self.upstream.port)
        relay = BlackholeRelay(self.far.port)
        self.addCleanup(relay.stop)
        self.near.set_members(self.far.record(f"{HOST}:{relay.port}"))
        self.assertIsInstance(await self.call(), Answer)
        relay.blackhole()
        call = asyncio.ensure_future(self.call("GET", "/b", deadline_ms=800))
        await wait_for(lambda: self.near.entry.peers.outstanding == 1)
        self.near.set_members(self.far.record(f"{HOST}:{relay.port}"), other.record())
        self.assertEqual((await call).body, b"/b")

    async def test_long_call_keeps_its_link(self):
        """Guards against closing a link because one call takes long."""
        self.assertIsInstance(await self.call(), Answer)
        (link,) = self.far.ctx.links.accepted
        gate = self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.call("POST", "/p"))
        # Hello, two calls, and at least two link probes that were answered.
        await wait_for(lambda: link.traffic.received_messages >= 4)
        gate.set()
        self.assertEqual((await call).body, b"/p")
        self.assertTrue(link.is_open)


class WaitingCallTests(unittest.IsolatedAsyncioTestCase):
    async def test_caller_learns_before_its_deadline_that_its_call_can_not_run(self):
        """Guards against a refusal that is sent at the deadline and arrives after it.

        The upstream took 0.3 s for the first calls, and then holds all six slots.
        """
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", upstream.port)
        node.set_members(node.record())
        loop = asyncio.get_running_loop()
        usual = upstream.gates["/usual"] = asyncio.Event()
        loop.call_later(0.3, usual.set)
        await node.entry.handle(make_request(path="/usual"))
        held = upstream.gates["/held"] = asyncio.Event()
        self.addCleanup(held.set)
        for _ in range(6):
            call = node.entry.handle(make_request(path="/held"))
            self.addCleanup(asyncio.ensure_future(call).cancel)
        await wait_for(lambda: upstream.seen.count("/held") == 6)
        started_at = loop.time()
        waiting = await node.entry.handle(make_request(deadline_ms=1000))
        assert isinstance(waiting, Refused)
        self.assertIs(waiting.outcome, Outcome.NOT_RUN)
        self.assertGreater(waiting.retry_after_s, 0.0)
        self.assertLess(loop.time() - started_at, 0.9)
        self.assertGreater(loop.time() - started_at, 0.5)


if __name__ == "__main__":
    unittest.main()
