"""Choice among the upstreams of a set."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lentilsill.membership import NodeRecord
from lentilsill.versioning import Snapshot

from .candidates import Candidate, build_candidates
from .load import ANY_DEMAND, CallProfile, UpstreamLoad, UsualTime

__all__ = ["Selector"]

SLOW_START_S = 4.0
# A cold upstream gets at least a quarter of its share, so that it warms up.
MIN_WARMTH = 0.25
FAILURES_TO_EJECT = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# After a refusal for overload, others are tried first for this time, or for the
# time that the refusal names.
REFUSAL_HOLD_S = 0.2
MAX_REFUSAL_HOLD_S = 0.5
# A route without an objective counts an upstream as busy from here on.
DEFAULT_OBJECTIVE_MS = 100.0
# Expected times are averages: a near upstream counts as too slow above this multiple
# of the objective while few calls of the kind are late, and above the other one when
# many are, as times then spread widely. Crossing sooner than needed costs bytes only.
TOO_SLOW = 1.2
TOO_SLOW_WHEN_LATE = 0.6
FEW_LATE = 0.1
MANY_LATE = 0.3
# Weight of the newest call in the share of late ones.
LATE_WEIGHT = 0.05
# Another domain must be this much faster: crossing costs latency, and bytes between
# domains.
FARTHER_SHARE = 0.5
# Share of another upstream's failures below which one counts as better.
CLEARLY_LESS = 0.5
# Kinds of call, and pairs of domain and kind, of which something is kept.
MAX_USUAL_TIMES = 1024


@dataclass(slots=True)
class _Pool:
    """Candidates of one set, and those not ejected until `valid_until`."""

    candidates: tuple[Candidate, ...]
    local: list[Candidate] = field(default_factory=list)
    remote: list[Candidate] = field(default_factory=list)
    near: frozenset[str] = frozenset()
    valid_until: float = float("-inf")


class Selector:
    """Chooses upstreams by the time that a call is expected to take, near ones first.

    The better of two random candidates is taken (Mitzenmacher 2001). Lists of
    candidates are built once per change of snapshot or members. Times are in
    seconds of one clock that never steps.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        self.domain = domain
        self._rng = rng
        self._snapshot: Snapshot | None = None
        self._nodes: tuple[NodeRecord, ...] = ()
        self._hosts: dict[str, list[NodeRecord]] = {}
        self._suspects: frozenset[str] = frozenset()
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._loads: dict[str, UpstreamLoad] = {}
        self._domains: dict[str, str] = {}
        # By domain and kind of call, what upstreams there usually tell.
        self._usual: dict[tuple[str, str], UsualTime] = {}
        # Share of calls that were answered after their objective, by kind.
        self._late_share: dict[str, float] = {}

    def update(
        self,
        snapshot: Snapshot,
        nodes: Iterable[NodeRecord],
        suspects: Iterable[str] = (),
    ) -> None:
        """Replace what candidates are built from."""
        self._snapshot = snapshot
        self._nodes = tuple(nodes)
        self._hosts = defaultdict(list)
        self._suspects = frozenset(suspects)
        self._pools.clear()
        known: set[str] = set()
        # Without this index each of 120 services would search 4,600 nodes.
        for node in self._nodes:
            known.update(u.upstream for u in node.upstreams)
            self._domains.update((u.upstream, node.domain) for u in node.upstreams)
            for service in {u.service for u in node.upstreams}:
                self._hosts[service].append(node)
        for upstream, load in list(self._loads.items()):
            if upstream not in known and load.outstanding <= 0:
                del self._loads[upstream]
        self._domains = {u: d for u, d in self._domains.items() if u in known}

    def has_candidates(self, service: str, upstream_set: str) -> bool:
        """Whether any upstream of the set may take calls."""
        return bool(self._pool(service, upstream_set).candidates)

    def pick(
        self,
        service: str,
        upstream_set: str,
        now: float,
        wall_ms: int,
        tried: Collection[str] = (),
        demand: CallProfile = ANY_DEMAND,
        asked: Collection[str] = (),
        is_probing: bool = False,
    ) -> Candidate | None:
        """Choose an upstream that is not in `tried`, or None.

        The best of two random candidates of the own domain is compared with the
        best of two of the others, which is taken when it changes what the caller
        gets: an answer within the objective, or one much sooner. An upstream
        that has refused a call a moment ago is chosen only when there is no
        other.

        `asked` names upstreams that had no free slot a moment ago. While the call
        `is_probing`, it gets one of the own domain that has not been asked; after
        that, the best of the asked ones stands for the own domain, as what they
        told is newest.
        """
        pool = self._fresh_pool(service, upstream_set, now)
        local = pool.local
        if is_probing:
            tried = {*tried, *asked}
        elif asked:
            local = [c for c in local if c.upstream in asked] or local
        objective_ms = demand.objective_ms or DEFAULT_OBJECTIVE_MS
        for strict in (True, False):
            if asked and not is_probing:
                usable = [c for c in local if self._usable(c, now, tried, strict)]
                near = self._best(usable, now, wall_ms, demand)
            else:
                near = self._best_of_two(local, now, wall_ms, tried, strict, demand)
            if near is not None:
                if is_probing:
                    return near
                near_ms = self._score(near, now, wall_ms, demand)
                if near_ms <= self._too_slow(demand.kind) * objective_ms:
                    return near
            far = self._best_of_two(pool.remote, now, wall_ms, tried, strict, demand)
            if near is None or far is None:
                if near is not None or far is not None:
                    return near or far
                continue
            far_ms = self._score(far, now, wall_ms, demand)
            return far if far_ms < FARTHER_SHARE * near_ms else near
        return None

    def record_lateness(self, kind: str, is_late: bool) -> None:
        """Take whether a call of the kind was answered after its objective."""
        share = self._late_share.get(kind)
        if share is None:
            if len(self._late_share) >= MAX_USUAL_TIMES:
                del self._late_share[next(iter(self._late_share))]
            share = 0.0
        self._late_share[kind] = share + LATE_WEIGHT * (is_late - share)

    def _too_slow(self, kind: str) -> float:
        share = self._late_share.get(kind, 0.0)
        late = min(1.0, max(0.0, (share - FEW_LATE) / (MANY_LATE - FEW_LATE)))
        return TOO_SLOW - late * (TOO_SLOW - TOO_SLOW_WHEN_LATE)

    def local_upstreams(
        self, service: str, upstream_set: str, now: float
    ) -> frozenset[str]:
        """Give the upstreams of the own domain that may take calls."""
        return self._fresh_pool(service, upstream_set, now).near

    def has_lower_failure_share(self, upstream: str, other: str, now: float) -> bool:
        """Whether `upstream` fails calls clearly less often than `other`.

        Where all fail alike, the cause lies behind them, and a repeated call
        would only add to its load.
        """
        share = self._load(upstream, now).failure_share
        return share < CLEARLY_LESS * self._load(other, now).failure_share

    def record_start(self, upstream: str, now: float) -> None:
        """Count a call as outstanding."""
        self._load(upstream, now).outstanding += 1

    def record_end(
        self, upstream: str, now: float, failed: bool, taken_ms: float = 0.0
    ) -> None:
        """Count the end of a call; failures in a row eject the upstream."""
        load = self._load(upstream, now)
        load.outstanding -= 1
        load.add_result(failed, taken_ms)
        if not failed:
            load.failures = 0
            if now >= load.ejected_until + EJECTION_S:
                load.ejections = 0
            return
        load.failures += 1
        if load.failures >= FAILURES_TO_EJECT:
            load.failures = 0
            length = min(MAX_EJECTION_S, EJECTION_S * 2**load.ejections)
            load.ejections = min(load.ejections + 1, 8)
            load.ejected_until = now + length
            for pool in self._pools.values():
                pool.valid_until = float("-inf")

    def record_refusal(self, upstream: str, now: float, hold_s: float = 0.0) -> None:
        """Prefer others for a short time after a refusal."""
        hold_s = min(hold_s or REFUSAL_HOLD_S, MAX_REFUSAL_HOLD_S)
        self._load(upstream, now).refusing_until = now + hold_s

    def record_report(
        self, upstream: str, expected_ms: float, now: float, kind: str = ""
    ) -> None:
        """Take a load report: how long a new call is expected to take there."""
        self._load(upstream, now).record_report(expected_ms, now, kind)
        key = (self._domains.get(upstream, ""), kind)
        usual = self._usual.get(key)
        if usual is None:
            if len(self._usual) >= MAX_USUAL_TIMES:
                del self._usual[next(iter(self._usual))]
            usual = self._usual[key] = UsualTime()
        usual.add(expected_ms, now)

    def dump(self, now: float) -> dict[str, dict[str, Any]]:
        """Give the state per upstream for the state dump."""
        return {
            upstream: {
                "outstanding": load.outstanding,
                "expected_ms": {
                    kind: round(report.expected_ms, 1)
                    for kind, report in load.reports.items()
                },
                "report_age_s": {
                    kind: round(now - report.at, 3)
                    for kind, report in load.reports.items()
                },
                "failure_share": round(load.failure_share, 3),
                "ejected": now < load.ejected_until,
            }
            for upstream, load in self._loads.items()
        }

    def _fresh_pool(self, service: str, upstream_set: str, now: float) -> _Pool:
        pool = self._pool(service, upstream_set)
        if now >= pool.valid_until:
            self._refresh(pool, now)
        return pool

    def _pool(self, service: str, upstream_set: str) -> _Pool:
        key = (service, upstream_set)
        pool = self._pools.get(key)
        if pool is None:
            candidates: tuple[Candidate, ...] = ()
            document = self._snapshot and self._snapshot.documents.get(service)
            if document:
                candidates = build_candidates(
                    document,
                    upstream_set,
                    self._hosts.get(service, ()),
                    self._suspects,
                )
            pool = self._pools[key] = _Pool(candidates)
        return pool

    def _refresh(self, pool: _Pool, now: float) -> None:
        """Leave out ejected candidates, at most half of the set."""
        ejected = sorted(
            (load.ejected_until, c.upstream)
            for c in pool.candidates
            if now < (load := self._load(c.upstream, now)).ejected_until
        )
        ejected = ejected[-(len(pool.candidates) // 2) :] if ejected else []
        if len(pool.candidates) < 2:
            ejected = []
        out = {upstream for _, upstream in ejected}
        stay = [c for c in pool.candidates if c.upstream not in out]
        pool.local = [c for c in stay if c.domain == self.domain]
        pool.near = frozenset(c.upstream for c in pool.local)
        pool.remote = [c for c in stay if c.domain != self.domain]
        pool.valid_until = ejected[0][0] if ejected else float("inf")

    def _best_of_two(
        self,
        group: list[Candidate],
        now: float,
        wall_ms: int,
        tried: Collection[str],
        strict: bool,
        demand: CallProfile,
    ) -> Candidate | None:
        count = len(group)
        if not count:
            return None
        if count > 1 and strict:
            i = int(self._rng.random() * count)
            j = int(self._rng.random() * (count - 1))
            pair = [group[i], group[j + (j >= i)]]
            if all(self._usable(c, now, tried, strict) for c in pair):
                return self._best(pair, now, wall_ms, demand)
        usable = [c for c in group if self._usable(c, now, tried, strict)]
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        return self._best(usable, now, wall_ms, demand)

    def _usable(
        self, candidate: Candidate, now: float, tried: Collection[str], strict: bool
    ) -> bool:
        if candidate.upstream in tried:
            return False
        if not strict:
            return True
        load = self._loads.get(candidate.upstream)
        return load is None or now >= load.refusing_until

    def _best(
        self, group: list[Candidate], now: float, wall_ms: int, demand: CallProfile
    ) -> Candidate | None:
        if len(group) < 2:
            return group[0] if group else None
        return min(group, key=lambda c: self._score(c, now, wall_ms, demand))

    def _score(
        self, candidate: Candidate, now: float, wall_ms: int, demand: CallProfile
    ) -> float:
        load = self._load(candidate.upstream, now)
        usual = self._usual.get((candidate.domain, demand.kind))
        usual_ms = usual.at(now) if usual is not None else 0.0
        expected_ms = load.expected_ms(candidate.slots, now, demand.kind, usual_ms)
        # The time since first sight bounds the slow start when clocks differ.
        age_s = max((wall_ms - candidate.ready_at_ms) / 1000, now - load.first_seen)
        warmth = min(1.0, max(MIN_WARMTH, age_s / SLOW_START_S))
        return expected_ms / warmth

    def _load(self, upstream: str, now: float) -> UpstreamLoad:
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad(now)
        return load
