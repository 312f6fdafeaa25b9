"""Allocator of the tokens of shards, in the memory of one node."""

from math import isfinite
from random import Random

from .bounds import QuotaBounds
from .buckets import Bucket
from .messages import Ask, Grant, GrantReply, Pledge, TokenRequest
from .pledges import PledgeTable
from .shards import shard_of

__all__ = ["Allocator"]

MAX_ORGANISATIONS = 20_000
MAX_LEASE_S = 60.0
# Answer to a request that can't be granted at any time.
INVALID_WAIT_MS = 1000
# Requests of a process are remembered this long, so that a late one changes nothing.
SEQ_RETENTION_S = 2 * MAX_LEASE_S


class Allocator:
    """Grants tokens out of the pledges that nodes have lent to it.

    Its state begins empty with the process. `now` is in seconds of a clock that counts
    the time for which the process is suspended.

    Parameters
    ----------
    shard_count : int
    bounds : QuotaBounds
    rng : Random
    started_at : float
    """

    def __init__(
        self, shard_count: int, bounds: QuotaBounds, rng: Random, started_at: float
    ) -> None:
        self.bounds = bounds
        self._rng = rng
        self._pledges = [PledgeTable(started_at) for _ in range(shard_count)]
        self._buckets: list[dict[str, Bucket]] = [{} for _ in range(shard_count)]
        self._last_seqs: dict[str, tuple[int, float]] = {}
        self._pruned_at = started_at

    def handle(
        self, instance: str, request: TokenRequest, node_count: int, now: float
    ) -> GrantReply | None:
        """Apply the pledges of a request and grant tokens.

        `instance` is the process that sent it, and `node_count` the number of nodes
        that this node knows. A request that arrives after a later one gets no reply.
        """
        if request.seq <= self._last_seqs.get(instance, (-1, 0.0))[0]:
            return None
        self._last_seqs[instance] = (request.seq, now)
        self._prune(now)
        weight = 1.0 / max(1, request.node_count, node_count)
        for pledge in request.pledges:
            is_first = pledge.shard in request.first_shards
            self._apply(instance, pledge, weight, is_first, now)
        grants = tuple(self._grant(ask, request.version, now) for ask in request.asks)
        return GrantReply(request.seq, int(now * 1e6), grants)

    def advance(self, shard: int, now: float) -> None:
        """Bring a shard up to date before its pledges or buckets are used."""
        if self._pledges[shard].advance(now):
            self._clip(shard)

    def share(self, shard: int) -> float:
        """Return the share of the quotas that the pledges gave at the last use."""
        return self._pledges[shard].share

    def pledge_count(self, shard: int) -> int:
        """Return the number of pledges held for a shard."""
        return len(self._pledges[shard])

    @property
    def organisation_count(self) -> int:
        """Number of buckets."""
        return sum(map(len, self._buckets))

    def dump(self) -> list[dict[str, object]]:
        """Return the shards whose pledges this node holds."""
        return [
            {
                "shard": shard,
                "share": round(table.share, 4),
                "pledges": len(table),
                "organisations": len(self._buckets[shard]),
            }
            for shard, table in enumerate(self._pledges)
            if len(table)
        ]

    def _apply(
        self,
        instance: str,
        pledge: Pledge,
        weight: float,
        is_first: bool,
        now: float,
    ) -> None:
        if not 0 <= pledge.shard < len(self._pledges):
            return
        self.advance(pledge.shard, now)
        table = self._pledges[pledge.shard]
        stamped_at = pledge.stamp_us / 1e6
        lease_s = min(pledge.lease_ms / 1000, MAX_LEASE_S)
        if lease_s <= 0:
            has_lost = table.remove(instance, now)
        elif now - lease_s < stamped_at <= now:
            if table.weight_of(instance) != weight:
                # What was filled at a smaller share must not exceed its capacity.
                self._clip(pledge.shard)
            is_first &= not table.weight_of(instance)
            has_lost = table.put(instance, stamped_at + lease_s, weight, now)
            if is_first:
                table.add_first(weight)
                for bucket in self._buckets[pledge.shard].values():
                    bucket.add_first(weight, self.bounds)
        else:
            return
        if has_lost:
            self._clip(pledge.shard)

    def _clip(self, shard: int) -> None:
        """Drop the tokens over the capacity of the current share."""
        for bucket in self._buckets[shard].values():
            bucket.refill()

    def _grant(self, ask: Ask, version: int, now: float) -> Grant:
        if not _is_valid(ask):
            return Grant(0, 0, INVALID_WAIT_MS)
        shard = shard_of(ask.organisation, len(self._pledges))
        self.advance(shard, now)
        buckets = self._buckets[shard]
        bucket = buckets.get(ask.organisation)
        if bucket is None:
            if len(buckets) * len(self._buckets) >= MAX_ORGANISATIONS:
                return Grant(0, 0, INVALID_WAIT_MS)
            table = self._pledges[shard]
            bucket = Bucket(ask, version, table, self._rng, self.bounds, now)
            buckets[ask.organisation] = bucket
        elif version > bucket.version:
            bucket.set_quota(ask, version)
        return bucket.grant(ask, self.bounds, now)

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < SEQ_RETENTION_S:
            return
        self._pruned_at = now
        oldest = now - SEQ_RETENTION_S
        self._last_seqs = {k: v for k, v in self._last_seqs.items() if v[1] >= oldest}
        for shard, buckets in enumerate(self._buckets):
            self.advance(shard, now)
            for name in [n for n, b in buckets.items() if b.is_unused(now)]:
                del buckets[name]


def _is_valid(ask: Ask) -> bool:
    quota = (ask.rate_per_s, ask.burst)
    counts = (ask.needed, ask.soon, ask.held)
    return all(isfinite(value) and value >= 0 for value in (*quota, *counts))
