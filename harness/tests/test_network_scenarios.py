"""Scenarios with links that are cut, slow or silent."""

from harness.proofs import proves
from harness.scenarios import SCENARIOS
from harness.tests.scenario_case import ScenarioCase


@proves("G1", "G4", "G5", "G6", "G9", fault="cut between domains")
@proves("G1", "G4", "G5", "G6", "G9", fault="cut from the platform")
class PartitionTests(ScenarioCase):
    scenario = SCENARIOS["partition"]

    def test_cut_domain_serves_and_catches_up(self):
        """Guards against failed calls in a cut domain and edits lost after the heal.

        The domain is cut off from the other domains and the platform for a time.
        """
        self.run_and_check()


@proves("G1", "G2", "G3", "G4", "G5", "G6", "G9", fault="crossed updates")
class CrossingTests(ScenarioCase):
    scenario = SCENARIOS["crossing"]

    def test_crossed_updates_end_in_the_newest_version(self):
        """Guards against old or partial documents when updates overtake each other."""
        self.run_and_check()


@proves("G1", "G4", "G5", "G6", "G9", fault="silent connections")
class SilenceTests(ScenarioCase):
    scenario = SCENARIOS["silence"]

    def test_calls_on_silent_links_are_resolved_once(self):
        """Guards against calls run twice or left unresolved, and watches that hang.

        The links stay open but drop all bytes.
        """
        self.run_and_check()
