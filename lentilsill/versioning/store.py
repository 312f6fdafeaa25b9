"""The documents that a node knows, and their merge."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import xxhash

from lentilsill.documents import references
from lentilsill.findings import Findings

from .records import Changes, DocumentRecord, Entry, ParsedRecord, parse_record
from .resolution import Resolution, resolve
from .snapshot import EMPTY_SNAPSHOT, Snapshot

__all__ = ["DocumentStore", "HeldVersion", "MergeResult", "RejectedVersion"]

# Beyond this number the oldest tombstones are dropped, and a node that is
# further behind gets all records in place of a delta.
MAX_TOMBSTONES = 256


@dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that validation refused."""

    version: int
    findings: Findings


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """An accepted version or deletion that is not in force yet, and why."""

    version: int
    deleted: bool
    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Effect of a merge.

    `new` holds what was new here, and `changes` the same as a message to
    peers, or None when nothing was new.
    """

    new: tuple[ParsedRecord, ...]
    changes: Changes | None
    in_force_changed: bool


class DocumentStore:
    """Newest known version of every service's document, and those in force.

    Records may arrive in any order and any number of times. Each part of an
    `Entry` only moves forward, so a merge never lowers a version in force, and
    stores that have seen the same records agree.

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
        self._entries: dict[str, Entry] = {}
        self._held: Mapping[str, tuple[str, ...]] = {}
        self._max_tombstones = max_tombstones
        # Deletions up to this revision may be missing here: their tombstones
        # were dropped, or they lie before a listing, which does not show them.
        self._deletions_unknown_to = 0
        # Highest version that was in force of a service whose tombstone was
        # dropped.
        self._highest_dropped = 0
        self._hash = 0

    @property
    def complete_as_of(self) -> int:
        """Revision up to which this store's knowledge has no gap."""
        return self.snapshot.complete_as_of

    @property
    def content_hash(self) -> int:
        """Hash of what peers must agree on, 64 bits.

        It covers, per service, the newest and the accepted version, and the
        version in force where that is another one. Deleted services are left
        out unless the deletion is held, so dropping a tombstone has no effect.
        """
        return self._hash

    def merge(self, changes: Changes) -> MergeResult:
        """Take in records of a peer or of the platform.

        The revision `complete_as_of` moves on only when the changes connect to
        it; records behind a gap are still taken in. A version that arrives
        with a later deletion of its service is one that the sender holds in
        force behind that deletion. It is used only when the sender knows at
        least as much as this store, when it is newer than any version that was
        in force here, and while a document in force refers to it.
        """
        before = self.complete_as_of
        new = self._take_records(changes)
        if changes.full:
            new += self._delete_absent(changes)
            if changes.complete_as_of > before:
                self._deletions_unknown_to = changes.complete_as_of
        complete = before
        if changes.full or changes.base <= before:
            complete = max(before, changes.complete_as_of)
        in_force_changed = self._put_in_force(complete, bool(new))
        new = [known for known in new if self._is_kept(known)]
        self._drop_tombstones()
        passed_on = self._changes_of(new, before) if new else None
        return MergeResult(tuple(new), passed_on, in_force_changed)

    def changes_since(self, base: int) -> Changes:
        """Give the records that a store complete as of `base` may lack.

        All records are given when deletions after `base` may be missing here.
        Older versions that are still in force in place of a rejected or held
        one are always included.
        """
        complete = self.complete_as_of
        base = min(base, complete)
        full = base <= 0 or base < self._deletions_unknown_to
        records: list[DocumentRecord] = []
        for _, entry in sorted(self._entries.items()):
            if entry.newest is None:
                continue
            extras = tuple(entry.extras())
            listed = not entry.is_deleted or entry.version > complete or extras
            if listed if full else entry.version > base or extras:
                records += (entry.newest.record, *extras)
        return Changes(
            0 if full else self._widest_base(base), complete, full, tuple(records)
        )

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Give (newest version, whether it is a deletion) by service."""
        return {
            name: (entry.version, entry.is_deleted)
            for name, entry in sorted(self._entries.items())
        }

    def in_force_versions(self) -> dict[str, int]:
        """Give the version in force by service."""
        documents = self.snapshot.documents
        return {name: document.version for name, document in documents.items()}

    def accepted_versions(self) -> dict[str, int]:
        """Give the newest valid version by service; deleted ones are left out."""
        return {
            name: entry.accepted.record.version
            for name, entry in sorted(self._entries.items())
            if entry.accepted is not None
        }

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Give the services whose newest version is rejected, with findings."""
        return {
            name: RejectedVersion(entry.version, entry.newest.findings)
            for name, entry in sorted(self._entries.items())
            if entry.newest is not None and entry.newest.findings is not None
        }

    def held_versions(self) -> dict[str, HeldVersion]:
        """Give the accepted versions and deletions that are not in force."""
        held = {}
        for name, reasons in sorted(self._held.items()):
            entry = self._entries[name]
            if entry.accepted is not None:
                version, deleted = entry.accepted.record.version, False
            else:
                version = entry.version if entry.is_deleted else entry.absent_at
                deleted = True
            held[name] = HeldVersion(version, deleted, reasons)
        return held

    def _take_records(self, changes: Changes) -> list[ParsedRecord]:
        by_service: dict[str, list[DocumentRecord]] = defaultdict(list)
        for record in changes.records:
            by_service[record.service].append(record)
        is_current = changes.complete_as_of >= self.complete_as_of
        new: list[ParsedRecord] = []
        for service, records in sorted(by_service.items()):
            records.sort(key=lambda record: record.version, reverse=True)
            new += self._take_service(service, records, is_current)
        return new

    def _take_service(
        self, service: str, records: list[DocumentRecord], is_current: bool = False
    ) -> list[ParsedRecord]:
        """Merge records of one service, highest version first."""
        held_below = max([r.version for r in records if r.deleted], default=0)
        if not is_current:
            held_below = 0
        entry = self._entries.get(service)
        if entry is None:
            # The service did not exist as of complete_as_of, so an older
            # version comes from a peer that has not seen the deletion, or that
            # holds it.
            is_stale = records[0].version <= self.complete_as_of
            if is_stale and not self._may_hold(records, held_below):
                return []
            entry = Entry(self.complete_as_of, highest=self._highest_dropped)
            self._entries[service] = entry
        new = []
        for record in records:
            is_held = record.version < held_below
            if entry.may_change(record, is_held):
                known = parse_record(record)
                if entry.merge(known, is_held):
                    new.append(known)
        return new

    def _may_hold(self, records: list[DocumentRecord], held_below: int) -> bool:
        return records[0].deleted and any(
            self._highest_dropped < record.version < held_below for record in records
        )

    def _is_kept(self, known: ParsedRecord) -> bool:
        """Whether a version has an effect; forget a deletion without one."""
        service = known.record.service
        entry = self._entries.get(service)
        if entry is None:
            return False
        if known.record.deleted and known.record.version <= entry.absent_at:
            is_unused = entry.version < entry.absent_at and entry.is_deleted
            if is_unused and entry.fallback is None:
                del self._entries[service]
                return False
            return True
        return entry.holds(known)

    def _delete_absent(self, changes: Changes) -> list[ParsedRecord]:
        listed = {record.service for record in changes.records}
        new = []
        for service, entry in sorted(self._entries.items()):
            if service in listed or entry.is_deleted:
                continue
            record = DocumentRecord(service, changes.complete_as_of, True)
            new += self._take_service(service, [record])
        return new

    def _put_in_force(self, complete: int, entries_changed: bool) -> bool:
        documents = self.snapshot.documents
        if not entries_changed:
            if complete != self.complete_as_of:
                self.snapshot = Snapshot(documents, complete)
            return False
        resolution = self._resolve()
        self._held = resolution.held
        changed = _versions(resolution.documents) != _versions(documents)
        if changed:
            documents = MappingProxyType(dict(sorted(resolution.documents.items())))
        self.snapshot = Snapshot(documents, complete)
        self._hash = 0
        for service, entry in self._entries.items():
            entry.keep_in_force(documents.get(service))
            self._hash ^= _text_hash(service, entry.hash_text())
        return changed

    def _resolve(self) -> Resolution:
        newest, at_peers = {}, {}
        for service, entry in self._entries.items():
            if entry.accepted is not None and entry.accepted.document is not None:
                newest[service] = entry.accepted.document
            if entry.fallback is not None and entry.fallback.document is not None:
                at_peers[service] = entry.fallback.document
        return resolve(newest, self.snapshot.documents, at_peers)

    def _changes_of(self, new: list[ParsedRecord], before: int) -> Changes:
        """Give what was new, with the other changes that its revisions cover."""
        if self.complete_as_of > before:
            changes = self.changes_since(before)
        else:
            changes = Changes(before, before, False, ())
        records = dict.fromkeys((*changes.records, *(known.record for known in new)))
        return Changes(
            changes.base, changes.complete_as_of, changes.full, tuple(records)
        )

    def _widest_base(self, base: int) -> int:
        """Give the lowest base for which the same records are the changes.

        Revisions of other kinds of objects lie between those of documents. The
        lower base connects to receivers that have not heard of them.
        """
        versions = [e.version for e in self._entries.values() if e.version <= base]
        return max([self._deletions_unknown_to, *versions])

    def _drop_tombstones(self) -> None:
        """Drop the oldest deletions beyond the limit that nothing refers to.

        Once `complete_as_of` covers a deletion, an older record of the service
        is recognised as stale without the tombstone.
        """
        deleted = [e for e in self._entries.values() if e.is_deleted]
        excess = len(deleted) - self._max_tombstones
        if excess <= 0:
            return
        wanted = set(self.snapshot.documents)
        for document in self.snapshot.documents.values():
            needs = references(document)
            wanted |= needs.services | {service for service, _ in needs.upstream_sets}
        for service, entry in sorted(
            self._entries.items(), key=lambda item: item[1].version
        ):
            if excess <= 0 or not entry.is_deleted:
                continue
            if service not in wanted and entry.version <= self.complete_as_of:
                del self._entries[service]
                self._highest_dropped = max(self._highest_dropped, entry.highest)
                self._deletions_unknown_to = max(
                    self._deletions_unknown_to, entry.version
                )
                excess -= 1


def _versions(documents: Mapping) -> dict[str, int]:
    return {service: document.version for service, document in documents.items()}


def _text_hash(service: str, text: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}\0{text}".encode()) if text else 0
