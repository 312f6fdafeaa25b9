"""Plays of the quota model with faults, and with callers that move."""

import unittest

from lentilsill.documents import Quota

from .quota_model import QuotaModel
from .quota_plays import (
    CHEAP_QUOTAS,
    FAULTS,
    MIN_USED,
    QUOTAS,
    play,
    play_moves,
    play_start,
)


class BoundTest(unittest.TestCase):
    """Guards against more calls than the bound, whatever fails meanwhile.

    The plays with all quotas, loads and numbers of nodes are those of `quota_plays`.
    """

    def check(self, fault, node_count, seed, is_burst, quotas=QUOTAS) -> None:
        with self.subTest(fault=fault, nodes=node_count, burst=is_burst):
            result = play(fault, node_count, seed, is_burst, quotas)
            self.assertEqual(result.faults(fault), [], result)

    def test_small_quotas_on_9_nodes(self) -> None:
        for fault in FAULTS:
            self.check(fault, 9, 2, is_burst=True, quotas=CHEAP_QUOTAS)

    def test_steady_load_on_9_nodes(self) -> None:
        self.check("late_messages", 9, 1, is_burst=False)

    def test_bursts_on_66_nodes(self) -> None:
        self.check("cut_domain", 66, 3, is_burst=True)


class MovingCallersTest(unittest.TestCase):
    """Guards against shares that stay at nodes which callers have left."""

    def test_callers_at_one_tenth_of_the_nodes_move(self) -> None:
        for name, excess, used in play_moves(66, 5):
            self.assertLessEqual(excess, 1.0, name)
            if name != "small":
                self.assertGreaterEqual(used, MIN_USED, name)


class FirstStartTest(unittest.TestCase):
    """Guards against calls refused because a system has just been started."""

    def served(self, is_first: bool) -> float:
        plays = [p for seed in (1, 2) for p in play_start(9, seed, 0.6, is_first)]
        for name, excess, _ in plays:
            self.assertLessEqual(excess, 1.0, name)
        shares = [served for name, _, served in plays if name != "small"]
        return sum(shares) / len(shares)

    def test_calls_within_the_quota_are_served_soon_after_the_first_start(self) -> None:
        self.assertGreaterEqual(self.served(is_first=True), 0.97)
        self.assertLess(self.served(is_first=False), 0.93)

    def test_nodes_that_know_too_few_others_keep_the_bound(self) -> None:
        for name, excess, _ in play_start(66, 3, 3.0):
            self.assertLessEqual(excess, 1.0, name)


class FallingLimitTest(unittest.TestCase):
    """Guards against tokens of a higher limit that outlive it."""

    def test_a_lowered_limit_holds_after_one_window(self) -> None:
        before, after = Quota(100.0, 300.0), Quota(10.0, 5.0)
        model = QuotaModel(6, 66, {"a": before})
        model.run_until(10.0)
        model.add_callers("a", 400.0, [*model.nodes])
        model.run_until(12.0)
        model.set_quotas({"a": after})
        model.run_until(30.0)
        self.assertLessEqual(model.excess("a", before), 1.0)
        received_s = 12.5
        start = received_s + model.bounds.window_s
        self.assertLessEqual(model.excess("a", after, received_s + 0.3), 1.0)
        self.assertGreaterEqual(model.used("a", after, start, 30.0), MIN_USED)
