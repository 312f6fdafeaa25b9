"""Reports what is in force here, and writes the domain's status."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import structlog
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import NodeRecord
from lentilsill.platform import (
    Conflict,
    ObjectApi,
    PlatformError,
    RateLimited,
    StoredObject,
)
from lentilsill.status import (
    DomainStatus,
    StatusAggregator,
    merge_status,
    status_from_value,
    status_to_value,
)
from lentilsill.status.aggregate import VersionedDocuments
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Applied

__all__ = ["STATUS_KIND", "StatusController"]

STATUS_KIND = "status"
# First-ranked nodes that receive reports and write the status.
WRITERS_PER_DOMAIN = 2
REPORT_INTERVAL_S = {"convergence": 0.25, "control_bytes": 2.0}
# All documents change together, and each write of the platform is paid for.
BUNDLE_INTERVAL_S = 1.0
# How often a writer reads the object back without a cause, so that an object
# that was deleted or overwritten by hand is written again.
REFRESH_S = 30.0
# An unchanged status is written again after this time, so that operators see
# which domains still write. Two writers make at most 2 writes in 25 s.
HEARTBEAT_MS = 25_000
# Members report within an interval; a new writer's counts lower none before.
SETTLE_S = 5.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0

log = structlog.get_logger()

Rank = Callable[[], list[NodeRecord]]


@dataclass(frozen=True, slots=True)
class _Stored:
    """The platform's object as last read or written; version 0 for none."""

    version: int
    status: DomainStatus


@dataclass(slots=True)
class _Sent:
    """What a receiver was told over a link."""

    link: Link
    in_force: Mapping[str, int] = field(default_factory=dict)


