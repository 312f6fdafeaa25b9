"""Bad documents are refused with every place named."""

import json
import unittest

from lentilsill.documents import (
    MAX_TEXT_BYTES,
    canonical_text,
    parse_document,
    references,
)


def _route(name="r", **fields):
    route = {
        "name": name,
        "match": {"path_prefix": "/r", "methods": ["PUT", "GET"]},
        "targets": [{"service": "a", "upstream_set": "x", "weight": 1}],
        "deadline_ms": 100,
    }
    return {**route, **fields}


def _value(*routes, **fields):
    return {
        "service": "a",
        "upstream_sets": {"x": {}},
        "routes": list(routes),
        **fields,
    }


def _findings(value):
    text = value if isinstance(value, str) else json.dumps(value)
    return {f.place: f.message for f in parse_document(text, "a", 1).unwrap_err()}


class ParseTests(unittest.TestCase):
    def test_all_findings_are_reported_at_once(self):
        """Guards against an operator who fixes one problem per edit."""
        found = _findings(
            _value(
                _route(deadline_ms=0, hedge={"delay_ms": 5}),
                _route(targets=[{"service": "a", "upstream_set": "q", "weight": 0}]),
                service="b",
                extra=1,
            )
        )
        expected = {
            "routes[0].deadline_ms",
            "routes[0].hedge",
            "routes[1].name",
            "routes[1].targets",
            "routes[1].targets[0].upstream_set",
            "service",
            "extra",
        }
        self.assertEqual(set(found), expected)

    def test_values_are_not_converted(self):
        """Guards against a wrong type that is taken for another value."""
        found = _findings(_value(_route(deadline_ms="100", idempotent=1)))
        self.assertEqual(set(found), {"routes[0].deadline_ms", "routes[0].idempotent"})

    def test_input_that_is_no_document(self):
        """Guards against an exception in place of findings."""
        too_deep = "[" * 100_000 + "]" * 100_000
        for text in ("", "{", "3", "null", '"x"', '[{"routes": 1}]', too_deep):
            self.assertIn("document", _findings(text), text[:10])
        wrong_shape = {"routes": [3, {"targets": 4}], "upstream_sets": []}
        self.assertIn("routes[0]", _findings(wrong_shape))

    def test_non_finite_numbers_and_repeated_keys(self):
        """Guards against text whose meaning depends on the reader."""
        hedge = {"delay_ms": float("nan")}
        found = _findings(_value(_route(idempotent=True, hedge=hedge)))
        self.assertIn("routes[0].hedge.delay_ms", found)
        self.assertIn("twice", _findings('{"service":"a","service":"a"}')["document"])

    def test_limits_of_size(self):
        """Guards against a document that overloads every node."""
        many = _value(*(_route(f"r{n}") for n in range(257)))
        self.assertIn("routes", _findings(many))
        sets: dict = {f"s{n}": {} for n in range(65)}
        self.assertIn("upstream_sets", _findings(_value(upstream_sets=sets)))
        self.assertIn("limit", _findings(" " * (MAX_TEXT_BYTES + 1))["document"])


class CanonicalTests(unittest.TestCase):
    def test_equal_documents_have_equal_text(self):
        """Guards against two hashes for one content; text parses to the same."""
        first = parse_document(_value(_route(), requires=["c", "b"]), "a", 1).unwrap()
        other = _route(idempotent=False, retry={"budget_percent": 10})
        other["match"]["methods"].reverse()
        second = parse_document(_value(other, requires=["b", "c"]), "a", 1).unwrap()
        text = canonical_text(first)
        self.assertEqual(text, canonical_text(second))
        self.assertEqual(parse_document(text, "a", 1).unwrap(), first)

    def test_references_leave_out_the_own_service(self):
        """Guards against a document that waits for itself."""
        targets = [
            {"service": "a", "upstream_set": "x"},
            {"service": "b", "upstream_set": "y"},
        ]
        value = _value(_route(targets=targets), requires=["c", "a"])
        needs = references(parse_document(value, "a", 1).unwrap())
        self.assertEqual(needs.upstream_sets, {("b", "y")})
        self.assertEqual(needs.services, {"c"})
