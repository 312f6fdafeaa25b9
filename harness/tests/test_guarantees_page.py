"""The guarantees page agrees with the `proves` decorators of the tests."""

import unittest

from harness.guarantees_page import PAGE, ROOT, find_proofs, render
from harness.proofs import GUARANTEES, proves
from harness.run_tests import read_known_red


class GuaranteesPageTests(unittest.TestCase):
    def test_page_equals_the_decorators(self):
        """Guards against a page that names a test for a guarantee it does not check."""
        text = render(find_proofs(), read_known_red(ROOT / "KNOWN-RED.txt"))
        message = "write it with `python -m harness.guarantees_page`"
        self.assertEqual(PAGE.read_text(encoding="utf-8"), text, message)

    def test_every_guarantee_is_proved_under_some_fault(self):
        """Guards against a guarantee that no test checks any more."""
        self.assertEqual({proof.guarantee for proof in find_proofs()}, set(GUARANTEES))

    def test_unknown_names_are_refused(self):
        """Guards against a decorator whose guarantee or fault is not on the page."""
        with self.assertRaises(ValueError):
            proves("G99", fault="node freeze")
        with self.assertRaises(ValueError):
            proves("G1", fault="rain")
