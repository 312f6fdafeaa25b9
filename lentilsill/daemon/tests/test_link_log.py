"""Closed links to other nodes are counted and logged with their calls."""

import asyncio
import unittest

from structlog.testing import capture_logs

from lentilsill.daemon.controllers.tests.call_builders import (
    FakeNode,
    FakeUpstream,
    make_request,
    wait_for,
)
from lentilsill.wire import CALLS


class LinkLogTests(unittest.IsolatedAsyncioTestCase):
    """The node `near` has a call at the node `far` when their link closes."""

    async def asyncSetUp(self):
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        self.near, self.far = FakeNode("near"), FakeNode("far")
        for node in (self.near, self.far):
            self.addCleanup(node.close)
        self.far.add_upstream("w1", upstream.port)
        self.near.set_members(self.far.record())
        gate = upstream.gates["/p"] = asyncio.Event()
        req = make_request("POST", "/p")
        self.call = asyncio.ensure_future(self.near.entry.handle(req))
        self.addCleanup(gate.set)
        await wait_for(lambda: upstream.seen == ["/p"])

    def counter(self, node, name):
        lines = node.ctx.metrics.text().decode().splitlines()
        values = [line.split()[1] for line in lines if line.startswith(f"{name} ")]
        return float(values[0]) if values else 0.0

    async def test_links_closed_by_either_end_are_named(self):
        address = self.far.ctx.links.identity.peer_address
        with capture_logs() as logs:
            self.near.ctx.links.disconnect(address, CALLS)
            await wait_for(lambda: len(logs) >= 2)
        lines = {line["peer"]: line for line in logs}
        by_near, by_far = lines["far"], lines["near"]
        self.assertEqual((by_near["reason"], by_near["unanswered"]), ("silent", 1))
        self.assertEqual((by_far["reason"], by_far["serving"]), ("peer", 1))
        counts = [
            self.counter(self.near, "lentilsill_links_closed_silent_total"),
            self.counter(self.near, "lentilsill_links_unanswered_calls_silent_total"),
            self.counter(self.far, "lentilsill_links_closed_peer_total"),
        ]
        self.assertEqual(counts, [1.0, 1.0, 1.0])

    async def test_link_without_calls_that_a_stop_closes_is_only_counted(self):
        self.call.cancel()
        await wait_for(self.call.cancelled)
        other = FakeNode("other")
        self.addCleanup(other.close)
        await other.ctx.links.connect(self.far.ctx.links.identity.peer_address, CALLS)
        await wait_for(lambda: len(self.far.ctx.links.accepted) == 2)
        with capture_logs() as logs:
            other.ctx.links.close()
            await wait_for(
                lambda: self.counter(self.far, "lentilsill_links_closed_peer_total")
            )
        self.assertEqual(logs, [])
        counter = "lentilsill_links_closed_stop_total"
        self.assertEqual(self.counter(other, counter), 1.0)
