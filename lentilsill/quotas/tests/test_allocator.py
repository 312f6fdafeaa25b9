"""Pledges and grants of one allocator."""

import unittest
from dataclasses import replace
from random import Random

from lentilsill.documents import Quota
from lentilsill.quotas import (
    Allocator,
    Ask,
    GrantReply,
    Pledge,
    QuotaBounds,
    TokenRequest,
)
from lentilsill.quotas.messages import Grant
from lentilsill.quotas.tokens import OrganisationTokens

SHARD = 0
ASK = Ask("a", 10.0, 20.0, 3, 0, 0)


class AllocatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allocator = Allocator(1, QuotaBounds(), Random(1), 0.0)

    def send(
        self, seq: int, now: float, *pledges: Pledge, needed: int = 0, version: int = 1
    ):
        asks = (Ask("a", 10.0, 20.0, needed, 0, 0),) if needed else ()
        request = TokenRequest(seq, 1, version, pledges, asks)
        return self.allocator.handle("i", request, 1, now)

    def pledge(self, seq: int, now: float, stamped_at: float) -> None:
        self.send(seq, now, Pledge(SHARD, int(stamped_at * 1e6), 1000))

    def reply_to(self, instance: str, request: TokenRequest, now: float) -> GrantReply:
        reply = self.allocator.handle(instance, request, 1, now)
        assert reply is not None
        return reply

    def send_of_two(self, instance: str, seq: int, now: float, needed: int = 0):
        """Send the pledge of one of two nodes, and return what it is granted."""
        pledge = Pledge(SHARD, int(now * 1e6), 1000)
        request = TokenRequest(seq, 2, 1, (pledge,), (ASK._replace(needed=needed),))
        if not needed:
            request = replace(request, asks=())
        reply = self.reply_to(instance, request, now)
        return reply.grants[0] if needed else None

    def test_it_begins_empty(self) -> None:
        """A restart of the allocator must not allow a new burst."""
        self.pledge(1, 0.0, 0.0)
        self.assertEqual(self.send(2, 0.05, needed=5).grants[0].granted, 0)
        self.assertEqual(self.send(3, 0.55, needed=9).grants[0].granted, 5)

    def test_first_pledge_of_a_node_brings_tokens_once(self) -> None:
        """A share that comes back must not allow a new burst."""
        pledge = Pledge(SHARD, 0, 1000)
        ask = ASK._replace(needed=50)
        first = TokenRequest(1, 1, 1, (pledge,), (ask,), first_shards=(SHARD,))
        limit = min(20.0, self.allocator.bounds.max_held(10.0, 20.0))
        self.assertEqual(self.reply_to("i", first, 0.0).grants[0].granted, int(limit))
        again = replace(first, seq=2)
        # These are the rest and what has been filled meanwhile.
        self.assertEqual(self.reply_to("i", again, 0.05).grants[0].granted, 1)
        self.send(3, 0.06, Pledge(SHARD, 0, 0))
        self.send(4, 0.1, Pledge(SHARD, 60_000, 1000))
        other = replace(
            first, seq=5, pledges=(), asks=(ask._replace(organisation="b"),)
        )
        self.assertEqual(self.reply_to("i", other, 0.12).grants[0].granted, 0)

    def test_a_delayed_pledge_is_not_extended(self) -> None:
        """The lease counts from the allocator's stamp, not from the arrival."""
        self.pledge(1, 0.9, 0.0)
        self.assertEqual(self.allocator.pledge_count(SHARD), 1)
        self.allocator.advance(SHARD, 1.0)
        self.assertEqual(self.allocator.pledge_count(SHARD), 0)
        self.pledge(2, 2.0, 0.9)
        self.assertEqual(self.allocator.pledge_count(SHARD), 0)

    def test_a_pledge_with_a_stamp_of_the_future_is_ignored(self) -> None:
        self.pledge(1, 1.0, 5.0)
        self.assertEqual(self.allocator.pledge_count(SHARD), 0)

    def test_a_request_overtaken_by_a_withdrawal_is_ignored(self) -> None:
        """A late renewal would lend a share that is lent to another allocator."""
        self.pledge(1, 0.0, 0.0)
        self.send(3, 0.2, Pledge(SHARD, 0, 0))
        self.pledge(2, 0.3, 0.0)
        self.assertEqual(self.allocator.pledge_count(SHARD), 0)

    def test_lost_pledges_take_their_tokens_with_them(self) -> None:
        """Two allocators must not keep the burst of the same pledges."""
        self.pledge(1, 0.0, 0.0)
        self.send(2, 0.9, needed=1)
        self.allocator.advance(SHARD, 5.0)
        self.pledge(3, 5.0, 5.0)
        self.assertEqual(self.send(4, 5.01, needed=5).grants[0].granted, 0)

    def test_tokens_filled_at_a_small_share_do_not_exceed_its_capacity(self) -> None:
        """Nodes that move from a full allocator must not find their burst here again.

        After a partition that lasted long enough to fill the bucket, the burst of the
        nodes that were cut off could be used twice in one window.
        """
        for has_bucket in (False, True):
            self.setUp()
            for i in range(100):
                self.send_of_two("i", i, 0.1 * i, needed=int(has_bucket and i == 0))
            self.send_of_two("j", 0, 10.0)
            with self.subTest(has_bucket=has_bucket):
                # Half of the burst, and what is filled in 0.1 s.
                grant = self.send_of_two("j", 1, 10.1, needed=20)
                self.assertLessEqual(grant.granted, 11)

    def test_denial_ends_soon_while_the_share_is_small(self) -> None:
        """An organisation must not be refused for long after its allocator is lost.

        The first pledges at the next one give a token only after many seconds.
        """
        no_share = self.reply_to("n", TokenRequest(0, 66, 1, (), (ASK,)), 0.0)
        self.assertLess(no_share.grants[0].wait_ms, 500)
        for i in range(66):
            pledge = Pledge(SHARD, 0, 1000)
            request = TokenRequest(1, 66, 1, (pledge,), (ASK,))
            reply = self.allocator.handle(f"n{i}", request, 66, 0.2 + 0.01 * i)
            assert reply is not None
            grant = reply.grants[0]
            self.assertLessEqual(grant.wait_ms, 1000)

    def test_quota_without_a_burst_grants_single_tokens(self) -> None:
        """An organisation that stays below its rate must not be refused each time."""
        granted = 0
        for i in range(100):
            now = 0.1 * i
            asks = (Ask("a", 1.0, 0.0, 1, 0, 0),) if i % 20 == 19 else ()
            pledges = (Pledge(SHARD, int(now * 1e6), 1000),)
            reply = self.reply_to("i", TokenRequest(i, 1, 1, pledges, asks), now)
            granted += sum(grant.granted for grant in reply.grants)
        self.assertEqual(granted, 5)

    def test_unused_buckets_are_forgotten(self) -> None:
        """Names of organisations that come and go must not fill the memory."""
        self.pledge(1, 0.0, 0.0)
        self.send(2, 0.5, needed=1)
        for i in range(3, 400):
            self.pledge(i, 0.4 * i, 0.4 * i)
        self.assertEqual(self.allocator.organisation_count, 0)
        self.assertEqual(self.send(400, 160.0, needed=30).grants[0].granted, 20)

    def test_denied_nodes_are_given_different_times(self) -> None:
        self.pledge(1, 0.0, 0.0)
        waits = [self.send(i, 0.01, needed=1).grants[0].wait_ms for i in range(2, 6)]
        self.assertEqual(waits, sorted(set(waits)))


