"""Scenario with kept connections of callers to nodes that stall and restart."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G4", "G5", "G6", "G9", fault="node freeze")
class KeptConnectionTests(ScenarioCase):
    scenario = SCENARIOS["kept-connections"]

    def test_requests_on_kept_connections_are_answered(self):
        """Guards against connections that close before the answers of their requests.

        Nodes stall, reload, stop and start while callers send requests ahead.
        """
        self.run_and_check()
