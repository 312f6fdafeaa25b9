"""Crashes are attributed to the request that causes them."""

import unittest

from lentilsill.quarantine import CrashTracker


class CrashTrackerTests(unittest.TestCase):
    def test_harmless_request_beside_crashes_is_never_quarantined(self):
        """Guards against refusing a request that was in flight at others' crashes.

        A suspect can be in flight with others if it started before it was a suspect.
        """
        tracker = CrashTracker()
        for second in range(5):
            tracker.upstream_died((f"bad-{second}", "x"), float(second))
        self.assertFalse(tracker.is_quarantined("x", 5.0))
        self.assertFalse(tracker.can_start("x", ("y",), 5.0))
        tracker.finished("x", 5.0)
        self.assertFalse(tracker.is_suspect("x", 5.0))

    def test_second_crash_quarantines_the_request(self):
        """Guards against a third upstream that is crashed by the same request."""
        tracker = CrashTracker()
        tracker.upstream_died(("bad", "x", "y"), 0.0)
        tracker.upstream_died(("bad",), 1.0)
        self.assertTrue(tracker.is_quarantined("bad", 1.0))

    def test_quarantine_ends(self):
        """Guards against refusing a request forever, even after its bug was fixed."""
        tracker = CrashTracker()
        tracker.upstream_died(("bad",), 0.0)
        tracker.upstream_died(("bad",), 1.0)
        tracker.finished("bad", 2.0)
        self.assertTrue(tracker.is_quarantined("bad", 600.0))
        self.assertFalse(tracker.is_quarantined("bad", 601.0))

    def test_merge_takes_the_higher_count_once(self):
        """Guards against counting one crash twice when reports are repeated."""
        tracker = CrashTracker()
        rows = tracker.upstream_died(("bad",), 0.0)
        tracker.merge(rows * 3, 1.0)
        self.assertFalse(tracker.is_quarantined("bad", 1.0))
        tracker.merge([("bad", 2, 10**12)], 1.0)
        self.assertFalse(tracker.is_quarantined("bad", 602.0))

    def test_full_table_keeps_quarantined_requests(self):
        """Guards against suspects that evict requests known to cause crashes."""
        tracker = CrashTracker(max_entries=3)
        tracker.merge([("bad", 2, 1000)], 0.0)
        tracker.upstream_died(tuple("abcdef"), 0.0)
        self.assertEqual(len(tracker), 3)
        self.assertTrue(tracker.is_quarantined("bad", 0.5))
