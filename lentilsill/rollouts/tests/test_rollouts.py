"""Tests of exposure, evidence and the order of states."""

import random
import unittest
from dataclasses import replace

from lentilsill.rollouts import (
    Decider,
    EvidenceTable,
    ExposureLimit,
    ExposureLimits,
    NodeReport,
    NodeRollout,
    Order,
    RolloutState,
    ServiceRollout,
    Stage,
    VersionChoice,
    View,
    find_fault,
    newest_state,
)

ORDER = Order("slots", "v2", 30.0, "a", 7)
STATE = RolloutState(ORDER, 0)


def make_node(state: RolloutState = STATE, heard_at: float = 0.0) -> NodeRollout:
    return NodeRollout(state, ExposureLimit(0.1, 5), 0.1, 2.0, -10.0, heard_at)


class StateTests(unittest.TestCase):
    def test_stored_outcome_beats_a_provisional_roll_back(self):
        """Guards against nodes that use old upstreams after they have stopped."""
        rolled_back = STATE.advance(Stage.ROLLED_BACK, "bad")
        completed = replace(STATE, stage=Stage.COMPLETED, is_stored=True)
        self.assertEqual(newest_state(rolled_back, completed).stage, Stage.COMPLETED)
        self.assertEqual(newest_state(completed, rolled_back).stage, Stage.COMPLETED)

    def test_repeated_order_changes_nothing_and_another_one_starts_anew(self):
        """Guards against a rolled-back version that is exposed again by a retry."""
        known = replace(STATE, stage=Stage.ROLLED_BACK, is_stored=True)
        repeated = RolloutState(replace(ORDER, position=9), 100)
        self.assertEqual(newest_state(known, repeated).stage, Stage.ROLLED_BACK)
        other = RolloutState(replace(ORDER, identity="b", position=10), 100)
        self.assertEqual(newest_state(known, other), other)
        self.assertEqual(newest_state(other, known), other)


class NodeTests(unittest.TestCase):
    def test_exposure_stays_below_the_share(self):
        """Guards against a node that exposes more calls than its part."""
        node, rng = make_node(), random.Random(1)
        for _ in range(2000):
            is_target = node.choose(1.0, rng) is VersionChoice.CANARIES
            node.record_sent(is_target, 1.0)
        self.assertLessEqual(node.limit.exposed, 0.08 * 2000 + 5)
        self.assertGreater(node.limit.exposed, 0.07 * 2000)

    def test_node_without_heartbeats_exposes_nothing(self):
        """Guards against a suspended or cut-off node that misses a roll-back."""
        node, rng = make_node(), random.Random(1)
        choices = {node.choose(2.5, rng) for _ in range(500)}
        self.assertEqual(choices, {VersionChoice.OTHERS})

    def test_confirmation_is_kept_for_a_time_after_a_roll_back(self):
        """Guards against calls to old upstreams while `completed` is being stored."""
        node, rng = make_node(), random.Random(1)
        node.merge(STATE.advance(Stage.SHIFTING, ""), 0.0)
        node.heard_at = 3.0
        self.assertFalse(node.confirm(3.0, 1))
        self.assertFalse(node.confirm(3.1, 0))
        self.assertTrue(node.confirm(3.5, 0))
        node.merge(STATE.advance(Stage.ROLLED_BACK, "bad"), 3.6)
        self.assertIs(node.choose(3.7, rng), VersionChoice.TARGET)
        self.assertFalse(node.confirm(4.0, 0))
        self.assertIs(node.choose(5.6, rng), VersionChoice.OTHERS)

    def test_later_version_without_an_order_gets_calls_after_a_completion(self):
        """Guards against an old order that keeps calls from every other version."""
        completed = replace(STATE, stage=Stage.COMPLETED, is_stored=True)
        node, rng = make_node(), random.Random(1)
        node.merge(completed, 1.0)
        self.assertIs(node.choose(5.0, rng), VersionChoice.TARGET)
        self.assertTrue(node.refuses_others(5.0))
        self.assertIs(node.choose(70.0, rng), VersionChoice.ANY)
        self.assertFalse(node.refuses_others(70.0))


