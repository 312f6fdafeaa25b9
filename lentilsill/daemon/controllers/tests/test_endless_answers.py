"""Tests that reading an endless answer stops within bounds of memory and time."""

import asyncio
import unittest

from lentilsill.daemon.controllers.upstream_client import (
    MAX_ANSWER_BYTES,
    Exchange,
    UpstreamClient,
)
from lentilsill.daemon.held_bytes import MAX_HELD_ANSWER_BYTES, HeldBytes
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.outcomes import Outcome
from lentilsill.tests.endless_server import EndlessServer

NAMES = HeaderNames(attempt_id="Attempt", not_run="Not-Run", answer_digest="Digest")
INTEGRATION = Integration(NAMES, routes_by_host=True, accepts_unframed_answers=True)

HEAD = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nDigest: d\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
# Each key names the endless part of an answer; its value holds the bytes that are sent
# once and the bytes that are then repeated forever.
ENDLESS_ANSWERS = {
    "no line": (b"", b"x" * 65536),
    "head": (HEAD, b"Name: value\r\n" * 4096),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "body until close": (HEAD + b"\r\n", b"x" * 65536),
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 65536),
    "body of a huge length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "answers to others": (
        b"",
        HEAD.replace(b"a1", b"a0") + b"Content-Length: 0\r\n\r\n",
    ),
}
TIMEOUT_S = 5.0
# Bytes beyond the largest answer are in kernel buffers.
MAX_SENT_BYTES = MAX_ANSWER_BYTES + 16 * 1024 * 1024


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = EndlessServer()
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.client = UpstreamClient(self.server.address, 10.0, INTEGRATION)
        self.addCleanup(self.client.close)

    async def send(self, exchange):
        headers = (("Host", "h"),)
        return await self.client.send(exchange, "GET", "/", headers, b"", False, "a1")

    async def test_memory_for_fast_endless_answers_is_bounded(self):
        """Guards against an endless answer that exhausts the node's memory."""
        for name, (self.server.answer, self.server.filler) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.server.closed.clear()
                async with asyncio.timeout(TIMEOUT_S):
                    result = await self.send(Exchange())
                    await self.server.closed.wait()
                self.assertLess(self.server.sent_bytes[-1], MAX_SENT_BYTES)
                # The request has been sent, and nothing proves that it did not run.
                self.assertIn(
                    result.outcome, (Outcome.UNKNOWN, Outcome.RUN_ANSWER_LOST)
                )

    async def test_sum_of_endless_answers_exhausts_the_memory(self):
        """Each answer is within its own limit; a small one beside them is whole."""
        held = HeldBytes(MAX_HELD_ANSWER_BYTES)
        small = EndlessServer()
        await small.start()
        self.addCleanup(small.stop)
        small.answer = HEAD + b"Content-Length: 4\r\n\r\nsm"
        small.filler, small.pause_s = b"al", 0.5
        clients = [UpstreamClient(small.address, 10.0, INTEGRATION, held_bytes=held)]
        clients += [
            UpstreamClient(self.server.address, 10.0, INTEGRATION, held_bytes=held)
            for _ in range(20)
        ]
        largest = 0

        async def watch():
            nonlocal largest
            while True:
                await asyncio.sleep(0)
                largest = max(largest, held.total_bytes)

        self.server.answer, self.server.filler = ENDLESS_ANSWERS["chunked body"]
        watching = asyncio.ensure_future(watch())
        async with asyncio.timeout(2 * TIMEOUT_S):
            results = await asyncio.gather(
                *(
                    client.send(Exchange(), "GET", "/", (), b"", False, "a1")
                    for client in clients
                )
            )
        watching.cancel()
        self.assertEqual(getattr(results[0], "body", None), b"smal")
        outcomes = {getattr(result, "outcome", None) for result in results[1:]}
        self.assertLessEqual(outcomes, {Outcome.UNKNOWN, Outcome.RUN_ANSWER_LOST})
        self.assertLessEqual(largest, MAX_HELD_ANSWER_BYTES)
        self.assertEqual(held.total_bytes, 0)

    async def test_slow_endless_answers_end_at_the_deadline(self):
        """Guards against a slot that stays busy for as long as bytes arrive."""
        self.server.pause_s = 0.01
        for name, (self.server.answer, _) in ENDLESS_ANSWERS.items():
            with self.subTest(name):
                self.server.filler = b"x"
                self.server.closed.clear()
                exchange = Exchange()
                asyncio.get_running_loop().call_later(
                    0.3, exchange.abort, "deadline passed"
                )
                async with asyncio.timeout(TIMEOUT_S):
                    result = await self.send(exchange)
                    await self.server.closed.wait()
                self.assertNotEqual(result.outcome, Outcome.NOT_RUN)

    async def test_other_tasks_run_during_an_endless_answer(self):
        """Guards against an event loop that is blocked by reading endless bytes."""
        self.server.answer, self.server.filler = ENDLESS_ANSWERS["body until close"]
        ticks = 0

        async def tick():
            nonlocal ticks
            while True:
                await asyncio.sleep(0.001)
                ticks += 1

        ticking = asyncio.ensure_future(tick())
        async with asyncio.timeout(TIMEOUT_S):
            await self.send(Exchange())
        ticking.cancel()
        self.assertGreater(ticks, 2)
