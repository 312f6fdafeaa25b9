"""A claim is granted once, and refusals state the correct outcome."""

import unittest

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import data, integers, sampled_from

from lentilsill.outcomes import (
    Answer,
    ClaimGranted,
    ClaimRound,
    ClaimTable,
    Finished,
    HeldBy,
    MayRun,
    NotGranted,
    Outcome,
    Refused,
    RequestKey,
    Resolved,
    Waiting,
)

from .builders import make_attempt, make_instance, make_key

RETENTION_MS = 100
ANSWER = Answer(200, (("a", "b"),), b"done")


def make_table(**kwargs) -> ClaimTable:
    return ClaimTable(make_instance(1), RETENTION_MS, **kwargs)


class KeyTests(unittest.TestCase):
    def test_key_that_names_an_instance_twice_is_refused(self):
        """Guards against a replica that counts twice towards the majority."""
        name = make_instance(1)
        request_key = f"lk1.lahore.1.{name},{name}.0123456789abcdef"
        findings = RequestKey.parse(request_key).unwrap_err()
        self.assertIn("twice", findings.items[0].message)

    def test_all_errors_of_a_key_are_listed(self):
        """Guards against findings that report only one error at a time."""
        findings = RequestKey.parse("lk1.LAHORE.x.1.z").unwrap_err()
        self.assertEqual(len(findings), 4)


class ClaimTableTests(unittest.TestCase):
    def test_duplicate_of_a_released_claim_is_not_granted(self):
        """Guards against a key that is blocked by an attempt that never runs."""
        table, key = make_table(), make_key()
        table.release(key, make_attempt(1), 1000)
        late = table.claim(key, make_attempt(1), "f", 1001)
        self.assertEqual(late, NotGranted("attempt was released", True))
        self.assertEqual(table.claim(key, make_attempt(2), "f", 1001), ClaimGranted())

    def test_release_drops_only_its_own_attempt(self):
        """Guards against a second grant while another attempt runs."""
        table, key = make_table(), make_key()
        table.claim(key, make_attempt(2), "f", 1000)
        table.release(key, make_attempt(1), 1000)
        held = table.claim(key, make_attempt(3), "f", 1000)
        self.assertEqual(held, HeldBy(make_attempt(2)))

    def test_key_of_an_earlier_instance_is_refused(self):
        """Guards against a restarted node that grants a key whose claim it has lost."""
        refusal = make_table().claim(make_key((2, 3, 4)), make_attempt(1), "f", 1000)
        self.assertEqual(refusal, NotGranted("key does not name this instance", False))

    def test_same_key_on_another_request_is_refused(self):
        """Guards against a request that gets the answer of another one."""
        table, key, attempt = make_table(), make_key(), make_attempt(1)
        table.claim(key, attempt, "f", 1000)
        table.store(key, attempt, ANSWER, 1001)
        self.assertEqual(table.claim(key, make_attempt(2), "f", 1002), Finished(ANSWER))
        refusal = table.claim(key, make_attempt(2), "other", 1002)
        expected = NotGranted("key was used for another request", False)
        self.assertEqual(refusal, expected)

    def test_forgotten_key_is_not_reported_as_unclaimed(self):
        """Guards against ``not_run`` for a key that ran before its expiry."""
        table, key = make_table(), make_key()
        table.claim(key, make_attempt(1), "f", 1000)
        refusal = table.claim(key, make_attempt(2), "f", 1000 + RETENTION_MS)
        self.assertEqual(refusal, NotGranted("key expired", False))
        self.assertEqual(len(table), 0)

    def test_full_table_keeps_live_records(self):
        """Guards against a second grant of a key that was evicted."""
        table, key = make_table(max_records=1), make_key()
        table.claim(key, make_attempt(1), "f", 1000)
        refusal = table.claim(make_key(nonce=1), make_attempt(2), "f", 1000)
        self.assertEqual(refusal, NotGranted("claim table full", True))
        self.assertEqual(
            table.claim(key, make_attempt(3), "f", 1000), HeldBy(make_attempt(1))
        )

    def test_size_of_stored_answers_is_limited(self):
        """Guards against answers that use up the node's memory."""
        table = make_table(max_answer_bytes=6, max_answers_bytes=8)
        for nonce in range(3):
            key, attempt = make_key(nonce=nonce), make_attempt(nonce)
            table.claim(key, attempt, "f", 1000)
            table.store(key, attempt, ANSWER, 1000)
        lost = table.claim(make_key(nonce=2), make_attempt(9), "f", 1000)
        refused = Refused(Outcome.RUN_ANSWER_LOST, "answer too large to keep")
        self.assertEqual(lost, Finished(refused))

    def test_key_from_the_future_is_refused(self):
        """Guards against records that are stored longer than the retention."""
        refusal = make_table().claim(
            make_key(issued_ms=10**9), make_attempt(1), "f", 1000
        )
        self.assertIsInstance(refusal, NotGranted)


