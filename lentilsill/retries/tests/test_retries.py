"""Retries happen only where the outcome allows."""

import unittest

from lentilsill.outcomes import Answer, Outcome, Refused
from lentilsill.retries import RetryBudget, decide_retry


class RetryTests(unittest.TestCase):
    def decide(self, result, idempotent, attempts=1, remaining_s=1.0, budget=None):
        return decide_retry(result, idempotent, attempts, 3, remaining_s, budget)

    def test_only_not_run_is_repeated_for_a_call_that_may_not_be(self):
        """Guards against a second run of a request that may have run (G6)."""
        for outcome in Outcome:
            result = Refused(outcome, "")
            self.assertEqual(
                self.decide(result, False), outcome is Outcome.NOT_RUN, outcome
            )
            self.assertTrue(self.decide(result, True))

    def test_limits(self):
        """Guards against retries past attempts, deadline, budget or an answer."""
        result = Refused(Outcome.NOT_RUN, "")
        self.assertFalse(self.decide(result, True, attempts=3))
        self.assertFalse(self.decide(result, True, remaining_s=0.0))
        self.assertFalse(self.decide(Answer(500, (), b""), True))
        budget = RetryBudget(10.0, burst=2.0)
        decisions = [self.decide(result, True, budget=budget) for _ in range(3)]
        self.assertEqual(decisions, [True, True, False])
