"""Tests that invalid documents are rejected with the place of each problem."""

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


def _document(*routes, **fields):
    return {
        "service": "a",
        "upstream_sets": {"x": {}},
        "routes": list(routes),
        **fields,
    }


def _messages(value):
    text = value if isinstance(value, str) else json.dumps(value)
    return {f.place: f.message for f in parse_document(text, "a", 1).unwrap_err()}


class ParseTests(unittest.TestCase):
    def test_all_findings_are_reported_at_once(self):
        """Guards against a report of only one problem.

        An operator would need one edit for each problem of the document.
        """
        messages = _messages(
            _document(
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
        self.assertEqual(set(messages), expected)

    def test_values_of_a_wrong_type_are_not_converted(self):
        """Guards against values such as "100" or 1 that are read as 100 or true."""
        messages = _messages(_document(_route(deadline_ms="100", idempotent=1)))
        self.assertEqual(
            set(messages), {"routes[0].deadline_ms", "routes[0].idempotent"}
        )

    def test_input_that_is_not_a_document_is_rejected(self):
        """Guards against input that raises an exception in place of findings."""
        too_deep = "[" * 100_000 + "]" * 100_000
        for text in ("", "{", "3", "null", '"x"', '[{"routes": 1}]', too_deep):
            self.assertIn("document", _messages(text), text[:10])
        wrong_shape = {"routes": [3, {"targets": 4}], "upstream_sets": []}
        self.assertIn("routes[0]", _messages(wrong_shape))

    def test_non_finite_numbers_and_repeated_keys_are_rejected(self):
        """Guards against text that JSON parsers read in different ways."""
        hedge = {"delay_ms": float("nan")}
        messages = _messages(_document(_route(idempotent=True, hedge=hedge)))
        self.assertIn("routes[0].hedge.delay_ms", messages)
        self.assertIn("twice", _messages('{"service":"a","service":"a"}')["document"])

    def test_oversized_documents_are_rejected(self):
        """Guards against a document that is so large that it overloads every node."""
        many = _document(*(_route(f"r{n}") for n in range(257)))
        self.assertIn("routes", _messages(many))
        sets: dict = {f"s{n}": {} for n in range(65)}
        self.assertIn("upstream_sets", _messages(_document(upstream_sets=sets)))
        self.assertIn("limit", _messages(" " * (MAX_TEXT_BYTES + 1))["document"])


class CanonicalTests(unittest.TestCase):
    def test_equal_documents_have_equal_texts(self):
        """Guards against different hashes of equal content.

        The canonical text also parses to an equal document.
        """
        first = parse_document(
            _document(_route(), requires=["c", "b"]), "a", 1
        ).unwrap()
        other = _route(idempotent=False, retry={"budget_percent": 10})
        other["match"]["methods"].reverse()
        second = parse_document(_document(other, requires=["b", "c"]), "a", 1).unwrap()
        text = canonical_text(first)
        self.assertEqual(text, canonical_text(second))
        self.assertEqual(parse_document(text, "a", 1).unwrap(), first)

    def test_references_exclude_the_service_of_the_document(self):
        """Guards against a document that waits for itself before it is put in force."""
        targets = [
            {"service": "a", "upstream_set": "x"},
            {"service": "b", "upstream_set": "y"},
        ]
        value = _document(_route(targets=targets), requires=["c", "a"])
        result = references(parse_document(value, "a", 1).unwrap())
        self.assertEqual(result.upstream_sets, {("b", "y")})
        self.assertEqual(result.services, {"c"})
