"""HTTP interface for callers."""

import asyncio
import unittest

from tornado.httpclient import AsyncHTTPClient
from tornado.tcpclient import TCPClient

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.daemon.interfaces import IssuedKeys
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused


class FakeCalls:
    def __init__(self):
        self.result: CallResult = Answer(201, (("X-A", "1"),), b"ok")
        self.seen = []

    async def handle(self, req):
        self.seen.append(req)
        return self.result


class CallerServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.calls = FakeCalls()
        self.server = CallerServer(self.calls, 10, lambda n: IssuedKeys(("k",) * n, 7))
        self.port = self.server.listen("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)

    async def fetch(self, path, **kwargs):
        return await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}{path}", raise_error=False, **kwargs
        )

    async def test_call_is_forwarded_without_hop_by_hop_headers(self):
        """Guards against connection headers that are sent to an upstream."""
        headers = {
            "Connection": "X-Hop",
            "X-Hop": "1",
            "X-End": "2",
            "Idempotency-Key": "key",
            "Lentilsill-Deadline-Ms": "50",
        }
        got = await self.fetch("/slots/a?b=1", method="PUT", body="hi", headers=headers)
        self.assertEqual((got.code, got.body, got.headers["X-A"]), (201, b"ok", "1"))
        (req,) = self.calls.seen
        self.assertEqual((req.service, req.path), ("slots", "/a?b=1"))
        self.assertEqual(
            (req.body, req.request_key, req.deadline_ms), (b"hi", "key", 50)
        )
        names = {name for name, _ in req.headers}
        self.assertIn("X-End", names)
        self.assertFalse(names & {"X-Hop", "Connection", "Host", "Idempotency-Key"})

    async def test_address_of_the_caller_is_known(self):
        """Guards against calls of this host's upstream that look like others."""
        await self.fetch("/slots/a")
        (req,) = self.calls.seen
        self.assertEqual(req.caller_ip, "127.0.0.1")

    async def test_failed_calls_get_the_status_of_their_outcome(self):
        """Guards against a caller that repeats a call which may have run."""
        cases = {"not_run": 503, "run_answer_lost": 502, "unknown": 504}
        for outcome, status in cases.items():
            self.calls.result = Refused(Outcome(outcome), "why")
            got = await self.fetch("/slots/a")
            self.assertEqual(got.code, status)
            self.assertEqual(got.headers["Lentilsill-Outcome"], outcome)
        self.calls.result = Refused(Outcome.NOT_RUN, "no route")
        self.assertEqual((await self.fetch("/slots/a")).code, 404)

    async def test_body_over_the_limit_does_not_run(self):
        """Guards against a call that runs with a truncated body."""
        got = await self.fetch("/slots/a", method="POST", body="x" * 11)
        self.assertEqual(got.code, 413)
        self.assertEqual(self.calls.seen, [])

    async def test_chunked_body_over_the_limit_does_not_run(self):
        """Guards against a body without a length that is truncated or buffered."""
        stream = await TCPClient().connect("127.0.0.1", self.port)
        self.addCleanup(stream.close)
        stream.write(
            b"POST /slots/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"8\r\nxxxxxxxx\r\n8\r\nxxxxxxxx\r\n"
        )
        head = await asyncio.wait_for(stream.read_until(b"\r\n\r\n"), 5)
        self.assertIn(b" 413 ", head)
        self.assertIn(b"Lentilsill-Outcome: not_run", head)
        self.assertEqual(self.calls.seen, [])

    async def test_header_with_a_line_break_is_not_written(self):
        """Guards against response splitting, and a caller that gets no answer."""
        self.calls.result = Answer(200, (("X-A", "1\r\nX-B: 2"),), b"ok")
        got = await self.fetch("/slots/a")
        self.assertEqual(got.headers["Lentilsill-Outcome"], "run_answer_lost")
        self.assertNotIn("X-B", got.headers)

    async def test_issued_keys_are_returned_as_json(self):
        """Guards against a changed format of issued keys."""
        got = await self.fetch("/lentilsill/keys?count=2", method="POST", body="")
        self.assertEqual(got.body, b'{"keys": ["k", "k"], "expires_at_ms": 7}')
