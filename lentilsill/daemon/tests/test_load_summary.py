"""Tests of the periodic log summary of calls."""

import unittest

from lentilsill.daemon.load_summary import LoadSummary
from lentilsill.outcomes import Answer, Outcome, Refused


class LoadSummaryTests(unittest.TestCase):
    def test_calls_are_counted_by_outcome(self):
        """Guards against late answers that the log counts as answers on time."""
        summary = LoadSummary()
        answer = Answer(200, (), b"")
        summary.record_call("slots/get", answer, False, 0.1, 1, 1)
        summary.record_call("slots/get", answer, True, 0.5, 2, 1)
        summary.record_call(
            "slots/get", Refused(Outcome.NOT_RUN, "full"), False, 0.0, 0, 1
        )
        summary.record_call("slots/get", Answer(500, (), b""), False, 0.2, 0, 1)
        summary.record_call("slots/get", None, False, 0.2, 0, 1)
        summary.record_held_answer(0.2)
        fields = summary.pop_fields()
        self.assertEqual(
            fields["routes"]["slots/get"],
            {
                "in_time": 1,
                "late": 1,
                "refused": 1,
                "failed": 2,
                "asked": 3,
                "attempts": 5,
                "mean_ms": 200.0,
            },
        )
        self.assertEqual((fields["held"], fields["held_ms"]), (1, 200.0))

    def test_totals_are_reset_after_each_report(self):
        """Guards against calls that are reported twice."""
        summary = LoadSummary()
        summary.record_held_answer(0.2)
        summary.pop_fields()
        self.assertEqual(
            summary.pop_fields(), {"routes": {}, "held": 0, "held_ms": 0.0}
        )
