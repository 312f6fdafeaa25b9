"""Announcements that arrive late, twice or out of order have no effect."""

import random
import unittest

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

from .builders import node_settings

ADDRESS = "127.0.0.1:9"


def announcement(
    upstream="w1", started_ms=1000, sequence=1, state="READY", service="a"
):
    record = UpstreamRecord(upstream, service, ADDRESS, 6, (), UpstreamState[state])
    return Announcement(record, started_ms, sequence)


class AnnouncementOrderTests(unittest.TestCase):
    def setUp(self):
        cfg = node_settings("n1", host_upstream_address=ADDRESS, host_service="a")
        links = PeerLinks(Identity("n1", "i-1", "d", "127.0.0.1:1"), "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        self.gone_upstreams: list[str] = []
        self.announcements = Announcements(self.ctx, self.gone_upstreams.append)

    def states(self):
        return {name: rec.state.name for name, rec in self.ctx.board.upstreams.items()}

    def test_late_ready_does_not_undo_leaving(self):
        """Guards against new calls to an upstream whose leaving was acknowledged."""
        self.announcements.apply(announcement(sequence=5, state="LEAVING"))
        self.announcements.apply(announcement(sequence=4))
        self.assertEqual(self.states(), {"w1": "LEAVING"})

    def test_late_ready_after_a_restart_does_not_undo_leaving(self):
        """Guards against calls to an upstream that reported leaving before a restart.

        The node has been restarted since, and a health check has shown that the
        upstream is leaving or failing.
        """
        self.announcements.doubt_ready()
        self.announcements.apply(announcement(sequence=4))
        self.assertEqual(self.states(), {})
        self.announcements.apply(announcement(sequence=5, state="LEAVING"))
        self.announcements.apply(announcement(sequence=4))
        self.assertEqual(self.states(), {"w1": "LEAVING"})

    def test_late_ready_does_not_undo_a_leaving_that_an_answer_told(self):
        """Guards against calls to an upstream whose answers say that it leaves."""
        for known_ms in (1000, 0):
            self.announcements.apply(announcement(sequence=4))
            self.announcements.mark_leaving("w1", known_ms)
            self.assertEqual(self.states(), {"w1": "LEAVING"})
            self.announcements.apply(announcement(sequence=5))
            self.assertEqual(self.states(), {"w1": "LEAVING"})
        self.announcements.apply(announcement(started_ms=2000, sequence=1))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_upstream_that_stays_ready_is_used(self):
        """Guards against a host without its upstream after a wrong health check."""
        self.announcements.doubt_ready()
        self.announcements.apply(announcement(sequence=4))
        self.announcements.apply(announcement(sequence=5))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_upstream_that_has_announced_itself_is_trusted(self):
        """Guards against a health check that removes a known upstream."""
        self.announcements.apply(announcement(sequence=4))
        self.announcements.doubt_ready()
        self.announcements.apply(announcement(sequence=5))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_late_report_of_a_crashed_process_does_not_replace_the_next(self):
        """Guards against losing the current upstream process.

        A network partition delays an announcement of the process before it.
        """
        self.announcements.apply(announcement("w2", started_ms=2000))
        self.announcements.apply(announcement("w1", started_ms=1000, sequence=9))
        self.assertEqual(self.states(), {"w2": "READY"})

    def test_restarted_upstream_with_the_same_id_is_used(self):
        """Guards against new announcements ignored because sequences restart at 1."""
        self.announcements.apply(announcement(sequence=50, state="LEAVING"))
        self.announcements.apply(announcement(started_ms=2000, sequence=1))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_deletion_is_final_for_its_process(self):
        """Guards against a delayed announcement that adds a deleted upstream again."""
        self.announcements.apply(announcement(sequence=1))
        self.announcements.delete("w1")
        self.announcements.apply(announcement(sequence=2))
        self.assertEqual(self.states(), {})
        self.announcements.apply(announcement(started_ms=2000, sequence=1))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_deletion_of_an_unknown_process_is_remembered(self):
        """Guards against a delayed announcement undoing a deletion (day fresh-ad90).

        The node was restarted between the two, and the deletion has no start time.
        """
        now_ms = self.ctx.wall_ms()
        self.announcements.delete("w1")
        self.announcements.apply(announcement(started_ms=now_ms - 5000, sequence=9))
        self.assertEqual(self.states(), {})
        self.announcements.apply(announcement(started_ms=now_ms + 5000))
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_deletion_of_a_discovered_process_is_remembered(self):
        """Guards against a delayed announcement that undoes a deletion.

        The upstream was discovered by a health check, which reports no start time.
        """
        now_ms = self.ctx.wall_ms()
        self.announcements.apply(announcement(started_ms=None, sequence=0))
        self.announcements.delete("w1")
        self.announcements.delete("w1")
        self.announcements.apply(announcement(started_ms=now_ms - 5000, sequence=9))
        self.assertEqual(self.states(), {})

    def test_late_deletion_does_not_remove_the_next_process(self):
        """Guards against losing the current upstream process.

        A network partition delays the deletion of the process before it.
        """
        self.announcements.apply(announcement(started_ms=2000))
        self.announcements.delete("w1", started_ms=1000)
        self.assertEqual(self.states(), {"w1": "READY"})

    def test_deleted_upstream_has_not_crashed(self):
        """Guards against quarantine of the last calls of an upstream that leaves."""
        self.announcements.apply(announcement())
        self.announcements.delete("w1")
        self.assertEqual(self.gone_upstreams, [])

    def test_announcement_of_another_service_does_not_displace_the_upstream(self):
        """Guards against an upstream that another writer displaces (review/7).

        All later announcements of the upstream were acknowledged and had no effect.
        """
        self.announcements.apply(announcement(sequence=4))
        self.announcements.apply(announcement("odd", started_ms=9000, service="nosuch"))
        self.assertEqual(self.states(), {"w1": "READY"})
        self.announcements.apply(announcement(sequence=5))
        self.assertEqual(self.states(), {"w1": "READY"})
        self.assertEqual(self.gone_upstreams, [])

    def test_upstream_that_starts_with_its_clock_behind_is_used(self):
        """Guards against a restarted upstream that gets no calls for good.

        Its announcements were all older than those of the process before it.
        """
        clock_s = self.ctx.now()
        self.ctx.now = lambda: clock_s
        timeout_s = self.ctx.cfg.membership.announce_timeout_s
        for upstream in ("w1", "w2"):
            self.announcements.apply(announcement(started_ms=9000, sequence=7))
            self.announcements.drop("w1", "crashed")
            for sequence in range(1, int(timeout_s) + 2):
                self.announcements.apply(announcement(upstream, 4000, sequence))
                clock_s += 1.0
            self.assertEqual(self.states(), {upstream: "READY"})
            self.announcements.drop(upstream, "silent")
