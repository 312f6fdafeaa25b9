"""Pledges and grants of one allocator."""

import unittest
from itertools import count
from random import Random

from lentilsill.documents import Quota
from lentilsill.quotas import Allocator, Ask, Pledge, QuotaBounds, TokenRequest
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

    def test_it_begins_empty(self) -> None:
        """A restart of the allocator must not allow a new burst."""
        self.pledge(1, 0.0, 0.0)
        self.assertEqual(self.send(2, 0.05, needed=5).grants[0].granted, 0)
        self.assertEqual(self.send(3, 0.55, needed=9).grants[0].granted, 5)

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
            allocator = Allocator(1, QuotaBounds(), Random(1), 0.0)
            seqs = count()

            def send(instance: str, now: float, needed: int) -> int:
                pledge = Pledge(SHARD, int(now * 1e6), 1000)
                asks = (ASK._replace(needed=needed),)
                request = TokenRequest(
                    next(seqs), 2, 1, (pledge,), asks if needed else ()
                )
                reply = allocator.handle(instance, request, 2, now)
                return sum(grant.granted for grant in reply.grants)

            for i in range(100):
                send("i", 0.1 * i, needed=int(has_bucket and i == 0))
            send("j", 10.0, needed=0)
            with self.subTest(has_bucket=has_bucket):
                # Half of the burst, and what is filled in 0.1 s.
                self.assertLessEqual(send("j", 10.1, needed=20), 11)

    def test_denied_nodes_are_given_different_times(self) -> None:
        self.pledge(1, 0.0, 0.0)
        waits = [self.send(i, 0.01, needed=1).grants[0].wait_ms for i in range(2, 6)]
        self.assertEqual(waits, sorted(set(waits)))


class TokensTest(unittest.TestCase):
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
