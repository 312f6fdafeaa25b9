"""Tests of the object API client against the platform stand-in."""

import asyncio
import socket
import unittest

from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilsill.platform import (
    AnswerLost,
    Compacted,
    Conflict,
    HttpObjectApi,
    RateLimited,
    Rejected,
    StoredObject,
    Unavailable,
)
from standins.platform import MAX_BODY_BYTES, Faults, Platform, make_app
from standins.store import TokenBucket


class _InvalidListing(RequestHandler):
    def get(self) -> None:
        self.finish('{"store_revision": "x", "items": [{"metadata": {}}]}')


class ClientTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that mistakes one failure of the platform for another."""

    async def asyncSetUp(self) -> None:
        self.platform = Platform()
        self.api = self.serve_app(make_app(self.platform))

    def serve_app(self, app: Application) -> HttpObjectApi:
        """Serve `app` on a free port and return a client for it."""
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        server = HTTPServer(app, max_body_size=MAX_BODY_BYTES)
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        api = HttpObjectApi(f"http://127.0.0.1:{port}", 5.0)
        self.addCleanup(api.close)
        return api

    async def test_writes_check_store_wide_versions(self) -> None:
        """Guards against a write on a stale version that overwrites a newer one."""
        self.assertEqual(await self.api.put("service", "a", {"x": 1}, 0), Ok(1))
        self.assertEqual(await self.api.put("service", "b", {}, 0), Ok(2))
        self.assertEqual(await self.api.put("service", "a", {}, 1), Ok(3))
        stale = await self.api.put("service", "a", {}, 1)
        self.assertEqual(stale, Err(Conflict(3)))
        self.assertEqual(await self.api.delete("service", "a", 3), Ok(4))
        self.assertEqual(await self.api.get("service", "a"), Ok(None))
        self.assertEqual(await self.api.put("service", "a", {}, 3), Err(Conflict(0)))

    async def test_write_with_an_odd_status_counts_as_refused(self) -> None:
        """Guards against a write that took effect and is reported as invalid."""
        for status in ("000", "001", "199", "299", "600", "999"):
            head = f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n"

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                data: bytes = head.encode(),
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            api = HttpObjectApi(f"http://127.0.0.1:{port}", 0.3)
            written = await api.put("service", "a", {}, None)
            self.assertIsInstance(written.unwrap_err(), AnswerLost, status)
            read = await api.get("service", "a")
            self.assertIsInstance(read.unwrap_err(), Unavailable, status)
            api.close()
            server.close()

    async def test_watch_returns_changes_in_order_and_reports_compaction(self) -> None:
        """Guards against a watch that skips compacted changes without an error."""
        await self.api.put("service", "a", 1, 0)
        await self.api.put("status", "lahore", 1, 0)
        await self.api.delete("service", "a", None)
        batch = (await self.api.watch("service", 0, 5)).unwrap()
        seen = [(c.version, c.deleted) for c in batch.changes]
        self.assertEqual((batch.revision, seen), (3, [(1, False), (3, True)]))
        empty = (await self.api.watch("service", 3, 0.01)).unwrap()
        self.assertEqual((empty.revision, empty.changes), (3, ()))
        self.platform.store.compact()
        self.assertEqual(await self.api.watch("service", 1, 5), Err(Compacted()))

    async def test_lost_answer_to_an_applied_write_is_reported(self) -> None:
        """Guards against a resend by libcurl that hides a lost answer.

        libcurl resends a request when a reused connection closes.
        """
        await self.api.get("service", "a")
        self.platform.faults = Faults(lose_write_answers=1)
        result = await self.api.put("service", "a", {"x": 1}, 0)
        self.assertIsInstance(result.unwrap_err(), AnswerLost)
        self.assertEqual(self.platform.counters["put"], 1)
        obj = (await self.api.get("service", "a")).unwrap()
        self.assertEqual(obj, StoredObject("service", "a", 1, {"x": 1}))

    async def test_write_that_timed_out_is_a_lost_answer(self) -> None:
        """Guards against a write that takes effect but is reported as refused."""
        self.platform.faults = Faults(mode="slow", delay_ms=5000)
        self.api._timeout_s = 0.05
        result = await self.api.put("service", "a", {}, 0)
        self.assertIsInstance(result.unwrap_err(), AnswerLost)

    async def test_refused_writes_are_not_reported_as_lost_answers(self) -> None:
        """Guards against a refusal reported as a lost answer.

        Callers would then read the object needlessly.
        """
        self.platform.faults = Faults(mode="down")
        down = await self.api.put("service", "a", {}, 0)
        self.assertIsInstance(down.unwrap_err(), Unavailable)
        self.platform.faults = Faults()
        self.platform.write_bucket = TokenBucket(1, lambda: 0.0)
        await self.api.put("service", "b", {}, 0)
        limited = await self.api.put("service", "a", {}, 0)
        self.assertEqual(limited, Err(RateLimited(1.0)))
        self.platform.write_bucket = TokenBucket(0, lambda: 0.0)
        large = await self.api.put("service", "a", "x" * (1024 * 1024), 0)
        self.assertIsInstance(large.unwrap_err(), Rejected)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            api = HttpObjectApi(f"http://127.0.0.1:{port}", 1.0)
            refused = await api.put("service", "a", {}, 0)
            api.close()
        self.assertIsInstance(refused.unwrap_err(), Unavailable)
        self.assertEqual(self.platform.store.objects_of("service")[0].name, "b")

    async def test_stand_in_counts_waiting_watches_against_the_read_rate(self) -> None:
        """Guards against a stand-in whose rate limit ignores the nodes' watches."""
        time_s = [0.0]
        bucket = TokenBucket(10, lambda: time_s[0])
        for _ in range(10):
            self.assertTrue(bucket.take_token(10))
        time_s[0] = 5.0
        self.assertFalse(bucket.take_token(10))

    async def test_invalid_answer_names_its_fields(self) -> None:
        """Guards against a malformed listing that is read as an empty one."""
        api = self.serve_app(Application([("/.*", _InvalidListing)]))
        error = (await api.list("service")).unwrap_err()
        self.assertIn("store_revision:", str(error))
        self.assertIn("items.0.metadata.name:", str(error))
