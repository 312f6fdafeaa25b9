"""Announcements by which upstreams report their state to the node of their host."""

import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Literal

import structlog
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)
from result import Err, Ok, Result

from lentilsill.findings import Findings
from lentilsill.membership import (
    Announcement,
    UpstreamRecord,
    UpstreamState,
    is_superseded,
)
from lentilsill.wire.addresses import check_address

from .blackboard import Topic
from .context import Context

__all__ = ["MAX_SLOTS", "Announcements", "parse_announcement"]

MAX_UPSTREAMS = 64
MAX_LABELS = 16
MAX_SLOTS = 100_000

_UPSTREAM_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,62}")
_Label = Annotated[str, StringConstraints(max_length=63)]
_Service = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
_Address = Annotated[str, AfterValidator(check_address)]

log = structlog.get_logger()


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    service: _Service
    address: _Address
    slots: int = Field(ge=1, le=MAX_SLOTS)
    labels: dict[_Label, _Label] = Field(default={}, max_length=MAX_LABELS)
    state: Literal["starting", "ready", "leaving"]


def parse_announcement(upstream: str, text: bytes) -> Result[Announcement, Findings]:
    """Parse an announcement; the findings list all of its problems.

    Examples
    --------
    >>> parse_announcement("w1", b'{"service": "slots"}').unwrap_err().items[0].place
    'address'
    """
    findings = Findings()
    if not _UPSTREAM_ID.fullmatch(upstream):
        findings.add("id", f"expected {_UPSTREAM_ID.pattern}")
    try:
        body = _Body.model_validate_json(text)
    except ValidationError as exc:
        for error in exc.errors(include_url=False):
            place = ".".join(str(part) for part in error["loc"]) or "document"
            findings.add(place, error["msg"])
        return Err(findings)
    if findings:
        return Err(findings)
    record = UpstreamRecord(
        upstream,
        body.service,
        body.address,
        body.slots,
        tuple(sorted(body.labels.items())),
        UpstreamState[body.state.upper()],
    )
    return Ok(Announcement(record))


@dataclass(slots=True)
class _Deletion:
    """Start of a deleted process, None while it is unknown, and time of deletion."""

    started_ms: int | None
    deleted_ms: int


