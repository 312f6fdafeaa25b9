"""Scenario in which the platform's store comes back from older copies of itself."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G3", "G4", "G5", "G6", "G9", fault="store back from an older copy")
class DrillTests(ScenarioCase):
    scenario = SCENARIOS["drill"]

    def test_versions_go_back_or_stay_away_after_a_return(self):
        """Guards against nodes that order versions by revision alone.

        Domains are cut off and nodes restarted around each return, and the operator
        writes lost versions again in order.
        """
        self.run_and_check()
