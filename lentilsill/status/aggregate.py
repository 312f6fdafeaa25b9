"""Aggregation of the reports of a domain's nodes."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lentilsill.versioning import HeldVersion, RejectedVersion

from .model import DomainStatus, Held, ServiceStatus

__all__ = ["StatusAggregator", "VersionedDocuments"]

# Bounds that keep the status of 120 services far below the platform's limit
# of 1 MB per object.
MAX_TEXTS = 10
MAX_TEXT_CHARS = 300


class VersionedDocuments(Protocol):
    """Versions of documents by name, as a node knows them."""

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the node's knowledge has no gap."""
        ...

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Give the newest known version, and whether it is a deletion."""
        ...

    def accepted_versions(self) -> dict[str, int]:
        """Give the newest valid version."""
        ...

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Give those whose newest version is rejected."""
        ...

    def held_versions(self) -> dict[str, HeldVersion]:
        """Give those with an accepted version that is not in force."""
        ...

    def in_force_versions(self) -> dict[str, int]:
        """Give the version in force."""
        ...


@dataclass(slots=True)
class _Report:
    instance: str
    in_force: dict[str, int] = field(default_factory=dict)


class StatusAggregator:
    """Versions in force by node, as far as the nodes have reported.

    A report lists the services that changed since the sender's last one;
    version 0 stands for a service that is no longer in force. The first report
    on a new link lists all, and `forget` comes before it.

    Examples
    --------
    >>> reports = StatusAggregator()
    >>> reports.report("n1", "f00d", [("slots", 4)])
    >>> reports.report("n2", "beef", [("slots", 6)])
    >>> reports.count("slots")
    (6, 1)
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    @property
    def nodes_heard(self) -> int:
        """Number of nodes that have reported."""
        return len(self._reports)

    def report(
        self, node: str, instance: str, in_force: Iterable[tuple[str, int]]
    ) -> None:
        """Take in an `Applied` of a node; a new instance starts afresh."""
        kept = self._reports.get(node)
        if kept is None or kept.instance != instance:
            kept = self._reports[node] = _Report(instance)
        for service, version in in_force:
            if version:
                kept.in_force[service] = version
            else:
                kept.in_force.pop(service, None)

    def forget(self, node: str) -> None:
        """Drop what a node has reported."""
        self._reports.pop(node, None)

    def keep_only(self, nodes: Collection[str]) -> None:
        """Drop the reports of nodes that are no longer members."""
        for node in self._reports.keys() - set(nodes):
            del self._reports[node]

    def count(self, service: str) -> tuple[int, int]:
        """Give the highest version in force and the number of nodes at it."""
        versions = [
            report.in_force[service]
            for report in self._reports.values()
            if service in report.in_force
        ]
        highest = max(versions, default=0)
        return highest, versions.count(highest)

    def status(
        self,
        domain: str,
        store: VersionedDocuments,
        now_ms: int = 0,
        is_settled: bool = True,
    ) -> DomainStatus:
        """Combine the reports with what this node knows of the documents.

        Parameters
        ----------
        now_ms : int
            Time of this node in ms since the epoch, by a clock that never steps.
        is_settled : bool
            Whether the members had time to report; until then the counts lower
            none that is stored.
        """
        accepted = store.accepted_versions()
        rejected = store.rejected_versions()
        held = {
            name: Held(part.version, part.deleted, _bounded(part.reasons))
            for name, part in store.held_versions().items()
        }
        services: dict[str, ServiceStatus] = {}
        for name, (newest, is_deleted) in store.newest_versions().items():
            version, nodes = self.count(name)
            if is_deleted and not version:
                continue
            findings: Mapping[int, tuple[str, ...]] = {}
            if name in rejected:
                part = rejected[name]
                findings = {part.version: _bounded(map(str, part.findings))}
            services[name] = ServiceStatus(
                as_of=store.complete_as_of,
                newest=newest,
                accepted=accepted.get(name, 0),
                in_force=version,
                nodes=nodes,
                nodes_heard=self.nodes_heard,
                rejected=findings,
                held=held.get(name),
                counted_as_of=store.complete_as_of,
                counted_at_ms=now_ms if is_settled else 0,
            )
        return DomainStatus(domain, store.complete_as_of, services, now_ms)


def _bounded(texts: Iterable[str]) -> tuple[str, ...]:
    return tuple(text[:MAX_TEXT_CHARS] for text in list(texts)[:MAX_TEXTS])
