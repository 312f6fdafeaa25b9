"""Reports the versions in force on this node, and writes the domain's status."""

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
# Number of first-ranked nodes that receive reports and write the status.
WRITERS_PER_DOMAIN = 2
REPORT_INTERVAL_S = {"convergence": 0.25, "control_bytes": 2.0}
# All documents of a bundle change together, and each platform write has a cost.
BUNDLE_INTERVAL_S = 1.0
# A writer reads the object back at this interval even without changes, so that
# an object that was deleted or overwritten by hand is written again.
REFRESH_INTERVAL_S = 30.0
# An unchanged status is written again after this time, so that operators see
# which domains still write. Two writers make at most 2 writes in 25 s.
HEARTBEAT_INTERVAL_MS = 25_000
# Members report within their report interval, so a new writer's counts don't lower
# stored ones before this time has passed.
NEW_WRITER_SETTLE_S = 5.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0

log = structlog.get_logger()

RankNodes = Callable[[], list[NodeRecord]]


@dataclass(frozen=True, slots=True)
class _StoredStatus:
    """The platform's object as last read or written; version 0 if none exists."""

    version: int
    status: DomainStatus


@dataclass(slots=True)
class _SentReport:
    """The versions last reported to a writer over a link."""

    link: Link
    in_force: Mapping[str, int] = field(default_factory=dict)


