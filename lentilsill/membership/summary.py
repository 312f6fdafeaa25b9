"""Summaries of failure domains that are sent to other domains."""

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
# A node that missed a push is a few versions behind; deltas from older versions are not
# worth the memory.
KEPT_VERSIONS = 8


@dataclass(frozen=True)
class DomainSummary:
    """What other domains know about a domain.

    `totals` holds (service, ready upstreams, slots); `nodes` holds records
    with only the upstreams that the summary names. Of two summaries of a domain, the
    one with the higher `generation` is newer.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRecord, ...]

    def has_same_content(self, other: "DomainSummary") -> bool:
        """Return whether both are equal apart from their generations."""
        return replace(self, generation=other.generation) == other

    @cached_property
    def content_hash(self) -> int:
        """64-bit hash of everything except the generation."""
        text = f"{self.domain}{self.totals}{self.nodes}"
        return xxhash.xxh64_intdigest(text.encode())


@dataclass(frozen=True, slots=True)
class SummaryDelta:
    """Difference between two summaries of a domain.

    `totals` holds (service, 0, 0) for a service that has no ready upstreams left;
    `gone` holds the names of removed nodes. `content_hash` is that of the newer
    summary.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRecord, ...]
    gone: tuple[str, ...]
    content_hash: int


def diff_summaries(old: DomainSummary, new: DomainSummary) -> SummaryDelta:
    """Return the delta from `old` to `new`.

    A delta saves bytes: the whole summary of 511 nodes takes 78 KB.
    """
    services = {total[0] for total in new.totals}
    removed = [(total[0], 0, 0) for total in old.totals if total[0] not in services]
    old_totals = set(old.totals)
    old_nodes = {node.node: node for node in old.nodes}
    new_names = {node.node for node in new.nodes}
    return SummaryDelta(
        new.domain,
        new.generation,
        (*removed, *(t for t in new.totals if t not in old_totals)),
        tuple(node for node in new.nodes if old_nodes.get(node.node) != node),
        tuple(name for name in old_nodes if name not in new_names),
        new.content_hash,
    )


def apply_delta(old: DomainSummary, delta: SummaryDelta) -> DomainSummary | None:
    """Return the summary after the delta; None when `old` is not its base."""
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

    The summary names up to `per_service` ready upstreams of a service, taken from
    the nodes in turn, so that the failure of a host affects few of them. Nodes in
    `contacts` are included even without upstreams.
    """
    nodes = {r.node: r for r in records if r.state != NodeState.LEAVING}
    by_service: dict[str, list[list[tuple[str, UpstreamRecord]]]] = defaultdict(list)
    for node in sorted(nodes):
        ready_of_node: dict[str, list[tuple[str, UpstreamRecord]]] = defaultdict(list)
        if nodes[node].state == NodeState.READY:
            for upstream in nodes[node].upstreams:
                if upstream.state == UpstreamState.READY:
                    ready_of_node[upstream.service].append((node, upstream))
        for service, upstreams in ready_of_node.items():
            by_service[service].append(upstreams)
    totals = []
    named: dict[str, list[UpstreamRecord]] = {
        node: [] for node in contacts if node in nodes
    }
    for service in sorted(by_service):
        groups = by_service[service]
        ready = [upstream for group in groups for _, upstream in group]
        totals.append((service, len(ready), sum(u.slots for u in ready)))
        for node, upstream in _interleave(groups)[:per_service]:
            named.setdefault(node, []).append(upstream)
    return DomainSummary(
        domain,
        generation,
        tuple(totals),
        tuple(replace(nodes[n], upstreams=tuple(named[n])) for n in sorted(named)),
    )


def _interleave(
    groups: list[list[tuple[str, UpstreamRecord]]],
) -> list[tuple[str, UpstreamRecord]]:
    longest = max(map(len, groups), default=0)
    return [group[i] for i in range(longest) for group in groups if i < len(group)]


class SummaryTable:
    """Newest summary of each domain, and earlier ones as bases of deltas."""

    def __init__(self) -> None:
        # Summaries by domain and content hash; the newest one of a domain is last.
        self._versions: dict[str, dict[int, DomainSummary]] = {}

    def get(self, domain: str) -> DomainSummary | None:
        """Return the newest summary of a domain, None if there is none."""
        versions = self._versions.get(domain)
        return next(reversed(versions.values())) if versions else None

    def all(self) -> list[DomainSummary]:
        """Return the newest summary of each domain."""
        return [next(reversed(v.values())) for v in self._versions.values()]

    def listing(self) -> tuple[tuple[str, int, int], ...]:
        """Return (domain, generation, content hash) of each domain, in sorted order."""
        found = []
        for domain in sorted(self._versions):
            content_hash, summary = next(reversed(self._versions[domain].items()))
            found.append((domain, summary.generation, content_hash))
        return tuple(found)

    def content_hash(self, without: str) -> int:
        """Return the 64-bit hash of the newest summaries except that of `without`."""
        total = 0
        for domain, _, content_hash in self.listing():
            if domain != without:
                total ^= content_hash
        return total

    def update_for(
        self, domain: str, content_hash: int
    ) -> DomainSummary | SummaryDelta | None:
        """Return the update for a peer whose summary of `domain` has `content_hash`.

        The update is None when the peer has the newest summary, a delta when its
        summary is among the last 8, and else the whole summary.
        """
        newest = self.get(domain)
        base = self._versions.get(domain, {}).get(content_hash)
        if newest is None or base is newest:
            return None
        return diff_summaries(base, newest) if base is not None else newest

    def merge_delta(self, delta: SummaryDelta) -> bool | None:
        """Merge a delta as `merge` does; return None when its base is missing here."""
        old = self.get(delta.domain)
        if old is not None and delta.generation <= old.generation:
            return False
        new = apply_delta(old, delta) if old is not None else None
        return None if new is None else self.merge(new)

    def merge(self, summary: DomainSummary) -> bool:
        """Store the summary if it is newer; return whether its content is new."""
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