class ClaimRoundTests(unittest.TestCase):
    def decide(self, *answers):
        claims = ClaimRound(RequestKey.parse(make_key()).unwrap())
        for number, answer in enumerate(answers, 1):
            if answer is None:
                claims.mark_unreachable(make_instance(number))
            else:
                claims.add_reply(make_instance(number), answer)
        return claims

    def test_one_grant_without_other_replies_is_unknown(self):
        """Guards against ``not_run`` while two unreachable replicas may have granted
        the claim."""
        claims = self.decide(ClaimGranted(), None, None)
        self.assertEqual(claims.decision.result.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(claims.instances_to_release()), 3)

    def test_majority_without_a_claim_is_not_run(self):
        """Guards against ``unknown`` when a majority shows that nothing has run."""
        full = NotGranted("claim table full", True)
        claims = self.decide(full, None, full)
        self.assertEqual(claims.decision.result.outcome, Outcome.NOT_RUN)

    def test_key_held_by_another_attempt_is_waited_for(self):
        """Guards against a retry that is refused while the first attempt runs."""
        claims = self.decide(HeldBy("x"), ClaimGranted(), None)
        self.assertEqual(claims.decision, Waiting(("x",)))

    def test_decision_is_made_once(self):
        """Guards against an attempt that runs after its release was sent."""
        claims = self.decide(ClaimGranted())
        self.assertIsInstance(claims.give_up(), Resolved)
        claims.add_reply(make_instance(2), ClaimGranted())
        self.assertIsInstance(claims.decision, Resolved)


