"""Scenario with upstreams and nodes that are retired."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves(
    "G1", "G4", "G5", "G6", "G7", "G8", "G9", fault="no fault: retirement under load"
)
class RetirementTests(ScenarioCase):
    scenario = SCENARIOS["retirement"]

    def test_retired_upstreams_cut_nothing_and_get_no_new_work(self):
        """Guards against cut calls and against new work on leaving upstreams.

        They retire under load by announcement, by document and with their node.
        """
        self.run_and_check()
