"""Versions of documents, and the snapshot of those in force."""

from .records import Changes, DocumentRecord, ParsedRecord, parse_record
from .resolution import Resolution, broken_references, resolve
from .snapshot import EMPTY_SNAPSHOT, Snapshot
from .store import DocumentStore, HeldVersion, MergeResult, RejectedVersion

__all__ = [
    "EMPTY_SNAPSHOT",
    "Changes",
    "DocumentRecord",
    "DocumentStore",
    "HeldVersion",
    "MergeResult",
    "ParsedRecord",
    "RejectedVersion",
    "Resolution",
    "Snapshot",
    "broken_references",
    "parse_record",
    "resolve",
]
