"""Builders of nodes that share documents through a fake platform."""

import asyncio
import socket
from dataclasses import dataclass

from result import Err, Ok

from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.controllers.distribution import DistributionController
from lentilsill.daemon.controllers.documents import DocumentsController
from lentilsill.daemon.controllers.membership import MembershipController
from lentilsill.daemon.controllers.platform_watch import PlatformWatchController
from lentilsill.daemon.controllers.readiness import ReadinessController
from lentilsill.daemon.node import make_context
from lentilsill.platform import (
    Compacted,
    Listing,
    StoredObject,
    Unavailable,
    WatchBatch,
)
from lentilsill.settings import NodeSettings
from lentilsill.settings.model import (
    DistributionSettings,
    MembershipSettings,
    PlatformSettings,
)
from lentilsill.wire.messages import Delta

__all__ = [
    "FakeDocuments",
    "FakePlatform",
    "Node",
    "PlatformPath",
    "start_node",
    "wait_until",
]


class FakeDocuments:
    """Implements `Documents`: stores the newest row of each service.

    The hashes of nodes with different `salt` are never equal, like those of nodes
    that hold sets of versions that exclude each other.
    """

    def __init__(self):
        self.salt = 0
        self.rows = {}
        self.complete_as_of = 0

    @property
    def content_hash(self):
        versions = frozenset((r[0], r[1]) for r in self.rows.values())
        return hash((self.salt, versions)) & (2**64 - 1)

    def merge(self, delta):
        known = {row[0]: row[1] for row in self.rows.values()}
        new = tuple(row for row in delta.rows if row[1] > known.get(row[0], 0))
        self.rows.update((row[0], row) for row in new)
        if delta.full or delta.base <= self.complete_as_of:
            self.complete_as_of = max(self.complete_as_of, delta.complete_as_of)
        if not new:
            return None
        return Delta(delta.base, delta.complete_as_of, delta.full, new)

    bundle_version = patch_base = 0

    def lacks_patch_base(self, delta):
        return False

    def delta_since(self, base, held=0):
        rows = tuple(row for row in self.rows.values() if row[1] > base)
        return Delta(base, self.complete_as_of, base == 0, rows)


class FakePlatform:
    """Object API over a dict; it is unavailable while `is_up` is false."""

    def __init__(self, is_up=True):
        self.is_up = is_up
        self.revision = 0
        self.objects = {}
        self._waiters: set[asyncio.Future] = set()
        self.waiting_watches = 0
        self.list_count = 0
        self.oldest_revision = 0

    async def write(self, name, value):
        self.revision += 1
        self.objects[name] = StoredObject("service", name, self.revision, value)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def list(self, kind, stale=False):
        if not self.is_up:
            return Err(Unavailable("outage"))
        self.list_count += 1
        return Ok(Listing(self.revision, tuple(self.objects.values())))

    async def watch(self, kind, since, timeout_s, on_start=None):
        if not self.is_up:
            return Err(Unavailable("outage"))
        if since < self.oldest_revision:
            return Err(Compacted())
        self.waiting_watches += 1
        # `asyncio.Condition` can lose a cancellation, and the test would not end.
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            if self.revision <= since:
                await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self.waiting_watches -= 1
            self._waiters.discard(waiter)
        changes = tuple(o for o in self.objects.values() if o.version > since)
        return Ok(WatchBatch(self.revision, changes))


class PlatformPath:
    """Path of one node to a platform; the platform's answers can get lost on it.

    After `cut`, requests in progress get no answer. While `is_silent` is true, new
    ones get none either.
    """

    def __init__(self, platform):
        self.platform = platform
        self.is_silent = False
        self.cuts = 0
        self.request_count = 0

    def cut(self):
        self.cuts += 1

    async def list(self, kind, stale=False):
        return await self._answer(self.platform.list(kind, stale))

    async def watch(self, kind, since, timeout_s, on_start=None):
        return await self._answer(self.platform.watch(kind, since, timeout_s))

    async def _answer(self, answer):
        cuts = self.cuts
        self.request_count += 1
        result = await answer
        if self.is_silent or cuts != self.cuts:
            await asyncio.Event().wait()
        return result


@dataclass
class Node:
    """A started node that does not serve calls."""

    ctx: Context
    documents: FakeDocuments | BundleController | DocumentsController
    membership: MembershipController
    distribution: DistributionController

    @property
    def address(self):
        return self.ctx.cfg.peer_address

    @property
    def member_names(self):
        return set(self.ctx.board.members)

    def stop(self):
        for task in list(self.ctx.tasks):
            task.cancel()
        self.ctx.links.close()


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def start_node(
    name,
    platform,
    seeds=(),
    domain="lahore",
    documents="per_service",
    link_mbps=None,
    organisations=False,
    **distribution,
):
    """Start a node on loopback with short probe intervals and timeouts.

    `documents` is ``real`` for documents of single services that are put in force, and
    as in the settings otherwise.
    """
    make_store = {"bundle": BundleController, "real": DocumentsController}
    cfg = NodeSettings(
        node=name,
        domain=domain,
        documents="bundle" if documents == "bundle" else "per_service",
        link_mbps=link_mbps,
        organisations=organisations,
        bind_ip="127.0.0.1",
        peer_address=free_address(),
        caller_address="127.0.0.1:1",
        admin_address="127.0.0.1:1",
        platform=PlatformSettings(url="http://127.0.0.1:1"),
        distribution=DistributionSettings(ready_bound_s=1.0, **distribution),
        membership=MembershipSettings(
            seeds=seeds,
            probe_interval_s=0.2,
            probe_timeout_s=0.2,
            suspect_timeout_s=0.5,
        ),
    )
    ctx = make_context(cfg)
    ctx.links.listen(cfg.peer_address)
    store = make_store.get(documents, lambda ctx: FakeDocuments())(ctx)
    membership = MembershipController.from_context(ctx, store)
    distribution_ = DistributionController.from_context(ctx, store, membership)
    watch = PlatformWatchController.from_context(
        ctx, platform, store, membership, distribution_
    )
    readiness = ReadinessController.from_context(ctx, distribution_, watch)
    for controller in (membership, distribution_, watch, readiness):
        controller.start()
    return Node(ctx, store, membership, distribution_)


async def wait_until(condition, timeout_s=15.0):
    """Wait until `condition` is true; raise TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
