"""Versioned records of documents, and what a node knows of one service."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from lentilsill.documents import (
    MAX_TEXT_BYTES,
    ServiceDocument,
    canonical_text,
    parse_document,
)
from lentilsill.findings import Findings

__all__ = ["Changes", "DocumentRecord", "Entry", "Known", "parse_record"]


@dataclass(frozen=True, slots=True)
class DocumentRecord:
    """One version of a service's document, or its deletion.

    Parameters
    ----------
    service : str
    version : int
        The platform's revision at the write. A deletion that was inferred
        from a listing has the listing's revision, which is an upper bound.
    deleted : bool
    text : str
        JSON text; empty for a deletion.
    """

    service: str
    version: int
    deleted: bool = False
    text: str = ""

    @classmethod
    def from_value(cls, service: str, version: int, value: Any) -> "DocumentRecord":
        """Make a record of a platform object's value.

        Text over the limit is cut just above it: every node then rejects the
        version for its size, and no node has to hold or send all of it.
        """
        try:
            text = value if isinstance(value, str) else json.dumps(value)
        except (TypeError, ValueError, RecursionError):
            text = ""
        return cls(service, version, False, text[: MAX_TEXT_BYTES + 1])

    def row(self) -> tuple[str, int, bool, str]:
        """Give the record as it travels in `Delta`."""
        return (self.service, self.version, self.deleted, self.text)


@dataclass(frozen=True, slots=True)
class Changes:
    """Records changed after `base`, complete up to `complete_as_of`.

    With `full`, they are all records and `base` is 0: a service that is absent
    is deleted as of `complete_as_of`.
    """

    base: int
    complete_as_of: int
    full: bool
    records: tuple[DocumentRecord, ...]


@dataclass(frozen=True, slots=True)
class Known:
    """A record with its parsed document, or the findings that reject it."""

    record: DocumentRecord
    document: ServiceDocument | None = None
    findings: Findings | None = None


def parse_record(record: DocumentRecord) -> Known:
    """Validate a record; a valid one gets its canonical text."""
    if record.deleted:
        return Known(DocumentRecord(record.service, record.version, True))
    match parse_document(record.text, record.service, record.version):
        case Ok(document):
            text = canonical_text(document)
            kept = DocumentRecord(record.service, record.version, False, text)
            return Known(kept, document)
        case Err(findings):
            return Known(record, None, findings)


@dataclass(slots=True)
class Entry:
    """What a node knows of one service; every part only moves forward.

    Parameters
    ----------
    newest : Known or None
        Highest version, which may be a deletion or rejected.
    accepted : Known or None
        Highest valid version above `absent_at`.
    fallback : Known or None
        A valid version below `accepted` that is in force here or at a peer.
    absent_at : int
        Highest revision at which the service is known not to have existed.
        Versions up to it belong to an earlier life of the service.
    in_force : int
        Version in force on this node; 0 for none.
    """

    absent_at: int
    newest: Known | None = None
    accepted: Known | None = None
    fallback: Known | None = None
    in_force: int = 0

    @property
    def version(self) -> int:
        """Newest known version."""
        return _version(self.newest)

    @property
    def is_deleted(self) -> bool:
        """Whether the newest version is a deletion."""
        return self.newest is not None and self.newest.record.deleted

    def may_change(self, record: DocumentRecord) -> bool:
        """Whether `merge` of the record may have an effect; spares its parsing."""
        if record.deleted:
            return record.version > self.absent_at
        if record.version <= self.absent_at:
            return False
        if record.version < _version(self.accepted):
            return self._may_fall_back_to(record.version)
        return record.version not in (self.version, _version(self.accepted))

    def _may_fall_back_to(self, version: int) -> bool:
        accepted = _version(self.accepted)
        lowest = max(self.absent_at, self.in_force, _version(self.fallback))
        return self.in_force < accepted and lowest < version < accepted

    def merge(self, known: Known) -> bool:
        """Take in a version; whether anything changed."""
        before = self._versions()
        record = known.record
        if record.deleted:
            self.absent_at = max(self.absent_at, record.version)
        elif record.version > self.absent_at and known.document is not None:
            if record.version > _version(self.accepted):
                self.accepted = known
            elif self._may_fall_back_to(record.version):
                self.fallback = known
        if record.version > self.version:
            self.newest = known
        if _version(self.accepted) <= self.absent_at:
            self.accepted = None
        if _version(self.fallback) <= self.absent_at:
            self.fallback = None
        return self._versions() != before

    def keep_in_force(self, document: ServiceDocument | None) -> None:
        """Keep the document in force for new nodes while `accepted` is held."""
        self.in_force = document.version if document else 0
        if document is None or self.accepted is None:
            return
        if document.version >= self.accepted.record.version:
            self.fallback = None
        elif document.version > max(self.absent_at, _version(self.fallback)):
            text = canonical_text(document)
            record = DocumentRecord(document.service, document.version, False, text)
            self.fallback = Known(record, document)

    def _versions(self) -> tuple[int, int, int]:
        return (self.version, _version(self.accepted), _version(self.fallback))

    def extras(self) -> Iterator[DocumentRecord]:
        """Give older records that a node without them needs beside the newest."""
        if self.newest is None or self.is_deleted:
            return
        if self.accepted is not self.newest:
            if self.accepted is not None:
                yield self.accepted.record
            if self.absent_at:
                yield DocumentRecord(self.newest.record.service, self.absent_at, True)
        if self.fallback is not None:
            yield self.fallback.record


def _version(known: Known | None) -> int:
    return known.record.version if known else 0
