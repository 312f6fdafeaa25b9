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

__all__ = ["Changes", "DocumentRecord", "Entry", "ParsedRecord", "parse_record"]


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
class ParsedRecord:
    """A record with its parsed document, or the findings that reject it."""

    record: DocumentRecord
    document: ServiceDocument | None = None
    findings: Findings | None = None


def parse_record(record: DocumentRecord) -> ParsedRecord:
    """Validate a record; a valid one gets its canonical text."""
    if record.deleted:
        return ParsedRecord(DocumentRecord(record.service, record.version, True))
    match parse_document(record.text, record.service, record.version):
        case Ok(document):
            text = canonical_text(document)
            kept = DocumentRecord(record.service, record.version, False, text)
            return ParsedRecord(kept, document)
        case Err(findings):
            return ParsedRecord(record, None, findings)


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
        The version that is in force in place of `accepted` or of a deletion;
        during a merge, one that a peer has in force. It may be from before
        `absent_at`: a deletion is held while a document in force refers to the
        service.
    absent_at : int
        Highest revision at which the service is known not to have existed.
        Versions up to it belong to an earlier life of the service.
    in_force : int
        Version in force on this node; 0 for none.
    highest : int
        Highest version that has been in force on this node. Versions up to it
        never come into force here again.
    """

    absent_at: int
    newest: ParsedRecord | None = None
    accepted: ParsedRecord | None = None
    fallback: ParsedRecord | None = None
    in_force: int = 0
    highest: int = 0

    @property
    def version(self) -> int:
        """Newest known version."""
        return _version(self.newest)

    @property
    def is_deleted(self) -> bool:
        """Whether the newest version is a deletion."""
        return self.newest is not None and self.newest.record.deleted

    def holds(self, known: ParsedRecord) -> bool:
        """Whether a version is one of those kept."""
        return known in (self.newest, self.accepted, self.fallback)

    def may_change(self, record: DocumentRecord, is_held: bool = False) -> bool:
        """Whether `merge` of the record may have an effect; spares its parsing.

        `is_held` tells that a peer has the record in force behind a deletion.
        """
        if record.deleted:
            return record.version > self.absent_at or self.newest is None
        if record.version <= self.absent_at:
            return is_held and self._may_hold(record.version)
        if record.version < _version(self.accepted):
            return self._may_fall_back_to(record.version)
        return record.version not in (self.version, _version(self.accepted))

    def _may_hold(self, version: int) -> bool:
        return version > max(self.highest, _version(self.fallback))

    def _may_fall_back_to(self, version: int) -> bool:
        accepted = _version(self.accepted)
        lowest = max(self.absent_at, self.in_force, _version(self.fallback))
        return self.in_force < accepted and lowest < version < accepted

    def merge(self, known: ParsedRecord, is_held: bool = False) -> bool:
        """Take in a version; whether anything changed."""
        before = self._versions()
        record = known.record
        if record.deleted:
            self._end_life(record.version)
        elif known.document is not None:
            if record.version <= self.absent_at:
                if is_held and self._may_hold(record.version):
                    self.fallback = known
            elif record.version > _version(self.accepted):
                self.accepted = known
            elif self._may_fall_back_to(record.version):
                self.fallback = known
        if record.version > self.version:
            self.newest = known
        return self._versions() != before

    def _end_life(self, version: int) -> None:
        self.absent_at = max(self.absent_at, version)
        if _version(self.accepted) <= self.absent_at:
            self.accepted = None
        # `keep_in_force` keeps the version in force while the deletion is held.
        if self.in_force < _version(self.fallback) <= self.absent_at:
            self.fallback = None

    def keep_in_force(self, document: ServiceDocument | None) -> None:
        """Keep the document in force for new nodes while a newer state is held.

        A fallback that references don't allow here is dropped, so that the
        fallbacks of a node are always one consistent set.
        """
        self.in_force = document.version if document else 0
        self.highest = max(self.highest, self.in_force)
        if document is None or self.in_force == _version(self.accepted):
            self.fallback = None
        elif self.in_force != _version(self.fallback):
            text = canonical_text(document)
            record = DocumentRecord(document.service, document.version, False, text)
            self.fallback = ParsedRecord(record, document)

    def _versions(self) -> tuple[int, int, int]:
        return (self.version, _version(self.accepted), _version(self.fallback))

    def extras(self) -> Iterator[DocumentRecord]:
        """Give older records that a node without them needs beside the newest.

        A version from before a deletion travels with the deletion, which tells
        the receiver that it is held.
        """
        if self.newest is None:
            return
        if self.accepted is not None and self.accepted is not self.newest:
            yield self.accepted.record
        is_earlier = 0 < _version(self.fallback) <= self.absent_at
        is_rejected = self.accepted is not self.newest
        if self.absent_at and not self.is_deleted and (is_earlier or is_rejected):
            yield DocumentRecord(self.newest.record.service, self.absent_at, True)
        if self.fallback is not None:
            yield self.fallback.record

    def hash_text(self) -> str:
        """Give the versions that peers must agree on; empty for a deletion.

        The revision of a deletion is left out: one that was inferred from a
        listing differs between nodes.
        """
        if self.newest is None or (self.is_deleted and self.fallback is None):
            return ""
        version = 0 if self.is_deleted else self.version
        return f"{version}\0{_version(self.accepted)}\0{_version(self.fallback)}"


def _version(known: ParsedRecord | None) -> int:
    return known.record.version if known else 0
