"""Announcements of upstreams, and which of two announcements is newer."""

from dataclasses import dataclass

from .records import UpstreamRecord

__all__ = ["Announcement", "is_superseded"]


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream has announced about itself.

    Parameters
    ----------
    record : UpstreamRecord
    started_ms : int or None
        Start of the upstream's process, in ms since the epoch by its own clock;
        None when the upstream does not report it.
    sequence : int
        Number of the announcement since that start; 0 when not reported.
    slow_start_left_ms : int
        How much longer the upstream will be slow, in ms.
    """

    record: UpstreamRecord
    started_ms: int | None = None
    sequence: int = 0
    slow_start_left_ms: int = 0


def is_superseded(new: Announcement, known: Announcement) -> bool:
    """Return whether `new`, which arrived after `known`, was sent before it.

    A delayed announcement may arrive after its sender has crashed and another
    process has taken its address.

    Examples
    --------
    >>> from .records import UpstreamState
    >>> record = UpstreamRecord("w", "a", "127.0.0.1:1", 1, (), UpstreamState.READY)
    >>> known = Announcement(record, started_ms=5000, sequence=2)
    >>> is_superseded(Announcement(record, 5000, 1), known)
    True
    >>> is_superseded(Announcement(record, 6000, 1), known)
    False
    """
    if known.started_ms is not None:
        if new.started_ms is None:
            return True
        if new.started_ms != known.started_ms:
            return new.started_ms < known.started_ms
    if new.record.upstream != known.record.upstream:
        return False
    return bool(new.sequence) and new.sequence <= known.sequence
