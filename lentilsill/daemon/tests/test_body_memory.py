"""Bodies of many requests at once stay within the memory of the process."""

import asyncio
import unittest

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.daemon.held_bytes import MAX_HELD_CALL_BYTES, MAX_HELD_INPUT_BYTES
from lentilsill.outcomes import Answer

MAX_BODY_BYTES = 1024 * 1024
HEAD = b"POST /s/%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
TIMEOUT_S = 10.0


class HeldCalls:
    """Answers calls when `release` is set."""

    def __init__(self):
        self.release = asyncio.Event()
        self.paths = []
        self.body_bytes = 0

    async def handle(self, req):
        self.paths.append(req.path)
        self.body_bytes += len(req.body)
        if len(req.body) > 10:
            await self.release.wait()
        return Answer(200, (), b"ok")


class BodyMemoryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = HeldCalls()
        self.server = CallerServer(self.calls, MAX_BODY_BYTES)
        self.port = self.server.listen("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)
        self.addCleanup(self.calls.release.set)

    async def send(self, number, size, sent_size):
        """Send a request of which only a part of the body is sent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD % (number, size) + b"x" * sent_size)
        await writer.drain()
        return reader

    async def read_status(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ")[1]), head

    async def test_bodies_that_never_end_exhaust_the_memory(self):
        """A small request beside them is answered; those dropped have not run."""
        count = 3 * MAX_HELD_INPUT_BYTES // MAX_BODY_BYTES // 2
        readers = [
            await self.send(number, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
            for number in range(count)
        ]
        small = await self.send(count, 2, 2)
        self.assertEqual((await self.read_status(small))[0], 200)
        self.assertLessEqual(self.server.held_bytes.total_bytes, MAX_HELD_INPUT_BYTES)
        await asyncio.sleep(0.2)
        ended = [reader for reader in readers if reader._buffer]
        self.assertGreaterEqual(len(ended), count // 3)
        for reader in ended:
            status, head = await self.read_status(reader)
            self.assertEqual(status, 503)
            self.assertIn(b"Retry-After", head)
            self.assertIn(b"Connection: close", head)
        self.assertEqual(self.calls.paths, [f"/{count}"])

    async def test_bodies_of_calls_in_progress_exhaust_the_memory(self):
        count = 3 * MAX_HELD_CALL_BYTES // MAX_BODY_BYTES // 2
        readers = [
            await self.send(number, MAX_BODY_BYTES, MAX_BODY_BYTES)
            for number in range(count)
        ]
        await asyncio.sleep(0.2)
        self.assertLessEqual(self.calls.body_bytes, MAX_HELD_CALL_BYTES)
        self.calls.release.set()
        statuses = [(await self.read_status(reader))[0] for reader in readers]
        self.assertEqual(statuses.count(503), count - len(self.calls.paths))
        self.assertEqual(statuses.count(200), len(self.calls.paths))
        self.assertEqual(self.server._call_bytes, 0)
