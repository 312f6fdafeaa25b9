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
from lentilsill.daemon.interfaces import KeyGranted
from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.versioning import Snapshot


class FakeClaims:
    """Grants each key until a result is stored for it."""

    def __init__(self):
        self.records = {}

    async def claim(self, request_key, attempt, fingerprint, timeout_s):
        if request_key in self.records:
            return self.records[request_key]
        return KeyGranted()

    def finish(self, request_key, attempt, result):
        self.records[request_key] = result


class FakeGuard:
    """Records crash reports and quarantines nothing."""

    def __init__(self):
        self.crash_reports = []
        self.finished_fingerprints = []

    def is_quarantined(self, fingerprint):
        return False

    def can_start(self, fingerprint, in_flight):
        return True

    def is_suspect(self, fingerprint):
        return False

    def hold_s(self, fingerprint):
        return 0.0

    def record_loss(self, upstream, runs):
        self.crash_reports.append(runs)

    def record_end(self, run):
        self.finished_fingerprints.append(run.fingerprint)

    def record_answer(self, fingerprint):
        pass


class CallTests(unittest.IsolatedAsyncioTestCase):
    """Calls from the node `near` to upstreams of the node `far`."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = self.start_node("near")
        self.far = self.start_node("far")
        self.far.add_upstream("w1", self.upstream.port)
        self.near.set_members(self.far.record())

    def start_node(self, name, silent_link_s=0.1):
        node = FakeNode(name, silent_link_s)
        self.addCleanup(node.close)
        return node

    def connect_through_relay(self):
        relay = BlackholeRelay(self.far.port)
        self.addCleanup(relay.stop)
        self.near.set_members(self.far.record(f"{HOST}:{relay.port}"))
        return relay

    async def test_answers_out_of_order_reach_their_own_calls(self):
        """Guards against an answer that is delivered to another call (G4)."""
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

    async def test_call_whose_answer_is_lost_on_a_silent_link_runs_once(self):
        """Guards against a second execution after an answer is lost on a link (G6)."""
        relay = self.connect_through_relay()
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.seen.clear()
        relay.blackhole(("down",))
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result.body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_call_lost_on_a_silent_link_is_reported_as_not_run(self):
        """Guards against the outcome ``unknown`` for a call that never arrived."""
        relay = self.connect_through_relay()
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.seen.clear()
        relay.blackhole()
        # There is no second upstream for a retry after ``not_run``.
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result, Refused(Outcome.NOT_RUN, "call did not arrive"))
        self.assertEqual(self.upstream.seen, [])

    async def test_running_call_is_answered_over_the_new_link(self):
        """Guards against the loss of an answer with the link that carried the call."""
        relay = self.connect_through_relay()
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        relay.blackhole()
        await wait_for(lambda: len(relay.open) == 2)
        self.upstream.gates["/p"].set()
        self.assertEqual((await call).body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_lost_answers_have_the_right_outcome_and_no_retry(self):
        """Guards against a wrong outcome, or a retry, of a POST that may have run.

        The upstream closes the connection before or within its answer (G5, G6).
        """
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
        """Guards against a POST that fails although it can be retried safely."""
        self.far.add_upstream("w2", free_port())
        self.near.set_members(self.far.record())
        for _ in range(8):
            result = await self.near.entry.handle(make_request("POST", "/p"))
            self.assertEqual(result.body, b"/p")
        self.assertEqual(len(self.upstream.seen), 8)

    async def test_lost_node_makes_a_post_unknown_and_retries_a_get(self):
        """Guards against ``not_run`` for a call whose node was lost (G5)."""
        other = self.start_node("other")
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
        """Guards against calls to a leaving set from a node with old documents (G7)."""
        board = self.far.ctx.board
        board.snapshot = Snapshot({"slots": make_document(leaving=True)}, 2)
        self.far.destination.refresh()
        result = await self.near.entry.handle(make_request("POST", "/p"))
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.upstream.seen, [])

    async def test_draining_node_finishes_calls_and_accepts_no_more(self):
        """Guards against a shutdown that aborts a call in flight (G8)."""
        gate = self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        self.far.ctx.board.draining = True
        self.far.ctx.board.notify(Topic.DRAIN)
        result = await self.near.entry.handle(make_request("POST", "/q"))
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        # `GoAway` removes the node from the selection before its record changes.
        await wait_for(
            lambda: not self.near.entry.selector.has_candidates("slots", "all")
        )
        gate.set()
        self.assertEqual((await call).body, b"/p")
        self.assertEqual(self.upstream.seen, ["/p"])

    async def test_deadline_ends_the_call_at_both_nodes(self):
        """Guards against an execution that continues after the deadline."""
        self.upstream.gates["/p"] = asyncio.Event()
        self.addCleanup(self.upstream.gates["/p"].set)
        req = dataclasses.replace(make_request("POST", "/p"), deadline_ms=50)
        result = await self.near.entry.handle(req)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)
        await wait_for(lambda: self.far.destination.in_flight_total == 0)
        self.assertEqual(self.near.entry.peers.outstanding, 0)

    async def test_hedge_answers_and_the_slow_attempt_is_cancelled(self):
        """Guards against a slow upstream that delays a call despite its hedge."""
        other = self.start_node("other")
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

    async def test_keyed_call_continues_without_its_caller_and_runs_once(self):
        """Guards against a second execution when the caller repeats a keyed call."""
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
        """Guards against ``not_run`` for a key that ran through another node (G5)."""
        self.near.ctx.board.ready = False
        req = make_request("POST", "/p")
        self.assertEqual((await self.near.entry.handle(req)).outcome, Outcome.NOT_RUN)
        req = dataclasses.replace(req, request_key="k")
        self.assertEqual((await self.near.entry.handle(req)).outcome, Outcome.UNKNOWN)

    async def test_disconnected_keyless_caller_cancels_a_get_but_not_a_post(self):
        """Guards against an aborted POST, and a GET that runs on without its caller."""
        self.near.add_upstream("w0", self.upstream.port)
        for record in (self.near.record(), self.far.record()):
            self.near.set_members(record)
            self.assertEqual(await self.count_calls_after_disconnect("GET"), 0)
            self.assertEqual(await self.count_calls_after_disconnect("POST"), 1)

    async def count_calls_after_disconnect(self, method):
        """Return the number of calls in flight after the caller of one disconnected."""

        def in_flight_count():
            nodes = (self.near.destination, self.far.destination)
            return sum(node.in_flight_total for node in nodes)

        self.upstream.seen.clear()
        gate = self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request(method, "/p")))
        await wait_for(lambda: self.upstream.seen == ["/p"])
        call.cancel()
        await wait_for(call.cancelled)
        if method == "GET":
            await wait_for(lambda: not in_flight_count())
        # This call uses the same link, so a `Cancel` would have arrived before it.
        await self.near.entry.handle(make_request("GET", "/after"))
        count = in_flight_count()
        gate.set()
        await wait_for(lambda: not in_flight_count())
        return count

    async def test_crash_on_a_kept_alive_connection_is_not_reported_as_not_run(self):
        """Guards against ``not_run`` for a GET that ran on its first connection (G5).

        The client repeats it on a second connection, which the upstream refuses.
        """
        self.assertIsInstance(await self.near.entry.handle(make_request()), Answer)
        self.upstream.raw_answers["/p"] = b""
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(self.near.entry.handle(make_request("GET", "/p")))
        await wait_for(lambda: self.upstream.seen[-1] == "/p")
        self.upstream.stop()
        self.upstream.gates["/p"].set()
        self.assertEqual((await call).outcome, Outcome.UNKNOWN)

    async def test_only_a_crash_of_the_upstream_is_reported_as_one(self):
        """Guards against a missed crash, and a closed connection reported as one."""
        guard = FakeGuard()
        node = FakeNode("guarded", guard=guard)
        self.addCleanup(node.close)
        node.add_upstream("w2", self.upstream.port)
        node.set_members(node.record())
        self.upstream.raw_answers["/p"] = b""
        await node.entry.handle(make_request("POST", "/p"))
        await node.entry.handle(make_request("GET", "/ok"))
        await wait_for(lambda: not node.destination.has_lost_connections("w2"))
        self.assertEqual(
            (guard.crash_reports, len(guard.finished_fingerprints)), ([], 1)
        )
        self.upstream.gates["/p"] = asyncio.Event()
        call = asyncio.ensure_future(node.entry.handle(make_request("POST", "/p")))
        await wait_for(lambda: self.upstream.seen[-1] == "/p")
        self.upstream.stop()
        self.upstream.gates["/p"].set()
        await call
        await wait_for(lambda: guard.crash_reports)
        self.assertEqual(len(guard.crash_reports[0]), 1)

    async def test_unready_node_reports_a_keyed_call_as_unknown(self):
        """Guards against ``not_run`` for a repeated key that ran elsewhere (G5)."""
        self.near.ctx.board.ready = False
        keyed = dataclasses.replace(make_request("POST"), request_key="k")
        refused = await self.near.entry.handle(keyed)
        self.assertEqual(refused.outcome, Outcome.UNKNOWN)
        plain = await self.near.entry.handle(make_request("POST"))
        self.assertEqual(plain.outcome, Outcome.NOT_RUN)

    async def test_dead_upstream_is_dropped_without_using_retries(self):
        """Guards against refused calls for as long as a dead upstream is listed."""
        dropped = []

        def drop_upstream(upstream, reason):
            dropped.append(upstream)
            return self.far.ctx.board.upstreams.pop(upstream, None) is not None

        self.far.destination.drop_upstream = drop_upstream
        self.far.add_upstream("w2", free_port())
        self.near.set_members(self.far.record())
        # Without this report, fast answers of `w1` may keep `w2` from being chosen.
        selector, now = self.near.entry.selector, self.near.ctx.now()
        selector.record_report("w1", 1000.0, now, "slots/post")
        # The retry budget does not allow a retry for each of these calls.
        for _ in range(20):
            result = await self.near.entry.handle(make_request("POST", "/p"))
            self.assertIsInstance(result, Answer)
        self.assertEqual(dropped, ["w2"])

    async def test_call_that_lost_two_upstreams_is_not_retried(self):
        """Guards against a call that crashes one upstream per attempt."""
        self.far.add_upstream("w2", self.upstream.port)
        self.far.add_upstream("w3", self.upstream.port)
        self.near.set_members(self.far.record())
        self.upstream.raw_answers["/p"] = b""
        await self.near.entry.handle(make_request("GET", "/p"))
        self.assertEqual(self.upstream.seen, ["/p", "/p"])
