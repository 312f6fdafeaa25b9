"""Selection of an upstream from an upstream set."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from random import Random
from typing import Any

from lentilsill.membership import NodeRecord
from lentilsill.quarantine import choose_trial_place
from lentilsill.versioning import Snapshot

from .candidates import Candidate, build_candidates
from .load import DEFAULT_PROFILE, CallProfile, TypicalTime, UpstreamLoad
from .pool import Pool
from .versions import VersionFilter, filter_candidates

__all__ = ["Selector"]

SLOW_START_S = 4.0
# During slow start an upstream gets at least a quarter of its share, to warm up.
MIN_SLOW_START_WEIGHT = 0.25
FAILURES_TO_EJECT = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# After refusing a call for overload, an upstream is avoided for this time, or for
# the time that the refusal states.
REFUSAL_HOLD_S = 0.2
MAX_REFUSAL_HOLD_S = 0.5
# Latency objective assumed for routes that have none.
DEFAULT_OBJECTIVE_MS = 100.0
# A local upstream is too slow when its expected time exceeds the objective times a
# factor: `SLOW_FACTOR` while few calls of the kind are late, `SLOW_FACTOR_WHEN_LATE`
# when many are. Expected times are averages, and the actual times vary widely when many
# calls are late. Calling another domain sooner than needed costs only bytes.
SLOW_FACTOR = 1.2
SLOW_FACTOR_WHEN_LATE = 0.6
LOW_LATE_SHARE = 0.1
HIGH_LATE_SHARE = 0.3
# Weight of the newest call in the moving average of the share of late calls.
LATE_WEIGHT = 0.05
# An upstream of another domain is chosen when its expected time is below this ratio
# of the local one: a call to another domain costs latency, and bytes between domains.
MAX_REMOTE_TIME_RATIO = 0.5
# An upstream is better than another one when its failure share is below this ratio
# of the other's.
MAX_FAILURE_SHARE_RATIO = 0.5
# Limit on the kinds of call, and on the pairs of domain and kind, with stored averages.
MAX_TRACKED_KINDS = 1024


class Selector:
    """Selects upstreams by expected response time and prefers the local domain.

    It takes the better of two random candidates (Mitzenmacher 2001). Candidate lists
    are built once per change of the snapshot or the members. Times are in seconds of
    one monotonic clock. With `has_busy_reports` it chooses as `EvenSelector` does.
    """

    has_busy_reports = False

    def __init__(self, domain: str, rng: Random) -> None:
        self.domain = domain
        self._rng = rng
        self._snapshot: Snapshot | None = None
        self._nodes: tuple[NodeRecord, ...] = ()
        self._nodes_by_service: dict[str, list[NodeRecord]] = {}
        self._suspects: frozenset[str] = frozenset()
        self._pools: dict[tuple[str, str, VersionFilter | None], Pool] = {}
        self._loads: dict[str, UpstreamLoad] = {}
        self._domains: dict[str, str] = {}
        # Average of the times that upstreams report, by domain and kind of call.
        self._typical_times: dict[tuple[str, str], TypicalTime] = {}
        # Share of calls answered after their objective, by kind of call.
        self._late_share: dict[str, float] = {}

    def update(
        self,
        snapshot: Snapshot,
        nodes: Iterable[NodeRecord],
        suspects: Iterable[str] = (),
    ) -> None:
        """Replace the snapshot, the nodes and the names of the suspected nodes."""
        self._snapshot = snapshot
        self._nodes = tuple(nodes)
        self._nodes_by_service = defaultdict(list)
        self._suspects = frozenset(suspects)
        self._pools.clear()
        known: set[str] = set()
        # This index saves a search through 4,600 nodes for each of 120 services.
        for node in self._nodes:
            known.update(u.upstream for u in node.upstreams)
            self._domains.update((u.upstream, node.domain) for u in node.upstreams)
            for service in {u.service for u in node.upstreams}:
                self._nodes_by_service[service].append(node)
        for upstream, load in list(self._loads.items()):
            if upstream not in known and load.outstanding <= 0:
                del self._loads[upstream]
        self._domains = {u: d for u, d in self._domains.items() if u in known}

    def has_candidates(self, service: str, upstream_set: str) -> bool:
        """Return whether any upstream of the set accepts calls."""
        return bool(self._pool(service, upstream_set).candidates)

    def is_candidate(self, upstream: str) -> bool:
        """Return whether the upstream accepts calls, as far as this node knows."""
        return any(
            candidate.upstream == upstream
            for pool in self._pools.values()
            for candidate in pool.candidates
        )

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
        versions: VersionFilter | None = None,
    ) -> Candidate | None:
        """Choose an upstream that is not in `tried`, or return None.

        The better of two random candidates of the local domain is compared with the
        better of two of the other domains. The latter is chosen only when there is no
        local one, or when the local one is too slow for the objective and the other is
        expected to answer much sooner. An upstream that has just refused a call is
        chosen only when there is no other.

        `probed` names upstreams that had no free slot a moment ago. With `is_probing`,
        the local candidate is one that has not been probed yet. Otherwise it is the
        best of the probed ones, if any, because their reports are the newest.
        `versions` restricts the choice to some versions of the service.
        """
        pool = self._fresh_pool(service, upstream_set, now, versions)
        local = pool.local
        if is_probing:
            tried = {*tried, *probed}
        elif probed:
            local = [c for c in local if c.upstream in probed] or local
        objective_ms = profile.objective_ms or DEFAULT_OBJECTIVE_MS
        for is_strict in (True, False):
            if probed and not is_probing:
                usable = [c for c in local if self._is_usable(c, now, tried, is_strict)]
                best_local = self._best(usable, now, wall_ms, profile)
            else:
                best_local = self._best_of_two(
                    local, now, wall_ms, tried, is_strict, profile
                )
            if best_local is not None:
                if is_probing:
                    return best_local
                local_ms = self._score(best_local, now, wall_ms, profile)
                if local_ms <= self._slow_factor(profile.kind) * objective_ms:
                    return best_local
            best_remote = self._best_of_two(
                pool.remote, now, wall_ms, tried, is_strict, profile
            )
            if best_local is None or best_remote is None:
                if best_local is not None or best_remote is not None:
                    return best_local or best_remote
                continue
            remote_ms = self._score(best_remote, now, wall_ms, profile)
            return (
                best_remote
                if remote_ms < MAX_REMOTE_TIME_RATIO * local_ms
                else best_local
            )
        return None

    def pick_for_trial(
        self,
        service: str,
        upstream_set: str,
        now: float,
        fingerprint: str,
        tried: Collection[str] = (),
        versions: VersionFilter | None = None,
    ) -> Candidate | None:
        """Choose the upstream on which a suspected request runs, in any domain."""
        pool = self._fresh_pool(service, upstream_set, now, versions)
        usable = {
            candidate.upstream: candidate
            for candidate in (*pool.local, *pool.remote)
            if candidate.upstream not in tried
        }
        chosen = choose_trial_place(fingerprint, usable)
        return None if chosen is None else usable[chosen]

    def record_lateness(self, kind: str, is_late: bool) -> None:
        """Record whether a call of the kind was answered after its objective."""
        share = self._late_share.get(kind)
        if share is None:
            if len(self._late_share) >= MAX_TRACKED_KINDS:
                del self._late_share[next(iter(self._late_share))]
            share = 0.0
        self._late_share[kind] = share + LATE_WEIGHT * (is_late - share)

    def _slow_factor(self, kind: str) -> float:
        share = self._late_share.get(kind, 0.0)
        late_weight = min(
            1.0, max(0.0, (share - LOW_LATE_SHARE) / (HIGH_LATE_SHARE - LOW_LATE_SHARE))
        )
        return SLOW_FACTOR - late_weight * (SLOW_FACTOR - SLOW_FACTOR_WHEN_LATE)

    def local_upstreams(
        self,
        service: str,
        upstream_set: str,
        now: float,
        versions: VersionFilter | None = None,
    ) -> frozenset[str]:
        """Return the upstreams of the local domain that accept calls."""
        return self._fresh_pool(service, upstream_set, now, versions).local_names

    def has_lower_failure_share(self, upstream: str, other: str, now: float) -> bool:
        """Return whether `upstream` fails calls clearly less often than `other`.

        When all upstreams fail equally often, the cause is a service that they depend
        on, and a retry would only add to its load.
        """
        share = self._load(upstream, now).failure_share
        return share < MAX_FAILURE_SHARE_RATIO * self._load(other, now).failure_share

    def record_start(self, upstream: str, now: float) -> None:
        """Count a call to the upstream as outstanding."""
        self._load(upstream, now).outstanding += 1

    def record_end(
        self, upstream: str, now: float, has_failed: bool, elapsed_ms: float = 0.0
    ) -> None:
        """Record the end of a call; consecutive failures eject the upstream."""
        load = self._load(upstream, now)
        load.outstanding -= 1
        load.add_result(has_failed, elapsed_ms)
        if not has_failed:
            load.consecutive_failures = 0
            if now >= load.ejected_until + EJECTION_S:
                load.ejections = 0
            return
        load.consecutive_failures += 1
        if load.consecutive_failures >= FAILURES_TO_EJECT:
            load.consecutive_failures = 0
            ejection_s = min(MAX_EJECTION_S, EJECTION_S * 2**load.ejections)
            load.ejections = min(load.ejections + 1, 8)
            load.ejected_until = now + ejection_s
            for pool in self._pools.values():
                pool.valid_until = float("-inf")

    def record_refusal(self, upstream: str, now: float, hold_s: float = 0.0) -> None:
        """Prefer other upstreams for a short time after a refusal."""
        hold_s = min(hold_s or REFUSAL_HOLD_S, MAX_REFUSAL_HOLD_S)
        self._load(upstream, now).refusing_until = now + hold_s

    def record_report(
        self,
        upstream: str,
        expected_ms: float,
        now: float,
        kind: str = "",
        busy_percent: int = -1,
    ) -> None:
        """Record a load report: how long a new call is expected to take there.

        `busy_percent` is the number of calls there in percent of the slots, or -1. This
        selection doesn't use it.
        """
        self._load(upstream, now).record_report(expected_ms, now, kind)
        key = (self._domains.get(upstream, ""), kind)
        typical = self._typical_times.get(key)
        if typical is None:
            if len(self._typical_times) >= MAX_TRACKED_KINDS:
                del self._typical_times[next(iter(self._typical_times))]
            typical = self._typical_times[key] = TypicalTime()
        typical.add(expected_ms, now)

    def dump(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the state of each upstream for the state dump."""
        return {name: load.dump(now) for name, load in self._loads.items()}

    def _fresh_pool(
        self,
        service: str,
        upstream_set: str,
        now: float,
        versions: VersionFilter | None,
    ) -> Pool:
        pool = self._pool(service, upstream_set, versions)
        if now >= pool.valid_until:
            self._exclude_ejected(pool, now)
        return pool

    def _pool(
        self, service: str, upstream_set: str, versions: VersionFilter | None = None
    ) -> Pool:
        key = (service, upstream_set, versions)
        pool = self._pools.get(key)
        if pool is None:
            candidates: tuple[Candidate, ...] = ()
            document = self._snapshot and self._snapshot.documents.get(service)
            if document:
                candidates = build_candidates(
                    document,
                    upstream_set,
                    self._nodes_by_service.get(service, ()),
                    self._suspects,
                )
            if versions is not None:
                candidates = filter_candidates(candidates, versions)
            pool = self._pools[key] = Pool(candidates)
        return pool

    def _exclude_ejected(self, pool: Pool, now: float) -> None:
        """Exclude the ejected candidates, at most half of the set."""
        ejected = sorted(
            (load.ejected_until, c.upstream)
            for c in pool.candidates
            if now < (load := self._load(c.upstream, now)).ejected_until
        )
        ejected = ejected[-(len(pool.candidates) // 2) :] if ejected else []
        if len(pool.candidates) < 2:
            ejected = []
        ejected_names = {upstream for _, upstream in ejected}
        remaining = [c for c in pool.candidates if c.upstream not in ejected_names]
        pool.local = [c for c in remaining if c.domain == self.domain]
        pool.local_names = frozenset(c.upstream for c in pool.local)
        pool.remote = [c for c in remaining if c.domain != self.domain]
        pool.valid_until = ejected[0][0] if ejected else float("inf")

    def _best_of_two(
        self,
        group: list[Candidate],
        now: float,
        wall_ms: int,
        tried: Collection[str],
        is_strict: bool,
        profile: CallProfile,
    ) -> Candidate | None:
        count = len(group)
        if not count:
            return None
        if count > 1 and is_strict:
            i = int(self._rng.random() * count)
            j = int(self._rng.random() * (count - 1))
            pair = [group[i], group[j + (j >= i)]]
            if all(self._is_usable(c, now, tried, is_strict) for c in pair):
                return self._best(pair, now, wall_ms, profile)
        usable = [c for c in group if self._is_usable(c, now, tried, is_strict)]
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        return self._best(usable, now, wall_ms, profile)

    def _is_usable(
        self, candidate: Candidate, now: float, tried: Collection[str], is_strict: bool
    ) -> bool:
        """Return whether to consider the candidate.

        With `is_strict`, an upstream that has just refused a call is not usable.
        """
        if candidate.upstream in tried:
            return False
        if not is_strict:
            return True
        load = self._loads.get(candidate.upstream)
        return load is None or now >= load.refusing_until

    def _best(
        self, group: list[Candidate], now: float, wall_ms: int, profile: CallProfile
    ) -> Candidate | None:
        if len(group) < 2:
            return group[0] if group else None
        return min(group, key=lambda c: self._score(c, now, wall_ms, profile))

    def _score(
        self, candidate: Candidate, now: float, wall_ms: int, profile: CallProfile
    ) -> float:
        load = self._load(candidate.upstream, now)
        typical = self._typical_times.get((candidate.domain, profile.kind))
        typical_ms = typical.mean_at(now) if typical is not None else 0.0
        expected_ms = load.expected_ms(candidate.slots, now, profile.kind, typical_ms)
        # Clocks differ between nodes, so the time since the upstream was first seen
        # also limits the length of the slow start.
        age_s = max((wall_ms - candidate.ready_at_ms) / 1000, now - load.first_seen)
        start_weight = min(1.0, max(MIN_SLOW_START_WEIGHT, age_s / SLOW_START_S))
        return expected_ms / start_weight

    def _load(self, upstream: str, now: float) -> UpstreamLoad:
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad(now)
        return load