class StatusController:
    """Sends `Applied` to the domain's writers, and writes when ranked among them.

    Parameters
    ----------
    ctx : Context
    store : VersionedDocuments
        Documents of this node, for accepted, rejected and held versions.
    api : ObjectApi
    rank : callable
        Returns the live nodes of the domain, the first-ranked first.
    """

    def __init__(
        self, ctx: Context, store: VersionedDocuments, api: ObjectApi, rank: RankNodes
    ) -> None:
        self.ctx = ctx
        self.store = store
        self.api = api
        self.rank = rank
        self.reports = StatusAggregator()
        self.interval_s = REPORT_INTERVAL_S[ctx.cfg.distribution.optimise_for]
        if ctx.cfg.documents == "bundle":
            self.interval_s = max(self.interval_s, BUNDLE_INTERVAL_S)
        self.refresh_s = REFRESH_INTERVAL_S
        self._sent: dict[str, _SentReport] = {}
        self._report_links: dict[str, Link] = {}
        self._stored: _StoredStatus | None = None
        self._report_due = asyncio.Event()
        self._write_due = asyncio.Event()
        self._last_error = ""
        self._writer_since_s: float | None = None
        self.settle_s = NEW_WRITER_SETTLE_S

    def start(self) -> None:
        """Follow the blackboard, receive reports and run until the node stops."""
        board = self.ctx.board
        board.subscribe(Topic.IN_FORCE, self._report_due.set)
        board.subscribe(Topic.MEMBERS, self._report_due.set)
        board.subscribe(Topic.DOCUMENTS, self._write_due.set)
        board.subscribe(Topic.STORE_ERA, self._read_again)
        board.dump_parts["status"] = self.dump
        self.ctx.links.on(Applied, self._on_applied)
        self._report_due.set()
        self.ctx.spawn(self._report_forever())
        self.ctx.spawn(self._write_forever())

    def _read_again(self) -> None:
        """Compare the stored status, which the store may have lost."""
        self._stored = None
        self._write_due.set()

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "is_writer": self._writer_rank() is not None,
            "nodes_heard": self.reports.nodes_heard,
            "stored_version": self._stored.version if self._stored else 0,
            "last_error": self._last_error,
        }

    def _writers(self) -> list[NodeRecord]:
        return self.rank()[:WRITERS_PER_DOMAIN]

    def _writer_rank(self) -> int | None:
        """Return the index of this node among the writers, or None if it is not one."""
        names = [record.node for record in self._writers()]
        node = self.ctx.cfg.node
        return names.index(node) if node in names else None

    # Reports to the writers.

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
            self._record_own_report()
            return
        try:
            link = await self.ctx.links.connect(writer.peer_address, CONTROL)
        except LinkError:
            self._schedule_report()
            return
        sent = self._sent.get(writer.peer_address)
        if sent is None or sent.link is not link:
            # A report sent on the old link may be lost, and a new writer has no
            # report yet, so the first report on a link lists all versions.
            sent = self._sent[writer.peer_address] = _SentReport(link)
            link.on_close.append(lambda _: self._report_due.set())
        in_force = self._in_force()
        changed = _changed_versions(sent.in_force, in_force)
        if not changed and sent.in_force:
            return
        if link.send(Applied(self.store.complete_as_of, changed)):
            sent.in_force = in_force
        else:
            del self._sent[writer.peer_address]
            self._schedule_report()

    def _record_own_report(self) -> None:
        node = self.ctx.cfg.node
        self.reports.forget(node)
        in_force = self._in_force()
        self.reports.report(node, self.ctx.links.identity.instance, in_force.items())
        self._write_due.set()

    def _schedule_report(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(
            MIN_BACKOFF_S + self.ctx.rng.random() * self.interval_s,
            self._report_due.set,
        )

    def _in_force(self) -> dict[str, int]:
        return self.store.in_force_versions()

    def _on_applied(self, link: Link, message: Message) -> None:
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
            writer_rank = self._writer_rank()
            if writer_rank is None:
                self._writer_since_s = None
                self._write_due.clear()
                self._stored = None
                continue
            if self._writer_since_s is None:
                self._writer_since_s = self.ctx.now()
                loop = asyncio.get_running_loop()
                loop.call_later(self.settle_s, self._write_due.set)
            # The second writer waits longer, and then usually finds that the
            # first one has already written the same status.
            await asyncio.sleep(self.interval_s * (1 + writer_rank))
            if writer_rank > 0:
                self._stored = None
            await self._write_until_done()

    async def _write_until_done(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while self._writer_rank() is not None:
            self._write_due.clear()
            exc = await self._write_once()
            if exc is None:
                self._record_error("")
                return
            # After a conflict or a lost answer the stored version is unknown.
            self._stored = None
            delay_s = self.ctx.rng.random() * backoff_s
            if isinstance(exc, RateLimited):
                delay_s += exc.retry_after_s
            # A conflict means that the other writer was first, which is no failure.
            if not isinstance(exc, Conflict):
                self._record_error(str(exc))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(delay_s)

    async def _write_once(self) -> PlatformError | None:
        if self._stored is None:
            match await self.api.get(STATUS_KIND, self.ctx.cfg.domain):
                case Ok(obj):
                    self._stored = self._parse_object(obj)
                case Err(exc):
                    return exc
        stored = self._stored
        assert stored is not None
        merged = merge_status(stored.status, self._current_status())
        age_ms = merged.updated_at_ms - stored.status.updated_at_ms
        is_same = _comparable_services(merged) == _comparable_services(stored.status)
        if stored.version and is_same and age_ms < HEARTBEAT_INTERVAL_MS:
            return None
        value = status_to_value(merged)
        domain = self.ctx.cfg.domain
        match await self.api.put(STATUS_KIND, domain, value, stored.version):
            case Ok(version):
                self._stored = _StoredStatus(version, merged)
                self.ctx.count("status.writes")
                return None
            case Err(exc):
                return exc

    def _current_status(self) -> DomainStatus:
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

    def _parse_object(self, obj: StoredObject | None) -> _StoredStatus:
        domain = self.ctx.cfg.domain
        if obj is None:
            return _StoredStatus(0, DomainStatus(domain, 0))
        match status_from_value(obj.value):
            case Ok(status) if status.domain == domain:
                return _StoredStatus(obj.version, status)
            case Ok(status):
                log.warning("status_of_other_domain", found=status.domain)
            case Err(findings):
                log.warning("status_invalid", findings=[str(item) for item in findings])
        # A malformed object is replaced: any other status supersedes an empty one.
        return _StoredStatus(obj.version, DomainStatus(domain, 0))

    def _record_error(self, error: str) -> None:
        if error and not self._last_error:
            log.warning("status_write_failed", error=error)
        if self._last_error and not error:
            log.info("status_write_recovered")
        if error:
            self.ctx.count("status.write_errors")
        self._last_error = error


def _changed_versions(
    old: Mapping[str, int], new: Mapping[str, int]
) -> tuple[tuple[str, int], ...]:
    """Return services with another version in `new`; 0 for those missing there."""
    names = sorted({**old, **new})
    return tuple(
        (name, new.get(name, 0)) for name in names if old.get(name) != new.get(name)
    )


def _comparable_services(status: DomainStatus) -> dict[str, Any]:
    """Return the services without the fields whose change alone needs no write."""
    return {
        name: replace(part, as_of=0, counted_as_of=0, counted_at_ms=0)
        for name, part in status.services.items()
    }
