"""Versions of documents, and the snapshot of those in force.

The version of a document is the platform's position at its write (`positions`); each
write of any object increases the revision. An invalid version is rejected, a valid one
accepted. An accepted version is held until all of its references are satisfied, and is
then put in force: the node uses it for calls.
"""

from .known_texts import KnownTexts
from .positions import (
    MAX_ERA,
    MAX_REVISION,
    VersionOrder,
    era_of,
    format_position,
    has_numbers,
    make_position,
    parse_position,
    revision_of,
    supersedes,
)
from .records import Changes, DocumentRecord, ParsedRecord, parse_record
from .resolution import Resolution, broken_references, resolve
from .snapshot import EMPTY_SNAPSHOT, Snapshot
from .store import DocumentStore, HeldVersion, MergeResult, RejectedVersion

__all__ = [
    "EMPTY_SNAPSHOT",
    "MAX_ERA",
    "MAX_REVISION",
    "Changes",
    "DocumentRecord",
    "DocumentStore",
    "HeldVersion",
    "KnownTexts",
    "MergeResult",
    "ParsedRecord",
    "RejectedVersion",
    "Resolution",
    "Snapshot",
    "VersionOrder",
    "broken_references",
    "era_of",
    "format_position",
    "has_numbers",
    "make_position",
    "parse_position",
    "parse_record",
    "resolve",
    "revision_of",
    "supersedes",
]
