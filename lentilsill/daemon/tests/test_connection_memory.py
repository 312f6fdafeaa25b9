"""Connections of many callers at once stay within the memory of the process."""

import asyncio
import unittest

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.outcomes import Answer

from .connection_builders import connect_with_small_buffers, get

MAX_BODY_BYTES = 1024
# Bounds of the process, in bytes, and what is in transit between two of its counts.
MAX_UNREAD_BYTES = 8 * 1024 * 1024
MAX_UNSENT_BYTES = 24 * 1024 * 1024
TRANSIT_BYTES = 1024 * 1024
TIMEOUT_S = 10.0


class HeldCalls:
    """Answers calls whose path is not ``/held`` with a body of `body_bytes`."""

    def __init__(self):
        self.body_bytes = 2
        self.count = 0

    async def handle(self, req):
        self.count += 1
        if req.path == "/held":
            await asyncio.Event().wait()
        return Answer(200, (), b"x" * self.body_bytes)


class ConnectionMemoryTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = HeldCalls()
        self.server = CallerServer(self.calls, MAX_BODY_BYTES)
        self.port = self.server.listen("127.0.0.1:0")
        self.addCleanup(self.cancel_calls)

    def cancel_calls(self):
        self.server.stop()
        for conn in list(self.server._connections):
            conn.stream.close()

    async def connect(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    @property
    def unread_bytes(self):
        connections = self.server._connections
        return sum(len(conn.stream._reads.buffer) for conn in connections)

    async def read_status(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return int((await reader.readline()).split(b" ")[1])

    async def test_heads_that_never_end_exhaust_the_memory(self):
        """Each head is below its own limit; a whole one beside them is served."""
        head = b"GET /s/a HTTP/1.1\r\nX: " + b"x" * 60_000
        readers = [await self.connect(head) for _ in range(250)]
        await asyncio.sleep(0.3)
        self.assertLess(self.unread_bytes, MAX_UNREAD_BYTES + TRANSIT_BYTES)
        whole = await self.connect(get("a", b"\r\n"))
        self.assertEqual(await self.read_status(whole), 200)
        refused = [reader for reader in readers if reader._buffer]
        self.assertGreater(len(refused), 50)
        for reader in refused:
            self.assertEqual(await self.read_status(reader), 503)
            self.assertIn(b"Retry-After", reader._buffer)

    async def test_pipelined_requests_that_are_not_read_exhaust_the_memory(self):
        """A connection reads no more than a number of requests at a time."""
        request = get("held", b"X: " + b"x" * 900 + b"\r\n\r\n")
        for _ in range(60):
            await self.connect(request * 400)
        await asyncio.sleep(0.3)
        self.assertLess(self.unread_bytes, MAX_UNREAD_BYTES + TRANSIT_BYTES)
        whole = await self.connect(get("a", b"\r\n"))
        self.assertEqual(await self.read_status(whole), 200)

    async def test_closed_connections_stay_counted(self):
        """Callers leave while their requests are read, held and answered."""
        many = get("a", b"\r\n") * 200
        body = b"POST /s/a HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 500
        for data in (many, body, many + body, get("held", b"\r\n") + many) * 10:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(data)
            await asyncio.sleep(0.002)
            writer.transport.abort()
        async with asyncio.timeout(TIMEOUT_S):
            while self.server._connections:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.held_bytes.total_bytes, 0)
        self.assertEqual(self.server._answer_bytes.total_bytes, 0)
        self.assertEqual(self.server._call_bytes, 0)

    async def test_answers_that_callers_do_not_read_exhaust_the_memory(self):
        """The answer to a caller that reads is whole."""
        self.calls.body_bytes = 2_000_000
        for _ in range(30):
            sock = await connect_with_small_buffers(self.server, self.port)
            self.addCleanup(sock.close)
            sock.send(get("a", b"\r\n"))
        async with asyncio.timeout(TIMEOUT_S):
            while self.calls.count < 30:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        connections = list(self.server._connections)
        unsent = sum(conn.stream.unsent_byte_count for conn in connections)
        self.assertLess(unsent, MAX_UNSENT_BYTES + TRANSIT_BYTES)
        self.assertGreater(len(connections), 5)
        reader = await self.connect(get("a", b"Connection: close\r\n\r\n"))
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
        self.assertTrue(answer.endswith(b"x" * self.calls.body_bytes))
