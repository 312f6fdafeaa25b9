"""Token bucket of one organisation at its allocator."""

import math
from collections import deque
from random import Random

from .bounds import HELD_S, QuotaBounds
from .messages import Ask, Grant
from .pledges import PledgeTable

__all__ = ["Bucket"]

# A denied node is told to come back after this time at most, or later if the whole
# quota gives no token until then. A small share may grow meanwhile, as nodes move to
# another allocator within some tenths of a second.
MAX_WAIT_S = 1.0
# Without pledges, a denied node is told to come back after these times, drawn for each
# node.
NO_SHARE_WAIT_S = (0.15, 0.45)
# The same before an allocator has had any pledge for the shard, as at the start of the
# system and after the loss of the allocator before it.
START_WAIT_S = (0.05, 0.1)
# A bucket that nobody has asked for this long, and that is full, is forgotten. Tokens
# that it handed out to be held have expired by then.
UNUSED_S = 60.0
# Nodes that are told to come back for one token. A node asks again at its next call
# after that time, so with one node per token most tokens would wait for their node.
NODES_PER_TOKEN = 2
# Tokens beyond those that calls wait for are granted above this share of the capacity.
RESERVE_SHARE = 0.5
# Most tokens to be held expire unused when callers are spread over all nodes. Granting
# them above half of the capacity had 2.6% of the calls refused at 0.6 of the rate, with
# a rate and burst of 5 at 66 nodes; above 0.7, it was 0.2%.
HELD_RESERVE_SHARE = 0.7
# A bucket that can't hold one token loses its content when nobody asks for this many
# times the time that a token takes.
IDLE_TOKENS = 1.5


class Bucket:
    """Tokens that an allocator may grant, for its share of the quota.

    It starts with what has been filled since the allocator's share last changed, and
    with some tokens of nodes that have never pledged their share elsewhere. A
    share of the burst below one token can't be granted; such a bucket holds one token.
    Below half of the quotas, it is filled from a random level and does not keep its
    token while nobody asks, so that many nodes that are cut off alone don't all have
    one at the same time.
    """

    def __init__(
        self,
        ask: Ask,
        version: int,
        pledges: PledgeTable,
        rng: Random,
        bounds: QuotaBounds,
        now: float,
    ) -> None:
        self.rate_per_s = ask.rate_per_s
        self.burst = ask.burst
        self.version = version
        self._pledges = pledges
        self._rng = rng
        self._filled_s = pledges.filled_at_change_s
        self._level = pledges.first_share * self._first_tokens(bounds)
        self._asked_at = -math.inf
        self._next_token_at = now
        # Share of which `_next_token_at` was reckoned.
        self._waited_share = 0.0
        self._held: deque[tuple[float, int]] = deque()
        self._held_count = 0

    def set_quota(self, ask: Ask, version: int) -> None:
        """Apply the quota of a newer version of the configuration."""
        self.version = version
        if (ask.rate_per_s, ask.burst) == (self.rate_per_s, self.burst):
            return
        self.refill()
        self.rate_per_s, self.burst = ask.rate_per_s, ask.burst
        self.refill()

    @property
    def capacity(self) -> float:
        """Largest number of tokens at the current share."""
        share = self._pledges.share
        return max(1.0, self.burst * share) if share else 0.0

    @property
    def level(self) -> float:
        """Tokens as of the last call of `refill`."""
        return self._level

    def is_unused(self, now: float) -> bool:
        """Return whether a new bucket would not hold more than this one.

        Nobody has asked for some time, the bucket is full, and no token is held.
        """
        if now - self._asked_at < UNUSED_S:
            return False
        self.refill()
        return self._level >= self.capacity

    def add_first(self, share: float, bounds: QuotaBounds) -> None:
        """Add the tokens of a share that has never been pledged before.

        `refill` must have been called before the share grew.
        """
        self.refill()
        tokens = share * self._first_tokens(bounds)
        self._level = min(self.capacity, self._level + tokens)

    def _first_tokens(self, bounds: QuotaBounds) -> float:
        """Return the tokens of the whole quota at the first start of all nodes.

        These are less than the burst, as the first nodes of a system may count too few.
        """
        return min(self.burst, bounds.max_held(self.rate_per_s, self.burst))

    def refill(self) -> None:
        """Add the tokens filled since the last call, and drop those over the capacity.

        It must be called before the share grows, as the capacity of the smaller share
        applies until then, and after the share has become smaller.
        """
        filled_s = self._pledges.filled_s
        added = self.rate_per_s * (filled_s - self._filled_s)
        self._filled_s = filled_s
        self._level = min(self.capacity, self._level + added)

    def grant(self, ask: Ask, bounds: QuotaBounds, now: float) -> Grant:
        """Take tokens out of the bucket."""
        self.refill()
        self._lose_idle_content(now)
        rate = self.rate_per_s * self._pledges.share
        count = min(ask.needed, int(self._level))
        self._level -= count
        if count < ask.needed:
            return Grant(count, 0, self._wait_ms(rate, now))
        spare = int(self._level - RESERVE_SHARE * self.capacity)
        soon = max(0, min(ask.soon, spare))
        spare = int(self._level - soon - HELD_RESERVE_SHARE * self.capacity)
        held = max(0, min(ask.held, spare, self._held_room(bounds, now)))
        self._level -= soon + held
        if held:
            self._held.append((now + HELD_S, held))
            self._held_count += held
        return Grant(count + soon, held, 0)

    def _lose_idle_content(self, now: float) -> None:
        share = self._pledges.share
        idle_s = now - self._asked_at
        self._asked_at = now
        if share >= 0.5 or not share or self.burst * share >= 1.0:
            # At most two allocators have half of the share.
            return
        if idle_s * self.rate_per_s * share > IDLE_TOKENS:
            self._level = self._rng.random()

    def _held_room(self, bounds: QuotaBounds, now: float) -> int:
        while self._held and self._held[0][0] <= now:
            self._held_count -= self._held.popleft()[1]
        limit = bounds.max_held(self.rate_per_s, self.burst) * self._pledges.share
        return int(limit) - self._held_count

    def _wait_ms(self, rate_per_s: float, now: float) -> int:
        """Return when a denied node may ask again; each one is given its own time."""
        if rate_per_s <= 0.0:
            has_begun = self._pledges.filled_s > 0.0
            wait_s = NO_SHARE_WAIT_S if has_begun else START_WAIT_S
            return math.ceil(self._rng.uniform(*wait_s) * 1000)
        if self._waited_share != self._pledges.share:
            self._waited_share = self._pledges.share
            self._next_token_at = now
        missing = max(0.0, 1.0 - self._level)
        latest_at = now + max(MAX_WAIT_S, missing / self.rate_per_s)
        first_at = now + missing / rate_per_s
        at = min(latest_at, max(first_at, self._next_token_at))
        self._next_token_at = at + 1.0 / (NODES_PER_TOKEN * rate_per_s)
        return max(1, math.ceil((at - now) * 1000))
