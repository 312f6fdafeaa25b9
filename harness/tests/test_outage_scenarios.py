"""Scenarios with a platform outage or a mass restart of nodes, or both."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G4", "G5", "G6", "G7", "G8", "G9", fault="document source outage")
class OutageTests(ScenarioCase):
    scenario = SCENARIOS["outage"]

    def test_workers_come_and_go_without_the_platform(self):
        """Guards against calls cut or edits lost because the platform is down.

        Workers are replaced during the outage, and documents are edited after it.
        """
        self.run_and_check()


@proves("G1", "G4", "G5", "G6", "G9", fault="document source outage")
@proves("G1", "G4", "G5", "G6", "G9", fault="herd death and reconnect storm")
class HerdInOutageTests(ScenarioCase):
    scenario = SCENARIOS["herd-in-outage"]

    def test_domain_comes_back_from_other_domains(self):
        """Guards against an older version in force after a restart in an outage.

        The restarted nodes can get their documents only from other domains.
        """
        self.run_and_check()


@proves("G4", "G5", "G6", fault="document source outage")
@proves("G4", "G5", "G6", fault="herd death and reconnect storm")
class HerdUnderLoadTests(ScenarioCase):
    scenario = SCENARIOS["herd-under-load-in-outage"]

    def test_resent_keys_of_a_dead_domain(self):
        """Guards against a call that runs twice, or a false `not_run`, after a restart.

        Its entry node is killed with all nodes of the domain, and the call is resent.
        """
        self.run_and_check()


@proves("G1", "G4", "G5", "G6", "G9", fault="herd death and reconnect storm")
class ReconnectStormTests(ScenarioCase):
    scenario = SCENARIOS["reconnect-storm"]

    def test_syncs_of_a_restarted_domain_are_bounded(self):
        """Guards against full syncs of every restarted node with every peer.

        All nodes of a domain restart together and request large documents.
        """
        self.run_and_check()
