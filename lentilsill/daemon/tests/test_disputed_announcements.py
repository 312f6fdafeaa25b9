"""A health check decides between announcements that contradict each other."""

import asyncio
import json
import unittest

from structlog.testing import capture_logs
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from lentilsill.daemon.admin_server import AdminServer
from lentilsill.daemon.announcement_log import LOG_INTERVAL_S
from lentilsill.daemon.controllers.discovery import UpstreamDiscovery
from lentilsill.daemon.controllers.tests.claim_builders import make_node
from lentilsill.daemon.controllers.upstream_check import MIN_INTERVAL_S, UpstreamCheck
from lentilsill.platform.integration import PLATFORM_INTEGRATION
from lentilsill.tests.endless_server import EndlessServer

START_MS = 1_700_000_000_000


def health_answer(upstream="w1", status=b"200 OK", extra=b""):
    return (
        b"HTTP/1.1 %s\r\nX-Lentilsill-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
        % (status, upstream.encode(), extra)
    )


class DisputedAnnouncementTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = EndlessServer()
        self.upstream.answer = health_answer()
        await self.upstream.start()
        self.ctx = make_node(1)
        self.ctx.cfg = self.ctx.cfg.model_copy(
            update={
                "host_service": "slots",
                "host_upstream_address": self.upstream.address,
            }
        )
        self.clock_s = self.ctx.now()
        self.ctx.now = lambda: self.clock_s
        self.crashed: list[str] = []
        self.server = AdminServer(
            self.ctx, self.crashed.append, integration=PLATFORM_INTEGRATION
        )
        self.check = UpstreamCheck(self.ctx, PLATFORM_INTEGRATION)
        self.server.announcements.check_upstream = self.check.ask
        self.returned: list[str] = []
        self.server.announcements.on_upstream_return = self.returned.append
        self.server.start("127.0.0.1:0")
        self.client = SimpleAsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self):
        self.client.close()
        self.server.stop()
        self.upstream.stop()
        self.ctx.links.close()
        for task in list(self.ctx.tasks):
            task.cancel()

    @property
    def states(self):
        return {name: rec.state.name for name, rec in self.ctx.board.upstreams.items()}

    async def send(self, method, upstream, body):
        """Send a request and return its status; the clock goes on by 1.1 s."""
        url = f"http://127.0.0.1:{self.server.port}/instances/{upstream}"
        response = await self.client.fetch(
            url,
            method=method,
            body=body,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        self.clock_s += 1.1 * MIN_INTERVAL_S
        return response.code

    async def put(self, upstream="w1", **fields):
        value = {
            "service": "slots",
            "address": self.upstream.address,
            "slots": 6,
            "state": "ready",
            "sequence": 5,
            "born": START_MS,
            **fields,
        }
        return await self.send("PUT", upstream, json.dumps(value).encode())

    async def test_other_writers_do_not_displace_the_upstream(self):
        """Guards against calls that are refused since another writer was believed.

        The displaced upstream also counted as crashed, with its calls in flight.
        """
        self.assertEqual(await self.put(), 200)
        far = {"born": 2**52, "sequence": 10**6}
        for upstream, fields in (
            ("odd", {"service": "nosuch", **far}),
            ("odd", {"address": "127.0.0.1:9", **far}),
            ("odd", far),
            ("odd2", {"state": "draining", "born": 2**52}),
        ):
            code = await self.put(upstream, **fields)
            self.assertEqual(self.states, {"w1": "READY"})
            # A leaving that changes nothing is acknowledged.
            self.assertEqual(code, 200 if "state" in fields else 409)
        self.assertEqual(await self.put(sequence=6), 200)
        self.assertEqual(self.crashed, [])

    async def test_upstream_returns_with_its_next_announcement(self):
        """Guards against one leaving or deletion that ends the use for good."""
        self.assertEqual(await self.put(), 200)
        self.assertEqual(await self.put(state="draining", sequence=10**6), 200)
        self.assertEqual(self.states, {"w1": "LEAVING"})
        self.assertEqual(await self.put(sequence=6), 200)
        self.assertEqual(self.states, {"w1": "READY"})
        self.assertEqual(self.returned, ["w1"])
        # A further one is checked first; later it counts at once again.
        self.assertEqual(await self.send("DELETE", "w1", b""), 409)
        self.assertEqual(self.states, {"w1": "READY"})
        name = "lentilsill_announcements_deletions_ignored_staying_total"
        self.assertIn(name, self.ctx.metrics.text().decode())
        self.clock_s += 10.0
        self.assertEqual(await self.send("DELETE", "w1", b""), 200)
        self.assertEqual(self.states, {})
        self.assertEqual(await self.put(sequence=7), 200)
        self.assertEqual(self.states, {"w1": "READY"})

    async def test_deletion_that_can_not_be_read_has_no_effect(self):
        """Guards against an upstream whose use ends by a body of another writer."""
        await self.put()
        for body in (b"\xff", b'{"born": "x"}', b'{"born": -1}'):
            self.assertEqual(await self.send("DELETE", "w1", body), 400)
            self.assertEqual(self.states, {"w1": "READY"})
        self.assertEqual(await self.send("DELETE", "w1", b""), 200)
        self.assertEqual(self.states, {})

    async def test_leaving_upstream_does_not_return(self):
        """Guards against calls to an upstream whose leaving was acknowledged.

        A full upstream rejects the health check as well, which says nothing.
        """
        for answer in (
            health_answer(status=b"503 Unavailable"),
            health_answer(
                status=b"503 Unavailable", extra=b"X-Lentilsill-Not-Executed: 1\r\n"
            ),
            b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
        ):
            self.upstream.answer = answer
            await self.put()
            await self.put(state="draining", sequence=6)
            for sequence in (7, 8):
                self.assertEqual(await self.put(sequence=sequence), 409)
                self.assertEqual(self.states, {"w1": "LEAVING"})

    async def test_late_announcements_after_a_restart_do_not_count(self):
        """Guards against calls to an upstream that left before its node restarted.

        The platform's upstreams answer health checks with 503 then (review/2). It was
        read as a failed call, and the late announcement was believed.
        """
        self.upstream.answer = health_answer(status=b"503 Unavailable")
        discovery = UpstreamDiscovery(self.ctx, self.server.announcements, self.check)
        self.assertIsNone(await discovery._check(self.upstream.address))
        for sequence in (5, 6, 7):
            self.assertEqual(await self.put(sequence=sequence), 409)
            self.assertEqual(self.states, {})
        # An upstream that was only failing for a while is used again.
        self.upstream.answer = health_answer()
        self.assertEqual(await self.put(sequence=8), 200)
        self.assertEqual(self.states, {"w1": "READY"})

    async def test_answer_from_before_a_leaving_does_not_undo_it(self):
        """Guards against a health check that was sent before the upstream left."""
        await self.put()
        await self.put(born=START_MS + 9)
        asked, answered = asyncio.Event(), asyncio.Event()

        async def answer_late():
            asked.set()
            await answered.wait()
            return await self.check.ask()

        self.server.announcements.check_upstream = answer_late
        self.server.announcements.delete("w1")
        late = asyncio.ensure_future(self.put(sequence=6))
        await asked.wait()
        self.server.announcements.delete("w1")
        answered.set()
        self.assertEqual(await late, 409)
        self.assertEqual(self.states, {})

    async def test_restart_with_the_clock_behind_is_used(self):
        """Guards against a restarted upstream that gets no calls for good."""
        await self.put(born=START_MS + 5000)
        self.server.announcements.drop("w1", "crashed")
        self.upstream.answer = health_answer("w2")
        self.assertEqual(await self.put("w2", sequence=1), 200)
        self.assertEqual(self.states, {"w2": "READY"})

    async def test_health_checks_and_lines_are_few(self):
        """Guards against another writer that fills the log or keeps slots busy."""
        await self.put()
        began_s = self.clock_s
        with capture_logs() as lines:
            for number in range(20):
                await self.put("odd", service="nosuch", sequence=number)
                await self.put("odd", born=2**52, sequence=number)
        refused = [line for line in lines if line["event"] == "announcement_refused"]
        self.assertEqual(
            {line["reason"] for line in refused}, {"other_service", "other_upstream"}
        )
        elapsed_s = self.clock_s - began_s
        # One at once, and one more in each interval.
        self.assertLessEqual(len(refused), 2 * (1 + elapsed_s // LOG_INTERVAL_S))
        timeout_s = self.ctx.cfg.membership.announce_timeout_s
        self.assertLessEqual(len(self.upstream.sent_bytes), 1 + elapsed_s // timeout_s)
        text = self.ctx.metrics.text().decode()
        self.assertIn("lentilsill_announcements_refused_other_service_total 20.0", text)

    async def test_deletions_of_unknown_ids_fill_the_log(self):
        """Guards against a log line for each deletion of another writer."""
        began_s = self.clock_s
        with capture_logs() as lines:
            for number in range(50):
                await self.send("DELETE", f"odd-{number}", b"")
        elapsed_s = self.clock_s - began_s
        self.assertLessEqual(len(lines), 1 + elapsed_s // LOG_INTERVAL_S)

    async def test_checks_keep_their_interval(self):
        """Guards against a health check for each of many disputed announcements.

        None is decided by a check that was sent before it arrived.
        """
        first = asyncio.ensure_future(self.check.ask())
        await asyncio.sleep(0.05)
        later = [asyncio.ensure_future(self.check.ask()) for _ in range(20)]
        await first
        began_at = asyncio.get_running_loop().time()
        await asyncio.gather(*later)
        waited_s = asyncio.get_running_loop().time() - began_at
        self.assertGreater(waited_s, 0.5 * MIN_INTERVAL_S)
        self.assertEqual(len(self.upstream.sent_bytes), 2)
