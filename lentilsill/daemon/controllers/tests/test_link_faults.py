"""Calls on links between nodes of which one stalls for a moment."""

import asyncio
import dataclasses
import threading
import unittest
from functools import partial

from lentilsill.daemon.controllers.tests.call_builders import (
    HOST,
    FakeNode,
    FakeUpstream,
    FreezableRelay,
    RawPeer,
    make_document,
    make_request,
    send_unread,
    stop_process,
    wait_for,
)
from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.versioning import Snapshot
from lentilsill.wire.messages import Answer as AnswerMessage, Ping, Pong

# Longer than the silence and the wait after which a link is closed.
STALL_S = 0.8
METHODS = ("GET", "POST")
FAILED = b"HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail"


class StalledPeerTests(unittest.IsolatedAsyncioTestCase):
    """The node `near` has calls at the node `far` while `far` stalls."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = self.start_node("near")
        self.far = self.start_node("far")
        self.far.add_upstream("w1", self.upstream.port)
        self.relay = FreezableRelay(self.far.port)
        self.addCleanup(self.relay.stop)
        self.far_record = self.far.record(f"{HOST}:{self.relay.port}")
        self.near.set_members(self.far_record)

    def start_node(self, name):
        node = FakeNode(name, silent_link_s=0.2)
        self.addCleanup(node.close)
        return node

    def start_other(self):
        """Start the node `other`, whose upstream has the service as well."""
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        other = self.start_node("other")
        other.add_upstream("w2", upstream.port)
        return other, upstream

    async def start_calls(self, count):
        gate = self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(gate.set)
        calls = [
            asyncio.ensure_future(self.near.entry.handle(make_request("GET", "/p")))
            for _ in range(count)
        ]
        await wait_for(lambda: len(self.upstream.seen) == min(count, 6))
        return gate, calls

    async def test_ready_answers_of_a_stalled_node_are_dropped_with_its_link(self):
        """The only node with the service stalls while its upstream answers."""
        gate, calls = await self.start_calls(6)
        self.relay.freeze()
        gate.set()
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        results = await asyncio.gather(*calls)
        self.assertEqual([r for r in results if not isinstance(r, Answer)], [])
        self.assertEqual(len(self.upstream.seen), 6)
        metrics = self.near.ctx.metrics.text()
        self.assertIn(b"lentilsill_calls_late_reply_total 6.0", metrics)
        self.assertEqual(self.near.entry.peers.outstanding, 0)

    async def test_calls_sent_to_a_stalled_node_fail_or_run_twice(self):
        """The calls wait unread at the stalled node when their link is closed.

        After the stall, the node reads them and the query for their outcomes.
        """
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.seen.clear()
        self.relay.freeze()
        paths = {method: [f"/{method}{i}" for i in range(3)] for method in METHODS}
        calls = [
            asyncio.ensure_future(self.near.entry.handle(make_request(method, path)))
            for method in METHODS
            for path in paths[method]
        ]
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        results = await asyncio.gather(*calls)
        self.assertEqual([r for r in results if not isinstance(r, Answer)], [])
        await asyncio.sleep(0.1)
        self.assertEqual(sorted(self.upstream.seen), sorted(sum(paths.values(), [])))

    async def test_calls_beyond_the_retry_budget_fail_when_a_node_stalls(self):
        """Another node could answer, but the budget covers only some of the calls."""
        other_upstream = FakeUpstream()
        self.addCleanup(other_upstream.stop)
        other = self.start_node("other")
        other.add_upstream("w2", other_upstream.port)
        gate, calls = await self.start_calls(18)
        self.near.set_members(self.far_record, other.record())
        self.relay.freeze()
        gate.set()
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        results = await asyncio.gather(*calls)
        self.assertEqual([r for r in results if not isinstance(r, Answer)], [])
        # 10 tokens of the retry budget at the start, and 10% of the calls.
        self.assertLessEqual(len(other_upstream.seen), 11)
        self.assertEqual(self.near.entry.peers.outstanding, 0)

    async def test_late_answer_waits_for_a_slow_second_attempt(self):
        """The second attempt is slow; the stalled node's answer is ready before."""
        other_upstream = FakeUpstream()
        self.addCleanup(other_upstream.stop)
        slow = other_upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(slow.set)
        other = self.start_node("other")
        other.add_upstream("w2", other_upstream.port)
        gate, (call,) = await self.start_calls(1)
        self.near.set_members(self.far_record, other.record())
        self.relay.freeze()
        gate.set()
        await wait_for(lambda: other_upstream.seen == ["/p"])
        self.relay.resume()
        result = await asyncio.wait_for(call, 1.5)
        self.assertEqual(result.body, b"/p")
        await wait_for(lambda: not other.destination.in_flight_total)

    async def test_late_status_500_stops_a_second_attempt_that_would_succeed(self):
        other, other_upstream = self.start_other()
        slow = other_upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(slow.set)
        self.upstream.raw_answers["/p"] = FAILED
        gate, (call,) = await self.start_calls(1)
        self.near.set_members(self.far_record, other.record())
        self.relay.freeze()
        gate.set()
        await wait_for(lambda: other_upstream.seen)
        self.relay.resume()
        await asyncio.sleep(0.4)
        slow.set()
        result = await call
        seen = [self.upstream.seen, other_upstream.seen]
        self.assertEqual(
            (getattr(result, "status", result), seen), (200, [["/p"], ["/p"]])
        )

    async def test_late_status_500_is_lost_when_nothing_better_comes(self):
        """The only node with the service stalls."""
        self.upstream.raw_answers["/p"] = FAILED
        gate, (call,) = await self.start_calls(1)
        self.relay.freeze()
        gate.set()
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        self.assertEqual(getattr(await call, "status", None), 500)

    async def test_call_at_a_node_that_stays_silent_waits_until_its_deadline(self):
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.relay.freeze()
        self.addCleanup(self.relay.resume)
        req = dataclasses.replace(make_request("GET", "/p"), deadline_ms=2000)
        result = await asyncio.wait_for(self.near.entry.handle(req), 1.6)
        self.assertIsInstance(result, Refused)

    async def test_attempt_runs_on_when_its_call_ends_before_the_link_is_back(self):
        """Another node answers while the first one, which runs the call, stalls."""
        other, other_upstream = self.start_other()
        _, (call,) = await self.start_calls(1)
        self.near.set_members(self.far_record, other.record())
        self.relay.freeze()
        self.assertIsInstance(await call, Answer)
        self.assertEqual(other_upstream.seen, ["/p"])
        self.relay.resume()
        await wait_for(lambda: self.far.destination.in_flight_total == 0, 1.0)

    async def test_late_answer_waits_for_a_slow_hedge(self):
        """The link of the first attempt is lost while its hedge runs."""
        document = make_document(hedge=HedgePolicy(100, 10.0))
        self.near.ctx.board.snapshot = Snapshot({"slots": document}, 1)
        other, other_upstream = self.start_other()
        slow = other_upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(slow.set)
        gate, (call,) = await self.start_calls(1)
        self.near.set_members(self.far_record, other.record())
        self.relay.freeze()
        gate.set()
        await wait_for(lambda: other_upstream.seen == ["/p"])
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        result = await asyncio.wait_for(call, 1.0)
        self.assertEqual(getattr(result, "body", result), b"/p")

    async def test_call_on_a_lost_link_runs_on_when_its_caller_leaves(self):
        """Its caller leaves while the answer is due over the new link."""
        _, (call,) = await self.start_calls(1)
        (lost_link,) = self.far.ctx.links.accepted
        self.relay.freeze()
        await asyncio.sleep(STALL_S)
        self.relay.resume()
        served_calls = self.far.destination.served_calls
        await wait_for(
            lambda: (
                sum(map(served_calls.count_calls, self.far.ctx.links.accepted))
                and lost_link not in self.far.ctx.links.accepted
            )
        )
        call.cancel()
        await wait_for(lambda: self.far.destination.in_flight_total == 0, 1.0)
        await wait_for(lambda: self.near.entry.peers.outstanding == 0, 1.0)


