"""Selection that keeps the load of upstreams even although reports of it are old.

The busy share of an upstream is the number of its running and waiting calls per slot.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from lentilsill.membership import NodeRecord
from lentilsill.versioning import Snapshot

from .candidates import Candidate
from .load import DEFAULT_PROFILE, MAX_FAILURE_SHARE, CallProfile, UpstreamLoad
from .selector import (
    DEFAULT_OBJECTIVE_MS,
    MIN_SLOW_START_WEIGHT,
    SLOW_START_S,
    Selector,
)
from .versions import VersionFilter

__all__ = ["MIN_EVEN_FOUND_SHARE", "EvenSelector"]

# Probes of other domains find slots at loads at which those of the local domain find
# none. With the usual minimum, calls then took more messages than without even load.
MIN_EVEN_FOUND_SHARE = 0.25
# Weight of the expected time, relative to the objective, against the busy share. More
# answers are on time with a larger one, and the load is less even.
TIME_WEIGHT = 0.3
# Weight of the newest report in the average of a domain.
GROUP_WEIGHT = 0.1
# What is known of a domain loses half of its weight in this time.
GROUP_HALF_LIFE_S = 2.0
ASSUMED_BUSY_SHARE = 0.5
# Time in which the calls of an upstream change, until one of its answers is known.
DEFAULT_ANSWER_S = 0.1
# Above this busy share of the local domain, calls queue in it now and then.
CROSS_BUSY_SHARE = 0.8
# Calls cross to a domain whose busy share is lower by more than the margin. The share
# of calls that cross grows with the difference and reaches 1 at margin + range.
CROSS_MARGIN = 0.15
CROSS_RANGE = 0.3
# Calls cross only to a domain below this busy share: above it, a probe seldom finds a
# free slot, and the call would only take one that the other domain needs itself.
MAX_FAR_BUSY_SHARE = 0.8
# As the average of a domain grows to this share, the choice changes within the range
# below it to one by expected time alone: calls queue nearly everywhere, and the time
# until an answer depends mostly on the speed of the upstream. In a simulation at 1.5
# times the load of deployment C, a choice by busy share made more calls late.
FULL_BUSY_SHARE = 1.2
FULL_RANGE = 0.3
# Share of the calls that probe another domain while the local one is nearly full and
# nothing newer is known of the other.
EXPLORATION_SHARE = 0.03


@dataclass(slots=True)
class _Group:
    """Average busy share of the upstreams of a service in one domain."""

    mean: float = ASSUMED_BUSY_SHARE
    updated_at: float = float("-inf")

    def add(self, busy_share: float, now: float) -> None:
        current = self.at(now, ASSUMED_BUSY_SHARE)
        self.mean = current + GROUP_WEIGHT * (busy_share - current)
        self.updated_at = now

    def at(self, now: float, assumed: float) -> float:
        """Return the average; as it ages, `assumed` replaces it."""
        weight = 0.5 ** ((now - self.updated_at) / GROUP_HALF_LIFE_S)
        return assumed + weight * (self.mean - assumed)


@dataclass(slots=True)
class _BusyReport:
    """Busy share of one upstream, and the calls of this node outstanding then."""

    group: _Group
    busy_share: float = 0.0
    reported_at: float = float("-inf")
    outstanding: int = 0


class EvenSelector(Selector):
    """Selects upstreams by their estimated busy share, and by expected time.

    The calls that an upstream ran when it reported end, and other nodes send it new
    ones, so its busy share moves to the average of its domain within about the time of
    an answer. Calls that this node has sent since then are added.

    While the local domain is nearly full, a part of the calls probe another domain
    for a free slot. They never wait there, and only a domain that is clearly less busy
    and has free slots is probed, so two domains can't swap their load. While the
    local domain is full, upstreams are chosen by expected time alone.

    Until the first report, the choice is that of `Selector`: nodes report how busy an
    upstream is only if it states the pace of its host.
    """

    def __init__(self, domain: str, rng: Random) -> None:
        super().__init__(domain, rng)
        self._groups: dict[tuple[str, str], _Group] = {}
        self._busy: dict[str, _BusyReport] = {}
        self._groups_by_service: dict[str, list[tuple[str, _Group]]] = {}
        self.has_busy_reports = False

    def update(
        self,
        snapshot: Snapshot,
        nodes: Iterable[NodeRecord],
        suspects: Iterable[str] = (),
    ) -> None:
        """Replace the snapshot, the nodes and the names of the suspected nodes."""
        super().update(snapshot, nodes, suspects)
        groups: dict[tuple[str, str], _Group] = {}
        reports: dict[str, _BusyReport] = {}
        for node in self._nodes:
            for record in node.upstreams:
                key = (node.domain, record.service)
                group = groups.get(key)
                if group is None:
                    group = groups[key] = self._groups.get(key) or _Group()
                report = self._busy.get(record.upstream)
                if report is None or report.group is not group:
                    report = _BusyReport(group)
                reports[record.upstream] = report
        self._groups, self._busy = groups, reports
        self._groups_by_service = defaultdict(list)
        for (domain, service), group in groups.items():
            self._groups_by_service[service].append((domain, group))

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
        """Choose an upstream as `Selector.pick` does, or one to probe elsewhere.

        With `is_probing`, the upstream may be of another domain.
        """
        if is_probing:
            group = self._groups.get((self.domain, service))
            local_share = 0.0 if group is None else group.at(now, ASSUMED_BUSY_SHARE)
            limit = 0.0
            if local_share > CROSS_BUSY_SHARE:
                limit = self._crossing_limit(local_share, service, now)
            if limit:
                pool = self._fresh_pool(service, upstream_set, now, versions)
                excluded = {*tried, *probed}
                far = self._best_of_two(
                    pool.remote, now, wall_ms, excluded, True, profile
                )
                if far is not None:
                    far_group = self._busy[far.upstream].group
                    if far_group.at(now, local_share) < limit:
                        return far
        return super().pick(
            service,
            upstream_set,
            now,
            wall_ms,
            tried,
            profile,
            probed,
            is_probing,
            versions,
        )

    def record_report(
        self,
        upstream: str,
        expected_ms: float,
        now: float,
        kind: str = "",
        busy_percent: int = -1,
    ) -> None:
        """Record a load report; see `Selector.record_report`."""
        super().record_report(upstream, expected_ms, now, kind)
        report = self._busy.get(upstream)
        if report is None or busy_percent < 0:
            return
        self.has_busy_reports = True
        report.busy_share = busy_percent / 100
        report.reported_at = now
        report.outstanding = self._load(upstream, now).outstanding
        report.group.add(report.busy_share, now)

    def dump(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the state of each upstream, with its last reported busy share."""
        state = super().dump(now)
        for upstream, figures in state.items():
            report = self._busy.get(upstream)
            if report is not None:
                figures["busy_share"] = report.busy_share
                average = report.group.at(now, ASSUMED_BUSY_SHARE)
                figures["domain_busy_share"] = round(average, 2)
        return state

    def busy_share(self, candidate: Candidate, now: float) -> float:
        """Return the estimated busy share of an upstream."""
        report = self._busy[candidate.upstream]
        average = report.group.at(now, ASSUMED_BUSY_SHARE)
        load = self._load(candidate.upstream, now)
        return self._estimate(candidate, load, report, average, now)

    def _estimate(
        self,
        candidate: Candidate,
        load: UpstreamLoad,
        report: _BusyReport,
        average: float,
        now: float,
    ) -> float:
        age_s = now - report.reported_at
        share = report.busy_share
        if age_s > 0.0:
            weight = math.exp(-age_s / (load.answer_ms / 1000 or DEFAULT_ANSWER_S))
            share = average + weight * (share - average)
        sent = load.outstanding - report.outstanding
        return share + sent / max(1, candidate.slots) if sent > 0 else share

    def _crossing_limit(self, local_share: float, service: str, now: float) -> float:
        """Return the busy share below which another domain is probed by this call.

        It is 0 if no domain is below the limit.
        """
        draw = self._rng.random()
        if draw < EXPLORATION_SHARE:
            return math.inf
        limit = min(local_share - CROSS_MARGIN - CROSS_RANGE * draw, MAX_FAR_BUSY_SHARE)
        for domain, group in self._groups_by_service.get(service, ()):
            if domain != self.domain and group.at(now, local_share) < limit:
                return limit
        return 0.0

    def _best(
        self, group: list[Candidate], now: float, wall_ms: int, profile: CallProfile
    ) -> Candidate | None:
        if not self.has_busy_reports:
            return super()._best(group, now, wall_ms, profile)
        if len(group) < 2:
            return group[0] if group else None
        objective_ms = profile.objective_ms or DEFAULT_OBJECTIVE_MS
        kind = profile.kind
        best, lowest, domain = group[0], math.inf, ""
        # Everything that is the same for a domain is computed once, since this method
        # takes most of the time of a choice.
        for candidate in group:
            upstream = candidate.upstream
            load = self._loads.get(upstream) or self._load(upstream, now)
            report = self._busy[upstream]
            if candidate.domain != domain:
                domain = candidate.domain
                average = report.group.at(now, ASSUMED_BUSY_SHARE)
                share_weight = (FULL_BUSY_SHARE - average) / FULL_RANGE
                share_weight = min(1.0, max(0.0, share_weight))
                time_weight = TIME_WEIGHT + (1 - TIME_WEIGHT) * (1 - share_weight)
                time_weight /= objective_ms
                typical = self._typical_times.get((domain, kind))
                typical_ms = typical.mean_at(now) if typical is not None else 0.0
            expected_ms = load.expected_ms(candidate.slots, now, kind, typical_ms)
            cost = time_weight * expected_ms
            if share_weight:
                share = self._estimate(candidate, load, report, average, now)
                # An upstream that fails its calls at once is never busy.
                failure_share = min(MAX_FAILURE_SHARE, load.failure_share)
                share += failure_share / (1.0 - failure_share)
                cost += share_weight * share
            age_s = max((wall_ms - candidate.ready_at_ms) / 1000, now - load.first_seen)
            if age_s < SLOW_START_S:
                cost /= max(MIN_SLOW_START_WEIGHT, age_s / SLOW_START_S)
            if cost < lowest:
                best, lowest = candidate, cost
        return best
