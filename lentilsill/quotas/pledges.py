"""Pledges that an allocator holds for one shard."""

from dataclasses import dataclass

__all__ = ["PledgeTable"]

# The time for which pledges count is added up in steps of at least this length.
STEP_S = 0.01


@dataclass(slots=True)
class _HeldPledge:
    expires_at: float
    weight: float


class PledgeTable:
    """Valid pledges of a shard, and for how long they have counted.

    `share` is the part of the quotas that the valid pledges give, and `filled_s` its
    integral over time: a bucket that is filled at rate r has been given
    ``r * (filled_s - filled_s then)`` tokens since then. A pledge that expires between
    two steps does not count from the first of them on, so the sum over all allocators
    never exceeds the time that has passed.

    Examples
    --------
    >>> table = PledgeTable(now=0.0)
    >>> table.put("a", expires_at=1.0, weight=0.5, now=0.0)
    False
    >>> table.advance(0.8)
    False
    >>> table.share, table.filled_s
    (0.5, 0.4)
    >>> table.advance(1.0)
    True
    >>> table.share, table.filled_s
    (0.0, 0.4)
    """

    def __init__(self, now: float) -> None:
        self._pledges: dict[str, _HeldPledge] = {}
        self._advanced_to = now
        self._next_expiry = 0.0
        self.share = 0.0
        self.filled_s = 0.0
        # Value of `filled_s` when the share last changed.
        self.filled_at_change_s = 0.0
        # Share of nodes that have pledged it here since their first start.
        self._first_share = 0.0

    @property
    def first_share(self) -> float:
        """Share whose tokens have never been granted elsewhere."""
        return min(self._first_share, self.share)

    def __len__(self) -> int:
        return len(self._pledges)

    def advance(self, now: float) -> bool:
        """Bring `share` and `filled_s` up to date; return whether a pledge was lost."""
        elapsed_s = now - self._advanced_to
        if elapsed_s < STEP_S:
            return False
        has_lost = False
        if now >= self._next_expiry:
            expired = [k for k, p in self._pledges.items() if p.expires_at <= now]
            for holder in expired:
                del self._pledges[holder]
            has_lost = bool(expired)
            self._sum_up()
        self.filled_s += elapsed_s * self.share
        self._advanced_to = now
        if has_lost:
            self._record_loss()
        return has_lost

    def put(self, holder: str, expires_at: float, weight: float, now: float) -> bool:
        """Add or renew a pledge; return whether the share has become smaller.

        `advance` must have been called before. All buckets must have been refilled
        before a pledge of another weight than `weight_of` the holder.
        """
        held = self._pledges.get(holder)
        if held is not None and held.weight == weight:
            held.expires_at = expires_at
            self._next_expiry = min(self._next_expiry, expires_at)
            return False
        # The time before the change counts for the smaller of the two shares.
        old_share = self.share
        self._pledges[holder] = _HeldPledge(expires_at, weight)
        self._sum_up()
        self._add_rest(min(old_share, self.share), now)
        self.filled_at_change_s = self.filled_s
        return self.share < old_share

    def weight_of(self, holder: str) -> float:
        """Return the share that a holder has pledged, 0 without a pledge."""
        held = self._pledges.get(holder)
        return 0.0 if held is None else held.weight

    def remove(self, holder: str, now: float) -> bool:
        """Withdraw a pledge; return whether there was one."""
        if self._pledges.pop(holder, None) is None:
            return False
        self._sum_up()
        self._add_rest(self.share, now)
        self._record_loss()
        return True

    def add_first(self, weight: float) -> None:
        """Record that a pledge just put is the first one ever of its node."""
        self._first_share += weight

    def _record_loss(self) -> None:
        self.filled_at_change_s = self.filled_s
        # It is not recorded which pledges it was made of.
        self._first_share = 0.0

    def _add_rest(self, share: float, now: float) -> None:
        self.filled_s += max(0.0, now - self._advanced_to) * share
        self._advanced_to = max(now, self._advanced_to)

    def _sum_up(self) -> None:
        self.share = min(1.0, sum((p.weight for p in self._pledges.values()), 0.0))
        self._next_expiry = min(
            (p.expires_at for p in self._pledges.values()), default=0
        )
