"""Versions of documents, and the snapshot of those in force.

The version of a document is the platform's revision at its write; each write of any
object increases the revision. An invalid version is rejected, a valid one accepted. An
accepted version is held until all of its references are satisfied, and is then put in
force: the node uses it for calls.
"""

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
