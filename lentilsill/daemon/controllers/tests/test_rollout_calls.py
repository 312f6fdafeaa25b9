"""What the calls of a node contribute to a roll-out."""

import random
import unittest
from types import SimpleNamespace
from typing import Any

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.peer_attempts import Reply
from lentilsill.daemon.controllers.reasons import BUSY, CRASHED, not_run_refusal
from lentilsill.daemon.controllers.rollout_calls import RolloutCalls, rollout_now
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.membership import NodeRecord, NodeState, UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.rollouts import (
    ExposureLimits,
    NodeRollout,
    Order,
    RolloutState,
    ServiceRollout,
    Stage,
)
from lentilsill.rollouts.evidence import bucket_of
from lentilsill.routing import Candidate, VersionFilter
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

SETTINGS = {"exposed_share": 0.1, "exposed_calls": 50, "rollback_s": 5}
LIMITS = ExposureLimits(0.1, 50, 5)
ORDER = Order("slots", "v2", 30.0, "a", 7)


def make_candidate(version: str, ready_at_ms: int = 0) -> Candidate:
    return Candidate(f"u-{version}", "n", "d", "i", "", 6, ready_at_ms, version)


class RolloutCallsTests(unittest.TestCase):
    def make_calls(self, **sections: Any) -> RolloutCalls:
        links = PeerLinks(Identity("n1", "i", "d", "127.0.0.1:1"), "127.0.0.1")
        cfg = node_settings("n1", **sections)
        board = Blackboard(EMPTY_SNAPSHOT)
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        return RolloutCalls(self.ctx)

    def setUp(self) -> None:
        self.calls = self.make_calls(rollouts=SETTINGS)
        rollout = ServiceRollout("n1", "d", LIMITS, 1.0)
        rollout.learn(RolloutState(ORDER, 0), rollout_now(), 0.0, ["n1"])
        self.calls.rollouts["slots"] = rollout
        assert rollout.rollout is not None
        self.rollout: NodeRollout = rollout.rollout

    def make_progress(self, remaining_s: float = 9.0, **fields: Any) -> Any:
        values = {
            "target": SimpleNamespace(service="slots"),
            "route": SimpleNamespace(name="get"),
            "deadline": self.ctx.now() + remaining_s,
            "tried_upstreams": set(),
        }
        return SimpleNamespace(**values | fields)

    def run_attempt(self, result: CallResult | None) -> None:
        progress, candidate = self.make_progress(), make_candidate("v2")
        self.calls.record_start(progress, candidate)
        reply = None if result is None else Reply(result)
        self.calls.record_end(progress, candidate, reply)

    def run_execution(
        self, result: CallResult, version: str = "v2", left_s: float = 9.0
    ) -> None:
        """Record a run of 0.05 s at an upstream of this node."""
        labels = (("version", version),)
        record = UpstreamRecord(
            f"u-{version}", "slots", "", 1, labels, UpstreamState.READY
        )
        execution: Any = SimpleNamespace(
            call=SimpleNamespace(route="get"), deadline=self.ctx.now() + left_s
        )
        self.calls.record_run(record, execution, result, left_s + 0.05)

    def counts(self, upstream: str = "u-v2") -> tuple[int, int]:
        found = self.rollout.evidence.counts.get((upstream, "get"))
        return (found.failures, found.answers) if found else (0, 0)

    def test_failed_answers_and_late_ends_are_evidence(self):
        """Guards against failures and attempts cut off late that count for nothing."""
        self.run_execution(Answer(200, (), b""))
        self.run_execution(Answer(500, (), b""))
        self.run_execution(Refused(Outcome.RUN_ANSWER_LOST, "answer is incomplete"))
        self.run_execution(Refused(Outcome.UNKNOWN, "deadline passed"), left_s=0.0)
        self.run_execution(Answer(200, (), b""), "v1")
        self.assertEqual(self.counts(), (2, 4))
        self.assertEqual(self.counts(""), (0, 1))

    def test_time_of_waiting_for_a_slot_is_no_evidence(self):
        """Guards against a roll-back of a good version whose calls queue in the shift.

        The attempts took as long as the wait, the runs 0.05 s.
        """
        self.run_attempt(Answer(200, (), b""))
        self.assertEqual(self.counts(), (0, 0))
        self.run_execution(Answer(200, (), b""))
        (durations,) = (c.durations for c in self.rollout.evidence.counts.values())
        self.assertEqual(list(durations), [bucket_of(50.0)])

    def test_losses_and_refusals_are_no_evidence(self):
        """Guards against a roll-back because hosts of a good version die."""
        self.run_execution(Refused(Outcome.RUN_ANSWER_LOST, CRASHED))
        self.run_execution(Refused(Outcome.UNKNOWN, "connection was lost"))
        self.run_execution(not_run_refusal(BUSY))
        self.assertEqual(self.counts(), (0, 0))

    def test_calls_that_reached_no_upstream_are_not_exposed(self):
        """Guards against slot probes that use up the exposure."""
        self.run_attempt(not_run_refusal(BUSY))
        self.assertEqual((self.rollout.limit.sent, self.rollout.limit.exposed), (0, 0))
        self.run_attempt(Answer(200, (), b""))
        self.assertEqual((self.rollout.limit.sent, self.rollout.limit.exposed), (1, 1))

    def test_attempts_at_old_versions_are_counted_until_they_end(self):
        """Guards against a confirmation while a call is on its way."""
        progress, old = self.make_progress(), make_candidate("v1")
        self.calls.record_start(progress, old)
        self.assertEqual(self.calls.count_others("slots", "v2"), 1)
        self.assertEqual(self.calls.count_others("slots", "v1"), 0)
        self.calls.record_end(progress, old, Reply(Answer(200, (), b"")))
        self.assertEqual(self.calls.count_others("slots", "v2"), 0)

    def test_second_attempts_use_other_versions(self):
        """Guards against retries that add to the exposure."""
        progress = self.make_progress(tried_upstreams={"u"})
        filters = {self.calls.filters("slots", progress) for _ in range(200)}
        self.assertEqual(filters, {(VersionFilter("v2", False),)})

    def test_nothing_is_restricted_or_counted_without_the_settings(self):
        """Guards against a cost in deployments without roll-outs."""
        calls = self.make_calls()
        progress = self.make_progress()
        self.assertEqual(calls.filters("slots", progress), (None,))
        calls.record_start(progress, make_candidate("v1"))
        self.assertEqual(calls.count_others("slots", "v2"), 0)

    def test_cut_off_node_retires_old_upstreams(self):
        """Guards against `completed` without a node that still calls old upstreams.

        The other nodes take a node for dead that is cut off or suspended.
        """
        now = rollout_now()
        record = UpstreamRecord(
            "u", "slots", "", 1, (("version", "v1"),), UpstreamState.READY
        )
        board = self.ctx.board
        board.members = {
            "n2": NodeRecord("n2", "d", "i", 1, 1, "", "", NodeState.READY)
        }
        self.rollout.heard_at = now - 3
        board.suspects = frozenset({"n2"})
        self.assertFalse(self.calls.is_retired(record), "before the shift")
        self.calls.rollouts["slots"]._started_at = now - 25
        self.assertTrue(self.calls.is_retired(record), "cut off")
        board.suspects = frozenset()
        self.assertFalse(self.calls.is_retired(record), "whole domain cut off")
        self.calls.resumed_at = now
        self.assertTrue(self.calls.is_retired(record), "suspended")
        self.rollout.heard_at = now
        self.assertFalse(self.calls.is_retired(record), "heard again")

    def test_started_node_holds_back_calls_of_services_in_doubt(self):
        """Guards against calls to a version that was rolled back before a restart."""
        self.ctx.board.services_in_doubt = frozenset({"slots", "other"})
        self.assertEqual(self.calls.filters("other", self.make_progress()), ())
        self.assertEqual(self.calls.filters("third", self.make_progress()), (None,))
        self.assertNotEqual(self.calls.filters("slots", self.make_progress()), ())

    def test_rolled_back_version_gets_no_calls(self):
        """Guards against calls to a version that nodes have rolled back."""
        state = self.rollout.state.advance(Stage.ROLLED_BACK, "bad")
        self.rollout.merge(state, rollout_now())
        filters = {
            self.calls.filters("slots", self.make_progress()) for _ in range(200)
        }
        self.assertEqual(filters, {(VersionFilter("v2", False),)})


if __name__ == "__main__":
    unittest.main()
