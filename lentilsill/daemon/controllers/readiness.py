"""Decides when a starting node is ready to accept calls."""

import asyncio
from typing import Any

import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import NodeState

from .distribution import DistributionController
from .platform_watch import PlatformWatchController

__all__ = ["ReadinessController", "has_enough_sources"]

REQUIRED_READY_PEERS = 2
CHECK_INTERVAL_S = 0.2

log = structlog.get_logger()


class ReadinessController:
    """Sets `board.ready` once the node's documents come from enough sources.

    The node then stays ready: during outages of the platform and of its peers, it
    serves calls with its last documents.
    """

    def __init__(
        self,
        ctx: Context,
        distribution: DistributionController,
        watch: PlatformWatchController,
    ) -> None:
        self._ctx = ctx
        self._distribution = distribution
        self._platform_watch = watch
        self._started_at = ctx.now()

    @classmethod
    def from_context(
        cls,
        ctx: Context,
        distribution: DistributionController,
        watch: PlatformWatchController,
    ) -> "ReadinessController":
        """Return the controller of a node."""
        return cls(ctx, distribution, watch)

    def start(self) -> None:
        """Check at once, periodically and after changes until the node is ready."""
        self._started_at = self._ctx.now()
        for topic in (Topic.DOCUMENTS, Topic.MEMBERS):
            self._ctx.board.subscribe(topic, self._check)
        self._ctx.board.dump_parts["readiness"] = self._dump
        self._ctx.gauge("readiness.ready", 0)
        self._ctx.spawn(self._check_loop())

    async def _check_loop(self) -> None:
        while not self._ctx.board.ready:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self) -> None:
        board = self._ctx.board
        if board.ready or board.services_in_doubt:
            return
        elapsed_s = self._ctx.now() - self._started_at
        if self._ctx.cfg.documents == "bundle" and not board.snapshot.documents:
            # No bundle has been written yet, or none has arrived at this node.
            return
        is_ready = self._platform_watch.has_listed or has_enough_sources(
            sources=set(self._distribution.sources),
            ready_peers=self._ready_peers(),
            is_past_ready_bound=elapsed_s >= self._ctx.cfg.distribution.ready_bound_s,
        )
        if is_ready:
            board.ready = True
            log.info(
                "node_ready",
                elapsed_s=round(elapsed_s, 3),
                instance=self._ctx.links.identity.instance,
                monotonic_s=self._ctx.now(),
            )
            self._ctx.gauge("readiness.ready", 1)
            self._ctx.timing("readiness.elapsed", elapsed_s * 1000)
            board.notify(Topic.READY)

    def _ready_peers(self) -> set[str]:
        return {
            name
            for name, record in self._ctx.board.members.items()
            if record.state == NodeState.READY and name != self._ctx.cfg.node
        }

    def _dump(self) -> dict[str, Any]:
        return {
            "ready": self._ctx.board.ready,
            "sources": sorted(self._distribution.sources),
            "platform_listed": self._platform_watch.has_listed,
        }


def has_enough_sources(
    sources: set[str], ready_peers: set[str], is_past_ready_bound: bool
) -> bool:
    """Return whether the merged sources suffice to accept calls.

    Until the time bound, two ready peers of the domain are required, or all of them
    if there are fewer. After it, one source of any domain is enough.

    Examples
    --------
    >>> has_enough_sources({"a"}, {"a", "b", "c"}, is_past_ready_bound=False)
    False
    >>> has_enough_sources({"a"}, {"a"}, is_past_ready_bound=False)
    True
    """
    if is_past_ready_bound:
        return bool(sources)
    required = min(REQUIRED_READY_PEERS, len(ready_peers))
    return required > 0 and len(sources & ready_peers) >= required
