"""Notices of upstreams, held by the nodes that send them calls.

The node beside an upstream hears its notices first and keeps its limit. Entry nodes
hold the notices that came with their calls, and send them along with later calls: the
node beside the upstream may have been restarted since.
"""

from collections.abc import Callable
from dataclasses import replace

import structlog
from tornado.httputil import HTTPHeaders

from lentilsill.admission import Notice, RateLimiter, newer_notice, parse_limit
from lentilsill.daemon.integration import HeaderNames
from lentilsill.wire.messages import NoticeRow

__all__ = [
    "HeardNotices",
    "OnLeaving",
    "UpstreamNotices",
    "ignore_leaving",
    "notice_from_row",
    "notice_to_row",
]

# Notices on this many upstreams are held; the oldest is dropped first.
MAX_NOTICES = 5000

LEAVING_VALUE = "1"

# Called with the id of an upstream and the start of its process in ms, 0 if unknown.
OnLeaving = Callable[[str, int], None]

log = structlog.get_logger()


def ignore_leaving(upstream: str, started_ms: int) -> None:
    """Do nothing about an upstream that leaves."""


def notice_to_row(notice: Notice, now: float) -> NoticeRow:
    """Return the wire form of a notice, with its age instead of a time."""
    limit_per_s = -1.0 if notice.limit_per_s is None else notice.limit_per_s
    age_ms = max(0, round((now - notice.heard_at) * 1000))
    return NoticeRow(limit_per_s, age_ms, notice.started_ms, notice.is_leaving)


def notice_from_row(row: NoticeRow, now: float) -> Notice:
    """Return the notice of a row that was received at `now`."""
    limit_per_s = row.limit_per_s if row.limit_per_s >= 0 else None
    heard_at = now - max(0, row.age_ms) / 1000
    return Notice(limit_per_s, heard_at, row.started_ms, row.is_leaving)


class HeardNotices:
    """Notices that an entry node has heard from the nodes beside upstreams."""

    def __init__(self) -> None:
        self._notices: dict[str, Notice] = {}

    def record(self, upstream: str, row: NoticeRow | None, now: float) -> None:
        """Record the notice that came with the result of a call."""
        if row is None:
            return
        known = self._notices.pop(upstream, None)
        notice = newer_notice(known, notice_from_row(row, now))
        if notice.is_plain:
            return
        self._notices[upstream] = notice
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]

    def row(self, upstream: str, now: float) -> NoticeRow | None:
        """Return the notice to send along with a call, or None."""
        notice = self._notices.get(upstream)
        return None if notice is None else notice_to_row(notice, now)


class UpstreamNotices:
    """Notice of one upstream at the node beside it, and the limit that follows.

    `on_leaving` is called with the upstream and the start of its process when that
    says that it leaves.
    """

    def __init__(
        self,
        upstream: str,
        names: HeaderNames,
        on_leaving: OnLeaving,
    ) -> None:
        self._upstream = upstream
        self._names = names
        self._on_leaving = on_leaving
        self._has_bad_value = False
        self.notice: Notice | None = None
        self.limiter = RateLimiter()
        self.started_ms = 0
        # What was heard up to this time does not say any more that it leaves.
        self._returned_at = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream's process has said that it leaves."""
        return self.notice is not None and self.notice.is_leaving

    def set_started(self, started_ms: int, now: float) -> None:
        """Set when the upstream's process started; a new one has said nothing yet.

        The start may be earlier than before: the clock of the upstream's host, or
        another writer, may have named one that was ahead.
        """
        if not started_ms or started_ms == self.started_ms:
            return
        self.started_ms = started_ms
        known = self.notice
        if known is not None and known.started_ms not in (0, started_ms):
            self.notice = replace(known, started_ms=0, is_leaving=False)
            self._apply(Notice(None, now, started_ms), "start", now)

    def withdraw_leaving(self, now: float) -> None:
        """Forget that the upstream leaves, as its health check shows that it stays.

        Entry nodes may go on sending the notice along; it is ignored, as it is older.
        """
        self._returned_at = now
        if self.notice is not None:
            self.notice = replace(self.notice, is_leaving=False)

    def record_answer(self, headers: HTTPHeaders, heard_at: float, now: float) -> None:
        """Record what the head of an answer says; it arrived at `heard_at`."""
        known = self.notice
        limit_per_s = None
        text = next((headers[n] for n in self._names.limit if n in headers), None)
        if text is not None:
            try:
                limit_per_s = parse_limit(text)
            except ValueError as exc:
                limit_per_s = known.limit_per_s if known is not None else None
                if not self._has_bad_value:
                    log.warning(
                        "notice_unreadable", upstream=self._upstream, error=str(exc)
                    )
                self._has_bad_value = True
        is_leaving = any(headers.get(n) == LEAVING_VALUE for n in self._names.leaving)
        notice = Notice(limit_per_s, heard_at, self.started_ms, is_leaving)
        if known is not None or not notice.is_plain:
            self._apply(notice, "answer", now)

    def record_peer(self, row: NoticeRow | None, now: float) -> None:
        """Record the notice that an entry node sent along with its call."""
        if row is None:
            return
        # A notice without a start may come from an earlier process.
        if self.started_ms in (0, row.started_ms):
            notice = notice_from_row(row, now)
            if notice.heard_at <= self._returned_at:
                notice = replace(notice, is_leaving=False)
            self._apply(notice, "peer", now)

    def row(self, now: float) -> NoticeRow | None:
        """Return the notice to send along with a result, or None."""
        return None if self.notice is None else notice_to_row(self.notice, now)

    def _apply(self, notice: Notice, source: str, now: float) -> None:
        known = self.notice
        notice = newer_notice(known, notice)
        if notice == known:
            return
        self.notice = notice
        if notice.is_leaving and not (known is not None and known.is_leaving):
            log.info(
                "upstream_leaving",
                upstream=self._upstream,
                source=source,
                started_ms=notice.started_ms,
            )
            self._on_leaving(self._upstream, notice.started_ms)
        old_limit = known.limit_per_s if known is not None else None
        if notice.limit_per_s == old_limit:
            return
        self.limiter.set_limit(notice.limit_per_s, now)
        log.info(
            "upstream_limit",
            upstream=self._upstream,
            limit_per_s=notice.limit_per_s,
            was_per_s=old_limit,
            source=source,
            age_ms=round((now - notice.heard_at) * 1000),
            started_ms=notice.started_ms,
        )
