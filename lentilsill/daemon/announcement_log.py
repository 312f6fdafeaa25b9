"""Log lines and counters of announcements that do not count."""

import structlog

from lentilsill.findings import Findings
from lentilsill.membership import (
    Announcement,
    CheckedUpstream,
    Disputed,
    Objection,
    Outdated,
    Refused,
)

from .context import Context

__all__ = ["AnnouncementLog"]

# A sender that goes on writes a line of each kind at this interval.
LOG_INTERVAL_S = 10.0

log = structlog.get_logger()


class AnnouncementLog:
    """Counts announcements that do not count, and logs some of them.

    The field `count` of a line is the number of such announcements since the last line
    of its kind, this one included.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        # By event and objection: time of the last line, and announcements since.
        self._logged_at: dict[tuple[str, Objection | None], float] = {}
        self._counts: dict[tuple[str, Objection | None], int] = {}

    def record(
        self, announcement: Announcement, verdict: Outdated | Disputed | Refused
    ) -> None:
        """Record the verdict on an announcement that does not count."""
        match verdict:
            case Outdated():
                event, name = "announcement_superseded", "superseded"
            case Disputed():
                event, name = "announcement_disputed", "disputed"
            case Refused(objection=Objection.DOUBTED):
                event, name = "announcement_doubted", "refused"
            case Refused():
                event, name = "announcement_refused", "refused"
        objection, known = verdict.objection, verdict.known
        self._ctx.count(f"announcements.{name}.{objection.value}")
        count = self._due_count(event, objection)
        if not count:
            return
        rec = announcement.record
        log.info(
            event,
            reason=objection.value,
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

    def record_overruled(
        self,
        announcement: Announcement,
        objection: Objection,
        check: CheckedUpstream | None,
    ) -> None:
        """Record that an announcement counts in spite of an objection."""
        self._ctx.count(f"announcements.overruled.{objection.value}")
        count = self._due_count("announcement_overruled", objection)
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

    def record_rejected(self, upstream: str, findings: Findings) -> None:
        """Record an announcement or deletion that can't be read."""
        self._ctx.count("announcements.rejected")
        count = self._due_count("announcement_rejected")
        if count:
            texts = [str(finding) for finding in findings]
            log.warning(
                "announcement_rejected", upstream=upstream, findings=texts, count=count
            )

    def _due_count(self, event: str, objection: Objection | None = None) -> int:
        """Return how many announcements the line now due stands for, or 0."""
        key, now = (event, objection), self._ctx.now()
        self._counts[key] = self._counts.get(key, 0) + 1
        if now - self._logged_at.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return 0
        self._logged_at[key] = now
        return self._counts.pop(key)
