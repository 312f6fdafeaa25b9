"""Versions of documents and the snapshot that is in force."""

from .snapshot import EMPTY_SNAPSHOT, Snapshot

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]
