"""Tests of the choice among versions of a service."""

import unittest

from lentilsill.routing import Candidate, VersionFilter
from lentilsill.routing.versions import filter_candidates


def make_candidates(version: str, count: int) -> list[Candidate]:
    return [
        Candidate(f"{version}-{i}", f"n{i}", f"d{i % 3}", "i", "", 6, 0, version)
        for i in range(count)
    ]


class VersionTests(unittest.TestCase):
    def test_filter_separates_the_versions(self):
        """Guards against calls to a version that was rolled back."""
        old, new = make_candidates("v1", 4), make_candidates("v2", 4)
        others = filter_candidates(old + new, VersionFilter("v2", False))
        self.assertEqual(others, tuple(old))
        wanted = filter_candidates(old + new, VersionFilter("v2", True))
        self.assertEqual(wanted, tuple(new))

    def test_upstream_of_unknown_version_gets_no_calls_during_a_rollout(self):
        """Guards against unlimited calls to a version whose node has just started."""
        old, unknown = make_candidates("v1", 2), make_candidates("", 2)
        others = VersionFilter("v2", False)
        self.assertEqual(filter_candidates(old + unknown, others), tuple(old))
        self.assertEqual(filter_candidates(unknown, others), tuple(unknown))

    def test_canaries_are_few_and_in_all_domains(self):
        """Guards against canaries that depend on one domain, or differ by node."""
        candidates = make_candidates("v1", 40) + make_candidates("v2", 40)
        versions = VersionFilter("v2", True, 0.1, "order")
        canaries = filter_candidates(candidates, versions)
        self.assertEqual(len(canaries), 4)
        self.assertEqual({c.domain for c in canaries}, {"d0", "d1", "d2"})
        again = filter_candidates(candidates[::-1], versions)
        self.assertEqual(set(again), set(canaries))


if __name__ == "__main__":
    unittest.main()
