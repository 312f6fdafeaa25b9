"""The fan-out tree reaches every member once, and full syncs are limited."""

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


class FanoutTreeTests(unittest.TestCase):
    @given(members, st.integers(1, 8), st.booleans())
    def test_push_reaches_every_member_exactly_once(self, names, fanout, is_member):
        """Guards against members that a push misses or reaches twice."""
        root = min(names) if is_member else "outside"
        reached, queue = [root], [root]
        while queue:
            children = fanout_children(queue.pop(), root, names, fanout)
            self.assertLessEqual(len(children), fanout)
            reached += children
            queue += children
        self.assertEqual(sorted(reached), sorted(names | {root}))

    @given(members)
    def test_leaving_member_does_not_reorder_the_others(self, names):
        """Guards against a change of every watcher when one node leaves."""
        ranked = rank_members(names, "lahore")
        remainder = rank_members(names - {ranked[0]}, "lahore")
        self.assertEqual(ranked[1:], remainder)


class SyncAdmissionTests(unittest.TestCase):
    def test_limit_holds_until_a_sync_finishes_or_expires(self):
        """Guards against a reconnect storm whose full syncs a node serves at once."""
        admission = SyncAdmission(2, Random(1), max_sync_s=10.0)
        first = admission.try_start(0.0)
        self.assertIsInstance(admission.try_start(0.0), Admitted)
        refused = admission.try_start(0.0)
        assert isinstance(first, Admitted) and isinstance(refused, RetryAfter)
        self.assertTrue(500 <= refused.delay_ms <= 1000)
        admission.finish(first.ticket)
        self.assertIsInstance(admission.try_start(1.0), Admitted)
        self.assertIsInstance(admission.try_start(9.0), RetryAfter)
        self.assertIsInstance(admission.try_start(10.0), Admitted)
