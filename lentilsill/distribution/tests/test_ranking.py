"""The tree covers every member once, and full syncs stay bounded."""

import unittest
from random import Random

from hypothesis import given, strategies as st

from lentilsill.distribution import (
    Admitted,
    RetryAfter,
    SyncAdmission,
    fanout_children,
    rank_members,
)

members = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=60)


class TreeTests(unittest.TestCase):
    @given(members, st.integers(1, 8), st.booleans())
    def test_every_member_is_covered_exactly_once(self, names, fanout, is_member):
        """Guards against members that a push leaves out or reaches twice."""
        root = min(names) if is_member else "outside"
        reached, queue = [root], [root]
        while queue:
            children = fanout_children(queue.pop(), root, names, fanout)
            self.assertLessEqual(len(children), fanout)
            reached += children
            queue += children
        self.assertEqual(sorted(reached), sorted(names | {root}))

    @given(members)
    def test_leaving_member_moves_no_other(self, names):
        """Guards against a change of all watchers when one node leaves."""
        ranked = rank_members(names, "lahore")
        rest = rank_members(names - {ranked[0]}, "lahore")
        self.assertEqual(ranked[1:], rest)


class SyncAdmissionTests(unittest.TestCase):
    def test_bound_holds_and_places_are_given_back(self):
        """Guards against a reconnect storm that a node serves all at once."""
        admission = SyncAdmission(2, Random(1), max_s=10.0)
        first = admission.try_start(0.0)
        self.assertIsInstance(admission.try_start(0.0), Admitted)
        refused = admission.try_start(0.0)
        assert isinstance(first, Admitted) and isinstance(refused, RetryAfter)
        self.assertTrue(500 <= refused.delay_ms <= 1000)
        admission.finish(first.ticket)
        self.assertIsInstance(admission.try_start(1.0), Admitted)
        self.assertIsInstance(admission.try_start(9.0), RetryAfter)
        self.assertIsInstance(admission.try_start(10.0), Admitted)
