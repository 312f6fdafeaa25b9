"""Tests of the review of bundles and of their differences."""

import json
import unittest

from lentilsill.documents import compare_bundles, parse_bundle, review_bundle


def make_route(name, **fields):
    """Return a route to service `s`."""
    return {
        "name": name,
        "match": {"path_prefix": f"/{name}"},
        "targets": [{"service": "s", "upstream_set": "all"}],
        "deadline_ms": 100,
        **fields,
    }


def make_bundle(*routes, host="h.example", **fields):
    """Return a bundle with a service `s` and a virtual host."""
    service = {"service": "s", "upstream_sets": {"all": {}}}
    value = {
        "version": 1,
        "documents": [service, {"service": host, "routes": list(routes)}],
        **fields,
    }
    return parse_bundle(json.dumps(value), 1).unwrap()


def review(*routes, **fields):
    """Return places and messages of the findings of a bundle."""
    findings = review_bundle(make_bundle(*routes, **fields))
    return [(finding.place, finding.message) for finding in findings]


class ReviewTests(unittest.TestCase):
    def test_sound_bundle_has_no_findings(self):
        """Guards against warnings that operators learn to ignore."""
        routes = (
            make_route("a"),
            make_route("b", match={"path_prefix": "/a", "methods": ["GET"]}),
            make_route("c", match={"path_prefix": ""}, objective_ms=100),
        )
        self.assertEqual(review(routes[0], routes[2]), [])
        self.assertEqual(review(routes[1], routes[0]), [])
        organisation = {
            "name": "o",
            "key_digests": ["d"],
            "quota": {"rate_per_s": 0.5, "burst": 1},
        }
        self.assertEqual(review(make_route("a"), organisations=[organisation]), [])

    def test_entries_that_never_match_are_named(self):
        """Guards against a route or host that has no effect when it is in force."""
        for prefix in ("p", "/p?x=1", "/a b", "/é"):
            ((place, message),) = review(make_route("r", match={"path_prefix": prefix}))
            self.assertEqual(place, "h.example.r")
            self.assertIn("never matches", message)
        for host in ("h.example:80", "*.example", "a b", "é.example"):
            ((place, message),) = review(make_route("r"), host=host)
            self.assertIn("never matches", message)
        get = make_route("get", match={"path_prefix": "/r", "methods": ["GET"]})
        ((place, message),) = review(make_route("r"), get)
        self.assertEqual(place, "h.example.get")
        self.assertIn("'r' before it", message)
        self.assertEqual(
            [place for place, _ in review()], ["h.example", "s"], "without routes"
        )

    def test_contradicting_limits_are_named(self):
        """Guards against limits that no call can meet."""
        target = {"service": "s", "upstream_set": "all", "weight": 0}
        quota = {"rate_per_s": 5, "burst": 0.5}
        cases = (
            (review(make_route("r", objective_ms=101)), "h.example.r", "after"),
            (review(make_route("r", targets=[target])), "h.example.r", "refuses all"),
            (
                review(
                    make_route("r"),
                    caller_limits={"header_timeout_ms": 9, "idle_timeout_ms": 8},
                ),
                "caller_limits",
                "above",
            ),
            (review(make_route("r"), organisations=[]), "organisations", "no keys"),
            (
                review(
                    make_route("r", is_public=True),
                    organisations=[{"name": "o", "key_digests": ["d"], "quota": quota}],
                ),
                "organisations.o",
                "less than one call",
            ),
        )
        for findings, place, text in cases:
            self.assertEqual(findings[0][0], place)
            self.assertIn(text, findings[0][1])


class DifferenceTests(unittest.TestCase):
    def test_each_changed_entry_has_one_line_without_keys(self):
        """Guards against changes that are not shown, and keys that are."""
        old = make_bundle(
            make_route("a"),
            make_route("b"),
            make_route("b"),
            organisations=[
                {"name": "o", "key_digests": ["secret-1"], "priority": 1},
                {"name": "p", "key_digests": ["secret-2"]},
            ],
        )
        new = make_bundle(
            make_route("a", deadline_ms=200),
            make_route("b"),
            make_route("c"),
            organisations=[
                {"name": "o", "key_digests": ["secret-3", "secret-4"], "priority": 2},
                {"name": "q", "quota": {"rate_per_s": 1, "burst": 2}},
            ],
            caller_limits={"max_body_bytes": 7},
        )
        self.assertEqual(compare_bundles(old, old), [])
        self.assertEqual(
            compare_bundles(old, new),
            [
                "~ caller limits: max_body_bytes 1048576 -> 7",
                "- host h.example route b #2",
                "- organisation p",
                "~ host h.example route a: deadline_ms 100 -> 200",
                "+ host h.example route c",
                "~ organisation o: 2 keys added, 1 keys removed, priority 1 -> 2",
                "+ organisation q",
            ],
        )
