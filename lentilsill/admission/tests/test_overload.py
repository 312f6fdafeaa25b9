"""Outcomes of calls to upstreams that can't serve all of them."""

import unittest

from lentilsill.admission import AdmissionQueue, CallAges, Refuse
from lentilsill.admission.plan import WaitingCall, plan_starts

from .load_simulation import Kind, LoadSimulation

SLOTS = 6
SAME_SPEED = (1.0, 1.0, 1.0)


def lookup(load: float, objective_s: float = 0.2) -> Kind:
    """Return lookups of 80 ms, at `load` times the capacity of three upstreams."""
    per_s = load * len(SAME_SPEED) * SLOTS / 0.08
    return Kind("lookup", per_s, 0.08, 0.5, objective_s, 1.2)


def waiting(
    name: str, service_time_s: float, objective_at: float, number: int
) -> WaitingCall:
    return WaitingCall(
        name, 9.0, objective_at, 0, service_time_s, service_time_s, name, number
    )


class OverloadTests(unittest.TestCase):
    def on_time_share_of_capacity(self, load: float) -> float:
        outcome = LoadSimulation([lookup(load)], SAME_SPEED).run()["lookup"]
        return outcome.on_time / (outcome.calls / load)

    def test_retries_do_not_make_all_calls_late(self):
        """Guards against retries after a refusal that are already late and take the
        place of calls that can be on time. The load is 1.2 and 1.6 times the
        capacity."""
        self.assertGreater(self.on_time_share_of_capacity(1.2), 0.8)
        self.assertGreater(self.on_time_share_of_capacity(1.6), 0.8)

    def test_load_below_the_capacity_is_served(self):
        """Guards against refusals at seven tenths of the capacity."""
        outcome = LoadSimulation([lookup(0.7)], SAME_SPEED).run()["lookup"]
        self.assertEqual(outcome.failed, 0)
        self.assertGreater(outcome.on_time, 0.95 * outcome.calls)

    def test_tight_objective_still_lets_calls_be_on_time(self):
        """Guards against a margin that makes every call count as late. The objective is
        1.5 times the mean service time, and the load 1.2 times the capacity."""
        outcome = LoadSimulation([lookup(1.2, 0.12)], SAME_SPEED).run()["lookup"]
        self.assertGreater(outcome.on_time, outcome.late)

    def test_short_calls_of_running_calls_are_served(self):
        """Guards against short calls that fail behind long ones. A running call may
        have made them, and each failure wastes all work of that running call. The load
        is 1.4 times the capacity of upstreams of unequal speed, 45% of it short
        calls."""
        work_per_s = 1.4 * 3 * SLOTS
        long = Kind("long", 0.55 * work_per_s / 0.078, 0.078, 0.4, 0.25, 1.5)
        short = Kind("short", 0.45 * work_per_s / 0.015, 0.015, 0.5, 0.06, 0.2, 0)
        outcome = LoadSimulation([long, short], (0.7, 0.7, 1.6)).run()["short"]
        self.assertLess(outcome.failed, 0.05 * outcome.calls)


class LateCallTests(unittest.TestCase):
    """Lookups of 100 ms that arrive every `gap_s` seconds at a queue with one slot."""

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

    def test_late_call_is_refused_while_calls_on_time_fill_the_slots(self):
        """Guards against a late call that waits and makes others late when it runs."""
        (refused,) = self.offer_late(self.queue(0.08))
        self.assertIsInstance(refused, Refuse)
        self.assertIn("can be in time", refused.reason)
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)

    def test_late_call_waits_while_slots_are_free(self):
        """Guards against refusals that help no other call, at half of the capacity."""
        self.assertEqual(self.offer_late(self.queue(0.2)), [])

    def test_urgent_late_call_is_not_refused_for_others(self):
        """Guards against refusing a call whose answer a running call waits for."""
        self.assertEqual(self.offer_late(self.queue(0.08), priority=0), [])

    def test_short_late_call_is_not_refused_for_long_ones(self):
        """Guards against refusing many short calls in favour of one long call."""
        queue = self.queue(0.08)
        queue.service_times.add("short", 0.01)
        late = queue.offer("late", self.now, 99.0, 1, self.now + 0.005, "short")
        self.assertEqual(late, [])


