"""Comparison of a node's document digest with that of a peer."""

from dataclasses import dataclass

__all__ = [
    "AdoptRevision",
    "Ask",
    "DigestValue",
    "InSync",
    "SendDigest",
    "compare_digests",
]


@dataclass(frozen=True, slots=True)
class DigestValue:
    """Digest of the documents that a node holds.

    `complete_as_of` is the revision up to which no change is missing;
    `documents_hash` is the 64-bit hash of the versions that peers must agree on.
    """

    complete_as_of: int
    documents_hash: int


@dataclass(frozen=True, slots=True)
class InSync:
    """Both digests are equal."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Request the changes after this node's `complete_as_of` from the peer."""


@dataclass(frozen=True, slots=True)
class SendDigest:
    """The peer is behind; send it this node's digest."""


@dataclass(frozen=True, slots=True)
class AdoptRevision:
    """The documents are equal, so the peer's `complete_as_of` is valid here too."""

    complete_as_of: int


def compare_digests(
    mine: DigestValue, theirs: DigestValue
) -> InSync | Ask | SendDigest | AdoptRevision:
    """Compare this node's digest with that of a peer.

    The store-wide revision also grows with writes of other kinds. When the documents
    are equal, the node therefore adopts the higher revision without a delta.

    Examples
    --------
    >>> compare_digests(DigestValue(5, 1), DigestValue(9, 1))
    AdoptRevision(complete_as_of=9)
    >>> compare_digests(DigestValue(5, 1), DigestValue(9, 2))
    Ask()
    """
    if mine == theirs:
        return InSync()
    if mine.complete_as_of > theirs.complete_as_of:
        return SendDigest()
    if mine.documents_hash == theirs.documents_hash:
        return AdoptRevision(theirs.complete_as_of)
    return Ask()
