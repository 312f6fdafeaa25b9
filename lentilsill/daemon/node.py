"""Assembly of a node from its settings."""

import random
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import statsd

from lentilsill.settings import NodeSettings
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity

from .blackboard import Blackboard
from .context import Context

__all__ = ["make_context", "running_node"]


def make_context(cfg: NodeSettings) -> Context:
    """Make the context that the node's controllers share."""
    advertise = cfg.advertise_address or cfg.peer_address
    identity = Identity(cfg.node, secrets.token_hex(8), cfg.domain, advertise)
    metrics = None
    if cfg.statsd is not None:
        host, _, port = cfg.statsd.address.rpartition(":")
        metrics = statsd.StatsClient(host, int(port), prefix=cfg.statsd.prefix)
    return Context(
        cfg=cfg,
        board=Blackboard(EMPTY_SNAPSHOT),
        links=PeerLinks(identity, cfg.bind_ip),
        metrics=metrics,
        rng=random.Random(),
    )


@asynccontextmanager
async def running_node(cfg: NodeSettings) -> AsyncIterator[Context]:
    """Run a node's controllers and servers while the context is entered."""
    ctx = make_context(cfg)
    ctx.links.listen(cfg.peer_address)
    try:
        yield ctx
    finally:
        for task in list(ctx.tasks):
            task.cancel()
        ctx.links.close()
