"""The route index returns the same route as a search through all routes."""

import unittest

from hypothesis import given, strategies as st

from lentilsill.documents import parse_document
from lentilsill.routing import RouteIndex, match_route

PREFIXES = st.sampled_from(["/", "/a", "/a/", "/a/b/", "/b/", "/a/b/c"])
PATHS = st.sampled_from(["/", "/a", "/a/b/c/d", "/a/b", "/bb", "/b/x?/a/", "/a?b"])
METHODS = st.sampled_from([[], ["GET"], ["PUT", "POST"]])


def document(routes):
    target = {"service": "s", "upstream_set": "all"}
    value = {
        "service": "s",
        "upstream_sets": {"all": {}},
        "routes": [
            {
                "name": f"r{number}",
                "match": {"path_prefix": prefix, "methods": methods},
                "targets": [target],
                "deadline_ms": 100,
            }
            for number, (prefix, methods) in enumerate(routes)
        ],
    }
    return parse_document(value, "s", 1).unwrap()


class RouteIndexTests(unittest.TestCase):
    @given(st.lists(st.tuples(PREFIXES, METHODS), max_size=8), PATHS)
    def test_index_returns_the_same_route(self, routes, path):
        """Guards against an index that breaks the documented rule for routes."""
        doc = document(routes)
        for method in ("GET", "PUT", "HEAD"):
            expected = match_route(doc, method, path)
            self.assertIs(RouteIndex(doc).match(method, path), expected)
