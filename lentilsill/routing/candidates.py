"""Upstreams of an upstream set that accept calls."""

from collections.abc import Container, Iterable
from dataclasses import dataclass

from lentilsill.documents import ServiceDocument, UpstreamSet
from lentilsill.membership import (
    NodeRecord,
    NodeState,
    UpstreamRecord,
    UpstreamState,
)

__all__ = ["Candidate", "build_candidates", "is_leaving", "version_of"]

VERSION_LABEL = "version"


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that can be selected, and the address of its node."""

    upstream: str
    node: str
    domain: str
    instance: str
    peer_address: str
    slots: int
    ready_at_ms: int
    version: str = ""


def version_of(record: UpstreamRecord) -> str:
    """Return the version of an upstream, empty if it names none."""
    return next((v for name, v in record.labels if name == VERSION_LABEL), "")


def is_leaving(document: ServiceDocument, record: UpstreamRecord) -> bool:
    """Return whether a leaving upstream set of the document contains the upstream."""
    return any(
        sets.leaving and _belongs(record, sets)
        for sets in document.upstream_sets.values()
    )


def build_candidates(
    document: ServiceDocument,
    upstream_set: str,
    nodes: Iterable[NodeRecord],
    suspects: Container[str] = (),
) -> tuple[Candidate, ...]:
    """List the ready upstreams of a set on nodes that accept calls.

    `suspects` holds the names of nodes that the failure detector suspects.
    """
    wanted = document.upstream_sets.get(upstream_set)
    if wanted is None or wanted.leaving:
        return ()
    return tuple(
        Candidate(
            record.upstream,
            node.node,
            node.domain,
            node.instance,
            node.peer_address,
            max(1, record.slots),
            record.ready_at_ms,
            version_of(record),
        )
        for node in nodes
        if node.state is NodeState.READY and node.node not in suspects
        for record in node.upstreams
        if record.state is UpstreamState.READY
        and record.service == document.service
        and _belongs(record, wanted)
        and not is_leaving(document, record)
    )


def _belongs(record: UpstreamRecord, upstream_set: UpstreamSet) -> bool:
    return all(label in record.labels for label in upstream_set.labels)
