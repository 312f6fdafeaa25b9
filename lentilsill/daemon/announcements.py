"""Announcements by which upstreams report their state to the node of their host."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import replace
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
    Accepted,
    Announcement,
    AnnouncementOrder,
    CheckedUpstream,
    Disputed,
    HostUpstream,
    Objection,
    Outdated,
    Refused,
    UpstreamRecord,
    UpstreamState,
    Verdict,
)
from lentilsill.wire.addresses import check_address

from .announcement_log import AnnouncementLog
from .blackboard import Topic
from .context import Context

__all__ = ["MAX_SLOTS", "Announcements", "CheckUpstream", "parse_announcement"]

MAX_UPSTREAMS = 64
MAX_LABELS = 16
MAX_SLOTS = 100_000

_UPSTREAM_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,62}")
_Label = Annotated[str, StringConstraints(max_length=63)]
_Service = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
_Address = Annotated[str, AfterValidator(check_address)]

CheckUpstream = Callable[[], Awaitable[CheckedUpstream | None]]

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


class Announcements:
    """Maintains `board.upstreams` from announcements, as its only writer.

    `on_upstream_crash` is called with the id of an upstream that is dropped without
    having been deleted: it was silent for the announce timeout, crashed, or was
    replaced by another process. `check_upstream` sends a health check to the upstream
    of this host and returns what it answered, or None; it is None without such checks.
    `on_upstream_return` is called with the id of an upstream that had said that it
    leaves, and has not left.
    """

    def __init__(
        self, ctx: Context, on_upstream_crash: Callable[[str], None] | None = None
    ) -> None:
        self.ctx = ctx
        self.on_upstream_crash = on_upstream_crash
        self.check_upstream: CheckUpstream | None = None
        self.on_upstream_return: Callable[[str], None] | None = None
        self._announced_at_s: dict[str, float] = {}
        self._order = AnnouncementOrder()
        self._log = AnnouncementLog(ctx)

    @property
    def has_announcements(self) -> bool:
        """Whether any announcement or deletion has counted since the node started."""
        return self._order.has_announcements

    def doubt_ready(self) -> None:
        """Doubt announcements that the upstream is ready, after a failed health check.

        See `AnnouncementOrder.doubt_ready`.
        """
        self._order.doubt_ready()

    async def settle(self, announcement: Announcement) -> Verdict:
        """Apply an announcement, after a health check if that can decide about it."""
        verdict = self.apply(announcement)
        if isinstance(verdict, Disputed):
            check = await self._check()
            if check is not None:
                return self.apply(announcement, check)
            if verdict.objection is Objection.STAYING:
                self._order.forget_stay(announcement.record.upstream)
                return self.apply(announcement)
        return verdict

    async def settle_deletion(self, upstream: str, started_ms: int | None) -> Verdict:
        """Apply a deletion, after a health check if that can decide about it."""
        verdict = self.delete(upstream, started_ms)
        if isinstance(verdict, Disputed):
            check = await self._check()
            if check is not None:
                return self.delete(upstream, started_ms, check)
            if verdict.objection is Objection.STAYING:
                self._order.forget_stay(upstream)
                return self.delete(upstream, started_ms)
        return verdict

    def apply(
        self, announcement: Announcement, check: CheckedUpstream | None = None
    ) -> Verdict:
        """Apply an announcement if it counts, and return the verdict on it.

        `check` is the answer to a health check that was sent after the announcement
        had arrived.
        """
        rec = announcement.record
        upstreams = self.ctx.board.upstreams
        in_use = self._on_address(rec.address)
        if check is not None and in_use is not None and not check.names(in_use):
            self.drop(in_use.upstream, "replaced")
            in_use = None
        is_full = len(upstreams) >= MAX_UPSTREAMS and rec.upstream not in upstreams
        if is_full and in_use is None:
            refusal = Refused(Objection.TOO_MANY)
            self._log.record(announcement, refusal)
            return refusal
        verdict = self._order.judge(
            announcement, self._host(), in_use, self.ctx.now(), check
        )
        match verdict:
            case Accepted(overruled=overruled):
                if overruled is not None:
                    self._log.record_overruled(announcement, overruled, check)
                self._put(announcement)
                if overruled is Objection.LEFT and self.on_upstream_return is not None:
                    self.on_upstream_return(rec.upstream)
            case Outdated() | Disputed() | Refused():
                self._log.record(announcement, verdict)
                if verdict.is_alive and rec.upstream in upstreams:
                    self._announced_at_s[rec.upstream] = self.ctx.now()
        return verdict

    def reject(self, upstream: str, findings: Findings) -> None:
        """Record an announcement or deletion that can't be read."""
        self._log.record_rejected(upstream, findings)

    def delete(
        self,
        upstream: str,
        started_ms: int | None = None,
        check: CheckedUpstream | None = None,
    ) -> Verdict:
        """Remove an upstream on its own request, and return the verdict on that."""
        verdict = self._order.judge_deletion(
            upstream,
            started_ms,
            self._host(),
            self.ctx.board.upstreams.get(upstream),
            self.ctx.now(),
            self.ctx.wall_ms(),
            check,
        )
        if isinstance(verdict, Disputed | Refused):
            self._log.record_deletion(upstream, started_ms, verdict)
        elif not self.drop(upstream, "deleted"):
            log.info(
                "unknown_upstream_deleted", upstream=upstream, started_ms=started_ms
            )
        return verdict

    def mark_leaving(self, upstream: str, started_ms: int) -> None:
        """Record that a process of an upstream said in an answer that it leaves.

        Announcements of the same process don't make it ready again; `started_ms` is
        its start, 0 if unknown.
        """
        rec = self.ctx.board.upstreams.get(upstream)
        if not started_ms and rec is not None:
            started_ms = rec.started_ms
        self._order.mark_leaving(upstream, started_ms)
        if rec is not None and rec.state is not UpstreamState.LEAVING:
            self.ctx.board.upstreams[upstream] = replace(
                rec, state=UpstreamState.LEAVING
            )
            self.ctx.board.notify(Topic.UPSTREAMS)

    async def _check(self) -> CheckedUpstream | None:
        """Check the upstream; None if its answer is older than what is known of it."""
        assert self.check_upstream is not None
        departure_count = self._order.departure_count
        check = await self.check_upstream()
        if self._order.departure_count != departure_count:
            return None
        return check

    def _host(self) -> HostUpstream:
        cfg = self.ctx.cfg
        return HostUpstream(
            cfg.host_service,
            cfg.host_upstream_address or "",
            cfg.membership.announce_timeout_s,
            self.check_upstream is not None,
        )

    def _on_address(self, address: str) -> UpstreamRecord | None:
        records = self.ctx.board.upstreams.values()
        return next((rec for rec in records if rec.address == address), None)

    def _put(self, announcement: Announcement) -> None:
        rec = announcement.record
        upstreams = self.ctx.board.upstreams
        for other, known in list(upstreams.items()):
            if known.address == rec.address and other != rec.upstream:
                self.drop(other, "replaced")
        old = upstreams.get(rec.upstream)
        if old is not None and (old.address, old.service) != (rec.address, rec.service):
            self.drop(rec.upstream, "replaced")
            old = None
        self._announced_at_s[rec.upstream] = self.ctx.now()
        new = self._with_ready_time(rec, old, announcement.started_ms or 0)
        if new != old:
            upstreams[rec.upstream] = new
            log.info("upstream_announced", upstream=rec.upstream, state=rec.state.name)
            self.ctx.board.notify(Topic.UPSTREAMS)

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
