"""Builders of nodes, calls and a fake platform for tests of controllers."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err, Ok

from lentilsill.daemon.blackboard import Blackboard, Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import NodeRecord, NodeState
from lentilsill.platform import (
    AnswerLost,
    Conflict,
    Listing,
    StoredObject,
    Unavailable,
)
from lentilsill.settings import NodeSettings
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Call

__all__ = ["FakeApi", "make_call", "make_node", "register_members", "wait_for"]


def make_node(number: int, **sections) -> Context:
    """Make the context of a node that listens on a port assigned by the kernel."""
    cfg = NodeSettings.model_validate(
        {
            "node": f"n{number}",
            "domain": "lahore",
            "bind_ip": "127.0.0.1",
            "peer_address": "127.0.0.1:1",
            "caller_address": "127.0.0.1:1",
            "admin_address": "127.0.0.1:1",
            "platform": {"url": "http://127.0.0.1:1"},
            **sections,
        }
    )
    links = PeerLinks(Identity(cfg.node, f"{number:016x}", cfg.domain, ""))
    links.listen("127.0.0.1:0")
    rng = random.Random(number)
    return Context(cfg, Blackboard(EMPTY_SNAPSHOT), links, None, rng)


def register_members(*nodes: Context) -> None:
    """Mark the nodes ready, and add each as a member to every blackboard."""
    for ctx in nodes:
        address = f"127.0.0.1:{ctx.links.port}"
        rec = NodeRecord(
            ctx.cfg.node,
            ctx.cfg.domain,
            ctx.links.identity.instance,
            1,
            1,
            address,
            "",
            NodeState.READY,
        )
        ctx.board.ready = True
        for other in nodes:
            other.board.members[rec.node] = rec
            other.board.notify(Topic.MEMBERS)


def make_call(request_key: str, attempt: str) -> Call:
    """Make a call whose attempt holds the claim of a request key."""
    return Call(
        1, "w", "POST", "/", (), b"", 1000, False, request_key, "s", 1, attempt=attempt
    )


async def wait_for(condition, timeout_s: float = 5.0) -> None:
    """Wait until `condition()` is true.

    Raises
    ------
    AssertionError
        The condition is not true within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        if loop.time() > deadline:
            raise AssertionError("condition not met in time")
        await asyncio.sleep(0.005)


@dataclass
class FakeApi:
    """Platform in memory; each `put` consumes one of `faults`.

    A fault loses the answer of a write that takes no effect (``lost before``), or
    that takes effect (``lost after``). A write takes effect at once, but is answered
    only after `gate` is set.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    revision: int = 0
    faults: list[str] = field(default_factory=list)
    is_down: bool = False
    gate: asyncio.Event | None = None

    async def get(self, kind, name):
        if self.is_down:
            return Err(Unavailable("outage"))
        return Ok(self.objects.get(name))

    async def list(self, kind, stale=False):
        return Ok(Listing(self.revision, tuple(self.objects.values())))

    async def put(self, kind, name, value, expected_version):
        if self.is_down:
            return Err(Unavailable("outage"))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lost before":
            return Err(AnswerLost("fault"))
        current = self.objects[name].version if name in self.objects else 0
        if expected_version not in (None, current):
            return Err(Conflict(current))
        self.revision += 1
        self.objects[name] = StoredObject(kind, name, self.revision, value)
        if self.gate is not None:
            await self.gate.wait()
        if fault == "lost after":
            return Err(AnswerLost("fault"))
        return Ok(self.revision)

    async def delete(self, kind, name, expected_version):
        if name not in self.objects or self.objects[name].version != expected_version:
            return Err(Conflict(0))
        self.revision += 1
        del self.objects[name]
        return Ok(self.revision)

    async def watch(self, kind, since, timeout_s):
        return Err(Unavailable("no watch"))
