"""Conversion between records and the rows of messages."""

from collections.abc import Iterable
from typing import Any

from .records import Liveness, NodeRecord, NodeState, UpstreamRecord, UpstreamState

__all__ = ["RowError", "record_from_row", "record_to_row", "upstream_from_row"]


class RowError(ValueError):
    """A row holds a value that is out of range or empty."""


def record_to_row(
    record: NodeRecord, liveness: Liveness = Liveness.ALIVE
) -> tuple[Any, ...]:
    """Return the row of a record with the sender's verdict on it."""
    return (
        record.node,
        record.domain,
        record.instance,
        record.generation,
        record.seq,
        record.peer_address,
        record.caller_address,
        int(record.state),
        tuple(
            (u.upstream, u.service, u.address, u.slots, u.labels, int(u.state))
            + (u.ready_at_ms,)
            for u in record.upstreams
        ),
        int(liveness),
        *((record.link_mbps,) if record.link_mbps else ()),
    )


def record_from_row(row: Iterable[Any]) -> tuple[NodeRecord, Liveness]:
    """Return the record and the verdict of a row.

    Raises
    ------
    RowError
        A state, verdict, generation or count is out of range, or a name or an
        address is empty.
    """
    node, domain, instance, generation, seq, peer, caller, state, *remainder = row
    upstreams, liveness, *link = remainder
    if not (node and domain and instance and peer):
        raise RowError(f"record of node {node!r} lacks a name or an address")
    if generation < 0 or seq < 0:
        raise RowError(f"record of node {node!r} has a negative generation or seq")
    try:
        record = NodeRecord(
            node,
            domain,
            instance,
            generation,
            seq,
            peer,
            caller,
            NodeState(state),
            tuple(upstream_from_row(u) for u in upstreams),
            max(0, link[0]) if link else 0,
        )
        return record, Liveness(liveness)
    except ValueError as exc:
        raise RowError(f"record of node {node!r}: {exc}") from exc


def upstream_from_row(row: tuple[Any, ...]) -> UpstreamRecord:
    """Return the upstream record of a row.

    Raises
    ------
    RowError
        The number of slots is negative, or the identifier or service is empty.
    ValueError
        The state is not known.
    """
    upstream, service, address, slots, labels, state, ready_at_ms = row
    if not upstream or not service or slots < 0:
        raise RowError(f"upstream {upstream!r} lacks a name or has negative slots")
    return UpstreamRecord(
        upstream,
        service,
        address,
        slots,
        tuple(sorted((name, value) for name, value in labels)),
        UpstreamState(state),
        ready_at_ms,
    )
