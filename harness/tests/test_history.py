"""The check of each guarantee finds a history that violates it."""

import unittest

from harness.history import (
    AppliedSnapshot,
    CallRecord,
    DocumentWrite,
    Execution,
    GracefulStop,
    History,
    Retirement,
    check_history,
)


def violated_guarantees(history: History, **options) -> set[str]:
    """Return the guarantee numbers of the findings."""
    return {f.place.split()[0] for f in check_history(history, **options)}


class HistoryTests(unittest.TestCase):
    def test_correct_history_has_no_findings(self):
        """Guards against findings for a history that violates no guarantee."""
        history = History(
            calls=[CallRecord("c1", "", False, 1, 2, "answer", "c1")],
            executions=[Execution("c1", "", False, "u1", 1.5)],
            writes=[DocumentWrite("slots", 1, 0.0)],
            applied=[AppliedSnapshot("n1", "i1", 0.5, (("slots", 1),))],
            retirements=[Retirement("u1", 1.0)],
            stops=[GracefulStop("n1", 3, 4, "idle")],
        )
        self.assertEqual(
            violated_guarantees(history, live_nodes=["n1"], can_lose_answers=False),
            set(),
        )

    def test_older_version_is_caught(self):
        """Guards against a G1 check that misses a return to an older version."""
        history = History(
            writes=[DocumentWrite("slots", 1, 0.0), DocumentWrite("slots", 2, 0.1)],
            applied=[
                AppliedSnapshot("n1", "i1", 1, (("slots", 2),)),
                AppliedSnapshot("n1", "i1", 2, (("slots", 1),)),
            ],
        )
        self.assertEqual(violated_guarantees(history), {"G1"})

    def test_missing_reference_is_caught(self):
        """Guards against a G2 check that misses a route to an absent service."""
        history = History(
            writes=[DocumentWrite("slots", 1, 0.0, references=("ledger",))],
            applied=[AppliedSnapshot("n1", "i1", 1, (("slots", 1),))],
        )
        self.assertEqual(violated_guarantees(history), {"G2"})

    def test_invalid_version_in_force_is_caught(self):
        """Guards against a G3 check that misses an invalid version in force."""
        history = History(
            writes=[DocumentWrite("slots", 1, 0.0, is_valid=False)],
            applied=[AppliedSnapshot("n1", "i1", 1, (("slots", 1),))],
        )
        self.assertEqual(violated_guarantees(history), {"G3"})

    def test_crossed_and_cut_answers_are_caught(self):
        """Guards against a G4 check that misses a swapped or truncated answer."""
        crossed = CallRecord("c1", "", True, 1, 2, "answer", "c2")
        cut = CallRecord("c3", "", True, 1, 2, "answer", "c3", is_complete=False)
        self.assertEqual(len(check_history(History(calls=[crossed, cut]))), 2)

    def test_false_not_run_is_caught(self):
        """Guards against a G5 check that misses `not_run` for a request that ran.

        Here an earlier call with the same key ran.
        """
        history = History(
            calls=[CallRecord("c2", "k", False, 3, 4, "not_run")],
            executions=[Execution("c1", "k", False, "u1", 1.5)],
        )
        self.assertEqual(violated_guarantees(history), {"G5"})

    def test_second_run_is_caught(self):
        """Guards against a G6 check that misses a non-idempotent request run twice."""
        history = History(
            executions=[
                Execution("c1", "k", False, "u1", 1.0),
                Execution("c2", "k", False, "u2", 2.0),
            ]
        )
        self.assertEqual(violated_guarantees(history), {"G6"})

    def test_late_work_on_leaving_upstream_is_caught(self):
        """Guards against a G7 check that misses work begun after the time bound."""
        history = History(
            executions=[Execution("c1", "", True, "u1", 3.5)],
            retirements=[Retirement("u1", 1.0)],
        )
        self.assertEqual(violated_guarantees(history), {"G7"})

    def test_retirement_that_follows_another_hides_no_late_work(self):
        """Guards against a G7 check that considers only the last retirement.

        The late work begins before the upstream returns and is retired again.
        """
        history = History(
            executions=[
                Execution("c1", "", True, "u1", 3.5),
                Execution("c2", "", True, "u1", 4.5),
            ],
            retirements=[Retirement("u1", 1.0, 4.0), Retirement("u1", 9.0)],
        )
        self.assertEqual(len(check_history(history)), 1)

    def test_cut_call_is_caught(self):
        """Guards against a G8 check that misses a cut call or a stop at the bound."""
        history = History(
            calls=[CallRecord("c1", "", True, 1, 2, "unknown")],
            stops=[GracefulStop("n1", 1, 31, "bound")],
        )
        self.assertEqual(len(check_history(history, can_lose_answers=False)), 2)

    def test_late_convergence_is_caught(self):
        """Guards against a G9 check that misses a version applied too late."""
        history = History(
            writes=[DocumentWrite("slots", 1, 0.0)],
            applied=[AppliedSnapshot("n1", "i1", 13.5, (("slots", 1),))],
        )
        self.assertEqual(violated_guarantees(history, live_nodes=["n1"]), {"G9"})
