"""Quarantine of requests that crash their upstreams."""

import asyncio
from collections.abc import Callable

import structlog

from lentilsill.daemon.context import Context
from lentilsill.quarantine import CrashRow, CrashTracker
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.messages import CrashReport

__all__ = ["QuarantineController"]

MAX_REPORT_ROWS = 1000
# A report that a dead node of the tree kept from its subtree reaches it by
# these exchanges with one random peer. They carry quarantined requests only,
# as a mere suspect may have been cleared at the receiver.
REPAIR_INTERVAL_S = 10.0
REPAIR_ROWS = 64
JOIN_INTERVAL_S = 0.2

log = structlog.get_logger()


class QuarantineController:
    """Implements `CrashGuard` and spreads crashes to the own domain.

    `tree_children` gives the addresses below this node in the fan-out tree of a
    root, and `random_peers` some peers of the domain. Without them reports go
    to all members.
    """

    def __init__(
        self,
        ctx: Context,
        tree_children: Callable[[str], list[str]] | None = None,
        random_peers: Callable[[int], list[str]] | None = None,
    ) -> None:
        self.ctx = ctx
        self.tree_children = tree_children or self._children_without_tree
        self.random_peers = random_peers or self._some_members
        self.tracker = CrashTracker()
        self.has_joined = False

    def start(self) -> None:
        """Register the message handler and start the exchange with peers."""
        self.ctx.links.on(CrashReport, self._on_report)
        self.ctx.board.dump_parts["quarantine"] = self._dump
        self.ctx.spawn(self._exchange())

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
        self._push(rows, self.ctx.cfg.node)

    def finished(self, fingerprint: str) -> None:
        """The request finished without a crash."""
        self.tracker.finished(fingerprint, self.ctx.now())

    def _push(self, rows: tuple[CrashRow, ...], root: str) -> None:
        for address in self.tree_children(root):
            self.ctx.links.send(address, CONTROL, CrashReport(rows, root))

    def _on_report(self, link: Link, message: Message) -> None:
        assert isinstance(message, CrashReport)
        # Reports are for one domain: fingerprints of others are of no use here.
        if link.hello.domain != self.ctx.cfg.domain:
            return
        now = self.ctx.now()
        news = self.tracker.merge(message.rows[:MAX_REPORT_ROWS], now)
        if message.want_reply:
            link.send(CrashReport(self.tracker.report(now)[:MAX_REPORT_ROWS]))
        elif message.root:
            if news:
                self._push(news, message.root)
        else:
            self.has_joined = True

    async def _exchange(self) -> None:
        """Ask a peer for its rows, then repair the spread now and again."""
        rng = self.ctx.rng
        while not self.has_joined:
            await asyncio.sleep(JOIN_INTERVAL_S * rng.uniform(0.5, 1.5))
            for address in self.random_peers(1):
                self.ctx.links.send(address, CONTROL, CrashReport((), want_reply=True))
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S * rng.uniform(0.5, 1.5))
            rows = self.tracker.quarantined(self.ctx.now())[:REPAIR_ROWS]
            for address in self.random_peers(1) if rows else ():
                self.ctx.links.send(address, CONTROL, CrashReport(rows))

    def _members(self) -> list[str]:
        return [
            rec.peer_address
            for rec in self.ctx.board.members.values()
            if rec.instance != self.ctx.links.identity.instance
        ]

    def _some_members(self, count: int) -> list[str]:
        return self.ctx.rng.sample(self._members(), min(count, len(self._members())))

    def _children_without_tree(self, root: str) -> list[str]:
        return self._members() if root == self.ctx.cfg.node else []

    def _dump(self) -> list[dict[str, object]]:
        return [
            {"fingerprint": name, "crashes": crashes, "remaining_ms": left_ms}
            for name, crashes, left_ms in self.tracker.report(self.ctx.now())
        ]
