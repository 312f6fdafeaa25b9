"""Documentation pages agree with the source."""

import doctest
import unittest

from harness.events import EventTable, events_in_source, metrics_in_source
from harness.reference import EXAMPLE, ROOT, example_text, find_outdated_files
from lentilsill.cli.exits import EXIT_HELP, ExitCode
from lentilsill.settings import parse_settings


class PagesTests(unittest.TestCase):
    def test_settings_pages_match_the_model(self):
        """Guards against an undocumented setting and a documented one that is gone."""
        self.assertEqual(find_outdated_files(ROOT), [])

    def test_reference_settings_are_valid(self):
        """Guards against example settings that a node rejects."""
        cfg = parse_settings(example_text(), str(EXAMPLE))
        self.assertEqual(cfg.distribution.optimise_for, "convergence")

    def test_log_events_are_documented(self):
        """Guards against a log event that operators can't look up.

        The page omits it or describes it wrongly.
        """
        table = EventTable.from_page(ROOT / "docs/observability.md")
        self.assertEqual(table.events, events_in_source(ROOT / "lentilsill"))

    def test_metrics_are_documented(self):
        """Guards against a metric that is missing on dashboards.

        The page omits it or describes it wrongly.
        """
        table = EventTable.from_page(ROOT / "docs/observability.md")
        self.assertEqual(table.metrics, metrics_in_source(ROOT / "lentilsill"))

    def test_exit_statuses_are_documented(self):
        """Guards against scripts that misread an exit status.

        The page or the help text omits it.
        """
        page = (ROOT / "docs/cli.md").read_text(encoding="utf-8")
        help_text = " ".join(EXIT_HELP.split())
        for code in ExitCode:
            self.assertIn(f"| {int(code)} |", page)
            self.assertRegex(help_text, rf"\b{int(code)} \w")


def load_tests(loader, tests, pattern):
    """Add the examples of the library page to the tests."""
    page = str(ROOT / "docs/library.md")
    tests.addTest(doctest.DocFileSuite(page, module_relative=False))
    return tests
