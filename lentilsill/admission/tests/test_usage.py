"""Usage of slots as it is reported."""

import unittest

from lentilsill.admission import AdmissionQueue


class SlotUsageTests(unittest.TestCase):
    def test_busy_waiting_and_late_starts_are_told(self):
        """Guards against a report that can't tell busy slots from late starts."""
        queue = AdmissionQueue(2, 5)
        queue.offer("a", 0.0, 9.0, 0, 1.0, "read")
        queue.offer("b", 0.0, 9.0, 0, 1.0, "read")
        queue.offer("c", 0.5, 9.0, 0, 1.0, "read")
        queue.finished("a", 2.0)
        queue.finished("b", 2.0)
        queue.finished("c", 3.0)
        report = queue.usage.report(4.0, queue.slots)
        self.assertEqual(report.busy_share, 5.0 / 8.0)
        read = report.kinds["read"]
        self.assertEqual((read.started, read.started_late, read.ended), (3, 1, 3))
        self.assertEqual((read.waited_s, read.ran_s), (1.5, 5.0))

    def test_report_starts_anew(self):
        """Guards against counts that appear in two reports."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0, 0, 1.0, "read")
        queue.usage.report(1.0, 1)
        report = queue.usage.report(2.0, 1)
        self.assertEqual((report.kinds, report.busy_share), ({}, 1.0))

    def test_refusals_are_told(self):
        """Guards against refused calls that no report shows."""
        queue = AdmissionQueue(1, 0)
        queue.offer("a", 0.0, 9.0, 0, 1.0, "read")
        queue.offer("b", 0.0, 9.0, 0, 1.0, "read")
        self.assertEqual(queue.usage.report(1.0, 1).kinds["read"].refused, 1)
