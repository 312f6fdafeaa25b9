"""Crashes are counted against the request that causes them."""

import unittest

from lentilsill.quarantine import CrashTracker


class CrashTrackerTests(unittest.TestCase):
    def test_innocent_beside_crashes_is_never_quarantined(self):
        """Guards against a request that shared two crashes and is then refused.

        A suspect may share a crash when it started before it was suspected.
        """
        tracker = CrashTracker()
        for second in range(5):
            tracker.upstream_died((f"bad-{second}", "x"), float(second))
        self.assertFalse(tracker.is_quarantined("x", 5.0))
        self.assertFalse(tracker.can_start("x", ("y",), 5.0))
        tracker.finished("x", 5.0)
        self.assertFalse(tracker.is_suspect("x", 5.0))

    def test_second_upstream_that_dies_quarantines(self):
        """Guards against a third upstream that the same request crashes."""
        tracker = CrashTracker()
        tracker.upstream_died(("bad", "x", "y"), 0.0)
        tracker.upstream_died(("bad",), 1.0)
        self.assertTrue(tracker.is_quarantined("bad", 1.0))

    def test_quarantine_ends(self):
        """Guards against a request refused for ever after a fixed bug."""
        tracker = CrashTracker()
        tracker.upstream_died(("bad",), 0.0)
        tracker.upstream_died(("bad",), 1.0)
        tracker.finished("bad", 2.0)
        self.assertTrue(tracker.is_quarantined("bad", 600.0))
        self.assertFalse(tracker.is_quarantined("bad", 601.0))

    def test_merge_takes_the_higher_count_once(self):
        """Guards against one crash counted twice when reports are repeated."""
        tracker = CrashTracker()
        rows = tracker.upstream_died(("bad",), 0.0)
        tracker.merge(rows * 3, 1.0)
        self.assertFalse(tracker.is_quarantined("bad", 1.0))
        tracker.merge([("bad", 2, 10**12)], 1.0)
        self.assertFalse(tracker.is_quarantined("bad", 602.0))

    def test_full_table_keeps_quarantined_requests(self):
        """Guards against suspects that push out known causes of crashes."""
        tracker = CrashTracker(max_entries=3)
        tracker.merge([("bad", 2, 1000)], 0.0)
        tracker.upstream_died(tuple("abcdef"), 0.0)
        self.assertEqual(len(tracker), 3)
        self.assertTrue(tracker.is_quarantined("bad", 0.5))
