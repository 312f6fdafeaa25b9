"""Keys and claims when the clocks of the replicas differ by minutes."""

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
TRIAL_COUNT = 400
SEED = 3


class Replicas:
    """Three replicas of one key, each with its own clock offset."""

    def __init__(self, offsets_ms):
        self.offsets_ms = offsets_ms
        self.tables = [
            ClaimTable(make_instance(number), RETENTION_MS) for number in (1, 2, 3)
        ]
        self.key = make_key((1, 2, 3), ISSUED_MS)
        self.run_count = 0

    def attempt(self, number, elapsed_ms):
        """Make an attempt `elapsed_ms` after the key was issued; run it if allowed."""
        claims = ClaimRound(RequestKey.parse(self.key).unwrap())
        attempt = make_attempt(number)
        clocks_ms = [
            ISSUED_MS + elapsed_ms + offset_ms for offset_ms in self.offsets_ms
        ]
        for table, now_ms in zip(self.tables, clocks_ms, strict=True):
            answer = table.claim(self.key, attempt, "f", now_ms)
            claims.add_reply(table.instance, answer)
        decision = claims.give_up()
        self.run_count += isinstance(decision, MayRun)
        for table, now_ms in zip(self.tables, clocks_ms, strict=True):
            if isinstance(decision, MayRun):
                table.store(self.key, attempt, Answer(200, (), b""), now_ms)
            elif table.instance in claims.instances_to_release():
                table.release(self.key, attempt, now_ms)
        return decision


@proves("G5", "G6", fault="clock offset")
class ClockOffsetTests(unittest.TestCase):
    def test_key_runs_once_whatever_the_offsets(self):
        """Guards against a second run after replicas have expired the key.

        Also checks that `not_run` is never returned for a key that has run.
        """
        rng = random.Random(SEED)
        total_run_count = 0
        for _ in range(TRIAL_COUNT):
            replicas = Replicas(
                [rng.randint(-MAX_OFFSET_MS, MAX_OFFSET_MS) for _ in range(3)]
            )
            attempt_times_ms = sorted(
                rng.randint(0, 2 * RETENTION_MS) for _ in range(8)
            )
            for number, elapsed_ms in enumerate(attempt_times_ms, 1):
                previous_run_count = replicas.run_count
                decision = replicas.attempt(number, elapsed_ms)
                match decision:
                    case Resolved(Refused(Outcome.NOT_RUN)):
                        self.assertEqual(previous_run_count, 0, replicas.offsets_ms)
            self.assertLessEqual(replicas.run_count, 1, replicas.offsets_ms)
            total_run_count += replicas.run_count
        # Clock offsets make only some of the keys unusable.
        self.assertGreater(total_run_count, TRIAL_COUNT // 4)

    def test_two_replicas_ahead_of_the_issuer_refuse_the_key(self):
        """Guards against `not_run` from replicas that may have expired a claim.

        By the clocks of two replicas the key is already past its retention.
        """
        replicas = Replicas([0, RETENTION_MS, RETENTION_MS])
        decision = replicas.attempt(1, elapsed_ms=0)
        self.assertEqual(decision.result.outcome, Outcome.UNKNOWN)

    def test_two_replicas_behind_the_issuer_refuse_the_key(self):
        """Guards against a grant of a key that was issued in the replica's future.

        A replica whose clock is behind would expire such a key too late.
        """
        replicas = Replicas([0, -MAX_OFFSET_MS, -MAX_OFFSET_MS])
        decision = replicas.attempt(1, elapsed_ms=0)
        self.assertEqual(decision.result.outcome, Outcome.NOT_RUN)
        self.assertEqual(replicas.run_count, 0)
