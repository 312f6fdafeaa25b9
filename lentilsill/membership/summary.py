"""Summaries of failure domains for other domains."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from .records import NodeRecord, NodeState, UpstreamRecord, UpstreamState

__all__ = ["DomainSummary", "SummaryTable", "build_summary"]

UPSTREAMS_PER_SERVICE = 16


@dataclass(frozen=True, slots=True)
class DomainSummary:
    """What other domains know of a domain.

    `totals` holds (service, ready upstreams, slots); `nodes` holds records
    with only the named upstreams. Newer by `generation`.
    """

    domain: str
    generation: int
    totals: tuple[tuple[str, int, int], ...]
    nodes: tuple[NodeRecord, ...]

    def has_content_of(self, other: "DomainSummary") -> bool:
        """Whether both say the same, whatever their generations."""
        return replace(self, generation=other.generation) == other


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
    """Newest summary of each domain."""

    def __init__(self) -> None:
        self._summaries: dict[str, DomainSummary] = {}

    def get(self, domain: str) -> DomainSummary | None:
        """Give the newest summary of a domain."""
        return self._summaries.get(domain)

    def all(self) -> list[DomainSummary]:
        """List the newest summaries."""
        return list(self._summaries.values())

    def merge(self, summary: DomainSummary) -> bool:
        """Keep the summary if it is newer; True when its content is new."""
        old = self._summaries.get(summary.domain)
        if old is not None and summary.generation <= old.generation:
            return False
        self._summaries[summary.domain] = summary
        return old is None or not old.has_content_of(summary)
