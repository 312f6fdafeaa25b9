"""A node that has stalled takes in what has arrived before it gives up a call."""

import asyncio
import dataclasses
import socket
import threading
import unittest
from contextlib import suppress

from lentilsill.daemon.controllers import upstream_connections
from lentilsill.daemon.controllers.tests.call_builders import (
    FakeNode,
    make_request,
    stop_process,
)
from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import Answer, Outcome, Refused

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

STALL_S = upstream_connections.CONNECT_TIMEOUT_S + 0.2
LARGE_BODY_BYTES = 600_000


def serve_answers(conn, number):
    while read_request(conn):
        conn.sendall(answer())


class ConnectTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an upstream that counts as unreachable after a stall."""

    def start(self, serve=serve_answers):
        port = self.enterContext(running_upstream(serve))
        client = UpstreamClient(f"{HOST}:{port}", 10.0)
        self.addCleanup(client.close)
        return client

    async def test_connection_made_during_a_stall_is_cancelled(self):
        client = self.start()
        call = asyncio.ensure_future(send(client, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        stall(STALL_S)
        self.assertEqual(getattr(await call, "body", None), b"ok")

    async def test_crash_check_that_stalls_reports_a_running_upstream_as_dead(self):
        client = self.start()
        check = asyncio.ensure_future(client.is_accepting())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        stall(STALL_S)
        self.assertTrue(await check)

    async def test_running_upstream_is_dropped_as_crashed_after_a_stall(self):
        dropped: list[str] = []

        def drop_upstream(upstream, reason):
            dropped.append(reason)
            return True

        node = FakeNode("near")
        self.addCleanup(node.close)
        node.destination.drop_upstream = drop_upstream
        port = self.enterContext(running_upstream(serve_answers))
        node.add_upstream("w1", port)
        node.set_members(node.record())
        call = asyncio.ensure_future(node.entry.handle(make_request("POST")))
        local = node.destination._upstreams["w1"]
        async with asyncio.timeout(TIMEOUT_S):
            while not any(e.exchange.connecting for e in local.running):
                await asyncio.sleep(0)
            await asyncio.sleep(0)
        stall(STALL_S)
        result = await call
        self.assertEqual(dropped, [])
        self.assertIsInstance(result, Answer)

    async def test_connection_that_is_not_accepted_ends_in_time(self):
        """Guards against a call that waits for its deadline instead."""
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(0)
            port = listener.getsockname()[1]
            fillers = [socket.socket() for _ in range(4)]
            for sock in fillers:
                sock.setblocking(False)
                sock.connect_ex((HOST, port))
                self.addCleanup(sock.close)
            client = UpstreamClient(f"{HOST}:{port}", 10.0)
            async with asyncio.timeout(upstream_connections.CONNECT_TIMEOUT_S + 1):
                result = await client.send(Exchange(), "GET", "/", (), b"", False)
            assert isinstance(result, Refused)
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            self.assertIn("no connection in time", result.reason)


class AnswerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that have arrived and are thrown away."""

    async def call(self, serve, time_limit_ms=300, stall_s=0.6):
        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", self.enterContext(running_upstream(serve)))
        node.set_members(node.record())
        call = asyncio.ensure_future(
            node.entry.handle(
                dataclasses.replace(make_request("POST"), deadline_ms=time_limit_ms)
            )
        )
        await asyncio.sleep(0.1)
        stall(stall_s)
        return await call

    async def test_answer_that_arrived_in_a_stall_is_given_up_at_the_deadline(self):
        def serve(conn, number):
            read_request(conn)
            threading.Event().wait(0.15)
            conn.sendall(answer())
            conn.recv(1)

        result = await self.call(serve)
        self.assertIsInstance(result, Answer)

    async def test_answer_followed_by_the_close_in_a_stall_is_lost(self):
        def serve(conn, number):
            read_request(conn)
            threading.Event().wait(0.15)
            conn.sendall(answer())

        result = await self.call(serve, 3000)
        self.assertIsInstance(result, Answer)

    async def test_answer_followed_by_a_reset_in_a_stall_is_lost(self):
        def serve(conn, number):
            read_request(conn)
            threading.Event().wait(0.15)
            conn.sendall(answer())
            threading.Event().wait(0.05)
            reset(conn)

        result = await self.call(serve, 3000)
        self.assertIsInstance(result, Answer)


