"""Quarantine of requests that crash their upstreams."""

from collections.abc import Callable, Iterable

import structlog

from lentilsill.daemon.context import Context
from lentilsill.quarantine import CrashTracker
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.messages import CrashReport

__all__ = ["QuarantineController"]

MAX_REPORT_ROWS = 1000

log = structlog.get_logger()


class QuarantineController:
    """Implements `CrashGuard` and spreads crashes to the own domain.

    `peers` gives the peer addresses that are sent a report; all other members
    of the domain when it is not given.
    """

    def __init__(
        self, ctx: Context, peers: Callable[[], Iterable[str]] | None = None
    ) -> None:
        self.ctx = ctx
        self.peers = peers or self._members
        self.tracker = CrashTracker()

    def start(self) -> None:
        """Register the message handler and the part of the state dump."""
        self.ctx.links.on(CrashReport, self._on_report)
        self.ctx.board.dump_parts["quarantine"] = self._dump

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request must be refused."""
        return self.tracker.is_quarantined(fingerprint, self.ctx.now())

    def may_start(self, fingerprint: str, in_flight: tuple[str, ...]) -> bool:
        """Whether the request may run beside those in flight on an upstream."""
        return self.tracker.may_start(fingerprint, in_flight, self.ctx.now())

    def upstream_died(self, in_flight: tuple[str, ...]) -> None:
        """An upstream of this node died with these requests in flight."""
        rows = self.tracker.upstream_died(in_flight, self.ctx.now())
        if not rows:
            return
        log.warning("crash_suspects", suspects=[(row[0], row[1]) for row in rows])
        self.ctx.count("crashes")
        for address in self.peers():
            self.ctx.links.send(address, CONTROL, CrashReport(rows))

    def finished(self, fingerprint: str) -> None:
        """The request finished without a crash."""
        self.tracker.finished(fingerprint, self.ctx.now())

    def _members(self) -> list[str]:
        return [
            rec.peer_address
            for rec in self.ctx.board.members.values()
            if rec.instance != self.ctx.links.identity.instance
        ]

    def _on_report(self, link: Link, message: Message) -> None:
        assert isinstance(message, CrashReport)
        # Reports are for one domain: fingerprints of others are of no use here.
        if link.hello.domain == self.ctx.cfg.domain:
            self.tracker.merge(message.rows[:MAX_REPORT_ROWS], self.ctx.now())

    def _dump(self) -> list[dict[str, object]]:
        return [
            {"fingerprint": name, "crashes": crashes, "remaining_ms": left_ms}
            for name, crashes, left_ms in self.tracker.report(self.ctx.now())
        ]
