"""Summaries of failure domains for other domains."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import cached_property

import xxhash

from .records import NodeRecord, NodeState, UpstreamRecord, UpstreamState

__all__ = [
    "DomainSummary",
    "SummaryDelta",
    "SummaryTable",
    "apply_delta",
    "build_summary",
    "diff_summaries",
]

UPSTREAMS_PER_SERVICE = 16
# A node that missed a push is a few versions behind; deltas from older ones are
# not worth the memory.
KEPT_VERSIONS = 8


@dataclass(frozen=True)
class DomainSummary:
    """What other domains know of a domain.

    `totals` holds (service, ready upstreams, slots); `nodes` holds records
    with only the named upstreams. Newer by `generation`.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRecord, ...]

    def has_same_content(self, other: "DomainSummary") -> bool:
        """Whether both say the same, whatever their generations."""
        return replace(self, generation=other.generation) == other

    @cached_property
    def content_hash(self) -> int:
        """64-bit hash of totals and nodes, whatever the generation."""
        text = f"{self.domain}{self.totals}{self.nodes}"
        return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class SummaryDelta:
    """What changed between two summaries of a domain.

    `totals` holds (service, 0, 0) for a service without ready upstreams.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRecord, ...]
    gone: tuple[str, ...]
    content_hash: int


def diff_summaries(old: DomainSummary, new: DomainSummary) -> SummaryDelta:
    """Give what turns `old` into `new`; 511 nodes take 78 KB as a whole."""
    kept = {total[0] for total in new.totals}
    ended = [(total[0], 0, 0) for total in old.totals if total[0] not in kept]
    old_totals = set(old.totals)
    known = {node.node: node for node in old.nodes}
    names = {node.node for node in new.nodes}
    return SummaryDelta(
        new.domain,
        new.generation,
        (*ended, *(t for t in new.totals if t not in old_totals)),
        tuple(node for node in new.nodes if known.get(node.node) != node),
        tuple(name for name in known if name not in names),
        new.content_hash,
    )


def apply_delta(old: DomainSummary, delta: SummaryDelta) -> DomainSummary | None:
    """Give the summary that the delta leads to; None when it needs another base."""
    totals = {total[0]: total for total in (*old.totals, *delta.totals)}
    nodes = {node.node: node for node in (*old.nodes, *delta.nodes)}
    for name in delta.gone:
        nodes.pop(name, None)
    new = DomainSummary(
        delta.domain,
        delta.generation,
        tuple(totals[name] for name in sorted(totals) if totals[name][1]),
        tuple(nodes[name] for name in sorted(nodes)),
    )
    return new if new.content_hash == delta.content_hash else None


def build_summary(
    domain: str,
    generation: int,
    records: Iterable[NodeRecord],
    contacts: Iterable[str] = (),
    per_service: int = UPSTREAMS_PER_SERVICE,
) -> DomainSummary:
    """Build a summary from the live records of a domain.

    Up to `per_service` ready upstreams of a service are named, one of each
    node in turn, so that a failed host takes few of them. Nodes named in
    `contacts` are included even without upstreams.
    """
    nodes = {r.node: r for r in records if r.state != NodeState.LEAVING}
    by_service: dict[str, list[list[tuple[str, UpstreamRecord]]]] = defaultdict(list)
    for node in sorted(nodes):
        own: dict[str, list[tuple[str, UpstreamRecord]]] = defaultdict(list)
        if nodes[node].state == NodeState.READY:
            for upstream in nodes[node].upstreams:
                if upstream.state == UpstreamState.READY:
                    own[upstream.service].append((node, upstream))
        for service, found in own.items():
            by_service[service].append(found)
    totals = []
    named: dict[str, list[UpstreamRecord]] = {
        node: [] for node in contacts if node in nodes
    }
    for service in sorted(by_service):
        groups = by_service[service]
        ready = [upstream for group in groups for _, upstream in group]
        totals.append((service, len(ready), sum(u.slots for u in ready)))
        for node, upstream in _in_turn(groups)[:per_service]:
            named.setdefault(node, []).append(upstream)
    return DomainSummary(
        domain,
        generation,
        tuple(totals),
        tuple(replace(nodes[n], upstreams=tuple(named[n])) for n in sorted(named)),
    )


def _in_turn(
    groups: list[list[tuple[str, UpstreamRecord]]],
) -> list[tuple[str, UpstreamRecord]]:
    longest = max(map(len, groups), default=0)
    return [group[i] for i in range(longest) for group in groups if i < len(group)]


class SummaryTable:
    """Newest summary of each domain, and the ones before it as bases of deltas."""

    def __init__(self) -> None:
        # By content hash, the newest last.
        self._versions: dict[str, dict[int, DomainSummary]] = {}

    def get(self, domain: str) -> DomainSummary | None:
        """Give the newest summary of a domain."""
        versions = self._versions.get(domain)
        return next(reversed(versions.values())) if versions else None

    def all(self) -> list[DomainSummary]:
        """List the newest summaries."""
        return [next(reversed(v.values())) for v in self._versions.values()]

    def listing(self) -> tuple[tuple[str, int, int], ...]:
        """List (domain, generation, content hash), in the order of domains."""
        found = []
        for domain in sorted(self._versions):
            content_hash, summary = next(reversed(self._versions[domain].items()))
            found.append((domain, summary.generation, content_hash))
        return tuple(found)

    def content_hash(self, without: str) -> int:
        """64-bit hash of the summaries, apart from that of the domain `without`."""
        total = 0
        for domain, _, content_hash in self.listing():
            if domain != without:
                total ^= content_hash
        return total

    def update_for(
        self, domain: str, content_hash: int
    ) -> DomainSummary | SummaryDelta | None:
        """Give what a peer needs that holds the summary with `content_hash`.

        None when the newest one is that; a delta when that is among the last 8.
        """
        newest = self.get(domain)
        base = self._versions.get(domain, {}).get(content_hash)
        if newest is None or base is newest:
            return None
        return diff_summaries(base, newest) if base is not None else newest

    def merge_delta(self, delta: SummaryDelta) -> bool | None:
        """Merge a delta as `merge` does; None when it needs another base."""
        old = self.get(delta.domain)
        if old is not None and delta.generation <= old.generation:
            return False
        new = apply_delta(old, delta) if old is not None else None
        return None if new is None else self.merge(new)

    def merge(self, summary: DomainSummary) -> bool:
        """Keep the summary if it is newer; True when its content is new."""
        old = self.get(summary.domain)
        if old is not None and summary.generation <= old.generation:
            return False
        versions = self._versions.setdefault(summary.domain, {})
        content_hash = summary.content_hash
        versions.pop(content_hash, None)
        versions[content_hash] = summary
        if len(versions) > KEPT_VERSIONS:
            del versions[next(iter(versions))]
        return old is None or not old.has_same_content(summary)
