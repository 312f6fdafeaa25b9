"""Upstreams get no calls after their answers have said that they leave."""

import asyncio
import unittest
from dataclasses import replace

from tornado.httputil import HTTPHeaders

from lentilsill.daemon.controllers.upstream_notices import UpstreamNotices
from lentilsill.daemon.integration import HeaderNames
from lentilsill.outcomes import Answer, Outcome

from .call_builders import FakeNode, FakeUpstream, make_request

LEAVING = b"Lentilsill-Leaving: 1\r\n"


class LeavingNoticeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.host = self.start_node("host")
        self.host.add_upstream("w1", self.upstream.port)
        self.entry = self.start_node("a")
        self.share_members()

    def start_node(self, name, port=0):
        node = FakeNode(name, port=port)
        self.addCleanup(node.close)
        return node

    def share_members(self):
        for node in (self.host, self.entry):
            node.set_members(self.host.record(), self.entry.record())

    def set_started(self, started_ms):
        """Report the start of the upstream's process to the node beside it."""
        upstreams = self.host.ctx.board.upstreams
        upstreams["w1"] = replace(upstreams["w1"], started_ms=started_ms)
        self.host.destination.refresh()

    async def call(self):
        async with asyncio.timeout(5):
            return await self.entry.entry.handle(make_request())

    async def check_not_called(self):
        before = len(self.upstream.seen)
        for _ in range(5):
            result = await self.call()
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(len(self.upstream.seen), before)

    async def test_upstream_is_called_after_its_answer_said_that_it_leaves(self):
        """Guards against a leaving that only announcements tell."""
        self.upstream.extra_head = LEAVING
        self.assertIsInstance(await self.call(), Answer)
        await self.check_not_called()

    async def test_restarted_node_calls_an_upstream_that_said_that_it_leaves(self):
        """Guards against a leaving that is lost with the process that heard it."""
        self.set_started(1000)
        self.upstream.extra_head = LEAVING
        self.assertIsInstance(await self.call(), Answer)
        self.host.close()
        await asyncio.sleep(0.05)
        self.host = self.start_node("host", self.host.port)
        self.host.add_upstream("w1", self.upstream.port)
        self.share_members()
        await self.check_not_called()

    async def test_answer_without_the_notice_does_not_bring_an_upstream_back(self):
        """Guards against an answer that was written before and read after it."""
        self.upstream.gates["/slow"] = asyncio.Event()
        slow = asyncio.ensure_future(
            self.entry.entry.handle(make_request(path="/slow"))
        )
        while "/slow" not in self.upstream.seen:
            await asyncio.sleep(0.005)
        self.upstream.extra_head = LEAVING
        await self.call()
        self.upstream.extra_head = b""
        self.upstream.gates["/slow"].set()
        self.assertIsInstance(await slow, Answer)
        await self.check_not_called()

    async def test_notice_without_a_start_closes_a_later_process(self):
        """Guards against a leaving that is taken for that of another process."""
        self.upstream.extra_head = LEAVING
        await self.call()
        self.host.close()
        await asyncio.sleep(0.05)
        self.host = self.start_node("host", self.host.port)
        self.host.add_upstream("w1", self.upstream.port)
        self.share_members()
        self.set_started(2000)
        self.upstream.extra_head = b""
        self.assertIsInstance(await self.call(), Answer)

    async def test_new_process_is_not_called_because_an_earlier_one_left(self):
        """Guards against a leaving that outlives the process that said it."""
        self.set_started(1000)
        self.upstream.extra_head = LEAVING
        await self.call()
        self.upstream.extra_head = b""
        self.set_started(2000)
        for _ in range(3):
            self.assertIsInstance(await self.call(), Answer)


class ReturnTests(unittest.TestCase):
    def setUp(self):
        self.left: list[str] = []
        self.notices = UpstreamNotices(
            "w1", HeaderNames(), lambda upstream, started_ms: self.left.append(upstream)
        )

    def answer(self, now, **fields):
        names = {"limit": "Lentilsill-Limit", "leaving": "Lentilsill-Leaving"}
        headers = HTTPHeaders({names[key]: text for key, text in fields.items()})
        self.notices.record_answer(headers, now, now)

    def test_process_with_an_earlier_start_is_bound_by_the_notice_before(self):
        """Guards against a notice that outranks all later ones, as its start is later.

        The clock of the process before was ahead.
        """
        self.notices.set_started(9000, 0.0)
        self.answer(1.0, limit="2", leaving="1")
        self.assertTrue(self.notices.is_leaving)
        self.notices.set_started(4000, 2.0)
        self.assertFalse(self.notices.is_leaving)
        assert self.notices.notice is not None
        self.assertIsNone(self.notices.notice.limit_per_s)
        self.answer(3.0, limit="3")
        self.assertEqual(self.notices.notice.limit_per_s, 3.0)

    def test_notice_from_before_the_return_makes_the_upstream_leave_again(self):
        """Guards against entry nodes that send an old notice along with their calls."""
        self.notices.set_started(1000, 0.0)
        self.answer(1.0, leaving="1")
        row = self.notices.row(1.5)
        self.notices.withdraw_leaving(2.0)
        self.notices.record_peer(row, 2.2)
        self.assertFalse(self.notices.is_leaving)
        self.answer(3.0, leaving="1")
        self.assertTrue(self.notices.is_leaving)
