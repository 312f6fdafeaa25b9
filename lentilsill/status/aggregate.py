"""Aggregation of the reports that a domain's nodes send."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lentilsill.versioning import HeldVersion, RejectedVersion

from .model import DomainStatus, Held, ServiceStatus

__all__ = ["StatusAggregator", "VersionedDocuments"]

# These limits keep the status of 120 services far below the platform's limit of
# 1 MB per object.
MAX_TEXTS_PER_VERSION = 10
MAX_TEXT_CHARS = 300


class VersionedDocuments(Protocol):
    """The versions of documents that a node knows, by name."""

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the node has every change."""
        ...

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Return (newest known version, whether it is a deletion)."""
        ...

    def accepted_versions(self) -> dict[str, int]:
        """Return the newest valid versions."""
        ...

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Return the newest versions that are rejected."""
        ...

    def held_versions(self) -> dict[str, HeldVersion]:
        """Return the accepted versions and deletions that are not in force."""
        ...

    def in_force_versions(self) -> dict[str, int]:
        """Return the versions in force."""
        ...


@dataclass(slots=True)
class _NodeReport:
    instance: str
    in_force: dict[str, int] = field(default_factory=dict)


class StatusAggregator:
    """Versions in force on each node, from the reports of the nodes.

    A report lists the services that changed since the sender's previous report;
    version 0 means that a service is no longer in force. The first report on a
    new link lists all services; the caller calls `forget` before it.

    Examples
    --------
    >>> reports = StatusAggregator()
    >>> reports.report("n1", "f00d", [("slots", 4)])
    >>> reports.report("n2", "beef", [("slots", 6)])
    >>> reports.count("slots")
    (6, 1)
    """

    def __init__(self) -> None:
        self._reports: dict[str, _NodeReport] = {}

    @property
    def nodes_heard(self) -> int:
        """Number of nodes that have reported."""
        return len(self._reports)

    def report(
        self, node: str, instance: str, in_force: Iterable[tuple[str, int]]
    ) -> None:
        """Record the contents of an `Applied` message from a node.

        A report from a new instance of the node replaces all earlier ones.
        """
        stored = self._reports.get(node)
        if stored is None or stored.instance != instance:
            stored = self._reports[node] = _NodeReport(instance)
        for service, version in in_force:
            if version:
                stored.in_force[service] = version
            else:
                stored.in_force.pop(service, None)

    def forget(self, node: str) -> None:
        """Drop the reports of a node."""
        self._reports.pop(node, None)

    def keep_only(self, nodes: Collection[str]) -> None:
        """Drop the reports of nodes that are not in `nodes`, the current members."""
        for node in self._reports.keys() - set(nodes):
            del self._reports[node]

    def count(self, service: str) -> tuple[int, int]:
        """Return the highest version in force and how many nodes have it in force."""
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
        """Combine the reports with the documents that this node knows.

        Parameters
        ----------
        now_ms : int
            Time of this node in ms since the epoch, by a clock that never steps.
        is_settled : bool
            Whether the members have had time to report; until then the counts
            do not lower stored ones.
        """
        accepted = store.accepted_versions()
        rejected = store.rejected_versions()
        held = {
            name: Held(part.version, part.deleted, _truncated(part.reasons))
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
                findings = {part.version: _truncated(map(str, part.findings))}
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


def _truncated(texts: Iterable[str]) -> tuple[str, ...]:
    return tuple(text[:MAX_TEXT_CHARS] for text in list(texts)[:MAX_TEXTS_PER_VERSION])