class StoppedNodeTests(unittest.IsolatedAsyncioTestCase):
    """The node `near` is stopped while bytes of the node `far` arrive."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = FakeNode("near", silent_link_s=0.2)
        self.far = FakeNode("far")
        for node in (self.near, self.far):
            self.addCleanup(node.close)
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())
        self.gate = self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(self.gate.set)

    async def start_call(self, method, deadline_ms=0):
        req = make_request(method, "/p")
        req = dataclasses.replace(req, deadline_ms=deadline_ms)
        call = asyncio.ensure_future(self.near.entry.handle(req))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        (link,) = self.far.ctx.links.accepted
        return call, link

    async def test_own_stall_is_taken_for_the_silence_of_a_peer(self):
        """The reply to a probe arrives while the node that probes is stopped.

        Another upstream would get the call a second time.
        """
        other_upstream = FakeUpstream()
        self.addCleanup(other_upstream.stop)
        other = FakeNode("other")
        self.addCleanup(other.close)
        other.add_upstream("w2", other_upstream.port)
        pings = []
        self.far.ctx.links.on(Ping, lambda link, message: pings.append(message))
        call, link = await self.start_call("GET")
        self.near.set_members(self.far.record(), other.record())
        await wait_for(lambda: pings)
        stop_process(0.3, lambda: send_unread(link, Pong(pings[0].token)))
        await asyncio.sleep(0.3)
        await asyncio.sleep(0.1)
        self.gate.set()
        self.assertEqual((await call).body, b"/p")
        self.assertEqual(other_upstream.seen, [])
        self.assertTrue(link.is_open)

    async def test_answer_that_arrived_before_the_deadline_is_dropped(self):
        """The node is stopped across the deadline of a call that was answered."""
        for method in ("GET", "POST"):
            self.upstream.seen.clear()
            call, link = await self.start_call(method, deadline_ms=200)
            (peer,) = self.near.entry.peers._peers.values()
            (call_id,) = peer.outstanding
            answer = AnswerMessage(call_id, 200, (), b"ready", 5, 0)
            stop_process(0.4, partial(send_unread, link, answer))
            result = await call
            self.assertEqual(getattr(result, "body", result), b"ready", method)


class ExitTests(unittest.IsolatedAsyncioTestCase):
    """The node `far` exits as soon as it counts no calls in flight."""

    async def test_result_is_unsent_when_its_node_counts_no_calls(self):
        """The exit closes the links before the last result is passed to its link."""
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        near, far = FakeNode("near"), FakeNode("far")
        for node in (near, far):
            self.addCleanup(node.close)
        far.add_upstream("w1", upstream.port)
        near.set_members(far.record())
        call = asyncio.ensure_future(near.entry.handle(make_request("POST")))
        while not far.destination.in_flight_total:
            await asyncio.sleep(0)
        while far.destination.in_flight_total:
            await asyncio.sleep(0)
        await far.ctx.links.flush(1.0)
        far.close()
        result = await call
        self.assertEqual(getattr(result, "body", result), b"/a")


class StoppedPeerTests(unittest.IsolatedAsyncioTestCase):
    """The peer answers and exits while the node `near` is stalled."""

    async def asyncSetUp(self):
        self.near = FakeNode("near")
        self.addCleanup(self.near.close)
        self.peer = RawPeer()
        self.addCleanup(self.peer.close)
        self.near.set_members(self.peer.record())

    async def test_unread_answers_are_dropped_when_a_write_fails(self):
        """New calls are sent before the answers on the closed link are read.

        The first write to the closed connection resets it, the second one fails.
        """
        first = asyncio.ensure_future(self.near.entry.handle(make_request("POST")))
        call_id = await asyncio.to_thread(self.peer.receive_call)
        answer = AnswerMessage(call_id, 200, (), b"ready", 5, 0)
        stop_process(0.05, partial(self.peer.send_and_close, answer))
        calls = [self.near.entry.handle(make_request("POST")) for _ in range(3)]
        result, *others = await asyncio.gather(first, *calls)
        self.assertEqual(getattr(result, "body", result), b"ready")
        self.assertEqual([r for r in others if isinstance(r, Answer)], [])

    async def test_unread_answers_are_dropped_when_the_peer_resets_the_link(self):
        """The peer exits with an unread call, which resets the connection."""
        first = asyncio.ensure_future(self.near.entry.handle(make_request("POST")))
        call_id = await asyncio.to_thread(self.peer.receive_call)
        second = asyncio.ensure_future(self.near.entry.handle(make_request("POST")))
        await wait_for(lambda: self.near.entry.peers.outstanding == 2)
        answer = AnswerMessage(call_id, 200, (), b"ready", 5, 0)
        stop_process(0.05, partial(self.peer.send_and_close, answer))
        result, other = await asyncio.gather(first, second)
        self.assertEqual(getattr(result, "body", result), b"ready")
        self.assertIsInstance(other, Refused)

    async def test_large_answer_that_arrived_before_the_deadline_is_dropped(self):
        """The answer takes several turns of the event loop to read."""
        req = dataclasses.replace(make_request("POST"), deadline_ms=200)
        call = asyncio.ensure_future(self.near.entry.handle(req))
        call_id = await asyncio.to_thread(self.peer.receive_call)
        body = bytes(2 * 1024 * 1024)
        answer = AnswerMessage(call_id, 200, (), body, len(body), 0)
        sender = threading.Thread(target=self.peer.send_and_close, args=(answer,))
        stop_process(0.4, sender.start)
        result = await call
        await asyncio.to_thread(sender.join)
        self.assertIsInstance(result, Answer)

    async def test_answer_of_a_peer_with_a_status_that_is_none_is_delivered(self):
        """A node of an earlier release passes on what its upstream sent (G4)."""
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST")))
        call_id = await asyncio.to_thread(self.peer.receive_call)
        answer = AnswerMessage(call_id, 999, (), b"ready", 5, 0)
        await asyncio.to_thread(self.peer.send_and_close, answer)
        result = await call
        self.assertEqual(getattr(result, "outcome", result), Outcome.UNKNOWN)
