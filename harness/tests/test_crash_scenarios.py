"""Runs in which processes are killed."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G4", "G5", "G6", "G9", fault="kill -9 of node or worker mid-call")
class KillTests(ScenarioCase):
    scenario = SCENARIOS["crashes"]

    def test_killed_nodes_and_workers_repeat_nothing(self):
        """Guards against a repeat, or a false `not_run`, after a process died."""
        self.run_and_check()
