"""Shares of an upstream's slot time for the organisations that compete for it."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any

from .plan import WaitingCall

__all__ = ["FairShares", "cost_s", "find_level"]

# Slot time counts with a weight that decays by this time constant. It spans several
# calls of each organisation at an upstream of three slots, and is short enough that an
# organisation is soon served again after a burst.
WINDOW_S = 4.0
# An organisation without a call for this long takes no part in the division.
ACTIVE_S = 10.0
# Bound on the memory and on the time of a division. More organisations than this can't
# have a notable share of one upstream within `ACTIVE_S`.
MAX_ORGANISATIONS = 256
# Slot time of a call of which nothing is known yet, because none has ended.
UNKNOWN_COST_S = 0.1


def cost_s(service_time_s: float) -> float:
    """Return the slot time in seconds that a call is expected to cost."""
    return service_time_s or UNKNOWN_COST_S


@dataclass(slots=True)
class _Account:
    """Slot time of one organisation in seconds, decayed.

    `used_s` is the expected time of the calls that were started, corrected when they
    end.
    """

    seen_at: float
    weight: float = 0.0
    used_s: float = 0.0


def find_level(demands: Iterable[tuple[float, float]], total: float) -> float:
    """Return the max-min fair amount for each unit of weight.

    `demands` has the demand and the weight of each competitor. Who demands less than
    level times weight gets all of it, and the others get level times weight, so that
    the amounts add up to `total`. The level is infinite if all demands fit.

    Examples
    --------
    >>> find_level([(1.0, 1.0), (5.0, 1.0), (9.0, 1.0)], 9.0)
    4.0
    >>> find_level([(1.0, 1.0), (5.0, 1.0), (9.0, 3.0)], 9.0)
    2.0
    >>> find_level([(1.0, 1.0)], 2.0)
    inf
    """
    ranked = sorted((demand / weight, demand, weight) for demand, weight in demands)
    weights = sum(weight for _, _, weight in ranked)
    for ratio, demand, weight in ranked:
        if ratio * weights > total:
            return total / weights
        total -= demand
        weights -= weight
    return math.inf


class FairShares:
    """Slot time that organisations demand and use at one upstream.

    The slot time that was used in the last seconds is divided between the organisations
    that were active, max-min fairly by weight. The demand of an organisation is what it
    used and what its waiting calls need. Refused calls are left out: most are offered
    to several upstreams, and would count at each of them.

    An organisation whose demand is within its share is never above it. Another one is
    above its share with those calls for which it has no unused part of the share left.
    Times are in seconds of one monotonic clock.

    Examples
    --------
    >>> shares = FairShares()
    >>> for number in range(9):
    ...     shares.offer("large", 0.0, now=0.0)
    ...     shares.start("large", 1.0, now=0.0)
    >>> shares.offer("small", 0.0, now=0.0)
    >>> calls = [
    ...     WaitingCall(name, 9.0, 9.0, 0, 1.0, 1.0, "", number, 0.0, name)
    ...     for number, name in enumerate(("large", "small", ""))
    ... ]
    >>> shares.find_above(calls, now=0.0)
    frozenset({0})
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        # Time to which the slot times of all accounts are decayed.
        self._decayed_at = -math.inf
        # Slot time for each unit of weight in the last division.
        self._level = math.inf

    def offer(self, organisation: str, weight: float, now: float) -> None:
        """Record an offered call; `weight` is 0 if the organisation has none."""
        if not organisation:
            return
        account = self._accounts.get(organisation)
        if account is None:
            if len(self._accounts) >= MAX_ORGANISATIONS:
                oldest = min(self._accounts.items(), key=lambda item: item[1].seen_at)
                del self._accounts[oldest[0]]
            account = self._accounts[organisation] = _Account(now)
        account.seen_at = now
        account.weight = weight

    def start(self, organisation: str, service_time_s: float, now: float) -> None:
        """Charge a call that starts with its expected time on the slot."""
        account = self._accounts.get(organisation)
        if account is not None:
            self._decay(now)
            account.used_s += service_time_s

    def correct(self, organisation: str, difference_s: float, now: float) -> None:
        """Charge the time that a call took in addition to its expected time."""
        account = self._accounts.get(organisation)
        if account is not None:
            self._decay(now)
            account.used_s = max(0.0, account.used_s + difference_s)

    def find_above(
        self, waiting: Collection[WaitingCall], now: float
    ) -> frozenset[int]:
        """Return the arrival numbers of the calls that are above their share.

        Calls without an organisation never are.
        """
        by_organisation: dict[str, list[WaitingCall]] = defaultdict(list)
        for call in waiting:
            if call.organisation:
                by_organisation[call.organisation].append(call)
        if not by_organisation:
            return frozenset()
        waiting_s = {
            name: sum(cost_s(call.service_time_s) for call in calls)
            for name, calls in by_organisation.items()
        }
        self._forget_inactive(by_organisation, now)
        demands, level = self._divide(waiting_s, now)
        self._level = level
        above: list[int] = []
        for name, calls in by_organisation.items():
            account = self._accounts.get(name)
            if account is None:
                continue
            demand_s, weight = demands[name]
            if demand_s <= level * weight:
                continue
            room_s = level * weight - account.used_s
            # Calls without an organisation may have used all slots. The first call of
            # an organisation is not above its share then.
            is_first = account.used_s == 0.0
            for call in sorted(calls, key=lambda w: (w.objective_at, w.arrival_number)):
                if room_s <= 0 and not is_first:
                    above.append(call.arrival_number)
                is_first = False
                room_s -= cost_s(call.service_time_s)
        return frozenset(above)

    def has_used_share(self, organisation: str) -> bool:
        """Return whether a new call would have been above its share in `find_above`."""
        account = self._accounts.get(organisation)
        if account is None or math.isinf(self._level):
            return False
        weight = account.weight if self._has_weights else 1.0
        return account.used_s >= self._level * weight

    @property
    def _has_weights(self) -> bool:
        return all(account.weight > 0 for account in self._accounts.values())

    def dump(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the accounts for the state dump, the largest users first."""
        demands, level = self._divide({}, now)
        ranked = sorted(self._accounts.items(), key=lambda item: -item[1].used_s)
        return {
            name: {
                "used_s": round(account.used_s, 3),
                "demand_s": round(demands[name][0], 3),
                "share_s": round(min(level, 1e6) * demands[name][1], 3),
            }
            for name, account in ranked
        }

    def _divide(
        self, waiting_s: dict[str, float], now: float
    ) -> tuple[dict[str, tuple[float, float]], float]:
        """Return demand and weight by organisation, and the level of the shares."""
        has_weights = self._has_weights
        demands: dict[str, tuple[float, float]] = {}
        total_s = 0.0
        self._decay(now)
        for name, account in self._accounts.items():
            total_s += account.used_s
            demand_s = account.used_s + waiting_s.get(name, 0.0)
            demands[name] = demand_s, account.weight if has_weights else 1.0
        return demands, find_level(demands.values(), total_s)

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed_s / WINDOW_S)
        for account in self._accounts.values():
            account.used_s *= factor

    def _forget_inactive(self, waiting: Collection[str], now: float) -> None:
        inactive = [
            name
            for name, account in self._accounts.items()
            if now - account.seen_at > ACTIVE_S and name not in waiting
        ]
        for name in inactive:
            del self._accounts[name]
