"""Tests of the command line of the daemon, and of state dumps."""

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from typer.testing import CliRunner

from lentilsill.cli.dump import dump_state
from lentilsill.cli.exits import ExitCode
from lentilsill.cli.main import app as cli_app
from lentilsill.daemon.admin_server import AdminServer
from lentilsill.daemon.main import EXIT_BAD_SETTINGS, app
from lentilsill.daemon.node import make_context
from lentilsill.daemon.tests.builders import node_settings

ROOT = Path(__file__).parents[3]


class CommandLineTests(unittest.TestCase):
    def setUp(self):
        self.runner = CliRunner()

    def test_check_accepts_the_example_settings(self):
        """Guards against example settings that a node rejects at its start."""
        paths = sorted((ROOT / "examples").glob("*/node-*.json5"))
        self.assertEqual(len(paths), 6)
        for path in paths:
            result = self.runner.invoke(app, ["--settings", str(path), "--check"])
            self.assertEqual((result.exit_code, result.output), (0, ""))

    def test_check_lists_all_findings(self):
        """Guards against a check that reports only one problem of a file at a time."""
        with TemporaryDirectory() as directory:
            path = Path(directory) / "node.json5"
            path.write_text('{node: "A", colour: 1}', encoding="utf-8")
            result = self.runner.invoke(app, ["--settings", str(path), "--check"])
        self.assertEqual(result.exit_code, EXIT_BAD_SETTINGS)
        for place in ("node", "colour", "domain", "platform"):
            self.assertIn(f"{path}: {place}: ", result.stderr)

    def test_missing_file_is_reported(self):
        """Guards against a traceback instead of a message."""
        result = self.runner.invoke(app, ["--settings", "/nowhere.json5", "--check"])
        self.assertEqual(result.exit_code, EXIT_BAD_SETTINGS)
        self.assertIn("/nowhere.json5: file: ", result.stderr)

    def test_completion_is_offered_by_both_programs(self):
        """Guards against a program that offers no shell completion."""
        for program in (app, cli_app):
            result = self.runner.invoke(program, ["--help"])
            self.assertIn("--install-completion", result.output)


class DumpTests(unittest.IsolatedAsyncioTestCase):
    async def test_dump_contains_the_state_of_the_node(self):
        """Guards against a dump that is not JSON or not of this node."""
        ctx = make_context(node_settings("n1"))
        server = AdminServer(ctx)
        server.start("127.0.0.1:0")
        self.addCleanup(server.stop)
        lines: list[str] = []
        code = await dump_state(f"127.0.0.1:{server.port}", lines.append)
        for task in list(ctx.tasks):
            task.cancel()
        self.assertEqual((code, json.loads(lines[0])["node"]), (ExitCode.OK, "n1"))

    async def test_unreachable_node_has_its_own_exit_status(self):
        """Guards against scripts that mistake an unreachable node for an empty one."""
        lines: list[str] = []
        code = await dump_state("127.0.0.1:1", lines.append)
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertTrue(lines[0].startswith("127.0.0.1:1: "), lines)
