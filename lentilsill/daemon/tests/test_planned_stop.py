"""A planned stop of a node answers every request that has reached the host."""

import asyncio
import socket
import threading
import time
import unittest
from typing import Any

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.outcomes import Answer

REQUEST = b"GET /slots/a HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_S = 5.0


class SlowCalls:
    """Answers after a delay, so that requests are in progress during the stop."""

    def __init__(self, delay_s=0.05):
        self.delay_s = delay_s

    async def handle(self, req):
        await asyncio.sleep(self.delay_s)
        return Answer(200, (), b"whole")


class PlannedStopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CallerServer(SlowCalls(), 100)
        self.port = self.server.listen("127.0.0.1:0")

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    async def read_all(self, sock):
        """Return all bytes until the connection ends; a reset raises an error."""

        def read():
            data = b""
            while part := sock.recv(65536):
                data += part
            return data

        return await asyncio.to_thread(read)

    async def test_request_in_the_accept_queue_is_answered(self):
        """Guards against a connection that the stop resets before it is accepted.

        The connection and its request are in the kernel's queue when the node stops.
        """
        sock = self.connect()
        sock.sendall(REQUEST)
        await self.server.close()
        self.assertIn(b"whole", await self.read_all(sock))

    async def test_request_on_an_open_connection_is_answered(self):
        """Guards against an unanswered request that arrives just before the stop.

        The request uses a connection that has been idle.
        """
        sock = self.connect()
        await asyncio.sleep(0.05)
        sock.sendall(REQUEST)
        await self.server.close()
        self.assertIn(b"whole", await self.read_all(sock))

    async def test_pipelined_request_is_answered(self):
        """Guards against the loss of the second of two pipelined requests."""
        sock = self.connect()
        sock.sendall(REQUEST)
        await asyncio.sleep(0.02)
        sock.sendall(REQUEST)
        await self.server.close()
        self.assertEqual((await self.read_all(sock)).count(b"whole"), 2)

    async def test_body_that_arrives_across_the_stop_is_cut(self):
        """The rest of the body comes in pieces after the process was told to stop."""
        sock = self.connect()
        sock.sendall(
            b"POST /slots/a HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nab"
        )
        await asyncio.sleep(0.05)
        closing = asyncio.ensure_future(self.server.close())
        for piece in (b"cd", b"ef", b"gh"):
            await asyncio.sleep(0.3)
            sock.sendall(piece)
        self.assertIn(b"whole", await self.read_all(sock))
        await closing

    async def test_body_that_never_ends_delays_the_stop(self):
        """The request has not run; the caller's connection is closed."""
        sock = self.connect()
        sock.sendall(
            b"POST /slots/a HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nab"
        )
        await asyncio.sleep(0.05)
        await asyncio.wait_for(self.server.close(), TIMEOUT_S)
        self.assertEqual(await self.read_all(sock), b"")

    async def test_answer_that_waits_behind_another_is_sent(self):
        """Guards against the loss of a held answer to a pipelined request.

        All calls have ended when the node stops, but the answer has not been sent
        (studnar-registre fresh-38c3, LOST).
        """
        calls: Any = self.server.calls
        body = b"whole" + b"x" * 400_000

        async def handle(req):
            # The second call ends first; the node stops once the first has ended.
            await asyncio.sleep(0.1 if len(calls.seen) == 1 else 0.01)
            return Answer(200, (), body)

        async def record_and_handle(req):
            calls.seen.append(req)
            result = await handle(req)
            if len(calls.seen) == 2 and req is calls.seen[0]:
                loop.call_soon(lambda: stopping.append(loop.create_task(stop())))
            return result

        async def stop():
            await self.server.close()

        loop = asyncio.get_running_loop()
        stopping: list[asyncio.Task] = []
        calls.seen, calls.handle = [], record_and_handle
        sock = self.connect()
        sock.sendall(REQUEST)
        await asyncio.sleep(0.02)
        sock.sendall(REQUEST)
        await asyncio.sleep(0.2)
        reading = asyncio.ensure_future(self.read_all(sock))
        await asyncio.gather(*stopping)
        # The process ends here: bytes that the kernel doesn't have are lost.
        for conn in list(self.server._connections):
            conn.stream.close()
        self.assertEqual((await reading).count(b"whole"), 2)

    async def test_idle_connection_is_closed_without_a_reset(self):
        """Guards against a caller that mistakes the stop for a lost answer."""
        sock = self.connect()
        await asyncio.sleep(0.05)
        await self.server.close()
        self.assertEqual(await self.read_all(sock), b"")

    async def test_stop_under_load_loses_no_answer(self):
        """Guards against lost answers in any order of connecting, sending and stopping.

        Callers connect and send until they are refused. Each complete request that
        the host has received must get a complete answer.
        """
        incomplete_answers: list[bytes] = []
        complete_answers: list[bytes] = []

        def send_until_refused():
            while True:
                try:
                    sock = socket.create_connection(("127.0.0.1", self.port), 2)
                except OSError:
                    return
                with sock:
                    try:
                        sock.sendall(REQUEST)
                        data = sock.recv(65536)
                    except OSError as exc:
                        data = repr(exc).encode()
                (complete_answers if b"whole" in data else incomplete_answers).append(
                    data
                )
                time.sleep(0.001)

        threads = [threading.Thread(target=send_until_refused) for _ in range(8)]
        for thread in threads:
            thread.start()
        await asyncio.sleep(0.3)
        await self.server.close()
        for thread in threads:
            await asyncio.to_thread(thread.join, TIMEOUT_S)
        self.assertGreater(len(complete_answers), 8)
        self.assertEqual(incomplete_answers, [])