class StatusController:
    """Sends `Applied` to the domain's writers, and is a writer when ranked so.

    Parameters
    ----------
    ctx : Context
    store : VersionedDocuments
        Documents of this node, for accepted, rejected and held versions.
    api : ObjectApi
    rank : callable
        Gives the live nodes of the domain, the first-ranked first.
    """

    def __init__(
        self, ctx: Context, store: VersionedDocuments, api: ObjectApi, rank: Rank
    ) -> None:
        self.ctx = ctx
        self.store = store
        self.api = api
        self.rank = rank
        self.reports = StatusAggregator()
        self.interval_s = REPORT_INTERVAL_S[ctx.cfg.distribution.optimise_for]
        if ctx.cfg.documents == "bundle":
            self.interval_s = max(self.interval_s, BUNDLE_INTERVAL_S)
        self.refresh_s = REFRESH_S
        self._sent: dict[str, _Sent] = {}
        self._report_links: dict[str, Link] = {}
        self._stored: _Stored | None = None
        self._report_due = asyncio.Event()
        self._write_due = asyncio.Event()
        self._last_error = ""
        self._writer_since_s: float | None = None
        self.settle_s = SETTLE_S

    def start(self) -> None:
        """Follow the blackboard, take reports and run until the node stops."""
        board = self.ctx.board
        board.subscribe(Topic.IN_FORCE, self._report_due.set)
        board.subscribe(Topic.MEMBERS, self._report_due.set)
        board.subscribe(Topic.DOCUMENTS, self._write_due.set)
        board.dump_parts["status"] = self.dump
        self.ctx.links.on(Applied, self._take_report)
        self._report_due.set()
        self.ctx.spawn(self._report_forever())
        self.ctx.spawn(self._write_forever())

    def dump(self) -> dict[str, Any]:
        """Give the state for the state dump."""
        return {
            "is_writer": self._position() is not None,
            "nodes_heard": self.reports.nodes_heard,
            "stored_version": self._stored.version if self._stored else 0,
            "last_error": self._last_error,
        }

    def _writers(self) -> list[NodeRecord]:
        return self.rank()[:WRITERS_PER_DOMAIN]

    def _position(self) -> int | None:
        """Place of this node among the writers; None when it is not one."""
        names = [record.node for record in self._writers()]
        node = self.ctx.cfg.node
        return names.index(node) if node in names else None

    # Reports.

    async def _report_forever(self) -> None:
        while True:
            await self._report_due.wait()
            self._report_due.clear()
            self._sent = {
                address: sent
                for address, sent in self._sent.items()
                if sent.link.is_open
            }
            await asyncio.gather(*(self._report_to(rec) for rec in self._writers()))
            await asyncio.sleep(self.interval_s)

    async def _report_to(self, writer: NodeRecord) -> None:
        if writer.node == self.ctx.cfg.node:
            self._report_here()
            return
        try:
            link = await self.ctx.links.connect(writer.peer_address, CONTROL)
        except LinkError:
            self._report_again()
            return
        sent = self._sent.get(writer.peer_address)
        if sent is None or sent.link is not link:
            # What was sent on the old link may be lost, and a new receiver
            # knows nothing; a report on a new link therefore lists all.
            sent = self._sent[writer.peer_address] = _Sent(link)
            link.on_close.append(lambda _: self._report_due.set())
        in_force = self._in_force()
        changed = _difference(sent.in_force, in_force)
        if not changed and sent.in_force:
            return
        if link.send(Applied(self.store.complete_as_of, changed)):
            sent.in_force = in_force
        else:
            del self._sent[writer.peer_address]
            self._report_again()

    def _report_here(self) -> None:
        node = self.ctx.cfg.node
        self.reports.forget(node)
        in_force = self._in_force()
        self.reports.report(node, self.ctx.links.identity.instance, in_force.items())
        self._write_due.set()

    def _report_again(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(
            MIN_BACKOFF_S + self.ctx.rng.random() * self.interval_s,
            self._report_due.set,
        )

    def _in_force(self) -> dict[str, int]:
        return self.store.in_force_versions()

    def _take_report(self, link: Link, message: Message) -> None:
        assert isinstance(message, Applied)
        hello = link.hello
        if hello.domain != self.ctx.cfg.domain:
            return
        if self._report_links.get(hello.node) is not link:
            self._report_links[hello.node] = link
            self.reports.forget(hello.node)
        self.reports.report(hello.node, hello.instance, message.in_force)
        self._write_due.set()

    # The domain's status object.

    async def _write_forever(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._write_due.wait(), self.refresh_s)
            except TimeoutError:
                self._stored = None
            position = self._position()
            if position is None:
                self._writer_since_s = None
                self._write_due.clear()
                self._stored = None
                continue
            if self._writer_since_s is None:
                self._writer_since_s = self.ctx.now()
                loop = asyncio.get_running_loop()
                loop.call_later(self.settle_s, self._write_due.set)
            # The second writer waits longer and then usually finds its report
            # already written by the first.
            await asyncio.sleep(self.interval_s * (1 + position))
            if position > 0:
                self._stored = None
            await self._write_until_done()

    async def _write_until_done(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while self._position() is not None:
            self._write_due.clear()
            exc = await self._write_once()
            if exc is None:
                self._note_error("")
                return
            # After a conflict or a lost answer the stored version is unknown.
            self._stored = None
            delay_s = self.ctx.rng.random() * backoff_s
            if isinstance(exc, RateLimited):
                delay_s += exc.retry_after_s
            # The other writer was faster, which is no failure.
            if not isinstance(exc, Conflict):
                self._note_error(str(exc))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(delay_s)

    async def _write_once(self) -> PlatformError | None:
        if self._stored is None:
            match await self.api.get(STATUS_KIND, self.ctx.cfg.domain):
                case Ok(obj):
                    self._stored = self._read(obj)
                case Err(exc):
                    return exc
        stored = self._stored
        assert stored is not None
        merged = merge_status(stored.status, self._current())
        age_ms = merged.updated_at_ms - stored.status.updated_at_ms
        is_same = _content(merged) == _content(stored.status)
        if stored.version and is_same and age_ms < HEARTBEAT_MS:
            return None
        value = status_to_value(merged)
        domain = self.ctx.cfg.domain
        match await self.api.put(STATUS_KIND, domain, value, stored.version):
            case Ok(version):
                self._stored = _Stored(version, merged)
                self.ctx.count("status.writes")
                return None
            case Err(exc):
                return exc

    def _current(self) -> DomainStatus:
        members = self.ctx.board.members
        if members:
            self.reports.keep_only({*members, self.ctx.cfg.node})
            for node in self._report_links.keys() - members.keys():
                del self._report_links[node]
        since_s = self._writer_since_s
        return self.reports.status(
            self.ctx.cfg.domain,
            self.store,
            self.ctx.wall_ms(),
            since_s is not None and self.ctx.now() - since_s >= self.settle_s,
        )

    def _read(self, obj: StoredObject | None) -> _Stored:
        domain = self.ctx.cfg.domain
        if obj is None:
            return _Stored(0, DomainStatus(domain, 0))
        match status_from_value(obj.value):
            case Ok(status) if status.domain == domain:
                return _Stored(obj.version, status)
            case Ok(status):
                log.warning("status_of_other_domain", found=status.domain)
            case Err(findings):
                log.warning("status_invalid", findings=[str(item) for item in findings])
        # A broken object is replaced; an empty status gives way to any other.
        return _Stored(obj.version, DomainStatus(domain, 0))

    def _note_error(self, error: str) -> None:
        if error and not self._last_error:
            log.warning("status_write_failed", error=error)
        if self._last_error and not error:
            log.info("status_write_recovered")
        if error:
            self.ctx.count("status.write_errors")
        self._last_error = error


def _difference(
    old: Mapping[str, int], new: Mapping[str, int]
) -> tuple[tuple[str, int], ...]:
    """List services with another version in `new`; 0 for those not in it."""
    names = sorted({**old, **new})
    return tuple(
        (name, new.get(name, 0)) for name in names if old.get(name) != new.get(name)
    )


def _content(status: DomainStatus) -> dict[str, Any]:
    """The part of a status whose change is worth a write."""
    return {
        name: replace(part, as_of=0, counted_as_of=0, counted_at_ms=0)
        for name, part in status.services.items()
    }
