"""The detector declares silent peers dead, and no peer that answers."""

import unittest
from random import Random

from lentilsill.membership import (
    DeclareDead,
    DeclareSuspect,
    FailureDetector,
    RepeatProbe,
    SendIndirectProbe,
    SendProbe,
)

PEERS = {"a": (1, 0), "b": (1, 0), "c": (1, 0), "d": (1, 0)}
STEP_S = 0.25


def run_detector(duration_s, answering, pause_at=None):
    """Run a detector where only the peers in `answering` answer; return its actions.

    At `pause_at` the process pauses for 100 s and misses an answer.
    """
    detector = FailureDetector(1.0, 0.5, 2.0, Random(1))
    suspects: set[str] = set()
    actions, now = [], 0.0
    while now < duration_s:
        for action in detector.tick(now, PEERS, suspects):
            actions.append(action)
            match action:
                case SendProbe(node, probe_id) if node in answering:
                    if now != pause_at:
                        detector.ack(probe_id, node)
                case DeclareSuspect(node, _):
                    suspects.add(node)
        now += 100.0 if now == pause_at else STEP_S
    return actions


class FailureDetectorTests(unittest.TestCase):
    def test_silent_peer_is_probed_indirectly_then_declared_suspect_and_dead(self):
        """Guards against a dead node that still receives calls."""
        actions = run_detector(12.0, answering={"b", "c", "d"})
        about_a = [x for x in actions if getattr(x, "node", "") == "a"]
        kinds = list(dict.fromkeys(type(x) for x in about_a))
        self.assertEqual(
            kinds,
            [SendProbe, RepeatProbe, SendIndirectProbe, DeclareSuspect, DeclareDead],
        )
        self.assertFalse(
            [x for x in actions if isinstance(x, DeclareDead) and x.node != "a"]
        )

    def test_every_peer_is_probed_in_each_round(self):
        """Guards against an unbounded detection time through random choice of peers."""
        probed = [
            x.node
            for x in run_detector(8.0, answering=set(PEERS))
            if type(x) is SendProbe
        ]
        self.assertEqual(sorted(probed[:4]), list("abcd"))
        self.assertEqual(sorted(probed[4:8]), list("abcd"))

    def test_pause_of_this_process_makes_no_peer_suspect(self):
        """Guards against a resumed process that declares its whole domain dead."""
        actions = run_detector(103.0, answering=set(PEERS), pause_at=2.0)
        self.assertFalse([x for x in actions if isinstance(x, DeclareSuspect)])

    def test_answer_of_another_node_at_the_address_does_not_count(self):
        """Guards against a dead node that the answers of its successor keep alive."""
        detector = FailureDetector(1.0, 0.5, 2.0, Random(1))
        (probe,) = detector.tick(0.0, {"a": (1, 0)}, set())
        assert isinstance(probe, SendProbe)
        detector.ack(probe.probe_id, "successor")
        detector.tick(0.5, {"a": (1, 0)}, set())
        actions = detector.tick(1.0, {"a": (1, 0)}, set())
        self.assertIn(DeclareSuspect("a", (1, 0)), actions)
