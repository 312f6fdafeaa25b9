"""What callers get from upstreams that can't serve them all."""

import unittest

from lentilsill.admission import AdmissionQueue, CallAges, Refuse
from lentilsill.admission.plan import Waiting, plan_starts

from .load_play import Kind, LoadPlay

SLOTS = 6
SAME_SPEED = (1.0, 1.0, 1.0)


def lookup(load: float, objective_s: float = 0.2) -> Kind:
    """Lookups of 80 ms at a multiple of what three upstreams can carry."""
    per_s = load * len(SAME_SPEED) * SLOTS / 0.08
    return Kind("lookup", per_s, 0.08, 0.5, objective_s, 1.2)


def waiting(name: str, cost_s: float, objective_at: float, number: int) -> Waiting:
    return Waiting(name, 9.0, objective_at, 0, cost_s, cost_s, name, number)


class OverloadTests(unittest.TestCase):
    def in_time_of_capacity(self, load: float) -> float:
        outcome = LoadPlay([lookup(load)], SAME_SPEED).run()["lookup"]
        return outcome.in_time / (outcome.calls / load)

    def test_returning_callers_do_not_make_all_calls_late(self):
        """Guards against callers who come back after a refusal, already late, and
        take the place of those who can be on time: 1.2 and 1.6 times the capacity."""
        self.assertGreater(self.in_time_of_capacity(1.2), 0.8)
        self.assertGreater(self.in_time_of_capacity(1.6), 0.8)

    def test_load_below_the_capacity_is_served(self):
        """Guards against refusals while there is room: seven tenths of the load."""
        outcome = LoadPlay([lookup(0.7)], SAME_SPEED).run()["lookup"]
        self.assertEqual(outcome.failed, 0)
        self.assertGreater(outcome.in_time, 0.95 * outcome.calls)

    def test_tight_objective_still_lets_calls_be_on_time(self):
        """Guards against a margin that takes every call for late: the objective is
        half as long again as the mean time, at 1.2 times the capacity."""
        outcome = LoadPlay([lookup(1.2, 0.12)], SAME_SPEED).run()["lookup"]
        self.assertGreater(outcome.in_time, outcome.late)

    def test_short_calls_that_others_wait_for_are_served(self):
        """Guards against short calls, such as those that a running call makes, which
        fail behind long ones: each costs its caller all its work. 1.4 times the
        capacity of upstreams of unequal speed, 45% of it short calls."""
        work_per_s = 1.4 * 3 * SLOTS
        long = Kind("long", 0.55 * work_per_s / 0.078, 0.078, 0.4, 0.25, 1.5)
        short = Kind("short", 0.45 * work_per_s / 0.015, 0.015, 0.5, 0.06, 0.2, 0)
        outcome = LoadPlay([long, short], (0.7, 0.7, 1.6)).run()["short"]
        self.assertLess(outcome.failed, 0.05 * outcome.calls)


class LateCallTests(unittest.TestCase):
    """One slot, calls of 100 ms; lookups come as often as `gap_s` says."""

    def queue(self, gap_s: float) -> AdmissionQueue:
        queue = AdmissionQueue(1, 12)
        queue.offer("first", 0.0, 9.0, 1, 9.0, "lookup")
        queue.finished("first", 0.1)
        self.now = 0.1
        running = -1
        ends_at = 0.0
        for number in range(40):
            self.now += gap_s
            if ends_at <= self.now:
                queue.finished(running, ends_at)
            if queue.offer(number, self.now, 99.0, 1, self.now + 0.15, "lookup"):
                running, ends_at = number, self.now + 0.1
            queue.cancel(number)
        return queue

    def offer_late(self, queue: AdmissionQueue, priority: int = 1) -> list:
        return queue.offer("late", self.now, 99.0, priority, self.now + 0.05, "lookup")

    def test_late_call_gives_way_where_calls_in_time_fill_the_slots(self):
        """Guards against a late call that waits, and makes others late when it runs."""
        (refused,) = self.offer_late(self.queue(0.08))
        self.assertIsInstance(refused, Refuse)
        self.assertIn("can be in time", refused.reason)
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)

    def test_late_call_waits_where_slots_are_left(self):
        """Guards against refusals that nobody gains by: half of the capacity."""
        self.assertEqual(self.offer_late(self.queue(0.2)), [])

    def test_urgent_late_call_does_not_give_way_to_others(self):
        """Guards against a refused call that a running call waits for."""
        self.assertEqual(self.offer_late(self.queue(0.08), priority=0), [])

    def test_short_late_call_does_not_give_way_to_long_ones(self):
        """Guards against a refusal for the sake of one call that gives many answers."""
        queue = self.queue(0.08)
        queue.costs.add("short", 0.01)
        late = queue.offer("late", self.now, 99.0, 1, self.now + 0.005, "short")
        self.assertEqual(late, [])


