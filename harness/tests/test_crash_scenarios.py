"""Scenarios with processes that are killed, paused or crashed by a request."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G4", "G5", "G6", "G9", fault="kill -9 of node or worker mid-call")
class KillTests(ScenarioCase):
    scenario = SCENARIOS["crashes"]

    def test_killed_nodes_and_workers_repeat_nothing(self):
        """Guards against a call that runs twice, or a false `not_run`, after a kill."""
        self.run_and_check()


@proves(
    *("G1", "G2", "G3", "G4", "G5", "G6", "G9"), fault="herd death and reconnect storm"
)
class HerdTests(ScenarioCase):
    scenario = SCENARIOS["herd"]

    def test_returned_nodes_get_whole_and_newest_documents(self):
        """Guards against old, partial or missing documents after a mass restart.

        The documents change while 30% of the hosts are down.
        """
        self.run_and_check()


@proves("G1", "G4", "G5", "G6", "G9", fault="node freeze")
@proves("G1", "G9", fault="holder paused past its lease")
class FreezeTests(ScenarioCase):
    scenario = SCENARIOS["freeze"]

    def test_continued_watchers_take_nothing_back(self):
        """Guards against an old version or status from a watcher that was paused.

        It resumes after its watch and its membership have timed out.
        """
        self.run_and_check()


@proves("G4", "G5", "G6", fault="crash-causing request resent")
class PoisonTests(ScenarioCase):
    scenario = SCENARIOS["poison"]

    def test_resent_crashing_request_kills_two_workers_at_most(self):
        """Guards against a request that crashes another worker at each resend."""
        self.run_and_check()


@proves("G4", "G5", "G6", fault="crash-causing request resent")
class PoisonAnywhereTests(ScenarioCase):
    scenario = SCENARIOS["poison-anywhere"]

    def test_request_resent_in_all_domains_kills_two_workers_at_most(self):
        """Guards against a request that crashes further workers in each domain."""
        self.run_and_check()
