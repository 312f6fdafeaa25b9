"""Keys and claims with the replicas' clocks minutes apart."""

import random
import unittest

from harness.proofs import proves
from lentilsill.outcomes import (
    Answer,
    ClaimRound,
    ClaimTable,
    MayRun,
    Outcome,
    Refused,
    RequestKey,
    Resolved,
)
from lentilsill.outcomes.tests.builders import make_attempt, make_instance, make_key

RETENTION_MS = 600_000
ISSUED_MS = 1_700_000_000_000
MAX_OFFSET_MS = 900_000
RUNS = 400
SEED = 3


class Replicas:
    """Three replicas of one key, each with its own clock."""

    def __init__(self, offsets):
        self.offsets = offsets
        self.tables = [
            ClaimTable(make_instance(number), RETENTION_MS) for number in (1, 2, 3)
        ]
        self.key = make_key((1, 2, 3), ISSUED_MS)
        self.ran = 0

    def attempt(self, number, elapsed_ms):
        """Make an attempt so long after the issue; run it when it may run."""
        claims = ClaimRound(RequestKey.parse(self.key).unwrap())
        attempt = make_attempt(number)
        clocks = [ISSUED_MS + elapsed_ms + offset for offset in self.offsets]
        for table, now_ms in zip(self.tables, clocks, strict=True):
            answer = table.claim(self.key, attempt, "f", now_ms)
            claims.add_reply(table.instance, answer)
        decision = claims.give_up()
        self.ran += isinstance(decision, MayRun)
        for table, now_ms in zip(self.tables, clocks, strict=True):
            if isinstance(decision, MayRun):
                table.store(self.key, attempt, Answer(200, (), b""), now_ms)
            elif table.instance in claims.instances_to_release():
                table.release(self.key, attempt, now_ms)
        return decision


@proves("G5", "G6", fault="clock offset")
class ClockOffsetTests(unittest.TestCase):
    def test_key_runs_once_whatever_the_offsets(self):
        """Guards against a second run at replicas that have forgotten the key."""
        rng = random.Random(SEED)
        ran = 0
        for _ in range(RUNS):
            replicas = Replicas(
                [rng.randint(-MAX_OFFSET_MS, MAX_OFFSET_MS) for _ in range(3)]
            )
            times = sorted(rng.randint(0, 2 * RETENTION_MS) for _ in range(8))
            for number, elapsed_ms in enumerate(times, 1):
                had_run = replicas.ran
                decision = replicas.attempt(number, elapsed_ms)
                match decision:
                    case Resolved(Refused(Outcome.NOT_RUN)):
                        self.assertEqual(had_run, 0, replicas.offsets)
            self.assertLessEqual(replicas.ran, 1, replicas.offsets)
            ran += replicas.ran
        # Clocks that are apart cost some keys, not all.
        self.assertGreater(ran, RUNS // 4)

    def test_two_replicas_ahead_of_the_issuer_refuse_the_key(self):
        """Guards against `not_run` where replicas may have forgotten a claim."""
        replicas = Replicas([0, RETENTION_MS, RETENTION_MS])
        decision = replicas.attempt(1, elapsed_ms=0)
        self.assertEqual(decision.result.outcome, Outcome.UNKNOWN)

    def test_two_replicas_behind_the_issuer_refuse_the_key(self):
        """Guards against a key that is granted before its clock can expire it."""
        replicas = Replicas([0, -MAX_OFFSET_MS, -MAX_OFFSET_MS])
        decision = replicas.attempt(1, elapsed_ms=0)
        self.assertEqual(decision.result.outcome, Outcome.NOT_RUN)
        self.assertEqual(replicas.ran, 0)
