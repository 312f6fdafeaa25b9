"""Tests of the admin server, and of the start and stop of the program."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from lentilsill.daemon.admin_server import AdminServer
from lentilsill.daemon.controllers.tests.claim_builders import make_node, wait_for
from lentilsill.membership import UpstreamState

BODY = {"service": "slots", "address": "127.0.0.1:9", "slots": 6, "state": "starting"}
ROOT = Path(__file__).parents[3]


class AdminServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ctx = make_node(1)
        self.dropped: list[str] = []
        self.server = AdminServer(self.ctx, self.dropped.append)
        self.server.start("127.0.0.1:0")
        self.client = SimpleAsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self):
        self.client.close()
        self.server.stop()
        self.ctx.links.close()
        for task in list(self.ctx.tasks):
            task.cancel()

    async def fetch(self, path, method="GET", body=None):
        url = f"http://127.0.0.1:{self.server.port}/lentilsill/{path}"
        text = None if body is None else json.dumps(body)
        response = await self.client.fetch(
            url, method=method, body=text, raise_error=False
        )
        return response.code, json.loads(response.body)

    async def test_ready_time_is_kept_while_ready(self):
        """Guards against a slow start that restarts with each announcement."""
        await self.fetch("upstreams/w1", "PUT", BODY)
        self.assertEqual(self.ctx.board.upstreams["w1"].ready_at_ms, 0)
        ready = {**BODY, "state": "ready"}
        code, response = await self.fetch("upstreams/w1", "PUT", ready)
        self.assertEqual((code, response), (200, {"in_flight": 0}))
        first = self.ctx.board.upstreams["w1"]
        await self.fetch("upstreams/w1", "PUT", ready)
        self.assertGreater(first.ready_at_ms, 0)
        self.assertIs(self.ctx.board.upstreams["w1"], first)
        self.assertIs(first.state, UpstreamState.READY)

    async def test_silent_upstream_is_dropped(self):
        """Guards against calls that are sent to an upstream that has died."""
        await self.fetch("upstreams/w1", "PUT", BODY)
        start_s = self.ctx.now()
        self.ctx.now = lambda: start_s + 60.0
        await wait_for(lambda: self.dropped == ["w1"])
        self.assertEqual(self.ctx.board.upstreams, {})

    async def test_findings_list_every_problem_of_an_announcement(self):
        """Guards against an invalid announcement that is applied in part."""
        bad = {**BODY, "slots": 0, "state": "gone", "colour": "red"}
        code, response = await self.fetch("upstreams/w1", "PUT", bad)
        self.assertEqual((code, len(response["findings"])), (400, 3))
        self.assertEqual(self.ctx.board.upstreams, {})

    async def test_failing_part_does_not_fail_the_state_dump(self):
        """Guards against a state dump that fails as a whole while a part is faulty."""
        self.ctx.board.dump_parts["bad"] = lambda: 1 / 0
        code, dump = await self.fetch("state")
        self.assertEqual((code, dump["node"]), (200, "n1"))
        self.assertIn("ZeroDivisionError", dump["bad"]["error"])

    async def test_draining_node_is_not_ready(self):
        """Guards against new callers that connect to a node that is about to exit."""
        self.ctx.board.ready = True
        self.assertEqual((await self.fetch("ready"))[0], 200)
        self.ctx.board.draining = True
        self.assertEqual((await self.fetch("ready"))[0], 503)
        self.assertEqual((await self.fetch("live"))[0], 200)


class ProgramTests(unittest.TestCase):
    def start(self, **changes):
        cfg = {
            "node": "n1",
            "domain": "lahore",
            "bind_ip": "127.0.0.1",
            "peer_address": "127.91.0.1:17101",
            "caller_address": "127.91.0.1:17102",
            "admin_address": "127.91.0.1:17103",
            "platform": {"url": "http://127.91.0.1:17104"},
            **changes,
        }
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory, "node.json")
        path.write_text(json.dumps(cfg), encoding="utf-8")
        program = [sys.executable, "-m", "lentilsill.daemon.main"]
        process = subprocess.Popen(
            [*program, "--settings", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        self.addCleanup(process.kill)
        return process

    def test_findings_in_settings_are_listed(self):
        """Guards against a node that starts despite invalid settings."""
        process = self.start(domain="La hore", colour="red")
        _, stderr = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(stderr.splitlines()), 2, stderr)

    def test_sigterm_drains_the_node_and_logs_json(self):
        """Guards against a process that exits on SIGTERM without a drain."""
        process = self.start()
        events = []
        for line in process.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "node_started":
                process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=20), 0)
        self.assertEqual(events[-2:], ["drain_ended", "node_stopped"])
