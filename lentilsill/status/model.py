"""Status of the documents in a failure domain, and the merge of two statuses."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

__all__ = ["DomainStatus", "Held", "ServiceStatus", "merge_status"]

# The status lists only this many rejected versions of a service, the newest.
MAX_REJECTED_VERSIONS = 4


@dataclass(frozen=True, slots=True)
class Held:
    """An accepted version that is not in force, and the reasons.

    `deleted` is true if the version is a deletion of the service.
    """

    version: int
    deleted: bool
    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Status of one service in a domain.

    Parameters
    ----------
    as_of : int
        `complete_as_of` of the writer when it wrote the entry.
    newest : int
        Newest known version, which may be rejected or a deletion.
    accepted : int
        Newest valid version; 0 for none.
    in_force : int
        Highest version that a node of the domain has in force; 0 for none.
    nodes, nodes_heard : int
        Number of nodes of the domain that have reported to the writer
        (`nodes_heard`), and how many of them have version `in_force` in force.
    counted_as_of, counted_at_ms : int
        `complete_as_of` of the writer that counted the nodes, and the time of
        the count in ms since the epoch, by the writer's clock, which never steps.
        A count with time 0 yields to any other count of the same version.
    rejected : mapping of int to tuple of str
        Findings by rejected version.
    held : Held or None
    """

    as_of: int
    newest: int
    accepted: int = 0
    in_force: int = 0
    nodes: int = 0
    nodes_heard: int = 0
    rejected: Mapping[int, tuple[str, ...]] = field(default_factory=dict)
    held: Held | None = None
    counted_as_of: int = 0
    counted_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class DomainStatus:
    """Status of all services in a domain, complete as of revision `as_of`.

    `updated_at_ms` is the time at which a node of the domain last wrote the
    status, in ms since the epoch by that node's clock; 0 if unknown.
    """

    domain: str
    as_of: int
    services: Mapping[str, ServiceStatus] = field(default_factory=dict)
    updated_at_ms: int = 0


def merge_status(old: DomainStatus, new: DomainStatus) -> DomainStatus:
    """Combine two statuses of a domain; each entry takes the higher versions.

    The merge is commutative and idempotent, so writers may repeat it in any
    order, and a writer that is behind lowers no version. The numbers of nodes
    come from the later count, so that they follow changes of the domain's
    members. An entry that only one report has is dropped if the other report is
    complete up to the entry's newest version: the service has been deleted.

    Raises
    ------
    ValueError
        The statuses are of different domains.

    Examples
    --------
    >>> old = DomainStatus("lahore", 9, {"slots": ServiceStatus(9, 9, 9, 9, 2, 2)})
    >>> new = DomainStatus("lahore", 7, {"slots": ServiceStatus(7, 5, 5, 5, 3, 3)})
    >>> merge_status(old, new) == old
    True
    """
    if old.domain != new.domain:
        raise ValueError(f"status of {old.domain!r} merged with {new.domain!r}")
    services = {}
    for name in sorted({**old.services, **new.services}):
        entry = _merge_or_drop(
            old.services.get(name), new.services.get(name), old.as_of, new.as_of
        )
        if entry is not None:
            services[name] = entry
    return DomainStatus(
        old.domain,
        max(old.as_of, new.as_of),
        services,
        max(old.updated_at_ms, new.updated_at_ms),
    )


def _merge_or_drop(
    old: ServiceStatus | None, new: ServiceStatus | None, old_as_of: int, new_as_of: int
) -> ServiceStatus | None:
    if old is not None and new is not None:
        return _merge_service(old, new)
    entry, other_as_of = (old, new_as_of) if old is not None else (new, old_as_of)
    if entry is None or entry.newest <= other_as_of:
        return None
    # Merging the entry with itself drops rejected versions that are obsolete.
    return _merge_service(entry, entry)


def _merge_service(old: ServiceStatus, new: ServiceStatus) -> ServiceStatus:
    counted = max(old, new, key=_count_sort_key)
    # `held`, which each writer decides, comes from the one with the newer versions.
    newer = max(old, new, key=_knowledge_sort_key)
    accepted = max(old.accepted, new.accepted)
    rejected = {**old.rejected, **new.rejected}
    kept = sorted(version for version in rejected if version > accepted)[
        -MAX_REJECTED_VERSIONS:
    ]
    return replace(
        newer,
        as_of=max(old.as_of, new.as_of),
        newest=max(old.newest, new.newest),
        accepted=accepted,
        in_force=counted.in_force,
        nodes=counted.nodes,
        nodes_heard=counted.nodes_heard,
        counted_as_of=counted.counted_as_of,
        counted_at_ms=counted.counted_at_ms,
        rejected={version: rejected[version] for version in kept},
    )


def _count_sort_key(entry: ServiceStatus) -> tuple[int, ...]:
    """Return the key that ranks node counts: by version, then by time of the count.

    A writer to which the domain's nodes have not yet had time to report sets the
    time to 0; its count replaces no settled one of the same version.
    """
    is_settled = entry.counted_at_ms > 0
    return (
        entry.in_force,
        is_settled,
        entry.counted_as_of if is_settled else 0,
        entry.counted_at_ms,
        entry.nodes,
        entry.nodes_heard,
        entry.counted_as_of,
    )


def _knowledge_sort_key(entry: ServiceStatus) -> tuple:
    held = entry.held
    rank = (held.version, held.deleted, held.reasons) if held else (0, False, ())
    return (entry.newest, entry.accepted, entry.in_force, entry.as_of, rank)
