"""Where a node pledges its share, and when."""

import unittest

from lentilsill.documents import Organisation, Quota
from lentilsill.quotas import (
    AllocatorRanking,
    FirstStart,
    Grant,
    GrantReply,
    NodeCount,
    Outgoing,
    QuotaBounds,
    QuotaClient,
)

ORGANISATION = Organisation("a", frozenset(), None, Quota(10.0, 20.0))
STEP_S = 0.05


class PledgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.silent: set[str] = set()
        self.pledged: list[tuple[float, str]] = []
        self.first_shards: list[tuple[int, ...]] = []
        self.stamped_at: dict[str, float] = {}
        self.client = QuotaClient("me", 1, QuotaBounds(), 0.0)
        self.client.ranking = AllocatorRanking({"first": 9, "next": 1}, {}, "me")
        self.client.set_organisations({"a": ORGANISATION}, 1)

    def run_until(self, end: float) -> None:
        while self.now < end:
            self.now += STEP_S
            for outgoing in self.client.poll(self.now):
                self.answer(outgoing)

    def answer(self, outgoing: Outgoing) -> None:
        node, request = outgoing.node, outgoing.request
        if any(pledge.lease_ms for pledge in request.pledges):
            self.pledged.append((self.now, node))
        if request.first_shards:
            self.first_shards.append(request.first_shards)
        if node not in self.silent:
            self.stamped_at[node] = self.now
            grants = tuple(
                Grant(ask.needed + ask.soon, ask.held, 0) for ask in request.asks
            )
            reply = GrantReply(request.seq, int(self.now * 1e6), grants)
            self.client.on_reply(node, f"i-{node}", reply, self.now)

    def pledged_to(self, node: str, start: float) -> list[float]:
        return [at for at, to in self.pledged if to == node and at > start]

    def test_a_started_process_waits_for_one_lease(self) -> None:
        """Pledges of the process before it may be valid elsewhere."""
        self.run_until(3.0)
        self.assertGreaterEqual(self.pledged_to("first", 0.0)[0], 1.0)

    def test_first_process_of_a_node_does_not_wait(self) -> None:
        """Its first pledge brings tokens, and a later one must not do so again."""
        self.client.had_predecessor = False
        self.run_until(0.3)
        self.assertTrue(self.pledged_to("first", 0.0))
        self.silent.add("first")
        self.run_until(3.0)
        self.assertTrue(self.pledged_to("next", 0.0))
        self.assertEqual(self.first_shards, [(0,)])

    def test_tokens_to_be_held_are_requested_along_with_a_renewal(self) -> None:
        """Guards against a request for each call that used a token held for it."""
        self.run_until(3.0)
        tokens = self.client.find("a")
        assert tokens is not None
        self.assertIsNone(self.client.take(tokens, self.now))
        tokens.waiting = 1
        self.run_until(self.now + STEP_S)
        self.assertTrue(tokens.take_for_waiting(self.now))
        tokens.waiting = 0
        self.assertEqual(self.client.take(tokens, self.now), 0.0)
        self.assertFalse(self.client.has_requests)
        self.run_until(self.now + 0.5)
        self.assertEqual(self.client.take(tokens, self.now), 0.0)

    def test_the_next_allocator_gets_the_share_when_the_lease_has_ended(self) -> None:
        """Two allocators that hold one share would grant it twice."""
        self.run_until(3.0)
        self.silent.add("first")
        lost_at = self.now
        self.run_until(6.0)
        # The last pledge, which may have arrived, echoes the last time stamp.
        ended_at = self.stamped_at["first"] + 1.0
        taken = self.pledged_to("next", lost_at)[0]
        self.assertGreaterEqual(taken, ended_at)
        self.assertLessEqual(taken, ended_at + 2 * STEP_S)

    def test_no_pledge_overlaps_another(self) -> None:
        """An allocator that comes back must not get what the other one has."""
        self.run_until(3.0)
        self.silent.add("first")
        self.run_until(6.0)
        self.silent.clear()
        self.run_until(10.0)
        self.assertTrue(self.pledged_to("first", 6.0))
        after_return = self.pledged_to("first", 6.0)[0]
        self.assertEqual(self.pledged_to("next", after_return), [])

    def test_allocator_that_often_falls_silent_is_left_alone(self) -> None:
        """Each return to a slow allocator costs the time of a lease."""
        changes = 0
        chosen = ""
        for i in range(600):
            self.run_until(0.1 * i)
            # It answers for 2 s of every 4 s.
            self.silent = {"first"} if i % 40 >= 20 else set()
            changes += self.client.allocators()[0] != chosen
            chosen = self.client.allocators()[0]
        self.assertLess(changes, 20)

    def test_a_process_that_is_gone_frees_the_share_at_once(self) -> None:
        """The restart of an allocator must not cost a whole lease."""
        self.run_until(3.0)
        self.silent.add("first")
        self.client.on_unreachable("first", True, self.now)
        self.run_until(3.4)
        self.assertTrue(self.pledged_to("next", 3.0))

    def test_an_unreachable_process_keeps_the_share_for_its_lease(self) -> None:
        """A closed link does not show that the process is gone."""
        self.run_until(3.0)
        self.silent.add("first")
        self.client.on_unreachable("first", False, self.now)
        self.run_until(3.4)
        self.assertFalse(self.pledged_to("next", 3.0))


