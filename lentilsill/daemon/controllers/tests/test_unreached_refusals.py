"""Refusals that reached no upstream lead to another upstream."""

import asyncio
import unittest
from dataclasses import replace
from types import MappingProxyType

from lentilsill.daemon.controllers.hedging import run_hedged
from lentilsill.daemon.controllers.reasons import RATE_LIMITED, not_run_refusal
from lentilsill.daemon.interfaces import KeyGranted
from lentilsill.documents import RouteTarget, ServiceDocument, UpstreamSet
from lentilsill.membership import UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.retries import RetryBudget
from lentilsill.versioning import Snapshot

from .call_builders import (
    HOST,
    FakeNode,
    FakeUpstream,
    make_document,
    make_request,
    wait_for,
)

FAILED = b"HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail"


def make_release(version: int, target: str) -> ServiceDocument:
    """Return a document whose routes lead to one of the sets `old` and `new`.

    The set `old` is leaving once the routes lead to the other one.
    """
    base = make_document()
    sets = {
        "old": UpstreamSet("old", (("release", "1"),), target != "old"),
        "new": UpstreamSet("new", (("release", "2"),), False),
    }
    targets = (RouteTarget("slots", target, 1),)
    routes = tuple(replace(route, targets=targets) for route in base.routes)
    return replace(
        base, version=version, upstream_sets=MappingProxyType(sets), routes=routes
    )


