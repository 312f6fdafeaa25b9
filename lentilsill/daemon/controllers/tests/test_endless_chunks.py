"""Bodies without end in tiny chunks, which cost far more time than their bytes."""

import asyncio
import threading
import unittest
from contextlib import suppress

from lentilsill.daemon.controllers.tests.call_builders import (
    FakeNode,
    FakeUpstream,
    RawPeer,
    make_request,
)
from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import Outcome, Refused
from lentilsill.tests.endless_server import EndlessServer
from lentilsill.wire.messages import Pong, encode

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000
SENDER_COUNT = 8
DEADLINE_S = 0.3
# A caller has its answer at most this long after the limit of its route.
MAX_LATENESS_S = 0.5
TIMEOUT_S = 20.0


class EndlessChunkTests(unittest.IsolatedAsyncioTestCase):
    async def start_endless_server(self):
        server = EndlessServer()
        await server.start()
        self.addCleanup(server.stop)
        server.answer, server.filler = HEAD, TINY_CHUNKS
        return server

    async def test_attempts_outlast_their_deadline_while_chunks_arrive(self):
        """The abort waits until nothing is unread, which never happens."""
        server = await self.start_endless_server()
        loop = asyncio.get_running_loop()

        async def send():
            client = UpstreamClient(server.address)
            self.addCleanup(client.close)
            exchange = Exchange()
            loop.call_later(DEADLINE_S, exchange.abort_at_deadline)
            await client.send(exchange, "GET", "/", (), b"", True)
            return loop.time()

        deadline = loop.time() + DEADLINE_S
        async with asyncio.timeout(TIMEOUT_S):
            ends = await asyncio.gather(*(send() for _ in range(SENDER_COUNT)))
        self.assertLess(max(ends) - deadline, MAX_LATENESS_S)

    async def test_attempt_at_a_peer_outlasts_its_deadline_on_a_busy_link(self):
        """The peer sends messages without a pause, and never the answer."""
        peer = RawPeer()
        self.addCleanup(peer.close)
        node = FakeNode("near")
        self.addCleanup(node.close)
        node.set_members(peer.record())

        def serve():
            with suppress(OSError):
                peer.receive_call()
                assert peer.conn is not None
                while True:
                    peer.conn.sendall(encode(Pong(1)) * 5_000)

        threading.Thread(target=serve, daemon=True).start()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        req = make_request(deadline_ms=round(DEADLINE_S * 1000))
        async with asyncio.timeout(TIMEOUT_S):
            await node.entry.handle(req)
        self.assertLess(loop.time() - started_at - DEADLINE_S, MAX_LATENESS_S)

    async def test_caller_waits_for_an_attempt_that_never_ends(self):
        """The entry node relies on the part that runs the attempt to end it."""
        upstream = FakeUpstream()
        self.addCleanup(upstream.stop)
        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", upstream.port)
        node.set_members(node.record())
        never = asyncio.Event()

        async def execute(execution):
            await never.wait()

        node.destination.execute = execute  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(TIMEOUT_S):
            result = await node.entry.handle(
                make_request(deadline_ms=round(DEADLINE_S * 1000))
            )
        self.assertLess(loop.time() - started_at - DEADLINE_S, MAX_LATENESS_S)
        self.assertIsInstance(result, Refused)
        self.assertEqual(getattr(result, "outcome", None), Outcome.UNKNOWN)
