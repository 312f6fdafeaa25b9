"""Calls between two nodes over loopback."""

import asyncio
import dataclasses
import unittest

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.tests.call_builders import (
    HOST,
    BlackholeRelay,
    FakeNode,
    FakeUpstream,
    free_port,
    make_document,
    make_request,
    wait_for,
)
from lentilsill.daemon.interfaces import Granted
from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.versioning import Snapshot


class FakeClaims:
    """Grants each key once."""

    def __init__(self):
        self.records = {}

    async def claim(self, request_key, attempt, fingerprint, timeout_s):
        if request_key in self.records:
            return self.records[request_key]
        return Granted()

    def finish(self, request_key, attempt, result):
        self.records[request_key] = result


class FakeGuard:
    """Records crash reports and quarantines nothing."""

    def __init__(self):
        self.deaths = []
        self.cleared = []

    def is_quarantined(self, fingerprint):
        return False

    def can_start(self, fingerprint, in_flight):
        return True

    def upstream_died(self, in_flight):
        self.deaths.append(in_flight)

    def finished(self, fingerprint):
        self.cleared.append(fingerprint)


class CallTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = self.node("near")
        self.far = self.node("far")
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())

    def node(self, name, silent_link_s=0.1):
        node = FakeNode(name, silent_link_s)
        self.addCleanup(node.close)
        return node

    def through_relay(self):
        relay = BlackholeRelay(self.far.port)
        self.addCleanup(relay.stop)
        self.near.set_members(self.far.record(f"{HOST}:{relay.port}"))
        return relay

    async def test_answers_out_of_order_reach_their_own_calls(self):
        """Guards against an answer given to another request (G4)."""
        for i in range(5):
            self.upstream.gates[f"/{i}"] = asyncio.Event()
        calls = [
            asyncio.ensure_future(self.near.entry.handle(make_request(path=f"/{i}")))
            for i in range(5)
        ]
        await wait_for(lambda: len(self.upstream.seen) == 5)
        for i in reversed(range(5)):
            self.upstream.gates[f"/{i}"].set()
            self.assertEqual((await calls[i]).body, f"/{i}".encode())

    async def test_call_answered_into_a_silent_link_runs_once(self):
        """Guards against a second run when an answer is lost on a link (G6)."""
        relay = self.through_relay()
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.seen.clear()
        relay.blackhole(("down",))
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result.body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_call_lost_on_a_silent_link_is_proved_not_run(self):
        """Guards against `unknown` for a call that never arrived."""
        relay = self.through_relay()
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.seen.clear()
        relay.blackhole()
        # One upstream: after `not_run` there is no other to try.
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result, Refused(Outcome.NOT_RUN, "call did not arrive"))
        self.assertEqual(self.upstream.seen, [])

    async def test_running_call_is_answered_over_the_new_link(self):
        """Guards against an answer lost with the link that it was asked on."""
        relay = self.through_relay()
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        relay.blackhole()
        await wait_for(lambda: len(relay.open) == 2)
        self.upstream.gates["/p"].set()
        self.assertEqual((await call).body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_lost_answers_are_classified_and_not_repeated(self):
        """Guards against a wrong outcome or a repeat of a POST (G5, G6)."""
        self.far.add_upstream("w2", self.upstream.port)
        self.near.set_members(self.far.record())
        self.upstream.raw_answers = {
            "/early": b"",
            "/part": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            "/open": b"HTTP/1.1 200 OK\r\n\r\nabc",
        }
        cases = {
            "/early": Outcome.UNKNOWN,
            "/part": Outcome.RUN_ANSWER_LOST,
            "/open": Outcome.RUN_ANSWER_LOST,
        }
        for path, outcome in cases.items():
            self.upstream.seen.clear()
            result = await self.near.entry.handle(make_request("POST", path))
            self.assertEqual(result.outcome, outcome, path)
            self.assertEqual(self.upstream.seen, [path])

    async def test_refused_connection_is_retried_elsewhere(self):
        """Guards against a POST failed although it was proved not run."""
        self.far.add_upstream("w2", free_port())
        self.near.set_members(self.far.record())
        for _ in range(8):
            result = await self.near.entry.handle(make_request("POST", "/p"))
            self.assertEqual(result.body, b"/p")
        self.assertEqual(len(self.upstream.seen), 8)

    async def test_lost_node_makes_a_post_unknown_and_a_get_retried(self):
        """Guards against a lost call reported as not run (G5)."""
        other = self.node("other")
        other.add_upstream("w2", self.upstream.port)
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST", "/p")))
        get = asyncio.ensure_future(self.near.entry.handle(make_request("GET", "/p")))
        await wait_for(lambda: len(self.upstream.seen) == 2)
        self.near.set_members(self.far.record(), other.record())
        self.far.close()
        self.upstream.gates["/p"].set()
        result = await call
        self.assertIsInstance(result, Refused)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        self.assertEqual((await get).body, b"/p")

    async def test_leaving_set_is_refused_at_the_destination(self):
        """Guards against work for a departing upstream from a stale node (G7)."""
        board = self.far.ctx.board
        board.snapshot = Snapshot({"slots": make_document(leaving=True)}, 2)
        self.far.destination.refresh()
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.upstream.seen, [])

    async def test_draining_node_finishes_calls_and_takes_no_more(self):
        """Guards against a shutdown that cuts a call in flight (G8)."""
        gate = self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        self.far.ctx.board.draining = True
        self.far.ctx.board.changed(Topic.DRAIN)
        result = await self.near.entry.handle(make_request("POST", "/q"))
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        # `GoAway` takes the node out of the selection before its record does.
        await wait_for(
            lambda: not self.near.entry.selector.has_candidates("slots", "all")
        )
        gate.set()
        self.assertEqual((await call).body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_deadline_stops_the_call_everywhere(self):
        """Guards against work that goes on after its caller has given up."""
        self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(self.upstream.gates["/p"].set)
        req = dataclasses.replace(make_request("POST", "/p"), deadline_ms=50)
        result = await self.near.entry.handle(req)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        await wait_for(lambda: self.far.destination.in_flight_total == 0)
        self.assertEqual(self.near.entry.peers.outstanding, 0)

    async def test_hedge_answers_and_the_loser_is_cancelled(self):
        """Guards against a slow upstream that delays a call that may be hedged."""
        other = self.node("other")
        quick = FakeUpstream()
        self.addCleanup(quick.stop)
        other.add_upstream("w2", quick.port)
        document = make_document(hedge=HedgePolicy(10, 100))
        self.near.ctx.board.snapshot = Snapshot({"slots": document}, 2)
        self.near.set_members(self.far.record(), other.record())
        self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(self.upstream.gates["/p"].set)
        for _ in range(5):
            result = await self.near.entry.handle(make_request("GET", "/p"))
            self.assertEqual(result.body, b"/p")
        self.assertTrue(self.upstream.seen)
        await wait_for(lambda: self.far.destination.in_flight_total == 0)

    async def test_keyed_call_outlives_its_caller_and_runs_once(self):
        """Guards against a repeat by the caller that runs a keyed call again."""
        self.near.entry.claims = FakeClaims()
        self.upstream.gates["/p"] = asyncio.Event()
        req = dataclasses.replace(make_request("POST", "/p"), request_key="key")
        call = asyncio.ensure_future(self.near.entry.handle(req))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        call.cancel()
        self.upstream.gates["/p"].set()
        await wait_for(lambda: self.near.entry.in_flight == 0)
        self.assertEqual((await self.near.entry.handle(req)).body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_keyed_call_refused_before_its_claim_is_unknown(self):
        """Guards against `not_run` for a key that another node has run (G5)."""
        self.near.ctx.board.ready = False
        req = make_request("POST", "/p")
        self.assertEqual((await self.near.entry.handle(req)).outcome, Outcome.NOT_RUN)
        req = dataclasses.replace(req, request_key="k")
        self.assertEqual((await self.near.entry.handle(req)).outcome, Outcome.UNKNOWN)

    async def test_lost_keyless_caller_cancels_a_get_but_not_a_post(self):
        """Guards against a POST cut in the middle, and a GET that runs on."""
        self.near.add_upstream("w0", self.upstream.port)
        for record in (self.near.record(), self.far.record()):
            self.near.set_members(record)
            self.assertEqual(await self.left_after_cancel("GET"), 0)
            self.assertEqual(await self.left_after_cancel("POST"), 1)

    async def left_after_cancel(self, method):
        """Give the calls in flight after the caller of one has gone."""

        def left():
            nodes = (self.near.destination, self.far.destination)
            return sum(node.in_flight_total for node in nodes)

        self.upstream.seen.clear()
        gate = self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request(method, "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        call.cancel()
        await wait_for(call.cancelled)
        if method == "GET":
            await wait_for(lambda: not left())
        # A later call on the same link shows that a `Cancel` would have arrived.
        await self.near.entry.handle(make_request("GET", "/after"))
        count = left()
        gate.set()
        await wait_for(lambda: not left())
        return count

    async def test_crash_on_a_kept_connection_is_not_reported_as_not_run(self):
        """Guards against `not_run` from the second connection of a GET (G5)."""
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.raw_answers["/p"] = b""
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("GET", "/p")))
        await wait_for(lambda: self.upstream.seen[-1] == "/p")
        self.upstream.stop()
        self.upstream.gates["/p"].set()
        self.assertEqual((await call).outcome, Outcome.UNKNOWN)

    async def test_crash_is_reported_with_its_request_only_when_it_is_one(self):
        """Guards against a closed connection counted as a crash, and none counted."""
        guard = FakeGuard()
        node = FakeNode("guarded", guard=guard)
        self.addCleanup(node.close)
        node.add_upstream("w2", self.upstream.port)
        node.set_members(node.record())
        self.upstream.raw_answers["/p"] = b""
        await node.entry.handle(make_request("POST", "/p"))
        await node.entry.handle(make_request("GET", "/ok"))
        await wait_for(lambda: not node.destination.has_lost_connections("w2"))
        self.assertEqual((guard.deaths, len(guard.cleared)), ([], 1))
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(node.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen[-1] == "/p")
        self.upstream.stop()
        self.upstream.gates["/p"].set()
        await call
        await wait_for(lambda: guard.deaths)
        self.assertEqual(len(guard.deaths[0]), 1)

    async def test_unready_node_does_not_say_not_run_of_a_key(self):
        """Guards against `not_run` for a resent key that ran elsewhere (G5)."""
        self.near.ctx.board.ready = False
        keyed = dataclasses.replace(make_request("POST"), request_key="k")
        refused = await self.near.entry.handle(keyed)
        self.assertEqual(refused.outcome, Outcome.UNKNOWN)
        plain = await self.near.entry.handle(make_request("POST"))
        self.assertEqual(plain.outcome, Outcome.NOT_RUN)

    async def test_dead_upstream_is_taken_out_and_costs_no_retry(self):
        """Guards against calls refused for as long as a dead upstream is listed."""
        dropped = []

        def drop(upstream, reason):
            dropped.append(upstream)
            return self.far.ctx.board.upstreams.pop(upstream, None) is not None

        self.far.destination.drop_upstream = drop
        self.far.add_upstream("w2", free_port())
        self.near.set_members(self.far.record())
        # Otherwise fast answers of the other one may keep it from being chosen.
        selector, now = self.near.entry.selector, self.near.ctx.now()
        selector.record_report("w1", 1000.0, now, "slots/post")
        # The budget allows no retry of so many calls.
        for _ in range(20):
            result = await self.near.entry.handle(make_request("POST", "/p"))
            self.assertIsInstance(result, Answer)
        self.assertEqual(dropped, ["w2"])

    async def test_call_that_lost_two_upstreams_is_not_tried_again(self):
        """Guards against one call that crashes an upstream per attempt."""
        self.far.add_upstream("w2", self.upstream.port)
        self.far.add_upstream("w3", self.upstream.port)
        self.near.set_members(self.far.record())
        self.upstream.raw_answers["/p"] = b""
        await self.near.entry.handle(make_request("GET", "/p"))
        self.assertEqual(self.upstream.seen, ["/p", "/p"])
