"""Keeps the bundle of documents of a node and puts it in force."""

from typing import Any

import structlog
import xxhash
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.documents import Bundle, parse_bundle
from lentilsill.versioning import HeldVersion, RejectedVersion, Snapshot
from lentilsill.wire.messages import Delta, DocumentRow

__all__ = ["BundleController"]

# Findings that one log event lists.
LOGGED_FINDINGS = 5

log = structlog.get_logger()


class BundleController:
    """The `Documents` of a node whose documents come as one object.

    The bundle of the highest revision is in force, as a whole. One that can't
    be read changes nothing, and is kept for peers, which must agree on what is
    newest.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.complete_as_of = 0
        self.in_force: Bundle | None = None
        self._newest: DocumentRow | None = None
        self._rejected: RejectedVersion | None = None
        self._changed_at = 0.0
        ctx.board.dump_parts["documents"] = self.dump

    @property
    def content_hash(self) -> int:
        """Hash of the newest known revision, 64 bits."""
        revision = self._newest[1] if self._newest is not None else 0
        return xxhash.xxh3_64_intdigest(revision.to_bytes(8, "big"))

    def merge(self, delta: Delta) -> Delta | None:
        """Take in the bundle when it is newer; give it to pass on, or None."""
        rows = [row for row in delta.rows if not row[2]]
        newest = max(rows, key=lambda row: row[1], default=None)
        known = self._newest[1] if self._newest is not None else 0
        is_new = newest is not None and newest[1] > known
        if is_new:
            self._newest = newest
        if delta.full or delta.base <= self.complete_as_of:
            self.complete_as_of = max(self.complete_as_of, delta.complete_as_of)
        if not is_new or newest is None:
            return None
        self._put_in_force(newest)
        bound = self.complete_as_of
        return Delta(min(delta.base, bound), bound, False, (newest,))

    def delta_since(self, base: int) -> Delta:
        """Give the bundle if it has changed after revision `base`."""
        newest = self._newest
        rows = (newest,) if newest is not None and newest[1] > base else ()
        return Delta(base, max(base, self.complete_as_of), False, rows)

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Give the newest known revision by name of the object."""
        return {row[0]: (row[1], False) for row in self._newest_rows()}

    def accepted_versions(self) -> dict[str, int]:
        """Give the newest valid revision, which is the one in force."""
        return self.in_force_versions()

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Give the newest revision if it could not be read."""
        if self._rejected is None:
            return {}
        return {row[0]: self._rejected for row in self._newest_rows()}

    def held_versions(self) -> dict[str, HeldVersion]:
        """Give nothing: a bundle refers to nothing outside of it."""
        return {}

    def in_force_versions(self) -> dict[str, int]:
        """Give the revision in force by name of the object."""
        if self.in_force is None:
            return {}
        return {row[0]: self.in_force.revision for row in self._newest_rows()}

    def _newest_rows(self) -> list[DocumentRow]:
        return [] if self._newest is None else [self._newest]

    def _put_in_force(self, row: DocumentRow) -> None:
        name, revision, _, text = row
        board = self.ctx.board
        match parse_bundle(text, revision):
            case Err(findings):
                self._rejected = RejectedVersion(revision, findings)
                self.ctx.count("documents.rejected")
                log.warning(
                    "document_rejected",
                    service=name,
                    version=revision,
                    findings=[str(finding) for finding in findings][:LOGGED_FINDINGS],
                    findings_count=len(findings.items),
                )
            case Ok(bundle):
                self._rejected = None
                old = self.in_force.version if self.in_force is not None else 0
                self.in_force = bundle
                self._changed_at = self.ctx.now()
                board.snapshot = Snapshot(
                    bundle.documents, self.complete_as_of, bundle.caller_limits
                )
                self.ctx.count("documents.in_force_changed")
                log.info(
                    "bundle_applied",
                    version=bundle.version,
                    replaces=old,
                    revision=revision,
                    documents=len(bundle.documents),
                )
                board.changed(Topic.IN_FORCE)
        board.changed(Topic.DOCUMENTS)

    def dump(self) -> dict[str, Any]:
        """Give the state for the state dump."""
        bundle = self.in_force
        return {
            "complete_as_of": self.complete_as_of,
            "newest_revision": self._newest[1] if self._newest is not None else 0,
            "in_force": bundle and {"version": bundle.version, "rev": bundle.revision},
            "in_force_for_s": round(self.ctx.now() - self._changed_at, 3),
        }
