"""Closed connections to upstreams are counted and logged with their requests."""

import asyncio
import unittest

from structlog.testing import capture_logs

from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.daemon.controllers.upstream_connection_log import UpstreamConnectionLog
from lentilsill.daemon.node import make_context
from lentilsill.daemon.tests.builders import node_settings

from .upstream_builders import HOST, answer, read_request, running_upstream, send

CLOSED = "lentilsill_upstream_connections_closed"
LOST = "lentilsill_upstream_connections_lost_requests"


class UpstreamConnectionLogTests(unittest.IsolatedAsyncioTestCase):
    def start(self, serve):
        ctx = make_context(node_settings("a"))
        self.metrics = ctx.metrics
        port = self.enterContext(running_upstream(serve))
        client = UpstreamClient(
            f"{HOST}:{port}", 10.0, on_closed=UpstreamConnectionLog(ctx).record
        )
        self.addCleanup(client.close)
        self.logs = self.enterContext(capture_logs())
        return client

    def closes(self):
        return [
            (line["reason"], line["has_request"], line["attempt"])
            for line in self.logs
            if line["event"] == "upstream_connection_closed"
        ]

    def assert_counted(self, name):
        self.assertIn(f"{name}_total 1.0\n".encode(), self.metrics.text())

    async def test_close_before_the_answer_names_the_request(self):
        client = self.start(lambda conn, number: read_request(conn))
        await send(client, idempotent=False)
        self.assertEqual(self.closes(), [("closed_in_request", True, "a1")])
        self.assert_counted(f"{CLOSED}_closed_in_request")
        self.assert_counted(f"{LOST}_closed_in_request")

    async def test_aborted_request_is_named_with_its_reason(self):
        client = self.start(lambda conn, number: read_request(conn) and conn.recv(1))
        exchange = Exchange()
        asyncio.get_running_loop().call_later(0.1, exchange.abort, "deadline passed")
        await client.send(exchange, "GET", "/", (), b"", False, "a1")
        self.assertEqual(self.closes(), [("aborted", True, "a1")])
        self.assertEqual(self.logs[-1]["detail"], "deadline passed")

    async def test_idle_connection_that_the_upstream_closed_is_named(self):
        def serve(conn, number):
            read_request(conn)
            conn.sendall(answer())

        client = self.start(serve)
        await send(client, idempotent=False)
        await asyncio.sleep(0.1)
        await send(client, idempotent=False)
        self.assertEqual(self.closes()[0], ("closed_idle", False, ""))
        self.assertNotIn(LOST.encode(), self.metrics.text())

    async def test_close_that_the_answer_asks_for_is_named(self):
        def serve(conn, number):
            read_request(conn)
            conn.sendall(answer(extra=b"Connection: close\r\n"))
            conn.recv(1)

        client = self.start(serve)
        await send(client, idempotent=False)
        self.assertEqual(self.closes(), [("requested", False, "a1")])
