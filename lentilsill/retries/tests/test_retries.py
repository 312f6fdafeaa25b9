"""Retries happen only where the outcome allows."""

import unittest

from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.retries import RetryBudget, SharedRetryBudget, decide_retry
from lentilsill.retries.decide import MAX_CHOICES


class RetryTests(unittest.TestCase):
    def decide(self, result, idempotent, arrivals=1, remaining_s=1.0, choices=1):
        return decide_retry(result, idempotent, arrivals, 3, remaining_s, choices)

    def test_only_not_run_is_repeated_for_a_call_that_may_not_be(self):
        """Guards against a second run of a request that may have run (G6)."""
        for outcome in Outcome:
            result = Refused(outcome, "")
            self.assertEqual(
                self.decide(result, False), outcome is Outcome.NOT_RUN, outcome
            )
            self.assertTrue(self.decide(result, True))

    def test_limits(self):
        """Guards against retries past attempts, deadline, choices or an answer."""
        result = Refused(Outcome.NOT_RUN, "")
        self.assertFalse(self.decide(result, True, arrivals=3))
        self.assertFalse(self.decide(result, True, remaining_s=0.0))
        self.assertFalse(self.decide(result, True, choices=MAX_CHOICES))
        for status in (200, 404):
            self.assertFalse(self.decide(Answer(status, (), b""), True))

    def test_failure_answer_of_an_upstream_is_repeated_only_when_idempotent(self):
        """Guards against a second run after an answer that counts as run."""
        failure = Answer(500, (), b"")
        self.assertTrue(self.decide(failure, True))
        self.assertFalse(self.decide(failure, False))

    def test_bucket_is_used_up(self):
        """Guards against retries past the percentage of a route."""
        budget = RetryBudget(10.0, burst=2.0)
        self.assertEqual([budget.take() for _ in range(3)], [True, True, False])

    def test_nodes_together_stay_below_the_bound_in_any_window(self):
        """Guards against a fleet that repeats more than the bound allows, also
        at the seam of two windows and when each node knows half of the others."""
        count, ratio, window_s, allowance = 8, 0.2, 10.0, 56.0
        budgets = [SharedRetryBudget(ratio, window_s, allowance) for _ in range(count)]
        taken = []
        for step in range(3000):
            now = step * 0.01
            for budget in budgets:
                budget.nodes = count // 2
                budget.add_call(now)
                if budget.take(now):
                    taken.append(now)
        for start in (0.0, 4.9, 9.5, 15.0, 20.0):
            inside = sum(start <= at < start + window_s for at in taken)
            calls = count * window_s / 0.01
            self.assertLessEqual(inside, ratio * calls + allowance)

    def test_repeats_that_repeated_calls_make_fit_the_bound(self):
        """Guards against the broken bound of thandak-mesh scale-1: 880 arrivals of
        870, as repeats of one service repeat its calls to another. The calls to
        the inner service are as many as there, 1.4 per outer call."""
        ratio, window_s, allowance, nodes = 0.2, 10.0, 56.0, 9
        outer = SharedRetryBudget(ratio, window_s, allowance)
        inner = SharedRetryBudget(ratio, window_s, allowance)
        outer.nodes = inner.nodes = nodes
        extra = {"outer": 0, "inner": 0}
        for step in range(1000):
            now = step * 0.01
            for budget, name, per_step in (
                (outer, "outer", 2150 / 9 / 1000),
                (inner, "inner", 4070 / 9 / 1000),
            ):
                if int((step + 1) * per_step) > int(step * per_step):
                    budget.add_call(now)
                extra[name] += budget.take(now)
        together = nodes * (extra["inner"] + 1.4 * extra["outer"])
        self.assertLessEqual(together, ratio * 4070 + allowance)
