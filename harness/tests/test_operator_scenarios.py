"""Scenario with operators who edit the same document concurrently."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G3", "G9", fault="racing operators")
@proves("G1", "G3", "G9", fault="platform down, slow, answer lost after write")
class RacingOperatorsTests(ScenarioCase):
    scenario = SCENARIOS["racing-operators"]

    def test_no_edit_is_lost_or_written_twice(self):
        """Guards against a lost update, a repeated write and a wrong exit status.

        The platform is slow and loses answers to writes.
        """
        self.run_and_check()
