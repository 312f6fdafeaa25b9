"""The selector avoids upstreams that can't or shouldn't get calls."""

import collections
import random
import unittest

from lentilsill.documents import Limits, RetryPolicy, Route, ServiceDocument
from lentilsill.membership import NodeState
from lentilsill.routing import CallProfile, Selector, match_route
from lentilsill.routing.selector import FAILURES_TO_EJECT
from lentilsill.routing.tests.builders import make_document, make_node
from lentilsill.versioning import Snapshot

OLD_MS = 10**9


class SelectorTests(unittest.TestCase):
    def selector(self, *nodes, leaving=False, suspects=()):
        selector = Selector("lahore", random.Random(1))
        snapshot = Snapshot({"slots": make_document(leaving)}, 1)
        selector.update(snapshot, nodes, suspects)
        return selector

    def picks(self, selector, now=0.0, tried=(), count=200, wall_ms=OLD_MS):
        chosen = [
            selector.pick("slots", "all", now, wall_ms, tried) for _ in range(count)
        ]
        return collections.Counter(c and c.node for c in chosen)

    def test_leaving_and_suspected_nodes_and_leaving_sets_get_no_calls(self):
        """Guards against calls to nodes that leave or are suspected (G7)."""
        nodes = make_node("a"), make_node("b", state=NodeState.LEAVING), make_node("c")
        self.assertEqual(set(self.picks(self.selector(*nodes, suspects={"c"}))), {"a"})
        self.assertEqual(set(self.picks(self.selector(*nodes, leaving=True))), {None})

    def test_less_loaded_upstream_is_preferred(self):
        """Guards against a selection that ignores load."""
        selector = self.selector(make_node("a"), make_node("b"))
        selector.record_start("w-a", 0.0)
        self.assertEqual(set(self.picks(selector)), {"b"})
        selector.record_report("w-b", 50.0, 0.0)
        self.assertEqual(set(self.picks(selector)), {"a"})

    def test_other_domain_is_used_only_without_a_usable_local_upstream(self):
        """Guards against calls that leave the domain too early, or never."""
        selector = self.selector(make_node("a"), make_node("b", "multan"))
        self.assertEqual(set(self.picks(selector)), {"a"})
        self.assertEqual(set(self.picks(selector, tried={"w-a"})), {"b"})
        selector.record_refusal("w-a", 0.0)
        self.assertEqual(set(self.picks(selector, now=0.1)), {"b"})
        self.assertEqual(set(self.picks(selector, now=1.0)), {"a"})
        self.assertEqual(set(self.picks(selector, now=0.1, tried={"w-b"})), {"a"})

    def test_at_most_half_is_ejected_and_comes_back(self):
        """Guards against the ejection of a whole set, and one that never ends."""
        selector = self.selector(*(make_node(name) for name in "abc"))
        for name in "abc":
            for _ in range(FAILURES_TO_EJECT):
                selector.record_start(f"w-{name}", 0.0)
                selector.record_end(f"w-{name}", 0.0, True)
        self.assertEqual(len(self.picks(selector, now=1.0)), 2)
        self.assertEqual(len(self.picks(selector, now=100.0)), 3)

    def test_failing_upstream_is_distinguished_from_a_failing_service(self):
        """Guards against retries when a service that all upstreams depend on fails: on
        thandak-mesh scale-1 retries exceeded their shared limit."""
        selector = self.selector(make_node("a"), make_node("b"))
        for name in ("w-a", "w-b"):
            for _ in range(10):
                selector.record_start(name, 0.0)
                selector.record_end(name, 0.0, True)
        self.assertFalse(selector.has_lower_failure_share("w-b", "w-a", 0.0))
        for _ in range(10):
            selector.record_start("w-b", 0.0)
            selector.record_end("w-b", 0.0, False, 5.0)
        self.assertTrue(selector.has_lower_failure_share("w-b", "w-a", 0.0))

    def test_calls_leave_the_domain_only_to_be_answered_sooner(self):
        """Guards against calls that are late in a loaded domain while another domain
        could answer on time, and against calls that leave the domain without need.

        Expected times are averages. While no call is late, a call that is expected to
        take as long as its objective stays; where many are late, it leaves sooner.
        """
        selector = self.selector(make_node("a"), make_node("b", "multan"))
        profile = CallProfile(200, "read")
        for local_ms, remote_ms, expected in (
            (100.0, 10.0, "a"),
            (150.0, 10.0, "a"),
            (210.0, 10.0, "a"),
            (400.0, 100.0, "b"),
            (400.0, 300.0, "a"),
            (900.0, 300.0, "b"),
        ):
            selector.record_report("w-a", local_ms, 0.0, "read")
            selector.record_report("w-b", remote_ms, 0.0, "read")
            chosen = selector.pick("slots", "all", 0.0, OLD_MS, (), profile)
            self.assertEqual(chosen.node, expected, (local_ms, remote_ms))
        for _ in range(20):
            selector.record_lateness("read", is_late=True)
        for local_ms, remote_ms, expected in (
            (100.0, 10.0, "a"),
            (150.0, 10.0, "b"),
            (150.0, 100.0, "a"),
        ):
            selector.record_report("w-a", local_ms, 0.0, "read")
            selector.record_report("w-b", remote_ms, 0.0, "read")
            chosen = selector.pick("slots", "all", 0.0, OLD_MS, (), profile)
            self.assertEqual(chosen.node, expected, (local_ms, remote_ms))

    def test_cold_upstream_gets_fewer_calls(self):
        """Guards against the overload of an upstream that has just started."""
        selector = self.selector(make_node("a"), make_node("b"))
        cold = selector._nodes[0].upstreams[0]
        self.assertEqual(cold.ready_at_ms, 0)
        self.picks(selector, wall_ms=0, count=1)
        selector.record_start("w-b", 0.0)
        selector._loads["w-b"].first_seen = -100.0
        self.assertEqual(set(self.picks(selector, wall_ms=1000)), {"b"})

    def test_longest_prefix_is_chosen_and_the_query_is_ignored(self):
        """Guards against calls that take the wrong route."""
        routes = tuple(
            Route(prefix, prefix, frozenset(methods), True, 1, (), RetryPolicy(), None)
            for prefix, methods in (("/", ()), ("/a/b", ("GET",)), ("/a/b", ()))
        )
        document = ServiceDocument("slots", 1, {}, routes, Limits(), ())
        self.assertIs(match_route(document, "GET", "/a/b?x"), routes[1])
        self.assertIs(match_route(document, "PUT", "/a/b"), routes[2])
        self.assertIs(match_route(document, "GET", "/c?/a/b"), routes[0])
