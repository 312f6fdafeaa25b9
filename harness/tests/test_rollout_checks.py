"""The checks of roll-outs find a history that breaks them."""

import unittest

from harness.history import CallRecord, Execution, History, Rollout
from harness.rollout_checks import check_rollouts


def make_history(*runs, is_bad=True, outcome="rolled_back"):
    """Return a history of an order from 0 to 100 s, with an outcome at 90 s.

    Each run has a version, the time of its call in s, and whether its answer is bad.
    """
    history = History()
    for index, (version, start_s, is_bad_answer) in enumerate(runs):
        call_id, upstream = f"c{index}", f"u-{version}"
        answer = ("answer", call_id, True, "", False, 200, "slots")
        history.calls.append(
            CallRecord(call_id, "", True, start_s, start_s + 0.1, *answer)
        )
        found = ("", False, "slots", version, is_bad_answer)
        history.executions.append(
            Execution(call_id, "", True, upstream, start_s + 0.05, *found)
        )
    history.rollouts = [Rollout("slots", "v2", 0.0, 100.0, is_bad, 90.0, outcome)]
    return history


def make_runs(version, count, is_bad=False):
    """Return runs in the first seconds of the order."""
    return [(version, 5 * index / count, is_bad) for index in range(count)]


class RolloutCheckTests(unittest.TestCase):
    def assert_violated(self, expected, history):
        """Check which guarantees the findings name."""
        findings = check_rollouts(history)
        self.assertEqual([f.place.split()[0] for f in findings], expected)

    def test_correct_histories_have_no_findings(self):
        """Guards against findings at the bounds, and for versions that are good."""
        old, new = make_runs("v1", 445), make_runs("v2", 105)
        self.assert_violated([], make_history(*old, *new))
        late = ("v2", 50.0, False)
        few_bad = make_runs("v2", 49, is_bad=True)
        self.assert_violated([], make_history(*few_bad, late))
        bad = make_runs("v2", 50, is_bad=True)
        self.assert_violated([], make_history(*bad, ("v2", 9.9, True)))
        good = [*make_runs("v2", 500), ("v1", 89.0, False), ("v2", 95.0, False)]
        self.assert_violated([], make_history(*good, is_bad=False, outcome="completed"))

    def test_exposure_over_the_share_is_caught(self):
        """Guards against a G13 check that misses too many calls at a bad version."""
        old, new = make_runs("v1", 443), make_runs("v2", 106)
        self.assert_violated(["G13"], make_history(*old, *new))

    def test_call_after_the_rollback_is_caught(self):
        """Guards against a G13 check that misses a call after the time for it."""
        bad = make_runs("v2", 50, is_bad=True)
        self.assert_violated(["G13"], make_history(*bad, ("v2", 10.1, False)))

    def test_call_at_an_old_upstream_is_caught(self):
        """Guards against a G14 check that misses a call after the completion."""
        late = ("v1", 90.1, False)
        self.assert_violated(
            ["G14"], make_history(late, is_bad=False, outcome="completed")
        )


if __name__ == "__main__":
    unittest.main()