class Announcements:
    """Maintains `board.upstreams` from announcements, as its only writer.

    `on_upstream_crash` is called with the id of an upstream that is dropped without
    having been deleted: it was silent for the announce timeout, crashed, or was
    replaced by another process.
    """

    def __init__(
        self, ctx: Context, on_upstream_crash: Callable[[str], None] | None = None
    ) -> None:
        self.ctx = ctx
        self.on_upstream_crash = on_upstream_crash
        self._announced_at_s: dict[str, float] = {}
        self._newest_by_address: dict[str, Announcement] = {}
        # Upstreams by id that were deleted; a delayed announcement must not add
        # them again.
        self._deleted: dict[str, _Deletion] = {}
        self._is_first_ready_distrusted = False
        # Start of the leaving process by upstream, 0 while it is unknown.
        self._leaving: dict[str, int] = {}

    @property
    def has_announcements(self) -> bool:
        """Whether any upstream was announced or deleted since the node started."""
        return bool(self._newest_by_address or self._deleted)

    def distrust_first_ready(self) -> None:
        """Ignore the first ready announcement, after a failed health check.

        An earlier process of this node may have acknowledged that the upstream is
        leaving. The first announcement that it is ready may then be a delayed one,
        older than that acknowledgement; a newer one is accepted. This method has no
        effect when `has_announcements` is true.
        """
        self._is_first_ready_distrusted = not self.has_announcements

    def apply(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if the node has too many upstreams.

        An announcement that is older than the known state is accepted without
        effect.
        """
        rec = announcement.record
        configured_address = self.ctx.cfg.host_upstream_address
        if configured_address is not None:
            rec = replace(rec, address=configured_address)
        upstreams = self.ctx.board.upstreams
        newest = self._newest_by_address.get(rec.address)
        is_outdated = newest is not None and is_superseded(announcement, newest)
        if is_outdated or self._is_deleted(announcement):
            log.info(
                "announcement_superseded",
                upstream=rec.upstream,
                state=rec.state.name,
                sequence=announcement.sequence,
                known=newest.record.upstream if newest is not None else "",
                known_sequence=newest.sequence if newest is not None else 0,
            )
            return True
        if (
            len(self._newest_by_address) < MAX_UPSTREAMS
            or rec.address in self._newest_by_address
        ):
            self._newest_by_address[rec.address] = announcement
        if self._is_first_ready_distrusted:
            self._is_first_ready_distrusted = False
            # An announcement without a sequence comes from a health check and is
            # never delayed.
            if rec.state is UpstreamState.READY and announcement.sequence:
                log.info(
                    "announcement_doubted",
                    upstream=rec.upstream,
                    sequence=announcement.sequence,
                )
                return True
        for other, known in list(upstreams.items()):
            if known.address == rec.address and other != rec.upstream:
                self.drop(other, "replaced")
        if self._is_leaving(announcement):
            rec = replace(rec, state=UpstreamState.LEAVING)
        old = upstreams.get(rec.upstream)
        if old is None and len(upstreams) >= MAX_UPSTREAMS:
            return False
        if old is not None and (old.address, old.service) != (rec.address, rec.service):
            self.drop(rec.upstream, "replaced")
            old = None
        self._announced_at_s[rec.upstream] = self.ctx.now()
        new = self._with_ready_time(rec, old, announcement.started_ms or 0)
        if new != old:
            upstreams[rec.upstream] = new
            log.info("upstream_announced", upstream=rec.upstream, state=rec.state.name)
            self.ctx.board.notify(Topic.UPSTREAMS)
        return True

    def delete(self, upstream: str, started_ms: int | None = None) -> None:
        """Remove an upstream on its own request, and remember the deletion.

        A node that has just restarted may receive the deletion of an upstream that
        it doesn't know, and remembers that as well.
        """
        rec = self.ctx.board.upstreams.get(upstream)
        newest = self._newest_by_address.get(rec.address) if rec is not None else None
        known_ms = newest.started_ms if newest is not None else None
        if started_ms is not None and known_ms is not None and started_ms < known_ms:
            log.info("deletion_superseded", upstream=upstream, started_ms=started_ms)
            return
        deleted_started_ms = known_ms if started_ms is None else started_ms
        self._deleted[upstream] = _Deletion(deleted_started_ms, self.ctx.wall_ms())
        while len(self._deleted) > MAX_UPSTREAMS:
            del self._deleted[next(iter(self._deleted))]
        if not self.drop(upstream, "deleted"):
            log.info(
                "unknown_upstream_deleted",
                upstream=upstream,
                started_ms=deleted_started_ms,
            )

    def mark_leaving(self, upstream: str, started_ms: int) -> None:
        """Record that a process of an upstream said in an answer that it leaves.

        Announcements of the same process don't make it ready again; `started_ms` is
        its start, 0 if unknown.
        """
        rec = self.ctx.board.upstreams.get(upstream)
        if not started_ms and rec is not None:
            started_ms = rec.started_ms
        self._leaving[upstream] = started_ms
        while len(self._leaving) > MAX_UPSTREAMS:
            del self._leaving[next(iter(self._leaving))]
        if rec is not None and rec.state is not UpstreamState.LEAVING:
            self.ctx.board.upstreams[upstream] = replace(
                rec, state=UpstreamState.LEAVING
            )
            self.ctx.board.notify(Topic.UPSTREAMS)

    def _is_leaving(self, announcement: Announcement) -> bool:
        upstream, started_ms = announcement.record.upstream, announcement.started_ms
        left_ms = self._leaving.get(upstream)
        if left_ms is None:
            return False
        if not left_ms and started_ms:
            # The process that left was still running when this node started.
            left_ms = self._leaving[upstream] = started_ms
        if not started_ms or started_ms <= left_ms:
            return True
        del self._leaving[upstream]
        return False

    def _is_deleted(self, announcement: Announcement) -> bool:
        upstream = announcement.record.upstream
        started_ms = announcement.started_ms
        deletion = self._deleted.get(upstream)
        if deletion is None or started_ms is None:
            return False
        if deletion.started_ms is None and started_ms <= deletion.deleted_ms:
            # The announced process started before the deletion, so it is the deleted
            # one.
            deletion.started_ms = started_ms
        return deletion.started_ms is not None and started_ms <= deletion.started_ms

    def drop(self, upstream: str, reason: str) -> bool:
        """Remove an upstream; return False if it is unknown."""
        self._announced_at_s.pop(upstream, None)
        if self.ctx.board.upstreams.pop(upstream, None) is None:
            return False
        log.info("upstream_dropped", upstream=upstream, reason=reason)
        self.ctx.board.notify(Topic.UPSTREAMS)
        # An upstream that requests its deletion has not crashed and ends its calls.
        if self.on_upstream_crash is not None and reason != "deleted":
            self.on_upstream_crash(upstream)
        return True

    def excuse_silence(self, stalled_s: float) -> None:
        """Leave out of each silence a time in which the node read no announcements."""
        now_s = self.ctx.now()
        for upstream, announced_s in self._announced_at_s.items():
            self._announced_at_s[upstream] = min(now_s, announced_s + stalled_s)

    def drop_silent_upstreams(self) -> None:
        """Remove the upstreams that were not announced within the timeout."""
        timeout_s = self.ctx.cfg.membership.announce_timeout_s
        now_s = self.ctx.now()
        silent = [
            name
            for name, announced_s in self._announced_at_s.items()
            if now_s - announced_s >= timeout_s
        ]
        for upstream in silent:
            self.drop(upstream, "silent")

    def _with_ready_time(
        self, rec: UpstreamRecord, old: UpstreamRecord | None, started_ms: int
    ) -> UpstreamRecord:
        ready_at_ms = old.ready_at_ms if old is not None else 0
        became_ready = rec.state is UpstreamState.READY and (
            old is None or old.state is not UpstreamState.READY
        )
        if became_ready:
            ready_at_ms = self.ctx.wall_ms()
        return UpstreamRecord(
            rec.upstream,
            rec.service,
            rec.address,
            rec.slots,
            rec.labels,
            rec.state,
            ready_at_ms,
            started_ms,
        )
