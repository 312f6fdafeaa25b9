"""Tests of the check of a configuration before it is sent."""

import copy
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from lentilsill.cli.exits import ExitCode
from lentilsill.cli.main import app
from lentilsill.platform.tests.builders import configuration

KEY = "secret-key"


class ConfigurationCheckTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        tenant = {"name": "acme", "api_keys": [KEY], "rate_per_s": 2, "burst": 4}
        self.spec = configuration(tenants=[tenant])
        self.old = self.write("old.json", copy.deepcopy(self.spec))
        self.spec["version"] = "0000000d"

    def write(self, name, value):
        path = self.folder / name
        text = value if isinstance(value, str) else json.dumps(value, indent=1)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def check(self, value, *args):
        """Return the exit status and the lines of a check."""
        path = self.write("new.json", value)
        result = CliRunner().invoke(app, ["check", path, *args])
        self.assertNotIn(KEY, result.output)
        return result.exit_code, result.output.splitlines()

    def test_status_tells_scripts_what_was_found(self):
        """Guards against a script that sends a configuration with errors."""
        against = ("--against", self.old)
        self.assertEqual(self.check(self.spec)[0], ExitCode.OK)
        self.assertEqual(self.check({"spec": self.spec}, *against)[0], ExitCode.OK)
        self.spec["tenants"][0]["api_keys"].append(KEY + "-2")
        status, lines = self.check(self.spec, *against)
        self.assertEqual(status, ExitCode.DIFFERENT)
        self.assertEqual(lines[0], "~ organisation acme: 1 keys added")
        self.spec["virtual_hosts"][0]["path_routes"][0]["timeout_ms"] = 10
        status, lines = self.check(self.spec, *against)
        self.assertEqual(status, ExitCode.WARNINGS)
        self.assertIn("warning: ", lines[0])
        self.spec["tenants"].append({"name": "b", "api_keys": [KEY]})
        status, lines = self.check(self.spec, *against)
        self.assertEqual(status, ExitCode.INVALID)
        text = json.dumps(self.spec, indent=1).splitlines()
        _, line = [n for n, row in enumerate(text, 1) if "api_keys" in row]
        self.assertIn(f"new.json:{line}: tenants[1].api_keys: 1 belong", lines[0])

    def test_version_that_would_be_ignored_is_an_error(self):
        """Guards against a change that is written and never comes into force."""
        self.spec["version"] = "0000000c"
        status, lines = self.check(self.spec, "--against", self.old)
        self.assertEqual(status, ExitCode.INVALID)
        self.assertIn("version: is not above", lines[0])

    def test_unreadable_configurations_are_errors(self):
        """Guards against a check that fails without a message, or passes."""
        unreadable: tuple[Any, ...] = (
            {"virtual_hosts": 5},
            self.spec | {"tenants": None},
            self.spec | {"version": "x"},
        )
        for value in unreadable:
            status, lines = self.check(value)
            self.assertEqual(status, ExitCode.INVALID, lines)
            self.assertTrue(lines[0].startswith("error: "), lines)
        others: tuple[Any, ...] = ("{", "[]", {"spec": 5})
        for value in others:
            status, _ = self.check(value, "--against", self.old)
            self.assertEqual(status, ExitCode.INVALID)
