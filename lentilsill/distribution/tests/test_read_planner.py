"""Over a slow network link, a burst of versions is read as its newest version."""

import unittest

from lentilsill.distribution import ReadPlanner

VERSION_BYTES = 250_000
LINK_BYTES_PER_S = 312_500


def max_age_s(planner: ReadPlanner, versions_per_s: float, duration_s: float) -> float:
    """Simulate a burst of versions; return the greatest age of what a watcher holds.

    The age is the time since the first version that the watcher lacks was written.
    """
    now, held, max_age = 0.0, 0, 0.0
    while now < duration_s:
        newest = int(now * versions_per_s)
        count = 1 if planner.must_list else newest - held
        if not count:
            now += 0.05
            continue
        transfer_s = count * VERSION_BYTES / LINK_BYTES_PER_S
        now += transfer_s
        if planner.must_list:
            planner.record_list(newest > held, transfer_s)
        else:
            planner.record_watch(count, transfer_s)
        held = newest
        max_age = max(max_age, now - (held + 1) / versions_per_s)
    return max_age


class ReadPlannerTests(unittest.TestCase):
    def test_burst_of_versions_on_a_slow_link_is_read_in_time(self):
        """Guards against watches that each take longer than the one before.

        Four versions of 250 KB a second over a link of 2.5 Mbit/s must be in force
        within 2.5 s.
        """
        self.assertLess(max_age_s(ReadPlanner(newest_only=True), 4.0, 8.0), 2.5)
        # With watches alone, the age exceeds the bound: the simulation shows the fault.
        self.assertGreater(max_age_s(ReadPlanner(newest_only=False), 4.0, 8.0), 2.5)

    def test_list_follows_a_compaction(self):
        """Guards against changes before a compaction that the node never learns."""
        planner = ReadPlanner(newest_only=False)
        planner.record_compaction()
        self.assertTrue(planner.must_list)

    def test_single_documents_are_watched_on_a_slow_link(self):
        """Guards against a list of all documents after each change of one document."""
        planner = ReadPlanner(newest_only=False)
        planner.record_watch(5, 3.0)
        planner.record_failure()
        self.assertFalse(planner.must_list)

    def test_watch_continues_on_a_fast_link(self):
        """Guards against a second read of each version where a watch is fast enough."""
        planner = ReadPlanner(newest_only=True)
        planner.record_watch(2, 0.02)
        self.assertFalse(planner.must_list)
