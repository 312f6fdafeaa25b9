"""The detector finds silent peers and spares those that answer."""

import unittest
from random import Random

from lentilsill.membership import (
    DeclareDead,
    DeclareSuspect,
    FailureDetector,
    SendIndirectProbe,
    SendProbe,
)

PEERS = {"a": (1, 0), "b": (1, 0), "c": (1, 0), "d": (1, 0)}
STEP_S = 0.25


def run(seconds, answers, pause_at=None):
    """Run a detector of which only the peers in `answers` answer."""
    detector = FailureDetector(1.0, 0.5, 2.0, Random(1))
    suspects: set[str] = set()
    found, now = [], 0.0
    while now < seconds:
        for action in detector.tick(now, PEERS, suspects):
            found.append(action)
            match action:
                case SendProbe(node, probe_id) if node in answers:
                    if now != pause_at:
                        detector.ack(probe_id, node)
                case DeclareSuspect(node, _):
                    suspects.add(node)
        now += 100.0 if now == pause_at else STEP_S
    return found


class FailureDetectorTests(unittest.TestCase):
    def test_silent_peer_is_probed_indirectly_then_suspect_then_dead(self):
        """Guards against a dead node that keeps getting calls."""
        found = run(12.0, answers={"b", "c", "d"})
        about_a = [x for x in found if getattr(x, "node", "") == "a"]
        kinds = list(dict.fromkeys(type(x) for x in about_a))
        self.assertEqual(
            kinds, [SendProbe, SendIndirectProbe, DeclareSuspect, DeclareDead]
        )
        self.assertFalse(
            [x for x in found if isinstance(x, DeclareDead) and x.node != "a"]
        )

    def test_every_peer_is_probed_in_each_round(self):
        """Guards against an unbounded time to detection by random choice."""
        found = [x.node for x in run(8.0, answers=set(PEERS)) if type(x) is SendProbe]
        self.assertEqual(sorted(found[:4]), list("abcd"))
        self.assertEqual(sorted(found[4:8]), list("abcd"))

    def test_pause_of_this_process_accuses_nobody(self):
        """Guards against a resumed process that declares its domain dead."""
        found = run(103.0, answers=set(PEERS), pause_at=2.0)
        self.assertFalse([x for x in found if isinstance(x, DeclareSuspect)])

    def test_successor_at_the_address_does_not_answer_for_the_dead(self):
        """Guards against a dead record kept alive by the host's next node."""
        detector = FailureDetector(1.0, 0.5, 2.0, Random(1))
        (probe,) = detector.tick(0.0, {"a": (1, 0)}, set())
        assert isinstance(probe, SendProbe)
        detector.ack(probe.probe_id, "successor")
        detector.tick(0.5, {"a": (1, 0)}, set())
        actions = detector.tick(1.0, {"a": (1, 0)}, set())
        self.assertIn(DeclareSuspect("a", (1, 0)), actions)
