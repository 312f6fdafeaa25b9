"""Policies that the load experiment compares."""

from collections import defaultdict
from collections.abc import Collection
from random import Random
from typing import Any

import xxhash

from lentilsill.routing import Candidate, EvenSelector, Selector
from lentilsill.routing.even import MIN_EVEN_FOUND_SHARE
from lentilsill.routing.load import DEFAULT_PROFILE, CallProfile

from .load_simulation import Call, LoadSimulation, Policy, Upstream

__all__ = ["POLICIES", "EvenPolicy"]

SUBSET_SIZE = 5
CREDIT_S = 0.2
MIN_FREE_SHARE = 0.05


class EvenPolicy(Policy):
    """The policy of `calls.even_load`."""

    name = "even"
    min_found_share = MIN_EVEN_FOUND_SHARE
    probes_other_domains = True
    uses_pace = reports_busy_share = True

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        return EvenSelector(domain, rng)


class _LocalEvenPolicy(EvenPolicy):
    """As `EvenPolicy`, without probes of other domains."""

    name = "even local"
    probes_other_domains = False

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        selector = EvenSelector(domain, rng)
        selector._crossing_limit = lambda *args: 0.0  # type: ignore[method-assign]
        return selector


class _RandomSelector(Selector):
    """Chooses among all usable candidates, each with the same probability."""

    def _best_of_two(self, group, now, wall_ms, tried, is_strict, profile):
        usable = [c for c in group if self._is_usable(c, now, tried, is_strict)]
        return self._rng.choice(usable) if usable else None


class _RandomPolicy(Policy):
    name = "random"

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        return _RandomSelector(domain, rng)


class _FreeShareSelector(EvenSelector):
    """Chooses in proportion to the free capacity, estimated as `EvenSelector` does."""

    def _best_of_two(self, group, now, wall_ms, tried, is_strict, profile):
        usable = [c for c in group if self._is_usable(c, now, tried, is_strict)]
        if not usable:
            return None
        weights = [
            max(MIN_FREE_SHARE, 1.0 - self.busy_share(c, now)) * c.slots for c in usable
        ]
        return self._rng.choices(usable, weights)[0]


class _FreeSharePolicy(EvenPolicy):
    name = "free share"

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        return _FreeShareSelector(domain, rng)


class _OldReportSelector(EvenSelector):
    """Takes the busy share of a report as that of now."""

    def _estimate(self, candidate, load, report, average, now):
        return report.busy_share


class _OldReportPolicy(EvenPolicy):
    name = "old reports"

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        return _OldReportSelector(domain, rng)


class _SubsetSelector(EvenSelector):
    """Uses a few upstreams of the domain, chosen by hash, and knows them better."""

    node = ""

    def _exclude_ejected(self, pool, now):
        super()._exclude_ejected(pool, now)
        by_rank = sorted(
            pool.local,
            key=lambda c: xxhash.xxh3_64_intdigest(
                f"{self.node}/{c.upstream}".encode()
            ),
        )
        pool.local = by_rank[:SUBSET_SIZE]
        pool.local_names = frozenset(c.upstream for c in pool.local)


class _SubsetPolicy(EvenPolicy):
    name = "subsets"

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        selector = _SubsetSelector(domain, rng)
        selector.node = str(len(simulation.selectors))
        return selector


class _CreditSelector(Selector):
    """Uses free slots that were offered with answers, the newest first.

    As with idle destinations that pull work, each free slot is offered to one node.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        super().__init__(domain, rng)
        self.credits: dict[str, list[tuple[float, str]]] = defaultdict(list)

    def pick(
        self,
        service: str,
        upstream_set: str,
        now: float,
        wall_ms: int,
        tried: Collection[str] = (),
        profile: CallProfile = DEFAULT_PROFILE,
        probed: Collection[str] = (),
        is_probing: bool = False,
    ) -> Candidate | None:
        offers = self.credits[service]
        local = {
            c.upstream: c for c in self._fresh_pool(service, upstream_set, now).local
        }
        while offers:
            expires_at, upstream = offers.pop()
            if expires_at < now:
                offers.clear()
            elif upstream in local and upstream not in (*tried, *probed):
                return local[upstream]
        return super().pick(
            service, upstream_set, now, wall_ms, tried, profile, probed, is_probing
        )


class _CreditPolicy(Policy):
    name = "credits"

    def __init__(self) -> None:
        self._offers: dict[str, list[float]] = defaultdict(list)

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        return _CreditSelector(domain, rng)

    def describe(self, upstream: Upstream, call: Call, now: float) -> Any:
        offers = [at for at in self._offers[upstream.name] if at > now]
        free = upstream.queue.slots - upstream.queue.call_count
        has_offer = len(offers) < free
        if has_offer:
            offers.append(now + CREDIT_S)
        self._offers[upstream.name] = offers
        return has_offer

    def learn(self, selector: Any, call: Call, extra: Any, now: float) -> None:
        if extra:
            offers = selector.credits[call.service.name]
            offers.append((now + CREDIT_S, call.upstream))


class _PerfectSelector(Selector):
    """Knows the calls at all upstreams, and on their way there, at this moment.

    A call crosses when that lowers the busy share of its upstream by more than
    `cross_margin`.
    """

    cross_margin = 0.0
    upstreams: dict[str, Upstream] = {}

    def pick(
        self,
        service: str,
        upstream_set: str,
        now: float,
        wall_ms: int,
        tried: Collection[str] = (),
        profile: CallProfile = DEFAULT_PROFILE,
        probed: Collection[str] = (),
        is_probing: bool = False,
    ) -> Candidate | None:
        def busy(candidate: Candidate) -> tuple[float, float]:
            upstream = self.upstreams[candidate.upstream]
            calls = upstream.queue.call_count + upstream.on_the_way
            return calls / upstream.queue.slots, upstream.host.pace(now)

        pool = self._fresh_pool(service, upstream_set, now)
        local, remote = (
            min((c for c in g if c.upstream not in tried), key=busy, default=None)
            for g in (pool.local, pool.remote)
        )
        if local is None or remote is None:
            return local or remote
        is_better = busy(remote)[0] + self.cross_margin < busy(local)[0]
        return remote if is_better else local


class _PerfectPolicy(Policy):
    name = "perfect"
    max_probes = 0
    cross_margin = 0.0

    def make_selector(
        self, domain: str, rng: Random, simulation: LoadSimulation
    ) -> Selector:
        selector = _PerfectSelector(domain, rng)
        selector.upstreams = simulation.upstreams
        selector.cross_margin = self.cross_margin
        return selector


class _PerfectSparingPolicy(_PerfectPolicy):
    name = "perfect sparing"
    cross_margin = 0.5


class _PerfectLocalPolicy(_PerfectPolicy):
    name = "perfect local"
    cross_margin = float("inf")


POLICIES: dict[str, type[Policy]] = {
    policy.name: policy
    for policy in (
        Policy,
        _RandomPolicy,
        _FreeSharePolicy,
        _OldReportPolicy,
        _SubsetPolicy,
        _CreditPolicy,
        _LocalEvenPolicy,
        EvenPolicy,
        _PerfectLocalPolicy,
        _PerfectSparingPolicy,
        _PerfectPolicy,
    )
}
