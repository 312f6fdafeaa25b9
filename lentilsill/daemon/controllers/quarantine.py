"""Quarantine of requests that crash their upstreams."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable

import structlog

from lentilsill.daemon.context import Context
from lentilsill.quarantine import ClearedRow, CrashTracker, LossRow, Run
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.messages import CrashReport

__all__ = ["QuarantineController"]

MAX_REPORT_ROWS = 1000
# Periodic reports to one random peer reach the nodes that missed a report because
# their parent in the fan-out tree is dead. They carry quarantined requests only, as
# the receiver may have cleared a request that is only a suspect.
REPAIR_INTERVAL_S = 10.0
MAX_REPAIR_ROWS = 64
# A started node asks several peers, as one of them may have just started as well. It
# counts as informed after some requests without a reply, as when all nodes start.
INITIAL_REQUEST_INTERVAL_S = 0.2
INITIAL_PEERS = 3
MAX_INITIAL_REQUESTS = 15
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
        self.is_informed = False
        self._loss_numbers = itertools.count(1)

    def start(self) -> None:
        """Register the message handler and start the exchange with peers."""
        self.ctx.links.on(CrashReport, self._on_report)
        self.ctx.board.dump_parts["quarantine"] = self._dump
        self.ctx.spawn(self._exchange())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must be refused."""
        return self.tracker.is_quarantined(fingerprint, self.ctx.now())

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a run of the request that begins now is a trial."""
        return self.tracker.is_suspect(fingerprint, self.ctx.now())

    def hold_s(self, fingerprint: str) -> float:
        """Return for how many seconds the request must not run."""
        return self.tracker.hold_s(fingerprint, self.ctx.now())

    def can_start(self, fingerprint: str, in_flight: tuple[str, ...]) -> bool:
        """Return whether the request may run beside those in flight on an upstream."""
        return self.tracker.can_start(fingerprint, in_flight, self.ctx.now())

    def record_suspect(self, fingerprint: str) -> None:
        """Mark a request that was in flight at a crash, as its entry node reports.

        The next attempt may arrive before the report of the crash.
        """
        self.tracker.suspect(fingerprint, self.ctx.now())

    def record_loss(self, upstream: str, runs: tuple[Run, ...]) -> None:
        """Record that an upstream of this node died during these runs.

        A loss without runs is reported too, as it can be the cause of others.
        """
        instance = self.ctx.links.identity.instance
        loss_id = f"{instance}/{next(self._loss_numbers)}"
        now = self.ctx.now()
        losses = self.tracker.record_loss(loss_id, runs, now)
        names = {run.fingerprint for run in runs}
        suspects = [
            (name, count)
            for name, count, _ in self.tracker.report(now)
            if name in names
        ]
        log.warning(
            "crash_suspects",
            upstream=upstream,
            suspects=suspects,
            trials=sum(run.is_trial for run in runs),
        )
        self.ctx.count("crashes")
        self._report_to_all(losses, ())

    def record_end(self, run: Run) -> None:
        """Record that a run at an upstream of this node finished without a crash.

        Peers are told if it shows that there are copies of the request.
        """
        name, now = run.fingerprint, self.ctx.now()
        if not self.tracker.is_suspect(name, now):
            return
        has_copies = not run.is_trial or self.tracker.loss_count(name, now) > 1
        if self.tracker.finished(name, now):
            log.info("crash_suspect_cleared", suspect=name, has_copies=has_copies)
            if has_copies:
                self._report_to_all((), ((name, 0),))

    def record_answer(self, fingerprint: str) -> None:
        """Record that a call of this node was answered."""
        self.tracker.finished(fingerprint, self.ctx.now())

    def _report_to_all(
        self, losses: tuple[LossRow, ...], cleared: tuple[ClearedRow, ...]
    ) -> None:
        root = self.ctx.cfg.node
        self.push_to_children(root, self._make_report(losses, cleared, root))
        report = self._make_report(losses, cleared)
        for address in self._other_domains():
            self.ctx.links.send(address, CONTROL, report)

    def _make_report(
        self,
        losses: tuple[LossRow, ...],
        cleared: tuple[ClearedRow, ...] = (),
        root: str = "",
    ) -> CrashReport:
        """Return a report, with the rows for nodes that know no losses."""
        names = {name for _, _, runs in losses for name, _ in runs}
        rows = self.tracker.report(self.ctx.now()) if names else ()
        rows = tuple(row for row in rows if row[0] in names)
        return CrashReport(rows, root, losses=losses, cleared=cleared)

    def _on_report(self, link: Link, message: Message) -> None:
        assert isinstance(message, CrashReport)
        now = self.ctx.now()
        losses, cleared = self.tracker.merge(
            message.rows[:MAX_REPORT_ROWS],
            message.losses[:MAX_REPORT_ROWS],
            message.cleared[:MAX_REPORT_ROWS],
            now,
        )
        is_new = bool(losses or cleared)
        if link.hello.domain != self.ctx.cfg.domain:
            # The first receiver in a domain is the root of the fan-out tree there.
            if is_new:
                root = self.ctx.cfg.node
                self.push_to_children(root, self._make_report(losses, cleared, root))
        elif message.want_reply:
            if self.is_informed or len(self.tracker):
                rows = self.tracker.report(now)[:MAX_REPORT_ROWS]
                known = self.tracker.losses_of(rows, now)[:MAX_REPORT_ROWS]
                link.send(CrashReport(rows, losses=known))
        elif message.root:
            if is_new:
                report = self._make_report(losses, cleared, message.root)
                self.push_to_children(message.root, report)
        else:
            self.is_informed = True

    async def _exchange(self) -> None:
        """Request the reports of peers, then send reports to repair lost ones."""
        rng = self.ctx.rng
        for _ in range(MAX_INITIAL_REQUESTS):
            await asyncio.sleep(INITIAL_REQUEST_INTERVAL_S * rng.uniform(0.5, 1.5))
            if self.is_informed:
                break
            for address in self.random_peer_addresses(INITIAL_PEERS):
                self.ctx.links.send(address, CONTROL, CrashReport((), want_reply=True))
        self.is_informed = True
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S * rng.uniform(0.5, 1.5))
            now = self.ctx.now()
            rows = self.tracker.quarantined(now)[:MAX_REPAIR_ROWS]
            losses = self.tracker.losses_of(rows, now)[:MAX_REPORT_ROWS]
            for address in self.random_peer_addresses(1) if rows else ():
                self.ctx.links.send(address, CONTROL, CrashReport(rows, losses=losses))

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
