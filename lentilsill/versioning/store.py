"""The store of the documents that a node knows, and the merge of changes."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import xxhash

from lentilsill.documents import references
from lentilsill.findings import Findings

from .records import Changes, DocumentRecord, ParsedRecord, ServiceEntry, parse_record
from .resolution import Resolution, resolve
from .snapshot import EMPTY_SNAPSHOT, Snapshot

__all__ = ["DocumentStore", "HeldVersion", "MergeResult", "RejectedVersion"]

# Above this number the oldest tombstones (records of deletions) are dropped.
# A node that lacks a dropped one receives all records instead of a delta.
MAX_TOMBSTONES = 256


@dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that failed validation."""

    version: int
    findings: Findings


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """An accepted version or deletion that is not yet in force, and the reasons."""

    version: int
    deleted: bool
    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Effect of a merge.

    `new` lists the records that were new to the store. `changes` is what to
    send to peers, or None if nothing was new.
    """

    new: tuple[ParsedRecord, ...]
    changes: Changes | None
    in_force_changed: bool


class DocumentStore:
    """Newest known version of every service's document, and the versions in force.

    Records may arrive in any order and any number of times. No part of a
    `ServiceEntry` returns to an earlier state, so a merge never lowers a version
    in force, and stores that have received the same records agree.

    See Also
    --------
    resolve : chooses the documents in force.

    Examples
    --------
    >>> store = DocumentStore()
    >>> record = DocumentRecord("slots", 4, False, '{"service": "slots"}')
    >>> _ = store.merge(Changes(0, 4, True, (record,)))
    >>> store.snapshot.documents["slots"].version, store.complete_as_of
    (4, 4)
    """

    def __init__(self, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._entries: dict[str, ServiceEntry] = {}
        self._held: Mapping[str, tuple[str, ...]] = {}
        self._max_tombstones = max_tombstones
        # Deletions up to this revision may be missing from the store: their
        # tombstones were dropped, or they precede a listing, which omits them.
        self._deletions_missing_up_to = 0
        # Highest version that was in force, over all services whose tombstones
        # were dropped.
        self._highest_in_force_dropped = 0
        self._hash = 0

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the store has every change."""
        return self.snapshot.complete_as_of

    @property
    def content_hash(self) -> int:
        """64-bit hash of the versions that peers must agree on.

        For each service it covers the newest and the accepted version, and the
        version in force if that is a different one. Deleted services are left
        out unless the deletion is held, so dropping a tombstone does not change
        the hash.
        """
        return self._hash

    def merge(self, changes: Changes) -> MergeResult:
        """Merge records from a peer or from the platform.

        The revision `complete_as_of` only advances if the changes leave no gap
        after it; records after a gap are merged nevertheless. A version that
        arrives together with a later deletion of its service is still in force
        at the sender, which holds the deletion. Such a version is used only if
        the sender is complete up to at least the revision of this store, if the
        version is higher than any that was in force in this store, and while a
        document in force refers to the service.
        """
        before = self.complete_as_of
        new = self._merge_records(changes)
        if changes.full:
            new += self._delete_absent(changes)
            if changes.complete_as_of > before:
                self._deletions_missing_up_to = changes.complete_as_of
        complete_to = before
        if changes.full or changes.base <= before:
            complete_to = max(before, changes.complete_as_of)
        in_force_changed = self._update_in_force(complete_to, bool(new))
        new = [parsed for parsed in new if self._is_kept(parsed)]
        self._drop_tombstones()
        peer_changes = self._changes_for_peers(new, before) if new else None
        return MergeResult(tuple(new), peer_changes, in_force_changed)

    def changes_since(self, base: int) -> Changes:
        """Return the records that a store complete as of `base` may lack.

        All records are returned if deletions after `base` may be missing from
        this store. Older versions that are still in force in place of a
        rejected or held one are always included.
        """
        complete_to = self.complete_as_of
        base = min(base, complete_to)
        is_full = base <= 0 or base < self._deletions_missing_up_to
        records: list[DocumentRecord] = []
        for _, entry in sorted(self._entries.items()):
            if entry.newest is None:
                continue
            older_records = tuple(entry.older_records())
            is_listed = (
                not entry.is_deleted or entry.version > complete_to or older_records
            )
            if is_listed if is_full else entry.version > base or older_records:
                records += (entry.newest.record, *older_records)
        return Changes(
            0 if is_full else self._lowest_base(base),
            complete_to,
            is_full,
            tuple(records),
        )

    def newest_record(self, service: str) -> DocumentRecord | None:
        """Return the newest known version of a service; None if there is none."""
        entry = self._entries.get(service)
        return entry.newest.record if entry is not None and entry.newest else None

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Return (newest version, whether it is a deletion) by service."""
        return {
            name: (entry.version, entry.is_deleted)
            for name, entry in sorted(self._entries.items())
        }

    def in_force_versions(self) -> dict[str, int]:
        """Return the version in force by service."""
        documents = self.snapshot.documents
        return {name: document.version for name, document in documents.items()}

    def accepted_versions(self) -> dict[str, int]:
        """Return the newest valid version by service, without deleted services."""
        return {
            name: entry.accepted.record.version
            for name, entry in sorted(self._entries.items())
            if entry.accepted is not None
        }

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Return the newest versions that are rejected, by service, with findings."""
        return {
            name: RejectedVersion(entry.version, entry.newest.findings)
            for name, entry in sorted(self._entries.items())
            if entry.newest is not None and entry.newest.findings is not None
        }

    def held_versions(self) -> dict[str, HeldVersion]:
        """Return the accepted versions and deletions not in force, by service."""
        held = {}
        for name, reasons in sorted(self._held.items()):
            entry = self._entries[name]
            if entry.accepted is not None:
                version, deleted = entry.accepted.record.version, False
            else:
                version = entry.version if entry.is_deleted else entry.absent_as_of
                deleted = True
            held[name] = HeldVersion(version, deleted, reasons)
        return held

    def _merge_records(self, changes: Changes) -> list[ParsedRecord]:
        by_service: dict[str, list[DocumentRecord]] = defaultdict(list)
        for record in changes.records:
            by_service[record.service].append(record)
        is_sender_current = changes.complete_as_of >= self.complete_as_of
        new: list[ParsedRecord] = []
        for service, records in sorted(by_service.items()):
            records.sort(key=lambda record: record.version, reverse=True)
            new += self._merge_service(service, records, is_sender_current)
        return new

    def _merge_service(
        self,
        service: str,
        records: list[DocumentRecord],
        is_sender_current: bool = False,
    ) -> list[ParsedRecord]:
        """Merge records of one service, given in descending order of version."""
        deletion_version = max([r.version for r in records if r.deleted], default=0)
        if not is_sender_current:
            deletion_version = 0
        entry = self._entries.get(service)
        if entry is None:
            # The service did not exist as of complete_as_of, so an older version
            # comes from a peer that does not know of the deletion, or holds it.
            is_stale = records[0].version <= self.complete_as_of
            if is_stale and not self._can_hold(records, deletion_version):
                return []
            entry = ServiceEntry(
                self.complete_as_of, highest_in_force=self._highest_in_force_dropped
            )
            self._entries[service] = entry
        new = []
        for record in records:
            is_held_by_peer = record.version < deletion_version
            if entry.can_change(record, is_held_by_peer):
                parsed = parse_record(record)
                if entry.merge(parsed, is_held_by_peer):
                    new.append(parsed)
        return new

    def _can_hold(self, records: list[DocumentRecord], deletion_version: int) -> bool:
        return records[0].deleted and any(
            self._highest_in_force_dropped < record.version < deletion_version
            for record in records
        )

    def _is_kept(self, parsed: ParsedRecord) -> bool:
        """Return whether the version is still kept; drop a deletion without effect."""
        service = parsed.record.service
        entry = self._entries.get(service)
        if entry is None:
            return False
        if parsed.record.deleted and parsed.record.version <= entry.absent_as_of:
            is_unused = entry.version < entry.absent_as_of and entry.is_deleted
            if is_unused and entry.fallback is None:
                del self._entries[service]
                return False
            return True
        return entry.contains(parsed)

    def _delete_absent(self, changes: Changes) -> list[ParsedRecord]:
        listed = {record.service for record in changes.records}
        new = []
        for service, entry in sorted(self._entries.items()):
            if service in listed or entry.is_deleted:
                continue
            record = DocumentRecord(service, changes.complete_as_of, True)
            new += self._merge_service(service, [record])
        return new

    def _update_in_force(self, complete_to: int, has_new_records: bool) -> bool:
        documents = self.snapshot.documents
        if not has_new_records:
            if complete_to != self.complete_as_of:
                self.snapshot = Snapshot(documents, complete_to)
            return False
        resolution = self._resolve()
        self._held = resolution.held
        has_changed = _versions(resolution.documents) != _versions(documents)
        if has_changed:
            documents = MappingProxyType(dict(sorted(resolution.documents.items())))
        self.snapshot = Snapshot(documents, complete_to)
        self._hash = 0
        for service, entry in self._entries.items():
            entry.set_in_force(documents.get(service))
            self._hash ^= _entry_hash(service, entry.hash_input())
        return has_changed

    def _resolve(self) -> Resolution:
        newest, peer_documents = {}, {}
        for service, entry in self._entries.items():
            if entry.accepted is not None and entry.accepted.document is not None:
                newest[service] = entry.accepted.document
            if entry.fallback is not None and entry.fallback.document is not None:
                peer_documents[service] = entry.fallback.document
        return resolve(newest, self.snapshot.documents, peer_documents)

    def _changes_for_peers(self, new: list[ParsedRecord], since: int) -> Changes:
        """Return the new records and all other changes in the revisions they cover."""
        if self.complete_as_of > since:
            changes = self.changes_since(since)
        else:
            changes = Changes(since, since, False, ())
        records = dict.fromkeys((*changes.records, *(parsed.record for parsed in new)))
        return Changes(
            changes.base, changes.complete_as_of, changes.full, tuple(records)
        )

    def _lowest_base(self, base: int) -> int:
        """Return the lowest base after which the changes are the same records.

        The platform also counts revisions for other kinds of objects. Receivers
        that have not learned of these revisions can apply changes with the lower
        base without a gap.
        """
        versions = [e.version for e in self._entries.values() if e.version <= base]
        return max([self._deletions_missing_up_to, *versions])

    def _drop_tombstones(self) -> None:
        """Drop the oldest tombstones above the limit, except those referred to.

        Once `complete_as_of` covers a deletion, an older record of the service
        is recognised as stale without its tombstone.
        """
        deleted = [e for e in self._entries.values() if e.is_deleted]
        excess = len(deleted) - self._max_tombstones
        if excess <= 0:
            return
        needed = set(self.snapshot.documents)
        for document in self.snapshot.documents.values():
            refs = references(document)
            needed |= refs.services | {service for service, _ in refs.upstream_sets}
        for service, entry in sorted(
            self._entries.items(), key=lambda item: item[1].version
        ):
            if excess <= 0 or not entry.is_deleted:
                continue
            if service not in needed and entry.version <= self.complete_as_of:
                del self._entries[service]
                self._highest_in_force_dropped = max(
                    self._highest_in_force_dropped, entry.highest_in_force
                )
                self._deletions_missing_up_to = max(
                    self._deletions_missing_up_to, entry.version
                )
                excess -= 1


def _versions(documents: Mapping) -> dict[str, int]:
    return {service: document.version for service, document in documents.items()}


def _entry_hash(service: str, text: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}\0{text}".encode()) if text else 0