class TokensTest(unittest.TestCase):
    def test_refused_callers_are_given_different_times(self) -> None:
        """Callers that come back together find the one token of the denied node."""
        tokens = OrganisationTokens("a", Quota(10.0, 5.0), 0)
        tokens.add(ASK, Grant(0, 0, 300), 0.0, 0.25, 0.0)
        waits = [round(tokens.refuse(tokens.denied_until, 0.1), 3) for _ in range(3)]
        self.assertEqual(waits, [0.2, 0.3, 0.4])

    def test_denial_ends_with_its_quota(self) -> None:
        """A raised limit must not wait for the times of the lower one."""
        tokens = OrganisationTokens("a", Quota(0.1, 1.0), 0)
        tokens.add(ASK, Grant(0, 0, 9000), 0.0, 0.25, 0.0)
        tokens.set_quota(Quota(100.0, 100.0))
        self.assertLess(tokens.denied_until, 0.1)

    def test_a_returned_token_keeps_its_end(self) -> None:
        """A call that was not run must not give its token a new validity."""
        tokens = OrganisationTokens("a", Quota(10.0, 5.0), 0)
        tokens.add(ASK, Grant(1, 0, 0), 0.0, 0.25, 0.01)
        self.assertTrue(tokens.take(0.1))
        tokens.give_back(0.2)
        self.assertTrue(tokens.take(0.24))
        tokens.give_back(0.3)
        self.assertFalse(tokens.take(0.3))

    def test_tokens_are_valid_from_the_request(self) -> None:
        """A reply that arrives late must not make old tokens valid."""
        tokens = OrganisationTokens("a", Quota(10.0, 5.0), 0)
        tokens.add(ASK, Grant(3, 0, 0), 0.0, 0.25, 3.0)
        self.assertFalse(tokens.take(3.0))
