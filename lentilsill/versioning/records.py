"""Versioned document records, and the versions of one service on a node."""

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

__all__ = ["Changes", "DocumentRecord", "ParsedRecord", "ServiceEntry", "parse_record"]


@dataclass(frozen=True, slots=True)
class DocumentRecord:
    """One version of a service's document, or its deletion.

    Parameters
    ----------
    service : str
    version : int
        Revision of the platform at the write. A deletion that is inferred from
        a listing has the listing's revision, which is an upper bound.
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
        """Make a record from the value of a platform object.

        A text over the size limit is truncated to one character more than the
        limit: every node then rejects the version for its size, and no node
        has to keep or send the whole text.
        """
        try:
            text = value if isinstance(value, str) else json.dumps(value)
        except (TypeError, ValueError, RecursionError):
            text = ""
        return cls(service, version, False, text[: MAX_TEXT_BYTES + 1])

    def row(self) -> tuple[str, int, bool, str]:
        """Return the record as a row of a `Delta` message."""
        return (self.service, self.version, self.deleted, self.text)


@dataclass(frozen=True, slots=True)
class Changes:
    """Records changed after `base`, complete up to `complete_as_of`.

    If `full` is true, these are all records and `base` is 0: a service without
    a record is deleted as of `complete_as_of`.
    """

    base: int
    complete_as_of: int
    full: bool
    records: tuple[DocumentRecord, ...]


@dataclass(frozen=True, slots=True)
class ParsedRecord:
    """A record with its parsed document, or with the findings that reject it."""

    record: DocumentRecord
    document: ServiceDocument | None = None
    findings: Findings | None = None


def parse_record(record: DocumentRecord) -> ParsedRecord:
    """Validate a record; the text of a valid one is replaced by its canonical text."""
    if record.deleted:
        return ParsedRecord(DocumentRecord(record.service, record.version, True))
    match parse_document(record.text, record.service, record.version):
        case Ok(document):
            text = canonical_text(document)
            normalized = DocumentRecord(record.service, record.version, False, text)
            return ParsedRecord(normalized, document)
        case Err(findings):
            return ParsedRecord(record, None, findings)


@dataclass(slots=True)
class ServiceEntry:
    """The versions of one service that a node knows.

    No part of an entry returns to an earlier state.

    Parameters
    ----------
    newest : ParsedRecord or None
        Highest known version, which may be a deletion or rejected.
    accepted : ParsedRecord or None
        Highest valid version above `absent_as_of`.
    fallback : ParsedRecord or None
        The version that is in force in place of `accepted` or of a deletion;
        during a merge, a version that a peer has in force. It may be lower
        than `absent_as_of`, because a deletion is held while a document in
        force refers to the service.
    absent_as_of : int
        Highest revision at which the service is known not to have existed.
        Versions up to it were written before the service was deleted.
    in_force : int
        Version in force on this node; 0 for none.
    highest_in_force : int
        Highest version that has been in force on this node. Versions up to it
        never come into force on this node again.
    """

    absent_as_of: int
    newest: ParsedRecord | None = None
    accepted: ParsedRecord | None = None
    fallback: ParsedRecord | None = None
    in_force: int = 0
    highest_in_force: int = 0

    @property
    def version(self) -> int:
        """Newest known version; 0 if none is known."""
        return _version(self.newest)

    @property
    def is_deleted(self) -> bool:
        """Whether the newest version is a deletion."""
        return self.newest is not None and self.newest.record.deleted

    def contains(self, parsed: ParsedRecord) -> bool:
        """Return whether the entry keeps this version."""
        return parsed in (self.newest, self.accepted, self.fallback)

    def can_change(self, record: DocumentRecord, is_held_by_peer: bool = False) -> bool:
        """Return whether merging the record can have an effect.

        A record that can have none need not be parsed. `is_held_by_peer` is true
        if a peer holds the deletion of the service and has the record in force.
        """
        if record.deleted:
            return record.version > self.absent_as_of or self.newest is None
        if record.version <= self.absent_as_of:
            return is_held_by_peer and self._can_hold(record.version)
        if record.version < _version(self.accepted):
            return self._can_fall_back_to(record.version)
        return record.version not in (self.version, _version(self.accepted))

    def _can_hold(self, version: int) -> bool:
        return version > max(self.highest_in_force, _version(self.fallback))

    def _can_fall_back_to(self, version: int) -> bool:
        accepted = _version(self.accepted)
        lower_bound = max(self.absent_as_of, self.in_force, _version(self.fallback))
        return self.in_force < accepted and lower_bound < version < accepted

    def merge(self, parsed: ParsedRecord, is_held_by_peer: bool = False) -> bool:
        """Merge a version and return whether the entry changed."""
        before = self._versions()
        record = parsed.record
        if record.deleted:
            self._apply_deletion(record.version)
        elif parsed.document is not None:
            if record.version <= self.absent_as_of:
                if is_held_by_peer and self._can_hold(record.version):
                    self.fallback = parsed
            elif record.version > _version(self.accepted):
                self.accepted = parsed
            elif self._can_fall_back_to(record.version):
                self.fallback = parsed
        if record.version > self.version:
            self.newest = parsed
        return self._versions() != before

    def _apply_deletion(self, version: int) -> None:
        self.absent_as_of = max(self.absent_as_of, version)
        if _version(self.accepted) <= self.absent_as_of:
            self.accepted = None
        # Only a fallback that is not in force is dropped here. `set_in_force` keeps
        # the version in force as the fallback while the deletion is held.
        if self.in_force < _version(self.fallback) <= self.absent_as_of:
            self.fallback = None

    def set_in_force(self, document: ServiceDocument | None) -> None:
        """Record the document in force, or None if there is none.

        While a newer version or a deletion is held, the document in force is the
        fallback, which new nodes receive. A fallback that this node cannot use
        because of references is dropped, so that the fallbacks of a node always
        form one consistent set.
        """
        self.in_force = document.version if document else 0
        self.highest_in_force = max(self.highest_in_force, self.in_force)
        if document is None or self.in_force == _version(self.accepted):
            self.fallback = None
        elif self.in_force != _version(self.fallback):
            text = canonical_text(document)
            record = DocumentRecord(document.service, document.version, False, text)
            self.fallback = ParsedRecord(record, document)

    def _versions(self) -> tuple[int, int, int]:
        return (self.version, _version(self.accepted), _version(self.fallback))

    def older_records(self) -> Iterator[DocumentRecord]:
        """Yield the older records that a new node needs in addition to the newest.

        A version from before a deletion is sent together with the deletion, from
        which the receiver concludes that the deletion is held.
        """
        if self.newest is None:
            return
        if self.accepted is not None and self.accepted is not self.newest:
            yield self.accepted.record
        is_fallback_deleted = 0 < _version(self.fallback) <= self.absent_as_of
        is_newest_rejected = self.accepted is not self.newest
        if (
            self.absent_as_of
            and not self.is_deleted
            and (is_fallback_deleted or is_newest_rejected)
        ):
            yield DocumentRecord(self.newest.record.service, self.absent_as_of, True)
        if self.fallback is not None:
            yield self.fallback.record

    def hash_input(self) -> str:
        """Return the versions that peers must agree on, as text to be hashed.

        The text is empty for a deletion that is not held. The revision of a
        deletion is left out, because revisions that are inferred from listings
        differ between nodes.
        """
        if self.newest is None or (self.is_deleted and self.fallback is None):
            return ""
        version = 0 if self.is_deleted else self.version
        return f"{version}\0{_version(self.accepted)}\0{_version(self.fallback)}"


def _version(parsed: ParsedRecord | None) -> int:
    return parsed.record.version if parsed else 0
