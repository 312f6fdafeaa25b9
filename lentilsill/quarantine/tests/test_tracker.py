"""Crashes are attributed to the request that causes them."""

import itertools
import unittest

from lentilsill.quarantine import CrashTracker, Run


class LossRecorder:
    """Records losses in a tracker, each with an id of its own."""

    def __init__(self, tracker):
        self.tracker = tracker
        self._numbers = itertools.count()

    def lose(self, now_s, *names, trial=False):
        """Record the loss of an upstream during runs of these requests."""
        runs = [Run(name, trial) for name in names]
        return self.tracker.record_loss(f"loss-{next(self._numbers)}", runs, now_s)


class CrashTrackerTests(unittest.TestCase):
    def setUp(self):
        self.tracker = CrashTracker()
        self.recorder = LossRecorder(self.tracker)
        self.lose = self.recorder.lose

    def merge(self, losses, now_s, tracker=None, cleared=()):
        if tracker is None:
            tracker = self.tracker
        return tracker.merge((), losses, cleared, now_s)

    def test_harmless_request_beside_crashes_is_never_quarantined(self):
        """Guards against refusing a request that was in flight at others' crashes.

        A suspect can be in flight with others if it started before it was a suspect.
        """
        for second in range(5):
            self.lose(float(second), f"bad-{second}", "x")
        self.assertFalse(self.tracker.is_quarantined("x", 5.0))
        self.assertFalse(self.tracker.can_start("x", ("y",), 5.0))
        self.tracker.finished("x", 5.0)
        self.assertFalse(self.tracker.is_suspect("x", 5.0))

    def test_second_crash_quarantines_the_request(self):
        """Guards against a third upstream that is crashed by the same request."""
        self.lose(0.0, "bad", "x", "y")
        self.lose(1.0, "bad", trial=True)
        self.assertTrue(self.tracker.is_quarantined("bad", 1.0))

    def test_request_is_blamed_for_upstreams_that_are_lost_together(self):
        """Each had a copy of the request, alone and by chance, as with a rack."""
        for number in range(9):
            self.lose(0.01 * number, "x")
        self.assertFalse(self.tracker.is_quarantined("x", 1.0))
        self.assertTrue(self.tracker.is_suspect("x", 1.0))

    def test_two_copies_in_flight_count_as_one_request_alone(self):
        self.lose(0.0, "x", "x")
        self.lose(1.0, "x", "x")
        self.assertFalse(self.tracker.is_quarantined("x", 1.0))

    def test_trial_is_blamed_for_the_loss_of_a_zone(self):
        """Upstreams without the request are lost at about the same time."""
        self.lose(0.0, "x", "y")
        self.lose(0.3, "x", trial=True)
        self.assertTrue(self.tracker.is_quarantined("x", 0.3))
        self.lose(0.5, "z")
        self.assertFalse(self.tracker.is_quarantined("x", 0.5))
        self.assertGreater(self.tracker.hold_s("x", 0.5), 0.0)
        self.assertEqual(self.tracker.hold_s("x", 1.4), 0.0)

    def test_crashes_of_others_excuse_a_request_for_ever(self):
        """Unrelated upstreams are lost beside each trial."""
        self.lose(0.0, "bad", "x")
        for at_s in (2.0, 4.0):
            self.lose(at_s, "z")
            self.lose(at_s, "bad", trial=True)
        self.assertTrue(self.tracker.is_quarantined("bad", 4.0))

    def test_two_guilty_requests_excuse_each_other(self):
        self.lose(0.0, "bad", "evil")
        self.lose(0.5, "bad", trial=True)
        self.lose(0.6, "evil", trial=True)
        self.assertTrue(self.tracker.is_quarantined("bad", 0.6))
        self.assertTrue(self.tracker.is_quarantined("evil", 0.6))

    def test_late_report_makes_a_cleared_request_a_suspect_again(self):
        rows = self.lose(0.0, "x")
        other = CrashTracker()
        self.merge((("a", 0, (("x", False),)),), 0.1, other)
        self.merge((), 0.5, other, cleared=(("x", 100),))
        self.assertFalse(other.is_suspect("x", 0.5))
        self.merge([(i, 600, runs) for i, _, runs in rows], 0.6, other)
        self.assertFalse(other.is_suspect("x", 0.6))
        self.merge((("c", 0, (("x", False),)),), 0.7, other)
        self.assertTrue(other.is_suspect("x", 0.7))

    def test_order_of_reports_decides_about_a_request(self):
        """Counts of nodes met by their maximum, and grew at each of them."""
        losses = [
            ("a", 400, (("x", False),)),
            ("b", 300, (("x", True),)),
            ("c", 200, (("z", False),)),
        ]
        verdicts = set()
        for order in itertools.permutations(losses):
            tracker = CrashTracker()
            for row in order:
                self.merge([row, row], 1.0, tracker)
            verdicts.add(tracker.is_quarantined("x", 1.0))
        self.assertEqual(verdicts, {False})

    def test_quarantine_ends(self):
        """Guards against refusing a request forever, even after its bug was fixed."""
        self.lose(0.0, "bad")
        self.lose(1.0, "bad", trial=True)
        self.tracker.finished("bad", 2.0)
        self.assertTrue(self.tracker.is_quarantined("bad", 600.0))
        self.assertFalse(self.tracker.is_quarantined("bad", 601.0))

    def test_merge_takes_the_higher_count_once(self):
        """Guards against counting one crash twice when reports are repeated."""
        other = CrashTracker()
        LossRecorder(other).lose(0.0, "bad")
        rows = LossRecorder(other).lose(0.0, "bad")
        for _ in range(3):
            self.merge(rows, 1.0)
        self.assertFalse(self.tracker.is_quarantined("bad", 1.0))
        self.merge([("trial", 0, (("bad", True),))], 1.0)
        self.assertTrue(self.tracker.is_quarantined("bad", 600.0))
        self.assertFalse(self.tracker.is_quarantined("bad", 602.0))

    def test_full_table_keeps_quarantined_requests(self):
        """Guards against suspects that evict requests known to cause crashes."""
        tracker = CrashTracker(max_entries=3)
        lose = LossRecorder(tracker).lose
        lose(0.0, "bad")
        lose(0.0, "bad", trial=True)
        lose(5.0, *"abcdef")
        self.assertEqual(len(tracker), 3)
        self.assertTrue(tracker.is_quarantined("bad", 5.5))

    def test_losses_without_end_fill_the_memory(self):
        self.lose(0.0, "bad")
        self.lose(0.0, "bad", trial=True)
        for number in range(2000):
            self.lose(5.0, *(f"{number}-{i}" for i in range(20)))
        self.assertLess(self.tracker._run_count, 20_000)
        self.assertTrue(self.tracker.is_quarantined("bad", 6.0))

    def test_report_with_more_losses_than_fit_raises(self):
        """Losses of a report are evicted by later ones of the same report."""
        names = tuple((f"r{i}", False) for i in range(200))
        rows = [(f"loss {number}", 0, names) for number in range(200)]
        new_losses, _ = self.merge(rows, 1.0)
        self.assertLess(len(new_losses), len(rows))
        self.assertTrue(self.tracker.is_suspect("r0", 1.0))
