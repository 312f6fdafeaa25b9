"""Log lines and counters of announcements that do not count."""

import structlog

from lentilsill.findings import Findings
from lentilsill.membership import (
    Accepted,
    Announcement,
    CheckedUpstream,
    Disputed,
    Objection,
    Outdated,
    Refused,
    Verdict,
)

from .context import Context

__all__ = ["AnnouncementLog"]

# A sender that goes on writes a line of each kind at this interval.
LOG_INTERVAL_S = 10.0

_DELETION = "deletion"
# Verdict, or that it is a deletion, and objection of announcements that share a line.
_Kind = tuple[type[Verdict] | str, Objection]

log = structlog.get_logger()


class AnnouncementLog:
    """Counts announcements that do not count, and logs some of them.

    The field `count` of a line is the number of such announcements since the last line
    of its kind, this one included.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        # By kind, None for those that can't be read: time of the last line, and
        # announcements since.
        self._logged_at: dict[_Kind | None, float] = {}
        self._counts: dict[_Kind | None, int] = {}

    def record(
        self, announcement: Announcement, verdict: Outdated | Disputed | Refused
    ) -> None:
        """Record the verdict on an announcement that does not count."""
        reason = verdict.objection.value
        match verdict:
            case Outdated():
                self._ctx.count(f"announcements.superseded.{reason}")
            case Disputed():
                self._ctx.count(f"announcements.disputed.{reason}")
            case Refused():
                self._ctx.count(f"announcements.refused.{reason}")
        count = self._due_count((type(verdict), verdict.objection))
        if not count:
            return
        rec, known = announcement.record, verdict.known
        record_log = log.bind(
            reason=reason,
            upstream=rec.upstream,
            service=rec.service,
            address=rec.address,
            state=rec.state.name,
            sequence=announcement.sequence,
            started_ms=announcement.started_ms,
            known=known.record.upstream if known is not None else "",
            known_sequence=known.sequence if known is not None else 0,
            known_started_ms=known.started_ms if known is not None else None,
            count=count,
        )
        match verdict:
            case Outdated():
                record_log.info("announcement_superseded")
            case Disputed():
                record_log.info("announcement_disputed")
            case Refused(objection=Objection.DOUBTED):
                record_log.info("announcement_doubted")
            case Refused():
                record_log.info("announcement_refused")

    def record_overruled(
        self,
        announcement: Announcement,
        objection: Objection,
        check: CheckedUpstream | None,
    ) -> None:
        """Record that an announcement counts in spite of an objection."""
        self._ctx.count(f"announcements.overruled.{objection.value}")
        count = self._due_count((Accepted, objection))
        if not count:
            return
        log.info(
            "announcement_overruled",
            reason=objection.value,
            evidence="health_check" if check is not None else "announcements",
            upstream=announcement.record.upstream,
            state=announcement.record.state.name,
            sequence=announcement.sequence,
            started_ms=announcement.started_ms,
            count=count,
        )

    def record_deletion(
        self, upstream: str, started_ms: int | None, verdict: Disputed | Refused
    ) -> None:
        """Record the verdict on a deletion that does not count."""
        reason = verdict.objection.value
        self._ctx.count(f"announcements.deletions_ignored.{reason}")
        count = self._due_count((_DELETION, verdict.objection))
        if count:
            log.info(
                "deletion_superseded",
                reason=reason,
                upstream=upstream,
                started_ms=started_ms,
                count=count,
            )

    def record_rejected(self, upstream: str, findings: Findings) -> None:
        """Record an announcement or deletion that can't be read."""
        self._ctx.count("announcements.rejected")
        count = self._due_count(None)
        if count:
            texts = [str(finding) for finding in findings]
            log.warning(
                "announcement_rejected", upstream=upstream, findings=texts, count=count
            )

    def _due_count(self, kind: _Kind | None) -> int:
        """Return how many announcements the line now due stands for, or 0."""
        now = self._ctx.now()
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if now - self._logged_at.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return 0
        self._logged_at[kind] = now
        return self._counts.pop(kind)
