"""No single announcement decides for good which upstream an address has."""

import unittest

from lentilsill.membership import (
    Accepted,
    CheckedUpstream,
    Disputed,
    Objection,
    Outdated,
    Refused,
)

from .announcement_builders import TIMEOUT_S, Play

# Start of a process whose clock is ahead of all others.
FAR_MS = 2**52
READY = ("w1", "READY")


class OtherWriterTests(unittest.TestCase):
    def setUp(self):
        self.play = Play()
        self.play.say(sequence=5)

    def test_announcement_of_another_service_or_address_has_no_effect(self):
        """Guards against another writer that displaces the upstream of the host."""
        for fields in ({"service": "b"}, {"address": "127.0.0.1:8"}):
            verdict = self.play.say(upstream="odd", started_ms=FAR_MS, **fields)
            self.assertIsInstance(verdict, Refused)
        self.assertEqual(self.play.used, READY)
        self.assertIsInstance(self.play.say(sequence=6), Accepted)

    def test_refused_announcement_is_not_the_first(self):
        """Guards against another writer that ends doubts about the upstream."""
        play = Play()
        play.order.doubt_ready()
        play.say(upstream="odd", service="b")
        self.assertFalse(play.order.has_announcements)
        self.assertEqual(play.objection_to(), Objection.DOUBTED)

    def test_other_id_is_used_only_if_it_answers_the_health_check(self):
        """Guards against an upstream that is displaced by a later start alone."""
        fields = {"upstream": "odd", "started_ms": FAR_MS}
        self.assertIsInstance(self.play.say(**fields), Disputed)
        self.assertEqual(self.play.used, READY)
        answer = CheckedUpstream("w1", True)
        objection = self.play.objection_to(answer, **fields)
        self.assertEqual(objection, Objection.OTHER_UPSTREAM)
        self.assertIsInstance(self.play.say(sequence=6), Accepted)

    def test_refuted_process_causes_no_health_check_for_a_while(self):
        """Guards against a health check for each announcement of another writer."""
        fields = {"upstream": "odd", "started_ms": FAR_MS}
        self.play.say(**fields)
        self.play.say(CheckedUpstream("w1", True), **fields)
        verdicts = self.play.say_each_second(5, 2, **fields)
        self.assertEqual({type(verdict) for verdict in verdicts}, {Refused})
        self.play.now += TIMEOUT_S
        self.assertIsInstance(self.play.say(sequence=9, **fields), Disputed)

    def test_next_process_is_used_as_soon_as_it_answers(self):
        """Guards against a host without its upstream after a restart under a new id."""
        fields = {"upstream": "w2", "started_ms": 2000}
        self.assertIsInstance(self.play.say(**fields), Disputed)
        self.assertIsInstance(
            self.play.say(CheckedUpstream("w2", True), **fields), Accepted
        )

    def test_own_id_with_a_later_start_or_sequence_does_not_end_its_use(self):
        """Guards against announcements of the upstream that count as outdated for good.

        Another writer has named the id of the upstream and a start or a sequence that
        the upstream does not reach.
        """
        for fields in ({"started_ms": FAR_MS}, {"sequence": 10**6}):
            with self.subTest(fields):
                play = Play()
                play.say_each_second(5)
                play.say(**fields)
                verdicts = play.say_each_second(8, 6)
                self.assertEqual(play.used, READY)
                for verdict in verdicts[:6]:
                    assert isinstance(verdict, Outdated)
                    self.assertTrue(verdict.is_alive)
                self.assertEqual({type(v) for v in verdicts[6:]}, {Accepted})

    def test_leaving_that_the_upstream_has_not_said_is_undone_by_its_answer(self):
        """Guards against an upstream that is out of use until its node restarts."""
        for started_ms in (1000, FAR_MS):
            with self.subTest(started_ms):
                play = Play()
                play.say(sequence=5)
                play.say(started_ms=started_ms, sequence=10**6, state="LEAVING")
                self.assertEqual(play.used, ("w1", "LEAVING"))
                self.assertIsInstance(play.say(sequence=6), Disputed)
                play.say(CheckedUpstream("w1", True), sequence=6)
                self.assertEqual(play.used, READY)

    def test_deletion_that_the_upstream_has_not_sent_is_undone_by_its_answer(self):
        """Guards against an upstream that is refused for good after one deletion."""
        for started_ms in (None, 1000, FAR_MS):
            with self.subTest(started_ms):
                play = Play()
                play.say(sequence=5)
                play.delete(started_ms=started_ms)
                self.assertIsInstance(play.say(sequence=6), Disputed)
                play.say(CheckedUpstream("w1", True), sequence=6)
                self.assertEqual(play.used, READY)
                self.assertIsInstance(play.say(sequence=7), Accepted)

    def test_repeated_leaving_is_checked_before_it_counts(self):
        """Guards against another writer that keeps an upstream out of use in turns."""
        stays = CheckedUpstream("w1", True)
        odd = {"sequence": 10**6, "state": "LEAVING"}
        self.play.say(**odd)
        self.play.say(stays, sequence=6)
        self.play.now += 1.0
        self.assertEqual(self.play.objection_to(**odd), Objection.STAYING)
        self.assertIsInstance(self.play.say(stays, **odd), Refused)
        self.assertIsInstance(self.play.delete(), Disputed)
        self.assertIsInstance(self.play.delete(check=stays), Refused)
        self.assertEqual(self.play.used, READY)
        # The upstream's own leaving counts, with or without an answer.
        leaves = CheckedUpstream("w1", False)
        self.assertIsInstance(
            self.play.say(leaves, sequence=7, state="LEAVING"), Accepted
        )
        self.play.say(stays, sequence=8)
        self.play.order.forget_stay("w1")
        self.assertIsInstance(self.play.delete(), Accepted)

    def test_leaving_counts_without_a_check_after_the_announce_timeout(self):
        """Guards against a leaving that is never acknowledged.

        The health checks of an upstream may lag behind what it announces.
        """
        self.play.say(sequence=6, state="LEAVING")
        self.play.say(CheckedUpstream("w1", True), sequence=7)
        verdicts = []
        for sequence in range(8, 16):
            verdict = self.play.say(sequence=sequence, state="LEAVING")
            if isinstance(verdict, Disputed):
                answer = CheckedUpstream("w1", True)
                verdict = self.play.say(answer, sequence=sequence, state="LEAVING")
            verdicts.append(type(verdict))
            self.play.now += 1.0
        self.assertEqual(verdicts, [Refused] * 6 + [Accepted] * 2)

    def test_leaving_of_the_upstream_counts_after_any_other_announcement(self):
        """Guards against an acknowledged leaving that has no effect."""
        self.play.say(sequence=10**6)
        self.play.say(sequence=6, state="LEAVING")
        self.assertEqual(self.play.used, ("w1", "LEAVING"))
        play = Play()
        play.say(sequence=5)
        play.say(started_ms=FAR_MS)
        self.assertIsInstance(play.say(sequence=6, state="LEAVING"), Disputed)
        play.say(CheckedUpstream("w1", False), sequence=6, state="LEAVING")
        self.assertEqual(play.used, ("w1", "LEAVING"))
        # A later start alone does not make it ready again.
        self.assertIsInstance(play.say(started_ms=FAR_MS, sequence=2), Disputed)

    def test_deletion_by_the_upstream_counts_after_a_later_start(self):
        """Guards against calls to an upstream whose deletion was acknowledged."""
        self.play.say(started_ms=FAR_MS)
        self.assertIsInstance(self.play.delete(started_ms=1000), Disputed)
        gone = CheckedUpstream("w1", False)
        self.assertIsInstance(self.play.delete(started_ms=1000, check=gone), Accepted)
        self.assertIsNone(self.play.used)


