"""Stores the newest bundle of documents and puts it in force."""

from typing import Any

import structlog
import xxhash
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.distribution import PatchError, TextPatch, TextVersions
from lentilsill.documents import Bundle, BundleReader
from lentilsill.versioning import HeldVersion, RejectedVersion, Snapshot
from lentilsill.wire.messages import Delta, DocumentRow, PatchRow

__all__ = ["BundleController"]

# Maximum number of findings in one log event.
MAX_LOG_FINDINGS = 5

log = structlog.get_logger()


class BundleController:
    """Implements `Documents` for a node whose documents are one platform object.

    The newest valid bundle is in force, as a whole. An invalid one does not
    change what is in force, but it is kept as the newest, because peers must agree
    on the newest revision.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.complete_as_of = 0
        self.in_force: Bundle | None = None
        self._name = ""
        self._versions = TextVersions()
        self._reader = BundleReader()
        self._rejected: RejectedVersion | None = None
        self._in_force_since = 0.0
        ctx.board.dump_parts["documents"] = self.dump

    @property
    def content_hash(self) -> int:
        """64-bit hash of the newest known revision."""
        return xxhash.xxh3_64_intdigest(self.bundle_version.to_bytes(8, "big"))

    @property
    def bundle_version(self) -> int:
        """Newest known revision, valid or not."""
        return self._versions.version

    def merge(self, delta: Delta) -> Delta | None:
        """Apply a newer bundle; return the delta to forward, or None if not newer."""
        version_before = self.bundle_version
        if not self._add_rows(delta.rows):
            self._add_patches(delta.patches)
        if delta.full or delta.base <= self.complete_as_of:
            self.complete_as_of = max(self.complete_as_of, delta.complete_as_of)
        if self.bundle_version == version_before:
            return None
        # There is only one object: no earlier change can be missing.
        self.complete_as_of = max(self.complete_as_of, self.bundle_version)
        self._apply_newest()
        return self.delta_since(version_before, version_before)

    def lacks_patch_base(self, delta: Delta) -> bool:
        """Return whether the delta has a patch to a version newer than the bundle."""
        return any(row[1] > self.bundle_version for row in delta.patches)

    def delta_since(self, base: int, held: int = 0) -> Delta:
        """Return the bundle if it has changed after revision `base`.

        A receiver that holds revision `held` gets a patch if this node still has
        the text of that revision and the patch is much shorter than the bundle.
        """
        complete_up_to = max(base, self.complete_as_of)
        if self.bundle_version <= base:
            return Delta(base, complete_up_to, False, ())
        patch = self._versions.patch_from(held) if held else None
        if patch is None:
            return Delta(base, complete_up_to, False, self._newest_rows())
        row: PatchRow = (
            self._name,
            self.bundle_version,
            held,
            patch.text_hash,
            patch.parts,
        )
        return Delta(base, base, False, (), patches=(row,))

    def _add_rows(self, rows: tuple[DocumentRow, ...]) -> bool:
        undeleted = (row for row in rows if not row[2])
        newest = max(undeleted, key=lambda row: row[1], default=None)
        if newest is None or not self._versions.add(newest[1], newest[3]):
            return False
        self._name = newest[0]
        return True

    def _add_patches(self, rows: tuple[PatchRow, ...]) -> None:
        for name, version, base, text_hash, parts in rows:
            try:
                self._versions.add_patch(version, base, TextPatch(parts, text_hash))
            except PatchError as exc:
                self.ctx.count("documents.bad_patches")
                log.warning(
                    "patch_rejected", service=name, version=version, error=str(exc)
                )

    def newest_versions(self) -> dict[str, tuple[int, bool]]:
        """Return the newest known revision, never a deletion, by object name."""
        return {row[0]: (row[1], False) for row in self._newest_rows()}

    def accepted_versions(self) -> dict[str, int]:
        """Return the newest valid revision, which is the one in force."""
        return self.in_force_versions()

    def rejected_versions(self) -> dict[str, RejectedVersion]:
        """Return the newest revision if it is invalid."""
        if self._rejected is None:
            return {}
        return {row[0]: self._rejected for row in self._newest_rows()}

    def held_versions(self) -> dict[str, HeldVersion]:
        """Return no versions: a bundle has no outside references to wait for."""
        return {}

    def in_force_versions(self) -> dict[str, int]:
        """Return the revision in force by object name."""
        if self.in_force is None:
            return {}
        return {row[0]: self.in_force.revision for row in self._newest_rows()}

    def _newest_rows(self) -> tuple[DocumentRow, ...]:
        if not self.bundle_version:
            return ()
        return ((self._name, self.bundle_version, False, self._versions.text),)

    def _apply_newest(self) -> None:
        name, revision = self._name, self.bundle_version
        board = self.ctx.board
        match self._reader.read(self._versions.text, revision):
            case Err(findings):
                self._rejected = RejectedVersion(revision, findings)
                self.ctx.count("documents.rejected")
                log.warning(
                    "document_rejected",
                    service=name,
                    version=revision,
                    findings=[str(finding) for finding in findings][:MAX_LOG_FINDINGS],
                    findings_count=len(findings.items),
                )
            case Ok(bundle):
                self._rejected = None
                replaced = self.in_force.version if self.in_force is not None else 0
                self.in_force = bundle
                self._in_force_since = self.ctx.now()
                board.snapshot = Snapshot(
                    bundle.documents,
                    self.complete_as_of,
                    bundle.caller_limits,
                    bundle.hosts,
                )
                self.ctx.count("documents.in_force_changed")
                log.info(
                    "bundle_applied",
                    version=bundle.version,
                    replaces=replaced,
                    revision=revision,
                    documents=len(bundle.documents) + len(bundle.hosts),
                    instance=self.ctx.links.identity.instance,
                    monotonic_s=self.ctx.now(),
                )
                board.notify(Topic.IN_FORCE)
        board.notify(Topic.DOCUMENTS)

    def dump(self) -> dict[str, Any]:
        """Return this controller's part of the state dump."""
        bundle = self.in_force
        return {
            "complete_as_of": self.complete_as_of,
            "newest_revision": self.bundle_version,
            "in_force": bundle and {"version": bundle.version, "rev": bundle.revision},
            "in_force_for_s": round(self.ctx.now() - self._in_force_since, 3),
        }
