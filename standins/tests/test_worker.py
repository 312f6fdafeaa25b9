"""Tests of the stand-in for upstreams, with calls of the stand-in for callers."""

import socket
import unittest

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from standins.caller import Caller, CallPlan
from standins.worker import Upstream, make_app


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against another result that a caller records as a complete answer."""

    async def asyncSetUp(self) -> None:
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.upstream = Upstream("slots-1", "slots", address, "127.0.0.1:1", 6, {})
        server = HTTPServer(make_app(self.upstream))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.caller = Caller([address])
        self.addCleanup(self.caller.close)

    async def test_cut_answer_is_not_recorded_as_complete(self) -> None:
        """Guards against an answer that breaks off but is recorded as complete.

        The request must still be recorded as one execution.
        """
        plan = CallPlan("/log", "POST", False, b"pickup")
        complete = await self.caller.call(plan)
        self.assertEqual((complete.outcome, complete.upstream), ("answered", "slots-1"))
        cut = CallPlan("/log", "POST", False, headers=(("X-Standin-Cut", "1"),))
        record = await self.caller.call(cut)
        self.assertEqual(record.outcome, "cut")
        ids = [execution.call_id for execution in self.upstream.executions]
        self.assertEqual(ids, [complete.call_id, record.call_id])

    async def test_load_makes_the_given_number_of_calls(self) -> None:
        """Guards against a load that continues after the given number of calls."""
        plans = [CallPlan("/lookup"), CallPlan("/log", "POST", False, b"x")]
        records = await self.caller.run(
            plans, calls=20, concurrency=4, max_duration_s=10
        )
        self.assertEqual({record.outcome for record in records}, {"answered"})
        self.assertEqual(len(self.upstream.executions), 20)
