"""Tests of which answers of upstreams are delivered, and of what they prove."""

import asyncio
import socket
import struct
import unittest

from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.outcomes import Answer, Outcome

NAMES = HeaderNames(
    attempt_id="Attempt",
    target_upstream="Target",
    not_run="Not-Run",
    answer_digest="Digest",
)
INTEGRATION = Integration(NAMES, routes_by_host=True, accepts_unframed_answers=True)


def answer(status=200, attempt="a1", body=b"ok", digest=True, extra=""):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{extra}"
    head += f"Attempt: {attempt}\r\n" if attempt else ""
    head += "Digest: d\r\n" if digest else ""
    return head.encode() + b"\r\n" + body


class UpstreamAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.script: list = []
        self.requests = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = UpstreamClient(f"127.0.0.1:{port}", 10.0, INTEGRATION)
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                data, end = self.script.pop(0)
                writer.write(data)
                await writer.drain()
                if end == "reset":
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                if end:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def send(self, *script, attempt="a1", idempotent=False):
        self.script += script
        async with asyncio.timeout(5):
            return await self.client.send(
                Exchange(), "GET", "/", (("Host", "h"),), b"", idempotent, attempt
            )

    async def test_not_run_requires_a_proof(self):
        """Guards against ``not_run`` for a request that has run (G5).

        A status such as 503 is no proof; only the header `Not-Run` or 421 is.
        """
        proved = await self.send((answer(503, extra="Not-Run: 1\r\n"), ""))
        self.assertEqual(proved.outcome, Outcome.NOT_RUN)
        self.assertTrue(proved.arrived)
        for status in (503, 429, 408):
            claimed = await self.send((answer(status), ""))
            self.assertEqual(claimed.outcome, Outcome.UNKNOWN, status)
        other = await self.send((answer(421, attempt="a9"), ""), attempt="a9")
        self.assertEqual(other.outcome, Outcome.NOT_RUN)

    async def test_success_without_digest_is_not_delivered(self):
        """Guards against delivery of an answer without the upstream's digest (G4)."""
        result = await self.send((answer(digest=False), ""))
        self.assertEqual(result.outcome, Outcome.RUN_ANSWER_LOST)
        failure = await self.send((answer(500, digest=False), ""))
        self.assertIsInstance(failure, Answer)

    async def test_late_answer_of_an_earlier_request_is_skipped(self):
        """Guards against delivery of the answer to another caller's request (G4)."""
        await self.send((answer(), ""))
        late = answer(attempt="a0", body=b"late") + answer(attempt="a2", body=b"mine")
        result = await self.send((late, ""), attempt="a2")
        self.assertEqual(result.body, b"mine")

    async def test_second_answer_does_not_reach_the_next_request(self):
        """Guards against an extra answer left unread on a reused connection (G4)."""
        await self.send((answer() + answer(body=b"extra"), ""))
        await asyncio.sleep(0.02)
        result = await self.send((answer(attempt="a2", body=b"mine"), ""), attempt="a2")
        self.assertEqual(result.body, b"mine")

    async def test_answer_without_length_is_complete_only_without_a_reset(self):
        """Guards against delivery of a truncated answer that looks complete (G4)."""
        head = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nDigest: d\r\n\r\nwhole"
        result = await self.send((head, "end"))
        self.assertEqual(result.body, b"whole")
        cut = await self.send((head, "reset"))
        self.assertEqual(cut.outcome, Outcome.RUN_ANSWER_LOST)

    async def test_malformed_answer_is_not_reported_as_not_run(self):
        """Guards against ``not_run`` for a request that may have run."""
        result = await self.send((b"\x00\x01garbage\r\n\r\n", "end"))
        self.assertNotEqual(result.outcome, Outcome.NOT_RUN)

    async def test_refusal_that_comes_again_says_not_run_of_a_request_that_runs(self):
        """Guards against the repeat of a refusal on a kept connection (G5)."""
        named = answer(503, extra="Not-Run: 1\r\n")
        unnamed = answer(503, attempt="", extra="Not-Run: 1\r\n")
        misdirected = answer(421, attempt="")
        throttled = answer(429, attempt="", extra="Not-Run: 1\r\nRetry-After: 1\r\n")
        for first, repeat, attempt in (
            (named, named, "a2"),
            (named, unnamed, "a2"),
            (unnamed, unnamed, "a2"),
            (throttled, throttled, "a2"),
            (misdirected, misdirected, "a2"),
            (named, named, "a1"),
        ):
            self.client.close()
            self.client._refused_attempts.clear()
            result = await self.send((first, ""))
            self.assertEqual(result.outcome, Outcome.NOT_RUN, first)
            mine = answer(attempt=attempt, body=b"mine")
            result = await self.send((repeat + mine, ""), attempt=attempt)
            if isinstance(result, Answer):
                self.assertEqual(result.body, b"mine", repeat)
            else:
                self.assertNotEqual(result.outcome, Outcome.NOT_RUN, repeat)

    async def test_status_that_is_no_answer_is_delivered(self):
        """Guards against bytes that are no answer of the protocol (G4, G5)."""
        proof = "Not-Run: 1\r\n"
        for status in ("000", "001", "042", "099", "600", "999"):
            for extra in ("", proof):
                data = answer(status, extra=extra) + answer(body=b"next")
                result = await self.send((data, ""))
                self.assertEqual(result.outcome, Outcome.UNKNOWN, status)
        result = await self.send((answer(body=b"mine"), ""))
        self.assertEqual(result.body, b"mine")

    async def test_interim_status_is_delivered(self):
        """Guards against an interim response in place of the answer (G4)."""
        for status in ("100", "102", "199"):
            interim = f"HTTP/1.1 {status} x\r\n\r\n".encode()
            result = await self.send((interim + answer(body=b"mine"), ""))
            self.assertEqual((result.status, result.body), (200, b"mine"))

    async def test_head_that_breaks_off_is_no_answer(self):
        """Guards against an empty or short success when an upstream stops writing."""
        whole = answer(body=b"0123456789")
        old = whole.replace(b"HTTP/1.1", b"HTTP/1.0")
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for data in (whole, old, interim + whole):
            for cut in range(len(data)):
                result = await self.send((data[:cut], "end"))
                self.assertNotIsInstance(result, Answer, data[:cut])
                self.assertNotEqual(result.outcome, Outcome.NOT_RUN, data[:cut])

    async def test_answer_is_lost_by_an_odd_time_to_keep_its_connection(self):
        """Guards against an error in a header that costs the whole answer (G4)."""
        for seconds in ("9" * 5000, "\u00b2", "-1", "x", ""):
            extra = f"Keep-Alive: timeout={seconds}\r\n"
            head, _, body = answer().partition(b"\r\n")
            data = head + b"\r\n" + extra.encode("latin-1") + body
            result = await self.send((data, ""))
            self.assertIsInstance(result, Answer, seconds[:10])
