"""Tests of the status commands and of the checks of files."""

import asyncio
import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from approvaltests import verify
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilsill.cli.checks import check_files, check_text, expand_directories
from lentilsill.cli.exits import ExitCode
from lentilsill.cli.reports import (
    Target,
    print_status,
    wait_until_in_force,
    watch_status,
)
from lentilsill.platform import HttpObjectApi
from lentilsill.platform.rollouts import state_to_value
from lentilsill.rollouts import Order, RolloutState, Stage
from standins.platform import Platform, make_app

from .builders import NOW_S, make_document, make_status


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a version reported as in force before every node has it."""

    async def asyncSetUp(self) -> None:
        self.store = (platform := Platform()).store
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(make_app(platform))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        self.api = HttpObjectApi(f"http://127.0.0.1:{port}", 5.0)
        self.addCleanup(self.api.close)
        self.lines: list[str] = []

    def put(
        self, domain: str, in_force: int, nodes: int = 3, age_s: float = 1.0
    ) -> None:
        value = make_status(domain, in_force, nodes, age_s)
        self.store.put("status", domain, value, None)

    async def wait(self, version: int, timeout_s: float) -> ExitCode:
        domains = ["lahore", "multan"]
        target = Target("slots", version)
        return await wait_until_in_force(
            self.api, target, domains, timeout_s, self.lines.append, lambda: NOW_S
        )

    async def show(self) -> None:
        await print_status(self.api, False, self.lines.append, lambda: NOW_S)

    async def test_rollouts_are_shown(self) -> None:
        """Guards against a roll-out whose state and reason operators can't see."""
        order = Order("slots", "v2", 30.0, "3/30/v2", 7)
        state = RolloutState(order, 5, Stage.ROLLED_BACK, "8 of 9 answers failed")
        self.store.put("rollout-states", "slots", state_to_value(state), None)
        self.store.put("rollout-states", "odd", {"stage": 7}, None)
        await self.show()
        self.assertIn("slots    v2      rolled_back  8 of 9 answers failed", self.lines)
        self.assertTrue(any(line.startswith("odd      -") for line in self.lines))

    async def test_status_table(self) -> None:
        """Guards against a table that hides rejected, held, old or invalid statuses."""
        self.put("multan", 6, 2, 120.0)
        self.put("lahore", 7)
        await self.show()
        self.store.put("status", "lahore", {"nodes": "x"}, None)
        await self.show()
        verify("\n".join(self.lines))

    async def test_wait_needs_every_node_of_every_domain(self) -> None:
        """Guards against a wait that ends while a domain lags or doesn't report."""
        self.put("lahore", 7)
        self.assertEqual(await self.wait(7, 0.1), ExitCode.TIMEOUT)
        self.assertIn("multan: has not reported", self.lines)
        self.put("multan", 7, 2)
        self.assertEqual(await self.wait(7, 0.1), ExitCode.TIMEOUT)
        self.put("multan", 7, 3, age_s=91)
        self.assertEqual(await self.wait(7, 0.1), ExitCode.TIMEOUT)
        self.put("multan", 7, 3)
        self.assertEqual(await self.wait(7, 5), ExitCode.OK)
        self.assertEqual(await self.wait(8, 5), ExitCode.REJECTED)

    async def test_watch_prints_each_change(self) -> None:
        """Guards against a watch that prints the listing but misses a later change."""
        self.put("lahore", 6)
        watching = asyncio.ensure_future(
            watch_status(self.api, False, self.lines.append, lambda: NOW_S)
        )
        try:
            async with asyncio.timeout(10):
                while not any("lahore  slots    7         6 " in x for x in self.lines):
                    await asyncio.sleep(0.01)
                await self.api.put("status", "lahore", make_status("lahore", 7), None)
                while not any("lahore  slots    7         7 " in x for x in self.lines):
                    await asyncio.sleep(0.01)
        finally:
            watching.cancel()
            await asyncio.wait([watching])

    def test_references_between_files_are_checked(self) -> None:
        """Guards against documents that are held once applied.

        A document is held while one of its references is not satisfied.
        """
        slots = make_document() | {"requires": ["inventory"]}
        slots["routes"][0]["targets"] = [
            {"service": "ledger", "upstream_set": "next", "weight": 1}
        ]
        with TemporaryDirectory() as folder:
            for value in (slots, make_document("ledger")):
                path = Path(folder) / f"{value['service']}.json5"
                path.write_text(json.dumps(value, indent=1), encoding="utf-8")
            files = expand_directories([Path(folder)])
            locations = {
                f.place: (Path(f.source).name, f.line) for f in check_files(files)
            }
            single_file_findings = list(check_files([Path(folder) / "slots.json5"]))
        self.assertEqual(
            locations["routes[0].targets[0].upstream_set"][0], "slots.json5"
        )
        lines = json.dumps(slots, indent=1).splitlines()
        for place, text in (("upstream_set", '"next"'), ("requires[0]", '"inventory"')):
            (line,) = (locations[key][1] for key in locations if key.endswith(place))
            self.assertIn(text, lines[line - 1])
        self.assertEqual(single_file_findings, [])

    def test_findings_in_settings_have_line_numbers(self) -> None:
        """Guards against settings errors reported one at a time or without a line."""
        text = '{\n  // comment\n  node: "a",\n  "platform": {\n    "url": 1\n  }\n}'
        line_numbers = {f.place: f.line for f in check_text(text, "node.json5")}
        self.assertEqual(line_numbers["platform.url"], 5)
        self.assertIn("domain", line_numbers)

    def test_syntax_error_has_a_line_number(self) -> None:
        """Guards against a syntax error that is reported without its line."""
        for head in ('"service"', '"node"'):
            (finding,) = check_text(f'{{{head}: "a",\n "x": }}', "a.json5")
            self.assertTrue(str(finding).startswith("a.json5:2: document: "), finding)

    def test_duplicate_key_is_reported(self) -> None:
        """Guards against a duplicate key that silently replaces the first value."""
        findings = check_text('{"service": "a", "limits": {}, "limits": {}}', "a.json5")
        self.assertIn("limits", str(next(iter(findings))))