class FirstStartTest(unittest.TestCase):
    """Guards against a restarted node that pledges its share twice."""

    def test_only_first_processes_that_started_together_skip_the_lease(self) -> None:
        for is_first, other_ms, may_lend in (
            (True, 100_000, True),
            (False, 100_000, False),
            (True, 90_000, False),
            # This clock is behind, so an older node seems to have started later.
            (True, 110_000, False),
        ):
            start, starts_ms = FirstStart(started_ms=100_000), [100_000, other_ms]
            start.update(is_first, starts_ms, 9, 0.1)
            self.assertEqual(start.update(is_first, starts_ms, 9, 0.5), may_lend)

    def test_growing_node_count_prevents_it(self) -> None:
        """Nodes of a system that grows would lend too large shares."""
        start = FirstStart(started_ms=100_000)
        for i in range(1, 9):
            self.assertFalse(start.update(True, [100_000], i, 0.2 * i))


class NodeCountTest(unittest.TestCase):
    def test_process_that_starts_in_a_cut_off_domain_counts_the_directory(self) -> None:
        """Processes that restart during a partition must not use the whole quota."""
        counted = NodeCount(0.0, uses_directory=True, domains={"lahore", "multan"})
        counted.directory_entries = 9
        counted.observe({"lahore": {"a", "b"}}, {}, set(), 30.0)
        self.assertEqual(counted.value(30.0), 9)
        counted.observe({"lahore": {"a", "b"}, "multan": {"c"}}, {}, set(), 31.0)
        self.assertEqual(counted.value(31.0), 3)

    def test_nothing_is_pledged_before_the_directory_is_read(self) -> None:
        """Nodes that all restart must not take themselves for the only one."""
        counted = NodeCount(0.0, uses_directory=True)
        counted.observe({"lahore": {"a"}}, {}, set(), 2.0)
        self.assertFalse(counted.is_known(2.0))
        client = QuotaClient("a", 1, QuotaBounds(), 0.0)
        client.set_organisations({"a": ORGANISATION}, 1)
        client.may_pledge = False
        for i in range(20, 40):
            for outgoing in client.poll(0.1 * i):
                self.assertEqual(outgoing.request.pledges, ())
                reply = GrantReply(outgoing.request.seq, 100_000 * i)
                client.on_reply("a", "i-a", reply, 0.1 * i)
        counted.directory_entries = 9
        self.assertTrue(counted.is_known(2.0))
        self.assertEqual(counted.value(2.0), 9)