class ResetTests(unittest.IsolatedAsyncioTestCase):
    """Connections that an upstream with too many of them resets at once.

    The node stalls after `turns` turns of its event loop, so that the reset precedes
    the request in some of the cases.
    """

    async def call(self, turns):
        """Return the result, whether the request arrived, and reasons of drops."""
        arrived, was_reset = threading.Event(), threading.Event()
        dropped: list[str] = []

        def serve(conn, number):
            if number > 1:
                serve_answers(conn, number)
                return
            threading.Event().wait(0.05)
            conn.setblocking(False)
            with suppress(BlockingIOError):
                if conn.recv(1, socket.MSG_PEEK):
                    arrived.set()
            reset(conn)
            was_reset.set()

        def drop_upstream(upstream, reason):
            dropped.append(reason)
            return True

        node = FakeNode("near")
        self.addCleanup(node.close)
        node.destination.drop_upstream = drop_upstream
        node.add_upstream("w1", self.enterContext(running_upstream(serve)))
        node.set_members(node.record())
        call = asyncio.ensure_future(node.entry.handle(make_request("POST")))
        local = node.destination._upstreams["w1"]
        async with asyncio.timeout(TIMEOUT_S):
            while not local.running:
                await asyncio.sleep(0)
            for _ in range(turns):
                await asyncio.sleep(0)
            # Blocks the event loop.
            was_reset.wait(1.0)
            return await call, arrived.is_set(), dropped

    async def test_reset_before_the_request_counts_as_a_possible_execution(self):
        """Guards against ``unknown`` for a request of which no byte was sent."""
        early = 0
        for turns in range(8):
            with self.subTest(turns=turns):
                result, has_arrived, _ = await self.call(turns)
                assert isinstance(result, Refused)
                early += not has_arrived
                if not has_arrived:
                    self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertGreater(early, 0)

    async def test_upstream_that_resets_connections_is_dropped_as_crashed(self):
        """Guards against the loss of an upstream that is well and only full."""
        for turns in range(8):
            with self.subTest(turns=turns):
                _, _, dropped = await self.call(turns)
                self.assertEqual(dropped, [])


class StopTests(unittest.IsolatedAsyncioTestCase):
    """The process is stopped across the deadline of a call to its own upstream."""

    def start_call(self, delay_s, body=b"ok"):
        """Start a call with 300 ms; the upstream answers `delay_s` after it."""

        def serve(conn, number):
            if read_request(conn):
                threading.Event().wait(delay_s)
                conn.sendall(answer(body))
                conn.recv(1)

        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", self.enterContext(running_upstream(serve)))
        node.set_members(node.record())
        req = dataclasses.replace(make_request("POST"), deadline_ms=300)
        return asyncio.ensure_future(node.entry.handle(req))

    async def test_answer_of_an_upstream_that_waits_unread_is_dropped(self):
        for body in (b"", b"ok", b"x" * LARGE_BODY_BYTES):
            with self.subTest(size=len(body)):
                call = self.start_call(0.15, body)
                await asyncio.sleep(0.1)
                stop_process(0.6, lambda: None)
                self.assertIsInstance(await call, Answer)

    async def test_request_is_sent_after_its_deadline_and_has_none(self):
        """The process is stopped while it connects, at different turns."""
        for turns in range(10):
            with self.subTest(turns=turns):
                call = self.start_call(1.5)
                for _ in range(turns):
                    await asyncio.sleep(0)
                stop_process(0.5, lambda: None)
                async with asyncio.timeout(1.2):
                    await call

    async def test_upstream_that_sends_without_end_outlives_the_deadline(self):
        def serve(conn, number):
            read_request(conn)
            while True:
                # A header line that never ends.
                conn.sendall(b"x")
                threading.Event().wait(0.001)

        node = FakeNode("near")
        self.addCleanup(node.close)
        node.add_upstream("w1", self.enterContext(running_upstream(serve)))
        node.set_members(node.record())
        req = dataclasses.replace(make_request("POST"), deadline_ms=300)
        async with asyncio.timeout(TIMEOUT_S):
            result = await node.entry.handle(req)
        assert isinstance(result, Refused)
        self.assertEqual(result.reason, "deadline passed")