class ClockTests(unittest.TestCase):
    def test_process_that_starts_with_its_clock_behind_is_used_once_it_answers(self):
        """Guards against a restarted upstream that gets no calls for good."""
        for upstream in ("w1", "w2"):
            for has_left in (False, True):
                with self.subTest(upstream, has_left=has_left):
                    play = Play()
                    play.say(started_ms=9000)
                    if has_left:
                        play.delete()
                    play.in_use = None
                    fields = {"upstream": upstream, "started_ms": 4000}
                    self.assertIsInstance(play.say(**fields), Disputed)
                    play.say(CheckedUpstream(upstream, True), **fields)
                    self.assertEqual(play.used, (upstream, "READY"))
                    self.assertIsInstance(play.say(sequence=2, **fields), Accepted)

    def test_process_that_goes_on_is_used_after_the_announce_timeout(self):
        """Guards against a wrong order that lasts as long as no check is answered."""
        for has_checks in (False, True):
            with self.subTest(has_checks):
                play = Play(has_checks)
                play.say(started_ms=9000)
                play.in_use = None
                verdicts = play.say_each_second(7, upstream="w2", started_ms=4000)
                for verdict in verdicts[:-1]:
                    self.assertNotIsInstance(verdict, Accepted)
                self.assertEqual(verdicts[-1], Accepted(Objection.EARLIER_START))


