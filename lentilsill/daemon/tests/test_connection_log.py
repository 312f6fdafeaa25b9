"""Closed connections of callers are counted and logged with what they lost."""

import asyncio
import unittest

from structlog.testing import capture_logs

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.daemon.connection_log import ConnectionLog
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.daemon.node import make_context
from lentilsill.outcomes import Answer

from .builders import node_settings

GET = b"GET /s/%d HTTP/1.1\r\nHost: x\r\nX-Attempt: %d\r\n%s\r\n"
INTEGRATION = Integration(
    headers=HeaderNames(deadline_ms="X-Deadline", attempt_id="X-Attempt")
)
CLOSED = "lentilsill_connections_closed"
LOST = "lentilsill_connections_lost_requests"


class PendingCalls:
    """Answers the calls once `gate` is set, and those of ``/quick`` at once."""

    def __init__(self):
        self.gate = asyncio.Event()

    async def handle(self, req):
        if req.path != "/quick":
            await self.gate.wait()
        return Answer(200, (), b"ok")


class ConnectionLogTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = PendingCalls()
        ctx = make_context(node_settings("a"))
        self.metrics = ctx.metrics
        self.server = CallerServer(
            self.calls,
            100,
            integration=INTEGRATION,
            on_closed=ConnectionLog(ctx).record,
        )
        port = self.server.listen("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(self.writer.close)

    def counter_line(self, name, value):
        return f"{name}_total {float(value)}\n".encode()

    async def wait_until_closed(self, reason):
        line = self.counter_line(f"{CLOSED}_{reason}", 1)
        async with asyncio.timeout(5):
            while line not in self.metrics.text():
                await asyncio.sleep(0.005)

    async def test_requests_of_a_caller_that_leaves_are_named(self):
        quick = GET.replace(b"%d HTTP", b"quick HTTP", 1) % (3, b"")
        self.writer.write(GET % (1, 1, b"") + GET % (2, 2, b"") + quick)
        await asyncio.sleep(0.05)
        with capture_logs() as logs:
            self.writer.transport.abort()
            await self.wait_until_closed("caller")
        (line,) = [line for line in logs if line["event"] == "connection_closed"]
        self.assertEqual((line["reason"], line["lost"]), ("caller", 3))
        self.assertEqual(line["attempts"], ["1", "2", "3"])
        line = self.counter_line(f"{LOST}_caller", 3)
        self.assertIn(line, self.metrics.text())

    async def test_close_that_a_request_asks_for_is_named(self):
        self.calls.gate.set()
        self.writer.write(GET % (1, 1, b"Connection: close\r\n"))
        self.assertIn(b"ok", await self.reader.read())
        self.writer.close()
        await self.wait_until_closed("requested")
        self.assertNotIn(LOST.encode(), self.metrics.text())

    async def test_served_connection_of_a_caller_that_leaves_is_only_counted(self):
        self.calls.gate.set()
        self.writer.write(GET % (1, 1, b""))
        await self.reader.readuntil(b"ok")
        with capture_logs() as logs:
            self.writer.close()
            await self.wait_until_closed("caller")
        self.assertEqual(logs, [])
