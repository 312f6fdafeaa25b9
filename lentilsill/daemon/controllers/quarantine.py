"""Quarantine of requests that crash their upstreams."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

import structlog

from lentilsill.daemon.context import Context
from lentilsill.quarantine import CrashTracker
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.messages import CrashReport

__all__ = ["QuarantineController"]

MAX_REPORT_ROWS = 1000
# Periodic reports to one random peer reach the nodes that missed a report because
# their parent in the fan-out tree is dead. They carry quarantined requests only, as
# the receiver may have cleared a request that is only a suspect.
REPAIR_INTERVAL_S = 10.0
MAX_REPAIR_ROWS = 64
INITIAL_REQUEST_INTERVAL_S = 0.2
# Nodes of each other domain that get a crash report; one of them may be dead.
REMOTE_NODES_PER_DOMAIN = 2

log = structlog.get_logger()


class QuarantineController:
    """Implements `CrashGuard` and sends crash reports to all domains.

    `push_to_children` sends a message to the children of this node in the fan-out
    tree of a root, and `random_peer_addresses` returns the given number of peers in the
    domain. Without them, reports go to all members, and peers are chosen among these.
    """

    def __init__(
        self,
        ctx: Context,
        push_to_children: Callable[[str, Message], object] | None = None,
        random_peer_addresses: Callable[[int], list[str]] | None = None,
    ) -> None:
        self.ctx = ctx
        self.push_to_children = push_to_children or self._push_to_all
        self.random_peer_addresses = random_peer_addresses or self._random_members
        self.tracker = CrashTracker()
        self.has_received_rows = False

    def start(self) -> None:
        """Register the message handler and start the exchange with peers."""
        self.ctx.links.on(CrashReport, self._on_report)
        self.ctx.board.dump_parts["quarantine"] = self._dump
        self.ctx.spawn(self._exchange())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must be refused."""
        return self.tracker.is_quarantined(fingerprint, self.ctx.now())

    def can_start(self, fingerprint: str, in_flight: tuple[str, ...]) -> bool:
        """Return whether the request may run beside those in flight on an upstream."""
        return self.tracker.can_start(fingerprint, in_flight, self.ctx.now())

    def record_suspect(self, fingerprint: str) -> None:
        """Mark a request that was in flight at a crash, as its entry node reports.

        The next attempt may arrive before the report of the crash.
        """
        self.tracker.suspect(fingerprint, self.ctx.now())

    def record_crash(self, in_flight: tuple[str, ...]) -> None:
        """Record that an upstream of this node died with these requests in flight."""
        rows = self.tracker.upstream_died(in_flight, self.ctx.now())
        if not rows:
            return
        log.warning("crash_suspects", suspects=[(row[0], row[1]) for row in rows])
        self.ctx.count("crashes")
        root = self.ctx.cfg.node
        self.push_to_children(root, CrashReport(rows, root))
        for address in self._other_domains():
            self.ctx.links.send(address, CONTROL, CrashReport(rows))

    def record_end(self, fingerprint: str) -> None:
        """Record that the request finished without a crash."""
        self.tracker.finished(fingerprint, self.ctx.now())

    def _on_report(self, link: Link, message: Message) -> None:
        assert isinstance(message, CrashReport)
        now = self.ctx.now()
        new_rows = self.tracker.merge(message.rows[:MAX_REPORT_ROWS], now)
        if link.hello.domain != self.ctx.cfg.domain:
            # The first receiver in a domain is the root of the fan-out tree there.
            if new_rows:
                local_node = self.ctx.cfg.node
                self.push_to_children(local_node, CrashReport(new_rows, local_node))
        elif message.want_reply:
            link.send(CrashReport(self.tracker.report(now)[:MAX_REPORT_ROWS]))
        elif message.root:
            if new_rows:
                self.push_to_children(message.root, CrashReport(new_rows, message.root))
        else:
            self.has_received_rows = True

    async def _exchange(self) -> None:
        """Request the rows of a peer once, then send reports to repair lost ones."""
        rng = self.ctx.rng
        while not self.has_received_rows:
            await asyncio.sleep(INITIAL_REQUEST_INTERVAL_S * rng.uniform(0.5, 1.5))
            for address in self.random_peer_addresses(1):
                self.ctx.links.send(address, CONTROL, CrashReport((), want_reply=True))
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S * rng.uniform(0.5, 1.5))
            rows = self.tracker.quarantined(self.ctx.now())[:MAX_REPAIR_ROWS]
            for address in self.random_peer_addresses(1) if rows else ():
                self.ctx.links.send(address, CONTROL, CrashReport(rows))

    def _members(self) -> list[str]:
        return [
            rec.peer_address
            for rec in self.ctx.board.members.values()
            if rec.instance != self.ctx.links.identity.instance
        ]

    def _other_domains(self) -> list[str]:
        """Return the addresses of some nodes of each other domain."""
        by_domain: dict[str, list[str]] = defaultdict(list)
        for rec in self.ctx.board.remote_nodes.values():
            by_domain[rec.domain].append(rec.peer_address)
        return [
            address
            for addresses in by_domain.values()
            for address in self.ctx.rng.sample(
                addresses, min(REMOTE_NODES_PER_DOMAIN, len(addresses))
            )
        ]

    def _random_members(self, count: int) -> list[str]:
        return self.ctx.rng.sample(self._members(), min(count, len(self._members())))

    def _push_to_all(self, root: str, message: Message) -> None:
        for address in self._members() if root == self.ctx.cfg.node else ():
            self.ctx.links.send(address, CONTROL, message)

    def _dump(self) -> list[dict[str, object]]:
        return [
            {"fingerprint": name, "crashes": crashes, "remaining_ms": remaining_ms}
            for name, crashes, remaining_ms in self.tracker.report(self.ctx.now())
        ]
