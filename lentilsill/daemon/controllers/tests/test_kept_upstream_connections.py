"""Requests on kept connections to upstreams are not lost by a close of this node."""

import asyncio
import dataclasses
import threading
import time
import unittest

from lentilsill.daemon.controllers.tests.call_builders import FakeNode, make_request
from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import Answer

from .upstream_builders import (
    HOST,
    TIMEOUT_S,
    answer,
    read_request,
    reset,
    running_upstream,
    send,
    stall,
)


class KeptConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_ended_request_closes_the_connection_of_the_next(self):
        """Guards against a lost request on a connection that an ended one has left.

        After a stall, the deadline of a request runs in the same turn as its answer.
        """
        gate = threading.Event()

        def serve(conn, number):
            read_request(conn)
            conn.sendall(answer())
            read_request(conn)
            gate.wait(TIMEOUT_S)
            conn.sendall(answer(b"second"))

        port = self.enterContext(running_upstream(serve))
        client = UpstreamClient(f"{HOST}:{port}", 10.0)
        self.addCleanup(client.close)
        first = Exchange()
        await client.send(first, "GET", "/", (), b"", False)
        call = asyncio.ensure_future(send(client, False))
        await asyncio.sleep(0.05)
        first.abort("deadline passed")
        gate.set()
        self.assertEqual(getattr(await call, "body", None), b"second")

    async def test_deadline_in_the_turn_of_the_answer_sends_the_next_request_twice(
        self,
    ):
        """Guards against a second execution of a call that another one cut off."""
        seen = []

        def serve(conn, number):
            while request := read_request(conn):
                seen.append(request.split(b" ", 2)[1])
                threading.Event().wait(0.15)
                conn.sendall(answer())

        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", self.enterContext(running_upstream(serve)))
        node.set_members(node.record())
        later: list[asyncio.Task] = []

        def start_next():
            req = make_request("GET", "/next")
            later.append(asyncio.ensure_future(node.entry.handle(req)))

        first = dataclasses.replace(make_request("GET", "/first"), deadline_ms=300)
        call = asyncio.ensure_future(node.entry.handle(first))
        asyncio.get_running_loop().call_later(0.2, start_next)
        await asyncio.sleep(0.1)
        stall(0.6)
        await call
        self.assertIsInstance(await later[0], Answer)
        self.assertEqual(seen, [b"/first", b"/next"])


class UpstreamCloseTests(unittest.IsolatedAsyncioTestCase):
    """The upstream closes or forgets a connection that this node keeps."""

    def start(self, serve):
        port = self.enterContext(running_upstream(serve))
        client = UpstreamClient(f"{HOST}:{port}", 1.0)
        self.addCleanup(client.close)
        return client

    async def test_close_in_a_list_of_options_is_ignored(self):
        """Guards against a request on a connection that its answer said to close."""

        def serve(conn, number):
            if number > 1:
                read_request(conn)
                conn.sendall(answer())
                return
            read_request(conn)
            conn.sendall(answer(extra=b"Connection: foo, Close\r\n"))
            read_request(conn)

        client = self.start(serve)
        await send(client, False)
        self.assertEqual(getattr(await send(client, False), "body", None), b"ok")

    async def test_connections_that_an_upstream_forgets_soon_lose_requests_again(self):
        """Guards against losses that earlier ones on idle connections foretell.

        The upstream forgets connections that were idle for 0.2 s, and resets them at
        the next request.
        """

        def serve(conn, number):
            answered_at_s = time.monotonic() + TIMEOUT_S
            while read_request(conn):
                if time.monotonic() - answered_at_s > 0.2:
                    reset(conn)
                    return
                conn.sendall(answer())
                answered_at_s = time.monotonic()

        client = self.start(serve)
        lost = 0
        for _ in range(6):
            result = await send(client, False)
            lost += not isinstance(result, Answer)
            await asyncio.sleep(0.3)
        self.assertLessEqual(lost, 1)