class ExpectedTimeTests(unittest.TestCase):
    def expected_s(self, left_s: float) -> float:
        """Expected time of a call with `left_s` of its objective, behind late ones."""
        queue = AdmissionQueue(1, 12)
        queue.offer("first", 0.0, 9.0, 1, 9.0, "lookup")
        queue.finished("first", 0.2)
        for name in ("running", "late", "later"):
            queue.offer(name, 1.0, 9.0, 1, 1.1, "lookup")
        return queue.expected_time_s(1.0, 1, "lookup", 1.0 + left_s)

    def test_call_that_is_late_on_a_slow_upstream_waits_for_late_ones(self):
        """Guards against slow upstreams that seem the quickest, as a call that is late
        there in any case was told that it passes the late ones."""
        self.assertAlmostEqual(self.expected_s(0.15), 0.2 + 0.2 + 2 * 0.2)

    def test_call_in_time_passes_late_ones(self):
        """Guards against upstreams that seem busy with calls that wait behind."""
        self.assertAlmostEqual(self.expected_s(0.5), 0.2 + 0.2)


class PlanTests(unittest.TestCase):
    def names(self, *calls: Waiting, now: float = 0.0, wait_s: float = 0.0):
        return [call.call for call in plan_starts(calls, now, wait_s, 1)]

    def test_the_longest_call_steps_back(self):
        """Guards against many late calls where one late call would do."""
        long = waiting("long", 0.4, 0.5, 9)
        short = [waiting(f"s{i}", 0.1, 0.6, i) for i in range(3)]
        self.assertEqual(self.names(long, *short), ["s0", "s1", "s2", "long"])

    def test_all_go_by_objective_when_there_is_time(self):
        """Guards against a long call that steps back without need."""
        long = waiting("long", 0.4, 0.5, 9)
        short = [waiting(f"s{i}", 0.1, 2.0, i) for i in range(3)]
        self.assertEqual(self.names(long, *short)[0], "long")

    def test_short_late_call_goes_before_a_long_one(self):
        """Guards against a late call of 15 ms that waits for several of 80 ms."""
        long = waiting("long", 0.08, 5.0, 1)
        late = waiting("late", 0.015, 0.9, 2)
        self.assertEqual(self.names(long, late, now=1.0), ["late", "long"])
        self.assertEqual(
            self.names(waiting("usual", 0.02, 5.0, 1), late, now=1.0)[0], "usual"
        )

    def test_short_late_call_passes_a_long_late_one(self):
        """Guards against short calls that a long late one keeps at the end."""
        on_time = waiting("on_time", 0.08, 5.0, 1)
        long = Waiting("long", 9.0, 1.15, 0, 0.1, 0.2, "long", 2)
        late = waiting("late", 0.015, 0.9, 3)
        calls = (on_time, long, late)
        self.assertEqual(self.names(*calls, now=1.0), ["late", "on_time", "long"])

    def test_late_call_with_a_chance_goes_before_a_hopeless_one(self):
        """Guards against the oldest calls first, which makes all of them late."""
        hopeless = waiting("hopeless", 0.1, 0.9, 1)
        tight = Waiting("tight", 9.5, 1.15, 0, 0.1, 0.2, "tight", 2)
        self.assertEqual(self.names(hopeless, tight, now=1.0), ["tight", "hopeless"])


class CallAgeTests(unittest.TestCase):
    def test_age_follows_from_what_is_left(self):
        """Guards against a repeated call that counts as new."""
        ages = CallAges()
        for _ in range(40):
            ages.estimate_age_ms("read", 1200)
        self.assertEqual(ages.estimate_age_ms("read", 700), 500)

    def test_few_long_limits_make_no_call_old(self):
        """Guards against one caller with a long limit who makes all others late."""
        ages = CallAges()
        for number in range(64):
            ages.estimate_age_ms("read", 60_000 if number % 20 == 0 else 1200)
        self.assertEqual(ages.estimate_age_ms("read", 1200), 0)

    def test_routes_are_apart(self):
        """Guards against a short limit of one route that looks old beside another."""
        ages = CallAges()
        for _ in range(40):
            ages.estimate_age_ms("slow", 5000)
        self.assertEqual(ages.estimate_age_ms("read", 1200), 0)