class ClaimMachine(RuleBasedStateMachine):
    """Entry nodes and replicas on a network that loses, repeats and reorders messages.

    `step` numbers the events, and `ran` holds the steps at which attempts ran, by key.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 1000
        self.step = 0
        self.restarts_left = 0
        self.keys = [make_key(nonce=0), make_key(nonce=1)]
        self.tables = {
            make_instance(n): ClaimTable(make_instance(n), RETENTION_MS, max_records=2)
            for n in (1, 2, 3)
        }
        self.offsets = dict.fromkeys(self.tables, 0)
        self.network = []
        self.rounds = {}
        self.started_step = {}
        self.first_no_claim_step = {}
        self.may_run = {}
        self.ran: dict[str, list[int]] = {key: [] for key in self.keys}

    @rule(key=sampled_from((0, 0, 0, 1)), choice=data())
    def start_attempt(self, key, choice):
        self.step += 1
        request_key, attempt = self.keys[key], make_attempt(len(self.rounds) + 1)
        self.rounds[attempt] = ClaimRound(RequestKey.parse(request_key).unwrap())
        self.started_step[attempt] = self.step
        for name in make_instance(1), make_instance(2), make_instance(3):
            self.network.append(("claim", name, request_key, attempt))
        self.deliver_some(choice, count=8)

    @initialize(restarts=integers(0, 2), records=integers(1, 3))
    def set_bounds(self, restarts, records):
        self.restarts_left = restarts
        self.tables[make_instance(2)].max_records = records

    @precondition(lambda self: self.network)
    @rule(choice=data(), count=integers(1, 8))
    def deliver_some(self, choice, count):
        """Deliver, lose or repeat some messages, in any order."""
        for _ in range(count):
            if not self.network:
                return
            message = choice.draw(sampled_from(self.network[-9:]))
            delivery = choice.draw(sampled_from(("once",) * 6 + ("again", "lost")))
            if delivery != "again":
                self.network.remove(message)
            if delivery != "lost":
                self.deliver_message(*message)

    def deliver_message(self, kind, name, key, attempt, *rest):
        self.step += 1
        if kind == "reply":
            claims = self.rounds[attempt]
            was_undecided = claims.decision is None
            claims.add_reply(name, rest[0])
            if was_undecided and claims.decision is not None:
                self.apply_decision(attempt, key)
            return
        table = self.tables.get(name)
        if table is None:
            return
        now_ms = self.now_ms + self.offsets[name]
        match kind:
            case "claim":
                answer = table.claim(key, attempt, "f", now_ms)
                if isinstance(answer, ClaimGranted) or getattr(
                    answer, "has_no_claim", False
                ):
                    self.first_no_claim_step.setdefault(attempt, self.step)
                self.network.append(("reply", name, key, attempt, answer))
            case "release":
                table.release(key, attempt, now_ms)
            case "store":
                table.store(key, attempt, ANSWER, now_ms)

    @rule(number=integers(1, 3), by_ms=integers(0, RETENTION_MS // 2))
    def disturb_replica(self, number, by_ms):
        """Restart a replica, set its clock forward, or let time pass.

        A restarted node is another instance, and the named one no longer exists. The
        clock of a node never goes back.
        """
        name = make_instance(number)
        if self.restarts_left and by_ms % 2:
            self.restarts_left -= 1
            self.tables.pop(name, None)
        elif by_ms < 20:
            self.offsets[name] += by_ms
        else:
            self.now_ms += by_ms

    @precondition(lambda self: None in [c.decision for c in self.rounds.values()])
    @rule()
    def give_up(self):
        """Let the oldest open round reach its time limit."""
        for attempt, claims in self.rounds.items():
            if claims.decision is None:
                claims.give_up()
                return self.apply_decision(attempt, str(claims.key))

    @precondition(lambda self: self.may_run)
    @rule(choice=data(), release=integers(0, 3))
    def run_or_release(self, choice, release):
        self.step += 1
        run = release > 0
        attempt = choice.draw(sampled_from(sorted(self.may_run)))
        key = self.may_run.pop(attempt)
        if run:
            self.ran[key].append(self.step)
        for number in (1, 2, 3):
            kind = "store" if run else "release"
            self.network.append((kind, make_instance(number), key, attempt))

    def apply_decision(self, attempt, key):
        claims = self.rounds[attempt]
        for name in claims.instances_to_release():
            self.network.append(("release", name, key, attempt))
        match claims.decision:
            case MayRun():
                self.may_run[attempt] = key
            case Resolved(Refused(Outcome.NOT_RUN)):
                no_claim_step = self.first_no_claim_step[attempt]
                assert no_claim_step > self.started_step[attempt]
                assert not [step for step in self.ran[key] if step < no_claim_step], (
                    "not_run although an attempt of the key had run"
                )
            case Resolved(Answer()):
                assert self.ran[key], "an answer without a run"

    @invariant()
    def one_run_per_key(self):
        for key, steps in self.ran.items():
            assert len(steps) <= 1, f"{key} ran {len(steps)} times"


ClaimMachineTests = ClaimMachine.TestCase
ClaimMachineTests.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
