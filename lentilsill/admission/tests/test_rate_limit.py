"""Tests of the limit that an upstream names, as a model without processes."""

import random
import unittest

from lentilsill.admission import Notice, RateLimiter, newer_notice, parse_limit

from .limit_simulation import Faults, LimitSimulation, most_in_window

# Numbers of nodes of the users' deployments.
SIZES = (11, 48, 194)
# In any 4 s an upstream may get this multiple of its limit, and 5 requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
WINDOW_S = 4.0
# The limit binds from this long after it was first named.
STABLE_WINDOW_S = 3.0
FAULTS = Faults(restarts=(12.0, 12.7, 20.0, 33.0), freezes=((15.0, 18.0), (25.0, 29.0)))


def allowed(limit_per_s):
    return LIMIT_FACTOR * limit_per_s * WINDOW_S + LIMIT_SLACK


class RateLimiterTests(unittest.TestCase):
    def test_random_calls_exceed_no_window(self):
        """Guards against bursts at the edge of a change of the limit or of a pause."""
        for seed in range(20):
            rng = random.Random(seed)
            limiter = RateLimiter()
            limit_per_s = rng.choice((0.3, 1.0, 10.2, 22.1, 200.0))
            limiter.set_limit(limit_per_s, 0.0)
            now, sent = 0.0, []
            while now < 30.0:
                now += rng.choice((0.0, 0.001, 0.02, 0.02, 2.0)) * rng.random()
                if rng.random() < 0.01:
                    limiter.set_limit(limit_per_s * rng.uniform(0.9, 1.0), now)
                if limiter.wait_s(now, rng.randrange(3)) == 0 and limiter.take(now):
                    sent.append(now)
            self.assertLessEqual(most_in_window(sent), allowed(limit_per_s), seed)

    def test_urgent_call_finds_a_token_among_less_urgent_ones(self):
        """Guards against urgent calls that are refused like all others."""
        limiter = RateLimiter()
        limiter.set_limit(10.0, 0.0)
        refused = {0: 0, 2: 0}
        for step in range(1, 2000):
            now = step * 0.01
            priority = 0 if step % 20 == 0 else 2
            if limiter.wait_s(now, priority) > 0 or not limiter.take(now):
                refused[priority] += 1
        self.assertEqual(refused[0], 0)
        self.assertGreater(refused[2], 1000)

    def test_limit_below_one_still_lets_calls_through(self):
        """Guards against an upstream that never gets the call that ends its limit."""
        for limit_per_s in (0.0, 0.05, 0.2):
            limiter = RateLimiter()
            limiter.set_limit(limit_per_s, 0.0)
            taken = sum(limiter.take(step * 0.1) for step in range(1, 301))
            self.assertGreaterEqual(taken, 2, limit_per_s)
            self.assertLessEqual(taken, LIMIT_FACTOR * limit_per_s * 30 + LIMIT_SLACK)

    def test_bad_values_are_no_limits(self):
        """Guards against a limit that is not a number a second."""
        for text in ("", "x", "-1", "nan", "inf", "1e999", "1,5", "9" * 5000):
            with self.assertRaises(ValueError, msg=text[:10]):
                parse_limit(text)
        self.assertEqual(parse_limit(" 0 "), 0.0)


class NoticeTests(unittest.TestCase):
    def test_notices_that_arrive_out_of_order_give_the_same_result(self):
        """Guards against an old limit that replaces a newer one."""
        notices = [
            Notice(5.0, 1.0, 1000),
            Notice(7.0, 2.0, 1000),
            Notice(None, 3.0, 1000),
            Notice(9.0, 0.5, 2000),
        ]
        for seed in range(30):
            rng = random.Random(seed)
            known = None
            for notice in rng.sample(notices, len(notices)):
                known = newer_notice(known, notice)
            self.assertEqual(known, notices[-1])


class LimitSimulationTests(unittest.TestCase):
    def test_nodes_together_exceed_the_limit_in_no_window(self):
        """Guards against a limit that grows with the number of nodes.

        The node beside the upstream is restarted, frozen and cut off.
        """
        for nodes in SIZES:
            for limit_per_s in (1.0, 10.2, 22.1):
                for seed in range(3):
                    run = LimitSimulation(
                        nodes, limit_per_s, 60.0, seed, faults=FAULTS
                    ).run()
                    after = [
                        at
                        for at in run.told_sent_at
                        if at >= run.named_at + STABLE_WINDOW_S
                    ]
                    self.assertLessEqual(
                        most_in_window(after),
                        allowed(limit_per_s),
                        (nodes, limit_per_s, seed),
                    )

    def test_callers_get_most_of_the_limit_with_any_number_of_nodes(self):
        """Guards against shares of the limit that nodes hold and don't use."""
        for nodes in SIZES:
            for seed in range(3):
                run = LimitSimulation(nodes, 22.1, 60.0, seed).run()
                self.assertGreaterEqual(run.share_used(10.0, 40.0), 0.85, nodes)