class GatedClaims:
    """Grants keys once `gate` is set."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()

    async def claim(self, request_key, attempt, fingerprint, timeout_s):
        await self.gate.wait()
        return KeyGranted()

    def finish(self, request_key, attempt, result):
        pass


class UnreachedRefusalTests(unittest.IsolatedAsyncioTestCase):
    """Calls enter at `near`, which may know less than `far`, where upstreams are."""

    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.near = self.start_node("near")
        self.far = self.start_node("far")

    def start_node(self, name):
        node = FakeNode(name)
        self.addCleanup(node.close)
        return node

    def add_upstream(self, name, release="", state=UpstreamState.READY):
        self.far.ctx.board.upstreams[name] = UpstreamRecord(
            name,
            "slots",
            f"{HOST}:{self.upstream.port}",
            6,
            (("release", release),) if release else (),
            state,
        )
        self.far.destination.refresh()

    def put_in_force(self, node, document):
        node.ctx.board.snapshot = Snapshot({"slots": document}, document.version)
        node.destination.refresh()
        node.entry.refresh()

    def add_releases(self):
        """Add an upstream of each set; both nodes have routes to the old one."""
        self.add_upstream("w1", "1")
        self.add_upstream("w2", "2")
        for node in (self.near, self.far):
            self.put_in_force(node, make_release(1, "old"))
        self.near.set_members(self.far.record())

    async def call(self, method="POST", path="/a", request_key=""):
        req = replace(make_request(method, path), request_key=request_key)
        async with asyncio.timeout(5):
            return await self.near.entry.handle(req)

    async def test_document_changes_while_a_call_claims_its_key(self):
        """Guards against a call that keeps the targets of an earlier version. They
        lead to a set that leaves, so that the call found no upstream and was refused;
        seen in the demonstration under load."""
        self.add_releases()
        claims = self.near.entry.claims = GatedClaims()
        call = asyncio.ensure_future(self.call(request_key="key"))
        await wait_for(lambda: self.near.entry.in_flight)
        for node in (self.near, self.far):
            self.put_in_force(node, make_release(2, "new"))
        claims.gate.set()
        self.assertIsInstance(await call, Answer)

    async def test_node_of_the_upstreams_has_the_change_first(self):
        """Guards against a refusal by an entry node that doesn't know yet that the
        route leads to other upstreams."""
        self.add_releases()
        self.put_in_force(self.far, make_release(2, "new"))
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.assertFalse(call.done())
        self.put_in_force(self.near, make_release(2, "new"))
        self.assertIsInstance(await call, Answer)

    async def test_call_is_refused_when_no_upstream_is_left(self):
        """Guards against a call that waits until its deadline for another upstream. The
        wait takes up to 0.5 s while the node does not know that the last one leaves."""
        self.add_upstream("w1")
        self.near.set_members(self.far.record())
        self.add_upstream("w1", state=UpstreamState.LEAVING)
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.assertFalse(call.done())
        self.near.set_members(self.far.record())
        async with asyncio.timeout(0.2):
            result = await call
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertGreater(result.retry_after_s, 0)

    def add_leaving_upstreams(self, count):
        """Add upstreams that `near` takes for ready, and one that is ready."""
        names = [f"l{number}" for number in range(count)]
        for name in ("ready", *names):
            self.add_upstream(name)
        record = self.far.record()
        for name in names:
            self.add_upstream(name, state=UpstreamState.LEAVING)
        return record

    async def test_call_passes_all_upstreams_that_leave(self):
        """Guards against a limit on the attempts that counts these refusals."""
        self.near.set_members(self.add_leaving_upstreams(12))
        for number in range(8):
            result = await self.call(path=f"/p{number}")
            self.assertIsInstance(result, Answer)

    async def test_refusals_take_nothing_from_the_retry_budget(self):
        """Guards against a budget that counts attempts that reached no upstream. After
        a failed answer the call has one token for all further attempts."""
        failing = FakeUpstream()
        self.addCleanup(failing.stop)
        failing.raw_answers["/a"] = FAILED
        gate = failing.gates["/a"] = asyncio.Event()
        other = self.start_node("other")
        other.add_upstream("failing", failing.port)
        budget = RetryBudget(1.0, burst=1.0)
        self.near.entry._budgets.for_retries = lambda progress, service: budget
        self.near.set_members(other.record())
        call = asyncio.ensure_future(self.call("GET"))
        await wait_for(lambda: failing.seen)
        self.near.set_members(self.add_leaving_upstreams(12), other.record())
        gate.set()
        result = await call
        self.assertEqual((result.status, result.body), (200, b"/a"))
        self.assertFalse(budget.take_attempt())

    async def test_call_leaves_a_target_that_it_did_not_reach(self):
        """Guards against a refusal while another target of the route has upstreams. A
        route with weighted targets assigns each call to one of them."""
        self.add_upstream("w1", "1")
        self.add_upstream("w2", "2")
        document = make_release(1, "old")
        targets = tuple(RouteTarget("slots", name, 1) for name in ("old", "new"))
        routes = tuple(replace(route, targets=targets) for route in document.routes)
        document = replace(document, routes=routes)
        for node in (self.near, self.far):
            self.put_in_force(node, document)
        self.near.set_members(self.far.record())
        self.add_upstream("w1", "1", state=UpstreamState.LEAVING)
        for number in range(12):
            result = await self.call(path=f"/p{number}")
            self.assertIsInstance(result, Answer)

    async def test_upstreams_at_their_own_limit_are_not_all_tried(self):
        """Guards against messages to the whole fleet for each call when all upstreams
        are at their own limit."""
        names = [f"w{number}" for number in range(8)]
        for name in names:
            self.add_upstream(name)
        self.near.set_members(self.far.record())
        refused = []

        async def refuse(execution):
            refused.append(execution.call.upstream)
            return not_run_refusal(RATE_LIMITED, 0.05)

        self.far.destination.execute = refuse
        await self.call()
        self.assertEqual(len(refused), 4)

    async def test_arrival_of_one_hedged_attempt_counts(self):
        """Guards against an arrival that the limit on attempts and the retry budget
        miss because the other attempt was refused last, by a node."""

        async def refuse(delay_s, arrived):
            await asyncio.sleep(delay_s)
            return Refused(Outcome.NOT_RUN, "refused", arrived=arrived)

        first, second = refuse(0.03, True), refuse(0.05, False)
        result = await run_hedged(first, 0.01, lambda: second)
        assert isinstance(result, Refused)
        self.assertTrue(result.arrived)
