"""Reports of the usage of slots."""

import unittest

from lentilsill.admission import AdmissionQueue


class SlotUsageTests(unittest.TestCase):
    def test_busy_time_waits_and_late_starts_are_reported(self):
        """Guards against a report that confuses busy slots with late starts."""
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

    def test_report_resets_the_counts(self):
        """Guards against calls that are counted in two reports."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0, 0, 1.0, "read")
        queue.usage.report(1.0, 1)
        report = queue.usage.report(2.0, 1)
        self.assertEqual((report.kinds, report.busy_share), ({}, 1.0))

    def test_refusals_are_reported(self):
        """Guards against refused calls that are missing from the report."""
        queue = AdmissionQueue(1, 0)
        queue.offer("a", 0.0, 9.0, 0, 1.0, "read")
        queue.offer("b", 0.0, 9.0, 0, 1.0, "read")
        self.assertEqual(queue.usage.report(1.0, 1).kinds["read"].refused, 1)
