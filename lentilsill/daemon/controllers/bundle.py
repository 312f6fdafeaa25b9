"""Stores the newest bundle of documents and puts it in force."""

from dataclasses import replace
from typing import Any

import structlog
import xxhash
from msgspec import structs
from result import Err, Ok, Result

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.distribution import PatchError, TextPatch, TextVersions
from lentilsill.documents import Bundle, BundleReader, without_organisations
from lentilsill.findings import Findings
from lentilsill.versioning import (
    HeldVersion,
    RejectedVersion,
    Snapshot,
    VersionOrder,
    era_of,
    format_position,
    has_numbers,
    revision_of,
    supersedes,
)
from lentilsill.wire.features import ORGANISATIONS
from lentilsill.wire.messages import Delta, DocumentRow, Message, PatchRow

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
        # Whether a patch of the newest version did not fit: peers have another text of
        # it, as releases may translate a version differently.
        self._has_other_text = False
        self._reader = BundleReader()
        self._rejected: RejectedVersion | None = None
        # Number that the author of the newest version gave; None if it is rejected.
        self._newest_number: int | None = None
        # Text in force, which differs from the newest one if that is rejected.
        self._in_force_text = ""
        self._in_force_since = 0.0
        # Newest text that was sent without organisations, and what was sent.
        self._plain_text = ("", "")
        ctx.board.dump_parts["documents"] = self.dump
        if ctx.cfg.organisations:
            ctx.links.adapters[ORGANISATIONS] = self._without_organisations

    @property
    def content_hash(self) -> int:
        """64-bit hash of the newest known revision.

        It includes the one in force if the newest is rejected: peers that have none in
        force must get it.
        """
        revisions = self.bundle_version.to_bytes(8, "big")
        if self._rejected is not None:
            revisions += self._in_force_revision.to_bytes(8, "big")
        return xxhash.xxh3_64_intdigest(revisions)

    @property
    def bundle_version(self) -> int:
        """Newest known revision, valid or not."""
        return self._versions.version

    @property
    def patch_base(self) -> int:
        """Version to which patches of peers apply; 0 if peers have another text."""
        return 0 if self._has_other_text else self.bundle_version

    def merge(self, delta: Delta) -> Delta | None:
        """Apply a newer bundle; return the delta to forward, or None if not newer."""
        version_before = self.bundle_version
        rows = sorted(
            (row for row in delta.rows if not row[2]), key=lambda row: -row[1]
        )
        is_behind = self._is_from_store_behind(delta)
        for name, version, _, text in rows:
            self._offer(name, version, text, is_behind)
        if not rows:
            self._add_patches(delta.patches)
        if delta.full or delta.base <= self.complete_as_of:
            self.complete_as_of = max(self.complete_as_of, delta.complete_as_of)
        if self.bundle_version == version_before:
            return None
        # There is only one object: no earlier change can be missing.
        self.complete_as_of = max(self.complete_as_of, self.bundle_version)
        return self.delta_since(version_before, version_before)

    def lacks_patch_base(self, delta: Delta) -> bool:
        """Return whether the delta has a patch of a bundle that this node lacks."""
        newest, base = self.bundle_version, self.patch_base
        return any(row[1] > newest and row[2] != base for row in delta.patches)

    def delta_since(self, base: int, held: int = 0) -> Delta:
        """Return the bundle if it has changed after revision `base`.

        A receiver that holds revision `held` gets a patch if this node still has
        the text of that revision and the patch is much shorter than the bundle. One
        that holds a revision of another era gets the bundle, and decides itself which
        of the two is newer.
        """
        complete_up_to = max(base, self.complete_as_of)
        newest = self.bundle_version
        is_same_era = not held or era_of(held) == era_of(newest)
        if newest == held or (is_same_era and newest <= base):
            return Delta(base, complete_up_to, False, self._in_force_rows())
        patch = self._versions.patch_from(held) if held else None
        if patch is None:
            rows = self._newest_rows() + self._in_force_rows()
            return Delta(base, complete_up_to, False, rows)
        row: PatchRow = (self._name, newest, held, patch.text_hash, patch.parts)
        return Delta(base, base, False, (), patches=(row,))

    def _without_organisations(self, message: Message) -> Message:
        """Return a message for a peer whose texts lack the organisations.

        It gets no patches: its text of a version need not be this node's text without
        the organisations, since another release may translate other parts differently.
        """
        if not isinstance(message, Delta):
            return message
        rows = message.rows
        if message.patches:
            rows = self._newest_rows() + self._in_force_rows()
        plain_rows = tuple(
            (name, version, is_deleted, self._make_plain(text))
            for name, version, is_deleted, text in rows
        )
        return structs.replace(message, rows=plain_rows, patches=())

    def _make_plain(self, text: str) -> str:
        if text != self._plain_text[0]:
            self._plain_text = (text, without_organisations(text))
        return self._plain_text[1]

    def _is_from_store_behind(self, delta: Delta) -> bool:
        """Return whether a listing shows a copy that is behind what was read before."""
        theirs, mine = delta.complete_as_of, self.complete_as_of
        is_new_era = delta.full and era_of(theirs) > era_of(mine)
        return is_new_era and revision_of(theirs) <= revision_of(mine)

    def _offer(self, name: str, version: int, text: str, is_behind: bool) -> None:
        """Take a version as the newest one, or at least put it in force, if it is."""
        held = self.bundle_version
        if version == held:
            return
        if held and era_of(version) == era_of(held):
            is_newest = version > held
        else:
            is_newest = not held or self._is_newer_across_eras(
                name, version, text, is_behind
            )
        if is_newest:
            has_same_text = text == self._versions.text
            self._name = name
            self._versions.keep(version, text)
            self._has_other_text = False
            if has_same_text:
                self._adopt_revision(version)
            else:
                self._apply_newest()
        elif self._rejected is not None and version != self._in_force_revision:
            self._apply_valid(version, text)

    def _is_newer_across_eras(
        self, name: str, version: int, text: str, is_behind: bool
    ) -> bool:
        number = _read_number(self._reader.read(text, version))
        candidate = VersionOrder(version, number)
        newest = VersionOrder(self.bundle_version, self._newest_number)
        is_in_doubt = (
            is_behind and number is not None and not has_numbers(candidate, newest)
        )
        is_newer = not is_in_doubt and supersedes(candidate, newest)
        if not is_newer and version > self.bundle_version:
            self.ctx.count("documents.older_copies")
            log.info(
                "older_copy_ignored",
                service=name,
                revision=format_position(version),
                newest=format_position(self.bundle_version),
            )
        return is_newer

    def _add_patches(self, rows: tuple[PatchRow, ...]) -> None:
        for name, version, base, text_hash, parts in rows:
            if base != self.bundle_version:
                continue
            try:
                text = self._versions.patched(TextPatch(parts, text_hash))
            except PatchError as exc:
                self._has_other_text = True
                self.ctx.count("documents.bad_patches")
                log.warning(
                    "patch_rejected", service=name, version=version, error=str(exc)
                )
            else:
                self._offer(name, version, text, is_behind=False)

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

    @property
    def _in_force_revision(self) -> int:
        return self.in_force.revision if self.in_force is not None else 0

    def _in_force_rows(self) -> tuple[DocumentRow, ...]:
        """Return the version in force if it is another one than the newest."""
        if self._rejected is None or self.in_force is None:
            return ()
        return ((self._name, self.in_force.revision, False, self._in_force_text),)

    def _newest_rows(self) -> tuple[DocumentRow, ...]:
        if not self.bundle_version:
            return ()
        return ((self._name, self.bundle_version, False, self._versions.text),)

    def _apply_newest(self) -> None:
        name, revision = self._name, self.bundle_version
        match self._reader.read(self._versions.text, revision):
            case Err(findings):
                self._newest_number = None
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
                self._newest_number = bundle.version
                self._rejected = None
                if self._supersedes_in_force(bundle):
                    self._put_in_force(bundle, self._versions.text)
        self.ctx.board.notify(Topic.DOCUMENTS)

    def _apply_valid(self, version: int, text: str) -> None:
        """Put a version in force in place of the newest one, which is rejected."""
        match self._reader.read(text, version):
            case Ok(bundle) if self._supersedes_in_force(bundle):
                self._put_in_force(bundle, text)

    def _adopt_revision(self, revision: int) -> None:
        """Note that the newest text was written again, at another revision."""
        if self._rejected is not None:
            self._rejected = replace(self._rejected, version=revision)
        elif self.in_force is not None:
            self.in_force = replace(self.in_force, revision=revision)
            self.ctx.board.notify(Topic.IN_FORCE)
        self.ctx.board.notify(Topic.DOCUMENTS)

    def _supersedes_in_force(self, bundle: Bundle) -> bool:
        return self.in_force is None or supersedes(
            VersionOrder(bundle.revision, bundle.version),
            VersionOrder(self.in_force.revision, self.in_force.version),
        )

    def _put_in_force(self, bundle: Bundle, text: str) -> None:
        replaced = self.in_force.version if self.in_force is not None else 0
        self.in_force = bundle
        self._in_force_text = text
        self._in_force_since = self.ctx.now()
        board = self.ctx.board
        board.snapshot = Snapshot(
            bundle.documents,
            self.complete_as_of,
            bundle.caller_limits,
            bundle.hosts,
            bundle.organisations,
        )
        self.ctx.count("documents.in_force_changed")
        log.info(
            "bundle_applied",
            version=bundle.version,
            replaces=replaced,
            revision=bundle.revision,
            documents=len(bundle.documents) + len(bundle.hosts),
            instance=self.ctx.links.identity.instance,
            monotonic_s=self.ctx.now(),
        )
        board.notify(Topic.IN_FORCE)

    def dump(self) -> dict[str, Any]:
        """Return this controller's part of the state dump."""
        bundle = self.in_force
        return {
            "complete_as_of": self.complete_as_of,
            "newest_revision": self.bundle_version,
            "in_force": bundle and {"version": bundle.version, "rev": bundle.revision},
            "in_force_for_s": round(self.ctx.now() - self._in_force_since, 3),
        }


def _read_number(result: Result[Bundle, Findings]) -> int | None:
    match result:
        case Ok(bundle):
            return bundle.version
    return None
