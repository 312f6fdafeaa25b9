"""Decision of a node that compares its documents with a peer's digest."""

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
    """Revision without a gap, and hash of the newest (service, version) pairs."""

    complete_as_of: int
    documents_hash: int


@dataclass(frozen=True, slots=True)
class InSync:
    """Both hold the same."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the peer for what changed after the own `complete_as_of`."""


@dataclass(frozen=True, slots=True)
class SendDigest:
    """The peer is behind; tell it the own digest."""


@dataclass(frozen=True, slots=True)
class AdoptRevision:
    """The contents are equal, so the peer's `complete_as_of` holds here too."""

    complete_as_of: int


def compare_digests(
    mine: DigestValue, theirs: DigestValue
) -> InSync | Ask | SendDigest | AdoptRevision:
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
        return InSync()
    if mine.complete_as_of > theirs.complete_as_of:
        return SendDigest()
    if mine.documents_hash == theirs.documents_hash:
        return AdoptRevision(theirs.complete_as_of)
    return Ask()
