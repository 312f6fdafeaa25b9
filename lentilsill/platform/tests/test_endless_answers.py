"""Bytes without end from the platform are given up within bounds."""

import asyncio
import unittest

from lentilsill.platform import HttpObjectApi
from lentilsill.platform.client import MAX_ANSWER_BYTES
from lentilsill.tests.endless_server import EndlessServer

OK = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
ENDLESS = {
    "head": (OK, b"Name: value\r\n" * 4096),
    "body until close": (OK + b"\r\n", b"x" * 65536),
    "chunked body": (OK + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body of a huge length": (OK + b"Content-Length: 9999999999\r\n\r\n", b"x" * 65536),
}
BOUND_S = 8.0
# What is read beyond the largest answer lies in the buffers of the kernel.
BOUND_BYTES = MAX_ANSWER_BYTES + 16 * 1024 * 1024


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.api = HttpObjectApi(f"http://{self.server.address}", 2.0)
        self.addCleanup(self.api.close)

    async def test_answers_without_end_are_errors(self):
        """Guards against a store in trouble that ends every node that reads it."""
        for name, (self.server.answer, self.server.filler) in ENDLESS.items():
            with self.subTest(name):
                self.server.closed.clear()
                async with asyncio.timeout(BOUND_S):
                    listed = await self.api.list("config")
                    await self.server.closed.wait()
                self.assertTrue(listed.is_err())
                self.assertLess(self.server.sent_bytes[-1], BOUND_BYTES)