class LateAnnouncementTests(unittest.TestCase):
    def setUp(self):
        self.play = Play()
        self.play.say(sequence=5)

    def test_late_announcements_of_a_dead_process_lose(self):
        """Guards against a dead process that takes the place of the next one."""
        self.play.say(CheckedUpstream("w2", True), upstream="w2", started_ms=2000)
        for sequence in range(6, 12):
            self.assertIsInstance(self.play.say(sequence=sequence), Disputed)
            self.play.now += 0.5
        self.play.say(CheckedUpstream("w2", True), sequence=12)
        self.assertEqual(self.play.used, ("w2", "READY"))

    def test_late_announcements_lose_after_the_next_process_has_died(self):
        """Guards against a dead process that comes in use while nobody answers."""
        self.play.say(CheckedUpstream("w2", True), upstream="w2", started_ms=2000)
        self.play.in_use = None
        for sequence in (6, 7, 8):
            self.assertIsInstance(self.play.say(sequence=sequence), Disputed)
            # Apart, they are no series of a live process.
            self.play.now += 0.7 * TIMEOUT_S

    def test_late_ready_of_a_leaving_process_loses_to_its_answer(self):
        """Guards against calls to an upstream whose leaving was acknowledged."""
        leaving = CheckedUpstream("w1", False)
        for leave in (
            lambda play: play.say(sequence=7, state="LEAVING"),
            lambda play: play.delete(),
            lambda play: play.mark_leaving(1000),
            lambda play: play.mark_leaving(0),
        ):
            play = Play()
            play.say(sequence=5)
            leave(play)
            for sequence in range(6, 20):
                self.assertIsInstance(play.say(sequence=sequence), Disputed)
                verdict = play.say(leaving, sequence=sequence)
                self.assertIsInstance(verdict, Refused)
                play.now += 1.0

    def test_leaving_process_is_not_used_however_long_it_goes_on(self):
        """Guards against the time of a drain that outlasts the announce timeout."""
        self.play.say(sequence=6, state="LEAVING")
        verdicts = self.play.say_each_second(30, 7)
        self.assertNotIn(Accepted, {type(verdict) for verdict in verdicts})

    def test_deletion_of_unknown_start_covers_all_processes_before_it(self):
        """Guards against a deletion that one old announcement narrows."""
        play = Play()
        play.delete(wall_ms=5000)
        play.say(started_ms=1)
        self.assertEqual(play.objection_to(started_ms=4000), Objection.DELETED)

    def test_deletion_of_an_unknown_id_ends_doubts_about_the_upstream(self):
        """Guards against a late announcement that is believed after a restart.

        Another writer has deleted an id that the restarted node does not know.
        """
        play = Play()
        play.delete("unknown")
        play.order.doubt_ready()
        self.assertEqual(play.objection_to(sequence=9), Objection.DOUBTED)

    def test_leavings_of_other_ids_displace_a_remembered_leaving(self):
        """Guards against calls to an upstream whose leaving was acknowledged."""
        self.play.say(sequence=6, state="LEAVING")
        for number in range(64):
            self.play.say(upstream=f"odd-{number}", started_ms=9000, state="LEAVING")
        self.assertEqual(self.play.objection_to(sequence=7), Objection.LEFT)