class ExpectedTimeTests(unittest.TestCase):
    def expected_s(self, remaining_s: float) -> float:
        """Return the expected time of a call behind late ones, `remaining_s` before its
        objective."""
        queue = AdmissionQueue(1, 12)
        queue.offer("first", 0.0, 9.0, 1, 9.0, "lookup")
        queue.finished("first", 0.2)
        for name in ("running", "late", "later"):
            queue.offer(name, 1.0, 9.0, 1, 1.1, "lookup")
        return queue.expected_time_s(1.0, 1, "lookup", 1.0 + remaining_s)

    def test_call_that_is_late_on_a_slow_upstream_does_not_overtake_late_ones(self):
        """Guards against slow upstreams that seem the fastest because a call that would
        be late there anyway is expected to overtake the late ones."""
        self.assertAlmostEqual(self.expected_s(0.15), 0.2 + 0.2 + 2 * 0.2)

    def test_call_on_time_overtakes_late_ones(self):
        """Guards against upstreams that seem busy because of calls that would start
        after this one."""
        self.assertAlmostEqual(self.expected_s(0.5), 0.2 + 0.2)


class PlanTests(unittest.TestCase):
    def names(self, *calls: WaitingCall, now: float = 0.0, wait_s: float = 0.0):
        return [call.call for call in plan_starts(calls, now, wait_s, 1)]

    def test_longest_call_is_moved_back(self):
        """Guards against many late calls where one would suffice."""
        long = waiting("long", 0.4, 0.5, 9)
        short = [waiting(f"s{i}", 0.1, 0.6, i) for i in range(3)]
        self.assertEqual(self.names(long, *short), ["s0", "s1", "s2", "long"])

    def test_calls_start_by_objective_when_there_is_time(self):
        """Guards against a long call that is moved back needlessly."""
        long = waiting("long", 0.4, 0.5, 9)
        short = [waiting(f"s{i}", 0.1, 2.0, i) for i in range(3)]
        self.assertEqual(self.names(long, *short)[0], "long")

    def test_short_late_call_starts_before_a_long_one(self):
        """Guards against a late call of 15 ms that waits for several of 80 ms."""
        long = waiting("long", 0.08, 5.0, 1)
        late = waiting("late", 0.015, 0.9, 2)
        self.assertEqual(self.names(long, late, now=1.0), ["late", "long"])
        self.assertEqual(
            self.names(waiting("usual", 0.02, 5.0, 1), late, now=1.0)[0], "usual"
        )

    def test_short_late_call_overtakes_a_long_late_one(self):
        """Guards against a long late call that keeps short late ones at the end."""
        on_time = waiting("on_time", 0.08, 5.0, 1)
        long = WaitingCall("long", 9.0, 1.15, 0, 0.1, 0.2, "long", 2)
        late = waiting("late", 0.015, 0.9, 3)
        calls = (on_time, long, late)
        self.assertEqual(self.names(*calls, now=1.0), ["late", "on_time", "long"])

    def test_call_that_may_be_on_time_starts_before_one_that_is_late(self):
        """Guards against starting the oldest calls first, which makes all late."""
        hopeless = waiting("hopeless", 0.1, 0.9, 1)
        tight = WaitingCall("tight", 9.5, 1.15, 0, 0.1, 0.2, "tight", 2)
        self.assertEqual(self.names(hopeless, tight, now=1.0), ["tight", "hopeless"])


class CallAgeTests(unittest.TestCase):
    def test_age_follows_from_the_remaining_time(self):
        """Guards against a retried call that counts as new."""
        ages = CallAges()
        for _ in range(40):
            ages.age_ms("read", 1200)
        self.assertEqual(ages.age_ms("read", 700), 500)

    def test_few_long_limits_do_not_age_other_calls(self):
        """Guards against a caller with a long limit that makes all other calls late."""
        ages = CallAges()
        for number in range(64):
            ages.age_ms("read", 60_000 if number % 20 == 0 else 1200)
        self.assertEqual(ages.age_ms("read", 1200), 0)

    def test_routes_have_separate_estimates(self):
        """Guards against calls that seem old due to longer limits of another route."""
        ages = CallAges()
        for _ in range(40):
            ages.age_ms("slow", 5000)
        self.assertEqual(ages.age_ms("read", 1200), 0)
