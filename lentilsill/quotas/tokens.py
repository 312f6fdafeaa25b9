"""Tokens of one organisation that a node has been granted."""

import math
from collections import deque

from lentilsill.documents import Quota

from .bounds import HELD_S
from .messages import Ask, Grant

__all__ = ["OrganisationTokens"]

# Tokens are requested ahead for the calls of this time.
AHEAD_S = 0.2
# Time constant of the moving average of an organisation's calls a second.
RATE_TIME_S = 1.0
# A token is held for an organisation that has made a call within this time.
HOLD_AFTER_USE_S = 10.0
# An allocator that has handed out all tokens to be held is asked again after this time.
HOLD_RETRY_S = 5.0
# A call whose token comes within this time waits for it instead of being refused.
SHORT_WAIT_S = 0.05
# Callers that are refused in one denial are told times that are spread over this time
# at most. The denied node is given the time of one token, so if all of them came back
# then, they would be refused again.
MAX_SPREAD_S = 0.5


class OrganisationTokens:
    """Tokens, denial and recent use of one organisation at a node.

    Times are in seconds of a clock that counts suspended time. `waiting` is the number
    of calls that wait for a token.
    """

    __slots__ = (
        "_asked",
        "_held",
        "_hold_at",
        "_rate",
        "_refused",
        "_soon",
        "_taken",
        "_used_at",
        "denied_until",
        "name",
        "quota",
        "shard",
        "waiting",
    )

    def __init__(self, name: str, quota: Quota, shard: int) -> None:
        self.name = name
        self.quota = quota
        self.shard = shard
        self.waiting = 0
        self.denied_until = -math.inf
        # Calls refused since the last reply.
        self._refused = 0
        # Rows of [time of expiry, tokens].
        self._soon: deque[list[float]] = deque()
        self._held: deque[list[float]] = deque()
        self._taken: deque[float] = deque()
        self._hold_at = -math.inf
        self._rate = 0.0
        self._used_at = -math.inf
        # Tokens that requests without a reply ask for: needed, soon, held.
        self._asked = [0, 0, 0]

    def take(self, now: float) -> bool:
        """Take a token for a call; return False if there is none."""
        elapsed_s = now - self._used_at
        decay = math.exp(-elapsed_s / RATE_TIME_S) if elapsed_s < 10.0 else 0.0
        self._rate = self._rate * decay + 1.0 / RATE_TIME_S
        self._used_at = now
        return self.take_for_waiting(now)

    def take_for_waiting(self, now: float) -> bool:
        """Take a token for a call that `take` has counted already."""
        for lots in (self._soon, self._held):
            _drop_expired(lots, now)
            if lots:
                lots[0][1] -= 1
                self._taken.append(lots[0][0])
                if not lots[0][1]:
                    lots.popleft()
                while self._taken[0] <= now:
                    self._taken.popleft()
                return True
        return False

    def give_back(self, now: float) -> None:
        """Return the token of a call that was not run, for the rest of its validity.

        It is not known which token the call had; the oldest one counts.
        """
        while self._taken and self._taken[0] <= now:
            self._taken.popleft()
        if self._taken:
            self._soon.appendleft([self._taken.popleft(), 1])

    def add(
        self, ask: Ask, grant: Grant, sent_at: float, grant_s: float, now: float
    ) -> None:
        """Add the tokens granted for a request that was sent at `sent_at`."""
        if ask.held and not grant.held:
            self._hold_at = now + HOLD_RETRY_S
        if grant.granted:
            self._soon.append([sent_at + grant_s, grant.granted])
        if grant.held:
            self._held.append([sent_at + HELD_S, grant.held])
        self.denied_until = now + grant.wait_ms / 1000 if grant.wait_ms else -math.inf
        self._refused = 0

    def refuse(self, until: float, now: float) -> float:
        """Return the seconds after which the caller of a refused call may come back.

        The first one may do so at `until`, the others later, at the quota's rate.
        """
        rate = self.quota.rate_per_s
        spread_s = min(MAX_SPREAD_S, self._refused / rate) if rate > 0 else MAX_SPREAD_S
        self._refused += 1
        return until - now + spread_s

    def kept_waiting(self, now: float) -> int:
        """Return how many of the calls that wait go on doing so after a denial.

        A denied node is given the time of one token.
        """
        return 1 if self.denied_until - now <= SHORT_WAIT_S else 0

    def set_quota(self, quota: Quota) -> None:
        """Apply another quota; tokens of one that was higher are dropped.

        A denial ends with the quota that it was for.
        """
        old, self.quota = self.quota, quota
        if quota != old:
            self.denied_until = -math.inf
        if quota.rate_per_s < old.rate_per_s or quota.burst < old.burst:
            self._soon.clear()
            self._held.clear()
            self._taken.clear()

    def is_recent(self, now: float) -> bool:
        """Return whether the organisation has made a call recently."""
        return now - self._used_at < HOLD_AFTER_USE_S

    def is_low(self, now: float) -> bool:
        """Return whether tokens should be requested before the next call."""
        return not any(self._asked) and any(self._missing(now))

    def is_running_out(self, now: float) -> bool:
        """Return whether the tokens that calls use up soon should be requested."""
        return self._missing(now)[0] > 0

    def make_ask(self, now: float) -> Ask | None:
        """Return the request for the tokens that are missing, or None."""
        if now < self.denied_until:
            return None
        needed = max(0, self.waiting - self._asked[0])
        soon, held = (0, 0) if self._asked[1] or self._asked[2] else self._missing(now)
        if not (needed or soon or held):
            return None
        for i, count in enumerate((needed, soon, held)):
            self._asked[i] += count
        quota = self.quota
        return Ask(self.name, quota.rate_per_s, quota.burst, needed, soon, held)

    def end_ask(self, ask: Ask) -> None:
        """Record that a request was answered or is given up."""
        for i, count in enumerate((ask.needed, ask.soon, ask.held)):
            self._asked[i] -= count

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of the organisation at this node."""
        return {
            "name": self.name,
            "rate_per_s": self.quota.rate_per_s,
            "burst": self.quota.burst,
            "tokens": sum(int(n) for at, n in (*self._soon, *self._held) if at > now),
            "waiting": self.waiting,
            "denied_ms": max(0, round((self.denied_until - now) * 1000))
            if now < self.denied_until
            else 0,
        }

    def _missing(self, now: float) -> tuple[int, int]:
        """Return the numbers of tokens to request ahead, soon to be used and held."""
        if now < self.denied_until or not self.is_recent(now):
            return 0, 0
        rate = self._rate * math.exp(-(now - self._used_at) / RATE_TIME_S)
        target = int(rate * AHEAD_S)
        if target:
            _drop_expired(self._soon, now)
            have = sum(int(lot[1]) for lot in self._soon)
            return (target - have, 0) if 2 * have <= target else (0, 0)
        _drop_expired(self._held, now)
        return 0, 0 if self._held or now < self._hold_at else 1


def _drop_expired(lots: deque[list[float]], now: float) -> None:
    while lots and lots[0][0] <= now:
        lots.popleft()
