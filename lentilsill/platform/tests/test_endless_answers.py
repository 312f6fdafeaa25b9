"""Tests that reading an endless answer of the platform stops within bounds."""

import asyncio
import unittest

from lentilsill.platform import HttpObjectApi
from lentilsill.platform.client import MAX_ANSWER_BYTES
from lentilsill.tests.endless_server import EndlessServer

OK = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
# Each key names the endless part of an answer; its value holds the bytes that are sent
# once and the bytes that are then repeated forever.
ENDLESS_ANSWERS = {
    "head": (OK, b"Name: value\r\n" * 4096),
    "body until close": (OK + b"\r\n", b"x" * 65536),
    "chunked body": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body of a huge length": (OK + b"Content-Length: 9999999999\r\n\r\n", b"x" * 65536),
}
TIMEOUT_S = 8.0
# The server can send more than the largest answer, as kernel buffers hold bytes too.
MAX_SENT_BYTES = MAX_ANSWER_BYTES + 16 * 1024 * 1024


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.api = HttpObjectApi(f"http://{self.server.address}", 2.0)
        self.addCleanup(self.api.close)

    async def test_endless_answers_are_errors(self):
        """Guards against a faulty platform that brings down every node reading it."""
        for name, (self.server.answer, self.server.filler) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.server.closed.clear()
                async with asyncio.timeout(TIMEOUT_S):
                    listed = await self.api.list("config")
                    await self.server.closed.wait()
                self.assertTrue(listed.is_err())
                self.assertLess(self.server.sent_bytes[-1], MAX_SENT_BYTES)
