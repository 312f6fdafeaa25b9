"""Stores the documents of a node, one for each service; puts them in force."""

from typing import Any

import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.platform import Listing, WatchBatch
from lentilsill.versioning import (
    Changes,
    DocumentRecord,
    DocumentStore,
    KnownTexts,
    MergeResult,
    ParsedRecord,
    era_of,
    format_position,
    parse_record,
    revision_of,
)
from lentilsill.wire.messages import Delta

__all__ = [
    "DocumentsController",
    "delta_from_batch",
    "delta_from_listing",
]

log = structlog.get_logger()

# Maximum number of findings in one log event.
MAX_LOG_FINDINGS = 5


class DocumentsController:
    """Implements `Documents`; the only writer of the blackboard's snapshot."""

    def __init__(self, ctx: Context, store: DocumentStore | None = None) -> None:
        self.ctx = ctx
        self.store = store or DocumentStore()
        self._logged_held: dict[str, tuple[int, tuple[str, ...]]] = {}
        self._known_texts = KnownTexts()
        # Position from which on this node has seen the versions of the documents.
        self._followed_since = 0
        ctx.board.snapshot = self.store.snapshot
        ctx.board.dump_parts["documents"] = self.dump

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the node has every change."""
        return self.store.complete_as_of

    @property
    def content_hash(self) -> int:
        """64-bit hash of the versions that peers must agree on."""
        return self.store.content_hash

    def merge(self, delta: Delta) -> Delta | None:
        """Merge documents; return the new ones to forward, or None."""
        if self._is_first_of_era(delta):
            delta = self._without_older_copies(delta)
        merged = self.store.merge(_to_changes(delta))
        self._record_texts(delta, merged)
        self._publish(merged)
        self._followed_since = self._followed_since or self.complete_as_of
        return _to_delta(merged.changes) if merged.changes else None

    def _is_first_of_era(self, delta: Delta) -> bool:
        mine = self.complete_as_of
        return delta.full and mine > 0 and era_of(delta.complete_as_of) > era_of(mine)

    def _record_texts(self, delta: Delta, merged: MergeResult) -> None:
        """Record the texts of a delta, also of versions that others have replaced."""
        new = {(p.record.service, p.record.version): p.record for p in merged.new}
        for row in delta.rows:
            name, version = row[0], row[1]
            newest = self.store.newest_record(name)
            if (name, version) in new:
                self._known_texts.add(new[name, version])
            elif newest is None or version != newest.version:
                self._known_texts.add(parse_record(DocumentRecord(*row)).record)

    def _without_older_copies(self, delta: Delta) -> Delta:
        """Return what was written since the store came back from a copy.

        The listing of a copy shows older versions again, and lacks documents that
        were created later; the operator writes these again. A text that this node
        has not seen is new, unless it may be older than what this node has seen.
        """
        mine = revision_of(self.complete_as_of)
        is_behind = revision_of(delta.complete_as_of) <= mine
        rows = []
        for row in delta.rows:
            record = parse_record(DocumentRecord(*row)).record
            name, version = record.service, record.version
            newest = self.store.newest_record(name)
            is_followed = revision_of(version) >= revision_of(self._followed_since)
            is_older = self._known_texts.has(record) or (is_behind and not is_followed)
            if newest is not None and newest.text != record.text and is_older:
                log.info(
                    "older_copy_ignored",
                    service=name,
                    revision=format_position(version),
                    newest=format_position(newest.version),
                )
            else:
                rows.append(row)
        return Delta(self.complete_as_of, delta.complete_as_of, False, tuple(rows))

    @property
    def bundle_version(self) -> int:
        """Always 0: documents of single services are never sent as patches."""
        return 0

    @property
    def patch_base(self) -> int:
        """Return 0: patches are made of bundles only."""
        return 0

    def lacks_patch_base(self, delta: Delta) -> bool:
        """Return False: documents of single services are never sent as patches."""
        return False

    def delta_since(self, base: int, held: int = 0) -> Delta:
        """Return the changes after `base`, or all documents if those are not kept."""
        return _to_delta(self.store.changes_since(base))

    def dump(self) -> dict[str, Any]:
        """Return this controller's part of the state dump."""
        in_force = self.store.snapshot.documents
        return {
            "complete_as_of": self.complete_as_of,
            "content_hash": f"{self.content_hash:016x}",
            "in_force": {name: doc.version for name, doc in in_force.items()},
            "accepted": self.store.accepted_versions(),
            "rejected": {
                name: {
                    "version": rejected.version,
                    "findings": [str(finding) for finding in rejected.findings],
                }
                for name, rejected in self.store.rejected_versions().items()
            },
            "held": {
                name: {
                    "version": held.version,
                    "deleted": held.deleted,
                    "reasons": list(held.reasons),
                }
                for name, held in self.store.held_versions().items()
            },
        }

    def _publish(self, merged: MergeResult) -> None:
        board = self.ctx.board
        board.snapshot = self.store.snapshot
        if not merged.new:
            return
        for parsed in merged.new:
            self._log_record(parsed)
        self._log_held()
        self.ctx.count("documents.merged", len(merged.new))
        self.ctx.gauge("documents.complete_as_of", self.complete_as_of)
        board.notify(Topic.DOCUMENTS)
        if merged.in_force_changed:
            self.ctx.count("documents.in_force_changed")
            self._log_in_force()
            board.notify(Topic.IN_FORCE)

    def _log_in_force(self) -> None:
        in_force = self.store.snapshot.documents
        log.info(
            "snapshot_applied",
            versions={name: doc.version for name, doc in in_force.items()},
            instance=self.ctx.links.identity.instance,
            monotonic_s=self.ctx.now(),
        )

    def _log_record(self, parsed: ParsedRecord) -> None:
        record = parsed.record
        record_log = log.bind(service=record.service, version=record.version)
        if record.deleted:
            record_log.info("document_deleted")
        elif parsed.findings is not None:
            self.ctx.count("documents.rejected")
            findings = [str(finding) for finding in parsed.findings][:MAX_LOG_FINDINGS]
            record_log.warning(
                "document_rejected",
                findings=findings,
                findings_count=len(parsed.findings),
            )
        else:
            record_log.info("document_accepted")

    def _log_held(self) -> None:
        held = {
            name: (version.version, version.reasons)
            for name, version in self.store.held_versions().items()
        }
        for name, (version, reasons) in held.items():
            if self._logged_held.get(name) != (version, reasons):
                log.warning(
                    "document_held", service=name, version=version, reasons=reasons
                )
        self._logged_held = held


def delta_from_listing(listing: Listing) -> Delta:
    """Convert a full listing of kind ``service`` into a delta."""
    records = (
        DocumentRecord.from_value(obj.name, obj.version, obj.value)
        for obj in listing.objects
    )
    return Delta(0, listing.revision, True, tuple(record.row() for record in records))


def delta_from_batch(since: int, batch: WatchBatch) -> Delta:
    """Convert the result of a watch on kind ``service`` into a delta.

    The watch started at revision `since`.
    """
    records = (
        DocumentRecord(obj.name, obj.version, True)
        if obj.deleted
        else DocumentRecord.from_value(obj.name, obj.version, obj.value)
        for obj in batch.changes
    )
    return Delta(
        since, batch.revision, False, tuple(record.row() for record in records)
    )


def _to_changes(delta: Delta) -> Changes:
    records = tuple(DocumentRecord(*row) for row in delta.rows)
    return Changes(delta.base, delta.complete_as_of, delta.full, records)


def _to_delta(changes: Changes) -> Delta:
    rows = tuple(record.row() for record in changes.records)
    return Delta(changes.base, changes.complete_as_of, changes.full, rows)
