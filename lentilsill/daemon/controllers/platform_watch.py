"""Reads documents from the platform by list and watch."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import structlog
from result import Err, Ok, Result

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import (
    Backoff,
    ReadPlanner,
    first_delay_s,
    read_due_age_s,
    watch_wait_s,
)
from lentilsill.documents import bundle_text, without_organisations
from lentilsill.platform import (
    Compacted,
    ObjectApi,
    PlatformError,
    RateLimited,
    StoredObject,
    Unavailable,
    WatchBatch,
)
from lentilsill.wire.messages import Delta, DocumentRow

from .distribution import DistributionController
from .membership import MembershipController

__all__ = ["PlatformWatchController"]

RANK_CHECK_INTERVAL_S = 0.5
MIN_CHECK_INTERVAL_S = 0.02
# A watch without an answer is given up this long after its wait, as a share of the time
# in which a change must be in force; its connection may carry nothing any more.
WATCH_GRACE_SHARE = 0.3
# This pause limits the request rate when the platform returns empty watches at once.
WATCH_PAUSE_S = 0.2
# Watches are short in the initial period after a node has become a watcher. A node
# that starts ranks itself first until it knows its peers; if it then ranks lower, a
# watch of normal length would still occupy the platform for 30 s.
MAX_INITIAL_WATCH_S = 1.0
INITIAL_PERIOD_S = 5.0
BACKOFF_BASE_S = 0.2
# A version must be in force within seconds after the platform recovers. Only a few
# nodes of each domain watch, so frequent retries remain a low request rate.
BACKOFF_CAP_S = 2.0

log = structlog.get_logger()


class PlatformWatchController:
    """Watches documents while this node is among the first-ranked of its domain.

    Nodes of the next ranks read the platform as well while nothing confirms that the
    documents are the newest: the watchers may get no answers and still be alive.

    `has_listed` is true once this node has received a list from the platform, or
    the result of a watch that continues from the documents it holds.
    """

    def __init__(
        self,
        ctx: Context,
        api: ObjectApi,
        documents: Documents,
        membership: MembershipController,
        distribution: DistributionController,
        kind: str = "service",
        name: str = "",
    ) -> None:
        self._ctx = ctx
        self._kind = kind
        self._name = name
        self._api = api
        self._documents = documents
        self._membership = membership
        self._distribution = distribution
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, ctx.rng)
        # Failures before a lost history must not delay the list that follows it.
        self._list_backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, ctx.rng)
        self._read_planner = ReadPlanner(ctx.cfg.documents == "bundle")
        self._last_error = ""
        self._is_watching = False
        self._watching_since = 0.0
        self.has_listed = False

    @classmethod
    def from_context(
        cls,
        ctx: Context,
        api: ObjectApi,
        documents: Documents,
        membership: MembershipController,
        distribution: DistributionController,
        kind: str = "service",
        name: str = "",
    ) -> "PlatformWatchController":
        """Return the controller of a node; `kind` is the kind of the documents.

        If `name` is given, other objects of that kind are left out.
        """
        return cls(ctx, api, documents, membership, distribution, kind, name)

    def start(self) -> None:
        """Start the watch loop."""
        self._ctx.board.dump_parts["platform_watch"] = self._dump
        self._ctx.spawn(self._watch_loop())

    async def _watch_loop(self) -> None:
        await asyncio.sleep(first_delay_s(self._ctx.cfg.link_mbps, self._ctx.rng))
        while True:
            age_s = self._distribution.confirmations.age_s()
            due_age_s = self._read_due_age_s()
            if due_age_s is None or age_s < due_age_s:
                self._is_watching = False
                wait_s = RANK_CHECK_INTERVAL_S
                if due_age_s is not None:
                    wait_s = min(wait_s, due_age_s - age_s)
                await asyncio.sleep(max(MIN_CHECK_INTERVAL_S, wait_s))
                continue
            if due_age_s > 0:
                self._ctx.count("platform_watch.backup_reads")
            elif not self._is_watching:
                self._watching_since = self._ctx.now()
            self._is_watching = due_age_s == 0
            await self._read_platform()

    def _read_due_age_s(self) -> float | None:
        """Return the age of the documents from which on this node reads, or None."""
        cfg = self._ctx.cfg.distribution
        # A node that knows no peers ranks first.
        return read_due_age_s(
            self._membership.rank(),
            cfg.watchers_per_domain,
            cfg.in_force_s,
            self._distribution.bundle_sources.has_refused_newer,
        )

    async def _read_platform(self) -> None:
        since = self._documents.complete_as_of
        started_at = self._ctx.now()
        # Before the first write to the platform, a list has revision 0 too.
        if self._read_planner.must_list or (since == 0 and not self.has_listed):
            list_result = await self._api.list(self._kind)
            match list_result:
                case Ok(listing):
                    has_changes = any(obj.version > since for obj in listing.objects)
                    self._read_planner.record_list(has_changes, listing.transfer_s)
                    self._apply(0, listing.revision, True, listing.objects)
                    self._distribution.confirmations.record_read(started_at)
                case Err(exc):
                    await self._handle_error(exc)
            return
        in_force_s = self._ctx.cfg.distribution.in_force_s
        timeout_s = watch_wait_s(in_force_s, self._ctx.cfg.platform.watch_timeout_s)
        if started_at - self._watching_since < INITIAL_PERIOD_S:
            timeout_s = min(timeout_s, MAX_INITIAL_WATCH_S)
        watch_result: Result[WatchBatch, PlatformError]
        try:
            limit_s = timeout_s + WATCH_GRACE_SHARE * in_force_s
            async with asyncio.timeout(limit_s) as limit:
                # An answer that has begun may take long on a slow link.
                watch_result = await self._api.watch(
                    self._kind, since, timeout_s, lambda: limit.reschedule(None)
                )
        except TimeoutError:
            watch_result = Err(Unavailable("the watch got no answer in time"))
        match watch_result:
            case Ok(batch):
                self._backoff.reset()
                self._list_backoff.reset()
                self._read_planner.record_watch(len(batch.changes), batch.transfer_s)
                self._apply(since, batch.revision, False, batch.changes)
                # A process that was stopped reads the answer late.
                answered_at = min(self._ctx.now(), started_at + timeout_s)
                self._distribution.confirmations.record_read(
                    max(started_at, answered_at - batch.transfer_s)
                )
                if not batch.changes and self._ctx.now() - started_at < WATCH_PAUSE_S:
                    await asyncio.sleep(WATCH_PAUSE_S)
            case Err(Compacted()):
                # Without a delay, a platform that compacts faster than it lists
                # would receive requests without a pause.
                self._read_planner.record_compaction()
                await asyncio.sleep(self._list_backoff.next_delay())
            case Err(exc):
                self._read_planner.record_failure()
                await self._handle_error(exc)

    def _apply(
        self, base: int, revision: int, full: bool, objects: tuple[StoredObject, ...]
    ) -> None:
        self._last_error = ""
        if self._name:
            objects = tuple(obj for obj in objects if obj.name == self._name)
        to_text = _document_text
        if self._read_planner.newest_only:
            to_text = bundle_text if self._ctx.cfg.organisations else _plain_bundle_text
        rows = tuple(_to_row(obj, to_text) for obj in objects)
        self._ctx.count("platform_watch.changes", len(rows))
        self._distribution.add_platform_changes(Delta(base, revision, full, rows))
        self.has_listed = True

    async def _handle_error(self, exc: PlatformError) -> None:
        self._ctx.count("platform_watch.errors")
        if not self._last_error:
            log.warning("platform_watch_failed", error=str(exc))
        self._last_error = str(exc)
        delay_s = self._backoff.next_delay()
        if isinstance(exc, RateLimited):
            delay_s += exc.retry_after_s
        await asyncio.sleep(delay_s)

    def _dump(self) -> dict[str, Any]:
        return {
            "is_watching": self._is_watching,
            "has_listed": self.has_listed,
            "must_list": self._read_planner.must_list,
            "last_error": self._last_error,
        }


def _to_row(obj: StoredObject, to_text: Callable[[Any], str]) -> DocumentRow:
    if obj.deleted:
        return (obj.name, obj.version, True, "")
    return (obj.name, obj.version, False, to_text(obj.value))


def _plain_bundle_text(value: Any) -> str:
    return without_organisations(bundle_text(value))


def _document_text(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
