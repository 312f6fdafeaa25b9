"""A thin network link carries the newest version, not each of a storm."""

import unittest

from lentilsill.distribution import ReadPlanner

VERSION_BYTES = 250_000
LINK_BYTES_PER_S = 312_500


def newest_age(reading: ReadPlanner, versions_per_s: float, seconds: float) -> float:
    """Play a storm of versions to a watcher; give the greatest age of what it holds.

    The age is the time since the version after the one that it holds was written.
    """
    now, held, oldest = 0.0, 0, 0.0
    while now < seconds:
        newest = int(now * versions_per_s)
        count = 1 if reading.must_list else newest - held
        if not count:
            now += 0.05
            continue
        transfer_s = count * VERSION_BYTES / LINK_BYTES_PER_S
        now += transfer_s
        if reading.must_list:
            reading.record_list(newest > held, transfer_s)
        else:
            reading.record_watch(count, transfer_s)
        held = newest
        oldest = max(oldest, now - (held + 1) / versions_per_s)
    return oldest


class ReadingTests(unittest.TestCase):
    def test_storm_on_a_thin_link_stays_in_time(self):
        """Guards against watches that each take longer than the one before: four
        versions a second of 250 KB on 2.5 Mbit/s, to be in force within 2.5 s."""
        self.assertLess(newest_age(ReadPlanner(newest_only=True), 4.0, 8.0), 2.5)
        # Without the rule the age is above the bound, so that the play shows it.
        self.assertGreater(newest_age(ReadPlanner(newest_only=False), 4.0, 8.0), 2.5)

    def test_lost_history_is_listed(self):
        """Guards against changes that nobody hears of after a compaction."""
        reading = ReadPlanner(newest_only=False)
        reading.record_compaction()
        self.assertTrue(reading.must_list)

    def test_versions_of_single_documents_are_watched(self):
        """Guards against a list of all documents for each change of one."""
        reading = ReadPlanner(newest_only=False)
        reading.record_watch(5, 3.0)
        reading.record_failure()
        self.assertFalse(reading.must_list)

    def test_fast_link_goes_on_watching(self):
        """Guards against a second read of each version where it costs no time."""
        reading = ReadPlanner(newest_only=True)
        reading.record_watch(2, 0.02)
        self.assertFalse(reading.must_list)
