"""Scenarios with keyed or crashing requests under combined faults."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G4", "G5", "G6", fault="kill -9 of node or worker mid-call")
class LostEntryTests(ScenarioCase):
    scenario = SCENARIOS["lost-entry"]

    def test_resend_gets_the_answer_of_a_crashed_entry_node(self):
        """Guards against `unknown` for a call that completed on another host.

        Its entry node is killed while the call runs, and the caller resends it.
        """
        self.run_and_check()


@proves("G4", "G5", "G6", fault="crash-causing request resent")
@proves("G1", "G4", "G5", "G6", "G9", fault="cut between domains")
class PoisonInCutTests(ScenarioCase):
    scenario = SCENARIOS["poison-in-cut"]

    def test_crashing_request_is_quarantined_in_a_cut_domain(self):
        """Guards against a request that crashes many workers of a cut domain.

        Nor may it crash workers anywhere once the domain is reconnected.
        """
        self.run_and_check()


@proves("G4", "G5", "G6", fault="platform down, slow, answer lost after write")
class OwnKeysTests(ScenarioCase):
    scenario = SCENARIOS["own-keys"]

    def test_keys_of_the_caller_run_once_on_a_failing_platform(self):
        """Guards against a claim that is lost or made twice.

        The platform, which stores the claims, loses answers to writes.
        """
        self.run_and_check()
