"""Messages for and from nodes of an earlier release, which know no eras.

They take revisions of the platform's store for positions, and so a position of a later
era for a revision far beyond those that they read themselves.
"""

from collections.abc import Callable

from msgspec.structs import replace

from .messages import (
    Applied,
    Delta,
    DeltaRequest,
    Digest,
    Probe,
    ProbeAck,
    SentMessage,
)

__all__ = ["map_positions"]


def map_positions(message: SentMessage, convert: Callable[[int], int]) -> SentMessage:
    """Return a message with all positions of the store's history converted.

    Examples
    --------
    >>> map_positions(DeltaRequest(7, 5), lambda position: position + 1)
    DeltaRequest(complete_as_of=8, held=6)
    """
    match message:
        case Digest(complete_as_of=position):
            return replace(message, complete_as_of=convert(position))
        case Probe(digest=digest) | ProbeAck(digest=digest):
            return replace(message, digest=(convert(digest[0]), *digest[1:]))
        case DeltaRequest(complete_as_of=position, held=held):
            return DeltaRequest(convert(position), convert(held))
        case Delta():
            return _map_delta(message, convert)
        case Applied(revision=position, in_force=in_force):
            versions = tuple((name, convert(version)) for name, version in in_force)
            return Applied(convert(position), versions)
    return message


def _map_delta(delta: Delta, convert: Callable[[int], int]) -> Delta:
    rows = ((name, convert(version), *rest) for name, version, *rest in delta.rows)
    patches = (
        (name, convert(version), convert(base), *rest)
        for name, version, base, *rest in delta.patches
    )
    return replace(
        delta,
        base=convert(delta.base),
        complete_as_of=convert(delta.complete_as_of),
        rows=tuple(rows),
        patches=tuple(patches),
    )
