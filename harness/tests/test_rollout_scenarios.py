"""Scenario with roll-outs of a good and a bad version."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G13", "G14", fault="roll-outs of a good and a bad version")
@proves("G13", "G14", fault="kill -9 of node or worker mid-call")
class RolloutTests(ScenarioCase):
    scenario = SCENARIOS["rollout"]

    def test_bad_version_is_rolled_back_and_a_good_one_completed(self):
        """Guards against a bad version at many calls and late calls at old upstreams.

        Nodes that decide on both roll-outs are killed.
        """
        self.run_and_check()
