"""Deployments and their load for the simulation of the placement of calls."""

import bisect
import math
import random
from dataclasses import dataclass, replace

__all__ = ["DEPLOYMENTS", "Deployment", "HostSpeed", "Kind", "ServiceLoad"]

# A cold upstream takes this multiple of the usual time for `COLD_S`.
COLD_FACTOR = 3.0
COLD_S = 3.0


@dataclass(frozen=True)
class Kind:
    """Calls of one kind; times are in seconds.

    `spread` is the sigma of the log-normal service times. `share` is the kind's part
    of the slot time that callers need at its service; it is 0 for calls that only
    running calls make. A call makes a call of the kind `inner` with the probability
    `inner_share` (`inner` is its service and name), and holds its slot meanwhile.
    """

    name: str
    share: float
    service_time_s: float
    objective_s: float
    deadline_s: float
    spread: float = 0.5
    priority: int = 1
    inner: str = ""
    inner_share: float = 0.0


@dataclass(frozen=True)
class ServiceLoad:
    """A service with `upstreams` upstreams of `slots` slots, and its kinds of call."""

    name: str
    upstreams: int
    slots: int
    kinds: tuple[Kind, ...]


@dataclass(frozen=True)
class Deployment:
    """Hosts, services and the load on them.

    `load` is the part of the slots' time that the calls need on average, at the usual
    pace. Demand of each domain varies by `wave` around its mean, with `wave_s` as the
    period and another phase in each domain. Hosts are shared: for `shared_share` of
    the time, in spells of `spell_s` on average, work takes `shared_factor` as long.
    At `cold_at_s`, `cold_count` upstreams of each service become cold, and
    `slow_count` others take three times as long for the remainder.
    """

    name: str
    domains: int
    cross_domain_s: float
    services: tuple[ServiceLoad, ...]
    load: float
    wave: float = 0.0
    wave_s: float = 15.0
    shared_share: float = 0.0
    shared_factor: float = 2.5
    spell_s: float = 0.6
    slowest: float = 0.5
    fastest: float = 1.6
    cold_at_s: float = 6.0
    cold_count: int = 1
    slow_count: int = 1

    def with_load(self, load: float) -> "Deployment":
        """Return the same deployment with another load."""
        return replace(self, load=load)

    def demand(self, domain: int, now: float) -> float:
        """Return the demand of a domain relative to its mean."""
        phase = now / self.wave_s + domain / self.domains
        return 1.0 + self.wave * math.sin(2 * math.pi * phase)

    def calls_per_s(self, service: ServiceLoad, kind: Kind, speed: float) -> float:
        """Return the mean rate of a kind's calls; `speed` is the sum of the hosts'."""
        shared = 1 + self.shared_share * (self.shared_factor - 1)
        work_per_s = self.load * service.slots * speed / shared
        return kind.share * work_per_s / kind.service_time_s


class HostSpeed:
    """Speed of a host over time, as a multiple of the usual one."""

    def __init__(
        self,
        deployment: Deployment,
        duration_s: float,
        rng: random.Random,
        is_cold: bool,
        is_slow: bool,
    ) -> None:
        d = deployment
        self.base = rng.uniform(d.slowest, d.fastest)
        times, paces = [0.0], [1.0]
        now, is_shared = 0.0, rng.random() < d.shared_share
        while d.shared_share and now < duration_s + 60:
            times.append(now)
            paces.append(d.shared_factor if is_shared else 1.0)
            usual_s = d.spell_s * (1 - d.shared_share) / d.shared_share
            now += rng.expovariate(1 / (d.spell_s if is_shared else usual_s))
            is_shared = not is_shared
        self._times, self._paces = times, paces
        self._cold_at = d.cold_at_s if is_cold else math.inf
        self._slow_at = d.cold_at_s if is_slow else math.inf

    def pace(self, now: float) -> float:
        """Return the time that work takes now, relative to the host's usual time."""
        return self._paces[bisect.bisect_right(self._times, now) - 1]

    def end(self, now: float, work_s: float) -> float:
        """Return when work that starts now ends; `work_s` is for speed 1."""
        factor = 1.0
        if self._cold_at <= now < self._cold_at + COLD_S or now >= self._slow_at:
            factor = COLD_FACTOR
        remaining_s = work_s * factor / self.base
        index = bisect.bisect_right(self._times, now) - 1
        while index + 1 < len(self._times):
            done_s = (self._times[index + 1] - now) / self._paces[index]
            if done_s >= remaining_s:
                break
            remaining_s -= done_s
            now = self._times[index + 1]
            index += 1
        return now + remaining_s * self._paces[index]


def _kinds(scale: float, inner: str = "") -> tuple[Kind, ...]:
    share = 0.25 if inner else 0.0
    return (
        Kind("read", 0.6, 0.08 * scale, 0.3, 1.0, inner=inner, inner_share=share),
        Kind("write", 0.4, 0.2 * scale, 1.0, 1.5, priority=2),
    )


# The figures follow section 0 of docs/load-features.md; service times, kinds and the
# mean load, which it leaves open, are chosen so that about a thousand calls a second
# arrive.
def _kinds_with_waits(other: str) -> tuple[Kind, ...]:
    """Return kinds whose calls wait for slots of another service, and vice versa."""
    chain = Kind(
        "chain", 0.0, 0.05, 0.2, 0.5, 0.5, 0, inner=f"{other}/leaf", inner_share=0.3
    )
    leaf = Kind("leaf", 0.0, 0.03, 0.1, 0.3, 0.5, 0)
    return (*_kinds(2.0, f"{other}/chain"), chain, leaf)


DEPLOYMENTS = {
    "C": Deployment(
        "C",
        4,
        0.0014,
        (
            ServiceLoad("front", 52, 3, _kinds(1.0)),
            ServiceLoad("back", 14, 3, _kinds(1.0)),
        ),
        load=0.75,
        wave=0.2,
        shared_share=0.0,
    ),
    "D": Deployment(
        "D",
        3,
        0.0009,
        (
            ServiceLoad("first", 22, 9, _kinds_with_waits("second")),
            ServiceLoad("second", 15, 9, _kinds_with_waits("first")),
            ServiceLoad("third", 22, 9, _kinds(2.0)),
        ),
        load=0.55,
        wave=0.55,
        shared_share=0.15,
    ),
}
