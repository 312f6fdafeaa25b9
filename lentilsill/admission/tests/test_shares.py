"""Organisations get their shares of slots that don't suffice for all calls."""

import unittest
from dataclasses import replace
from typing import Any

from lentilsill.admission import AdmissionQueue, Refuse, Start
from lentilsill.admission.plan import WaitingCall
from lentilsill.admission.shares import MAX_ORGANISATIONS, FairShares

from .load_simulation import CallerOutcomes, Kind, LoadSimulation

SPEEDS = (0.5, 0.7, 0.9, 1.1, 1.3, 1.6)
SLOTS = 3
SERVICE_TIME_S = 0.15
CAPACITY_PER_S = SLOTS * sum(SPEEDS) / SERVICE_TIME_S
# Shares of the load of twenty organisations.
LOAD_SHARES = (0.2, 0.1, 0.1, *[0.6 / 17] * 17)


def usual_load(load: float) -> list[Kind]:
    """Return calls of 150 ms of twenty organisations, with their rates as weights."""
    rates = [load * CAPACITY_PER_S * share for share in LOAD_SHARES]
    return [
        Kind(f"o{i}", rate, SERVICE_TIME_S, 0.5, 0.5, 1.2, 2, f"o{i}", rate)
        for i, rate in enumerate(rates)
    ]


def served_share(outcomes: list[CallerOutcomes]) -> float:
    served = sum(o.on_time + o.late for o in outcomes)
    return served / sum(o.calls for o in outcomes)


class LoadTests(unittest.TestCase):
    """Six upstreams of three slots at 0.5 to 1.6 times the usual speed.

    The usual load is three quarters of the capacity, a tenth of it that of `o1`. An
    organisation with few calls loses some by chance, so that the run with the feature
    takes 160 s.
    """

    def served(
        self, factor: float, duration_s: float, fair_shares: bool
    ) -> dict[str, float]:
        """Return the served shares while `o1` sends `factor` times its usual load."""
        kinds = [
            replace(k, per_s=k.per_s * factor) if k.name == "o1" else k
            for k in usual_load(0.75)
        ]
        sim = LoadSimulation(kinds, SPEEDS, SLOTS, duration_s, fair_shares)
        return {name: served_share([o]) for name, o in sim.run().items()}

    def test_organisation_with_ten_times_its_load_costs_no_other_its_calls(self):
        """Guards against callers that are refused because of those of another
        organisation."""
        before = self.served(1.0, 160.0, fair_shares=True)
        during = self.served(10.0, 160.0, fair_shares=True)
        losses = {name: before[name] - during[name] for name in before}
        losses.pop("o1")
        self.assertLessEqual(max(losses.values()), 0.02, losses)
        mean = sum(during.values()) / len(during)
        self.assertGreater(min(during.values()), mean / 4)

    def test_others_lose_calls_without_the_feature(self):
        """Guards against a load that shows nothing about the feature."""
        before = self.served(1.0, 20.0, fair_shares=False)
        during = self.served(10.0, 20.0, fair_shares=False)
        self.assertGreater(before["o0"] - during["o0"], 0.1)

    def test_thousand_callers_do_not_displace_two(self):
        """Guards against shares by the number of calls that are offered. A thousand
        callers, with a second between calls, compete with two, both without weights;
        the load is eight times the capacity."""
        many = Kind("many", 1.0, SERVICE_TIME_S, 0.5, 0.5, 1.2, 0, "many", 0.0, 1000)
        two = Kind("two", 4.0, SERVICE_TIME_S, 0.5, 0.5, 1.2, 0, "two", 0.0, 2)
        fair = LoadSimulation([many, two], SPEEDS, SLOTS, 15.0, True).run()
        unfair = LoadSimulation([many, two], SPEEDS, SLOTS, 15.0, False).run()
        self.assertGreater(served_share([fair["two"]]), 0.98)
        self.assertLess(served_share([unfair["two"]]), 0.7)


