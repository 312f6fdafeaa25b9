"""Scenario with API keys and quotas that change under load."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G10", "G11", "G12", fault="an organisation at ten times its quota")
@proves("G10", "G11", "G12", fault="kill -9 of node or worker mid-call")
class OrganisationTests(ScenarioCase):
    scenario = SCENARIOS["organisations"]

    def test_keys_and_quotas_hold_under_changes(self):
        """Guards against runs without a valid key, for others, or over the quota.

        Versions add and remove keys and lower a quota while nodes are killed.
        """
        self.run_and_check()
