"""Pipelined requests run concurrently and are answered in their order."""

import asyncio
import gc
import unittest
import weakref
from unittest import mock

from lentilsill.daemon.caller_request import CallerRequest
from lentilsill.daemon.caller_server import CallerServer
from lentilsill.outcomes import Answer

HEAD = b"HTTP/1.1\r\nHost: x\r\n\r\n"


class GatedCalls:
    """Answers a call with its path once the gate of the path is open."""

    def __init__(self):
        self.gates = {}
        self.begun = []
        self.cancelled = []

    async def handle(self, req):
        self.begun.append(req.path)
        try:
            await self.gates.setdefault(req.path, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(req.path)
            raise
        return Answer(200, (), req.path.encode())


class PipeliningTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = GatedCalls()
        self.held_s: list[float] = []
        self.server = CallerServer(self.calls, 1000, on_answer_held=self.held_s.append)
        port = self.server.listen("127.0.0.1:0")
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.addAsyncCleanup(self.server.close)

    async def wait_until_begun(self, count):
        async with asyncio.timeout(5):
            while len(self.calls.begun) < count:
                await asyncio.sleep(0.005)

    async def read_response(self):
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            return head, await self.reader.readexactly(length)

    async def test_later_requests_run_and_are_answered_in_order(self):
        """Guards against a request that runs only after the previous one is answered.

        The test also guards against answers in the wrong order (G4).
        """
        self.writer.write(b"GET /s/1 " + HEAD + b"GET /s/2 " + HEAD)
        await self.wait_until_begun(2)
        self.calls.gates["/2"].set()
        await asyncio.sleep(0.02)
        self.calls.gates["/1"].set()
        self.assertEqual((await self.read_response())[1], b"/1")
        self.assertEqual((await self.read_response())[1], b"/2")

    async def test_time_that_an_answer_is_held_is_reported(self):
        """Guards against answers that are late for a reason that no metric shows."""
        self.writer.write(b"GET /s/1 " + HEAD + b"GET /s/2 " + HEAD)
        await self.wait_until_begun(2)
        self.calls.gates["/2"].set()
        await asyncio.sleep(0.05)
        self.calls.gates["/1"].set()
        await self.read_response()
        await self.read_response()
        self.assertEqual(len(self.held_s), 1)
        self.assertGreater(self.held_s[0], 0.04)

    async def test_answered_requests_are_freed_without_a_garbage_collection(self):
        """Guards against headers and bodies that stay in memory after the answer."""
        requests: weakref.WeakSet[CallerRequest] = weakref.WeakSet()
        start_call = self.server.start_call

        def record_and_start(request: CallerRequest) -> None:
            requests.add(request)
            start_call(request)

        patch = mock.patch.object(self.server, "start_call", record_and_start)
        self.enterContext(patch)
        gc.disable()
        self.addCleanup(gc.enable)
        self.writer.write(b"GET /s/1 " + HEAD + b"GET /s/2 " + HEAD)
        await self.wait_until_begun(2)
        self.assertEqual(len(requests), 2)
        # The second answer is held until the first is written.
        for path in ("/2", "/1"):
            self.calls.gates[path].set()
            await asyncio.sleep(0.02)
        self.assertEqual((await self.read_response())[1], b"/1")
        self.assertEqual((await self.read_response())[1], b"/2")
        async with asyncio.timeout(5):
            while requests:
                await asyncio.sleep(0.005)

    async def test_disconnected_caller_cancels_all_of_its_requests(self):
        """Guards against work for a caller that has disconnected."""
        self.writer.write(b"GET /s/1 " + HEAD + b"GET /s/2 " + HEAD)
        await self.wait_until_begun(2)
        self.writer.close()
        async with asyncio.timeout(5):
            while len(self.calls.cancelled) < 2:
                await asyncio.sleep(0.005)
        self.assertEqual(set(self.calls.cancelled), {"/1", "/2"})

    async def test_shutdown_answers_requests_that_were_read(self):
        """Guards against a shutdown that aborts requests in flight (G8)."""
        self.writer.write(b"GET /s/1 " + HEAD + b"GET /s/2 " + HEAD)
        await self.wait_until_begun(2)
        closing = asyncio.ensure_future(self.server.close())
        await asyncio.sleep(0.02)
        self.calls.gates["/1"].set()
        self.calls.gates["/2"].set()
        self.assertEqual((await self.read_response())[1], b"/1")
        head, body = await self.read_response()
        self.assertEqual(body, b"/2")
        self.assertIn(b"connection: close", head.lower())
        await closing
        async with asyncio.timeout(5):
            self.assertEqual(await self.reader.read(), b"")

    async def test_malformed_request_gets_400_after_earlier_answers(self):
        """Guards against an error response that is written before earlier answers."""
        self.writer.write(b"GET /s/1 " + HEAD + b"nonsense\r\n\r\n")
        await self.wait_until_begun(1)
        await asyncio.sleep(0.02)
        self.calls.gates["/1"].set()
        self.assertEqual((await self.read_response())[1], b"/1")
        async with asyncio.timeout(5):
            self.assertIn(b"400", await self.reader.read())