class QueueTests(unittest.TestCase):
    """A queue with one slot whose calls take 0.1 s."""

    def setUp(self):
        self.queue = AdmissionQueue(1, 4, fair_shares=True)
        self.now = 0.0
        self.queue.service_times.add("read", 0.1)
        self.started: list = []

    def offer(self, call, organisation, priority=0, weight=0.0):
        return self.queue.offer(
            call,
            self.now,
            self.now + 9.0,
            priority,
            self.now + 5.0,
            "read",
            organisation,
            weight,
        )

    def fill(self, organisation="large"):
        """Let an organisation use the slot for a second, and fill the queue."""
        for number in range(10):
            self.offer(f"u{number}", organisation)
            self.now += 0.1
            self.queue.finished(f"u{number}", self.now)
        for number in range(5):
            self.offer(f"w{number}", organisation)

    def next_started(self):
        self.now += 0.1
        (call,) = self.queue._running
        (start,) = self.queue.finished(call, self.now)
        assert isinstance(start, Start)
        return start.call

    def test_call_below_its_share_starts_first_and_another_is_shed(self):
        """Guards against an organisation that fills the queue of an upstream."""
        self.fill()
        (refused,) = self.offer("small", "small")
        assert isinstance(refused, Refuse)
        self.assertTrue(refused.is_above_share)
        self.assertTrue(str(refused.call).startswith("w"))
        self.assertEqual(self.next_started(), "small")

    def test_call_without_organisation_is_never_above_its_share(self):
        """Guards against shedding calls that running calls wait for."""
        self.fill("")
        (refused,) = self.offer("other", "other")
        assert isinstance(refused, Refuse)
        self.assertFalse(refused.is_above_share)

    def test_priority_precedes_the_share(self):
        """Guards against urgent calls that start after less urgent ones."""
        self.fill()
        self.offer("small", "small", priority=1)
        self.assertEqual(self.next_started(), "w1")

    def test_queue_without_the_feature_ignores_organisations(self):
        """Guards against a changed order where the feature is off."""
        self.queue = AdmissionQueue(1, 4)
        self.fill()
        (refused,) = self.offer("small", "small")
        self.assertEqual(refused.call, "small")

    def test_expected_time_is_that_of_the_organisation(self):
        """Guards against upstreams that seem busy to an organisation whose calls would
        start next."""
        self.fill()
        small_s = self.queue.expected_time_s(self.now, 0, "read", 99.0, "small")
        large_s = self.queue.expected_time_s(self.now, 0, "read", 99.0, "large")
        self.assertAlmostEqual(small_s, 0.2)
        self.assertAlmostEqual(large_s, 0.6)

    def test_shares_are_divided_once_for_a_call_that_waits(self):
        """Guards against a division for each use of its result: three for a call that
        arrived and whose expected time was reported, at 0.1 ms each with 75
        organisations."""
        self.fill()
        shares: Any = self.queue.shares
        find_above = shares.find_above
        found = []

        def record(waiting, now):
            found.append(now)
            return find_above(waiting, now)

        shares.find_above = record
        self.offer("s", "small")
        self.queue.expected_time_s(self.now + 0.001, 0, "read", 99.0, "small")
        self.assertEqual(len(found), 1)


def waiting(organisation: str, number: int) -> WaitingCall:
    return WaitingCall(number, 9.0, 5.0, 0, 0.1, 0.1, "read", number, 0.0, organisation)


class ShareTests(unittest.TestCase):
    def use(self, shares: FairShares, name: str, seconds: float, weight: float) -> None:
        shares.offer(name, weight, 0.0)
        shares.start(name, seconds, 0.0)

    def above(self, weights: dict[str, float]) -> set[str]:
        """Return who is above its share after both have used one second."""
        shares = FairShares()
        for name, weight in weights.items():
            self.use(shares, name, 1.0, weight)
        names = list(weights)
        calls = [waiting(name, number) for number, name in enumerate(names)]
        return {names[number] for number in shares.find_above(calls, 0.0)}

    def test_share_is_by_weight_where_all_have_one(self):
        """Guards against equal shares for organisations with unequal quotas."""
        self.assertEqual(self.above({"a": 1.0, "b": 4.0}), {"a"})

    def test_shares_are_equal_where_one_has_no_weight(self):
        """Guards against an organisation without a quota that gets no share."""
        self.assertEqual(self.above({"a": 0.0, "b": 4.0}), {"a", "b"})

    def test_slot_time_counts_and_not_calls(self):
        """Guards against an organisation with few long calls that gets more."""
        shares = FairShares()
        self.use(shares, "long", 0.1, 0.0)
        shares.correct("long", 1.9, 0.0)
        for _ in range(10):
            self.use(shares, "short", 0.1, 0.0)
        calls = [waiting("long", 0), waiting("short", 1)]
        self.assertEqual(shares.find_above(calls, 0.0), {0})

    def test_memory_is_bounded(self):
        """Guards against an account for each of 10,000 organisations."""
        shares = FairShares()
        for number in range(10_000):
            shares.offer(f"o{number}", 1.0, number * 1e-4)
        self.assertEqual(len(shares.dump(1.0)), MAX_ORGANISATIONS)
