"""Nodes report how busy their upstreams are, and use the pace of the host."""

import unittest
from unittest.mock import patch

from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.outcomes import Answer
from lentilsill.wire.messages import (
    Answer as AnswerMessage,
    Call,
    PlainAnswer,
    encode,
)

from .call_builders import FakeNode, FakeUpstream, make_request


class EvenLoadTests(unittest.IsolatedAsyncioTestCase):
    def start(self, even_load):
        """Start an upstream beside the node `host`, and the entry node `near`."""
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.stop)
        self.host = self.start_node("host", even_load)
        self.near = self.start_node("near", even_load)
        self.host.destination.integration = Integration(HeaderNames(load="Load"))
        self.host.add_upstream("w1", self.upstream.port)
        for node in (self.host, self.near):
            node.set_members(self.host.record(), self.near.record())

    def start_node(self, name, even_load):
        node = FakeNode(name, even_load=even_load)
        self.addCleanup(node.close)
        return node

    async def call(self, node, path="/a"):
        result = await node.entry.handle(make_request(path=path))
        self.assertIsInstance(result, Answer)

    def load_figures(self):
        call = Call(1, "w1", "GET", "/", (), b"", 900, True, "", "slots", 1)
        return self.host.destination.load_figures(call)

    async def test_busy_share_reaches_the_entry_node(self):
        """Guards against a choice without reports, at the host itself and elsewhere."""
        self.start(even_load=True)
        self.upstream.extra_head = b"Load: 1,0,6,100\r\n"
        for node in (self.host, self.near):
            node.entry.selector._busy["w1"].busy_share = 0.9
            await self.call(node)
            upstreams = node.ctx.board.dump_parts["entry"]()["upstreams"]
            self.assertEqual(upstreams["w1"]["busy_share"], 0.0)

    async def test_upstreams_without_a_pace_are_chosen_as_before(self):
        """Guards against a new choice where upstreams state the usual three figures."""
        self.start(even_load=True)
        self.upstream.extra_head = b"Load: 1,0,6\r\n"
        for node in (self.host, self.near):
            await self.call(node)
            self.assertFalse(node.entry.selector.has_busy_reports)
        self.assertEqual(self.load_figures()[1], -1)

    async def test_nothing_is_reported_without_the_setting(self):
        """Guards against a deployment that behaves differently without the setting."""
        self.start(even_load=False)
        self.upstream.extra_head = b"Load: 1,0,6,300\r\n"
        await self.call(self.near)
        self.assertEqual(self.load_figures()[1], -1)
        upstreams = self.near.ctx.board.dump_parts["entry"]()["upstreams"]
        self.assertNotIn("busy_share", upstreams["w1"])
        with patch("lentilsill.wire.link.encode", wraps=encode) as encoded:
            await self.call(self.near)
        sent = [type(call.args[0]) for call in encoded.call_args_list]
        self.assertIn(PlainAnswer, sent)
        self.assertNotIn(AnswerMessage, sent)

    async def test_pace_of_the_host_counts_in_the_reported_time(self):
        """Guards against calls that are sent to a host while its work takes longer,
        and against a header that fails the call because it can't be read."""
        self.start(even_load=True)
        pace = self.host.destination._upstreams["w1"].pace
        for text, faster in ((b"1,0,6,100", False), (b"1,0,6,400", True)):
            self.upstream.extra_head = b"Load: " + text + b"\r\n"
            await self.call(self.near)
            factor = pace.factor(self.host.ctx.now())
            self.assertEqual(factor > 1.5, faster)
        for text in (b"", b"1,0,6", b"1,0,6,x", b",,,", b"1,0,6," + b"9" * 500):
            self.upstream.extra_head = b"Load: " + text + b"\r\n"
            await self.call(self.near)
            self.assertEqual(pace._percent, 400)
