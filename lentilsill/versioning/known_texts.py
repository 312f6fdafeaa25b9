"""Texts of documents that a node has seen."""

import xxhash

from .records import DocumentRecord

__all__ = ["KnownTexts"]

# Hashes kept for each document; the oldest are dropped.
MAX_TEXTS = 256


class KnownTexts:
    """Hashes of the latest texts of each document.

    Examples
    --------
    >>> known = KnownTexts()
    >>> known.add(DocumentRecord("slots", 4, False, "{}"))
    >>> known.has(DocumentRecord("slots", 9, False, "{}"))
    True
    """

    def __init__(self) -> None:
        # The keys of a dict keep the order in which they were added.
        self._hashes: dict[str, dict[int, None]] = {}

    def add(self, record: DocumentRecord) -> None:
        """Add the text of a record; a deletion has none."""
        if record.deleted:
            return
        hashes = self._hashes.setdefault(record.service, {})
        hashes[_hash(record.text)] = None
        if len(hashes) > MAX_TEXTS:
            del hashes[next(iter(hashes))]

    def has(self, record: DocumentRecord) -> bool:
        """Return whether the document has had the text of the record."""
        return _hash(record.text) in self._hashes.get(record.service, {})


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
