"""Decision of a node that compares its documents with a peer's digest."""

from dataclasses import dataclass

__all__ = ["Adopt", "Ask", "DigestValue", "InStep", "Offer", "compare_digests"]


@dataclass(frozen=True, slots=True)
class DigestValue:
    """Revision without a gap, and hash of the newest (service, version) pairs."""

    complete_as_of: int
    documents_hash: int


@dataclass(frozen=True, slots=True)
class InStep:
    """Both hold the same."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the peer for what changed after the own `complete_as_of`."""


@dataclass(frozen=True, slots=True)
class Offer:
    """The peer is behind; tell it the own digest."""


@dataclass(frozen=True, slots=True)
class Adopt:
    """The contents are equal, so the peer's `complete_as_of` holds here too."""

    complete_as_of: int


def compare_digests(
    mine: DigestValue, theirs: DigestValue
) -> InStep | Ask | Offer | Adopt:
    """Compare the own digest with that of a peer.

    The store-wide revision also grows by writes of other kinds. Equal contents
    therefore carry the revision over without a delta.

    Examples
    --------
    >>> compare_digests(DigestValue(5, 1), DigestValue(9, 1))
    Adopt(complete_as_of=9)
    >>> compare_digests(DigestValue(5, 1), DigestValue(9, 2))
    Ask()
    """
    if mine == theirs:
        return InStep()
    if mine.complete_as_of > theirs.complete_as_of:
        return Offer()
    if mine.documents_hash == theirs.documents_hash:
        return Adopt(theirs.complete_as_of)
    return Ask()