class ServiceTests(unittest.TestCase):
    def test_extra_calls_are_shared_with_nodes_that_are_found_later(self):
        """Guards against restarted nodes that each take all extra calls."""
        service = ServiceRollout("n0", "d", ExposureLimits(0.1, 50.0, 5.0), 1.0)
        service.learn(STATE, 0.0, 5.0, [])
        assert service.rollout is not None
        self.assertEqual(service.rollout.limit.extra, 25)
        nodes = [f"n{i}" for i in range(25)]
        service.tick(0.2, View(nodes, (), False, 0, nodes=nodes))
        service.tick(0.4, View(nodes, (), False, 0, nodes=nodes[:1]))
        self.assertEqual(service.rollout.limit.extra, 1)

    def test_node_alone_does_not_confirm_for_its_domain(self):
        """Guards against `completed` by the report of a node that knows no others."""
        state = STATE.advance(Stage.SHIFTING, "")
        decider = Decider(state, 1.0)
        place = ((), ("e",), 1.0)
        first = NodeReport("e", ORDER.identity, Stage.SHIFTING, False)
        decider.add_domain_report(first, 0.9, "n1")
        alone = replace(first, has_confirmed=True)
        decider.add_domain_report(alone, 1.0, "n2")
        self.assertIn("e", decider.describe_wait(state, 25.0, *place))
        decider.add_domain_report(alone, 1.0, "n1")
        self.assertEqual(decider.describe_wait(state, 25.0, *place), "")

    def test_failures_of_all_versions_in_the_shift_are_no_fault(self):
        """Guards against a roll-back as a service behind both versions fails then.

        The target version has most of its answers from that time, the others few.
        """
        state, members = STATE.advance(Stage.SHIFTING, ""), ("n1",)
        decider, table = Decider(state, 1.0), EvidenceTable()
        for tick in range(15):
            is_shifting = tick >= 11
            for upstream, answers in (("", 90), ("a", 5), ("b", 5)):
                if is_shifting:
                    answers = 50 if upstream else 150 - 40 * (tick - 11)
                for number in range(answers):
                    table.record(upstream, "get", is_shifting and number % 10 == 0, 9.0)
            rows = table.take_rows(True)
            report = NodeReport("n1", ORDER.identity, Stage.SHIFTING, False, rows)
            decider.add_node_report(report, float(tick))
            found = decider.decide(state, float(tick), members, (), float(tick))
            self.assertIsNone(found, tick)


class EvidenceTests(unittest.TestCase):
    def table(self, *groups: tuple[str, int, int, float]) -> EvidenceTable:
        """Return the counts of (upstream, answers, failures, duration in ms)."""
        table = EvidenceTable()
        for upstream, answers, failures, duration_ms in groups:
            for i in range(answers):
                table.record(upstream, "get", i < failures, duration_ms)
        return table

    def test_failures_count_relative_to_the_other_versions(self):
        """Guards against a roll-back when a service behind both versions fails."""
        groups = [("a", 100, 20, 50.0), ("b", 100, 20, 50.0)]
        table = self.table(*groups, ("", 1000, 200, 50.0))
        self.assertEqual(find_fault(table.counts), "")
        table = self.table(*groups, ("", 1000, 2, 50.0))
        self.assertIn("failed on route get", find_fault(table.counts))

    def test_single_failing_upstream_is_no_fault_of_the_version(self):
        """Guards against a roll-back because of one broken host."""
        table = self.table(("a", 100, 90, 9.0), ("b", 100, 0, 9.0), ("", 999, 0, 9.0))
        self.assertEqual(find_fault(table.counts), "")

    def test_slow_answers_are_found(self):
        """Guards against a version that answers late without an error."""
        table = self.table(("a", 20, 0, 250.0), ("b", 20, 0, 250.0), ("", 99, 0, 50.0))
        self.assertIn("slow on route get", find_fault(table.counts))

    def test_rows_are_added_once(self):
        """Guards against a repeated report that counts twice."""
        source, total = EvidenceTable(), EvidenceTable()
        rows = self.table(("a", 10, 3, 50.0)).take_rows()
        source.merge(rows, total)
        source.merge(rows, total)
        self.assertEqual(total.counts["a", "get"].answers, 10)
        self.assertEqual(total.counts["a", "get"].failures, 3)


if __name__ == "__main__":
    unittest.main()
