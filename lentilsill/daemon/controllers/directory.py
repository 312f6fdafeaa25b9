"""Entries of nodes in the platform, by which nodes find each other.

A node writes its entry once and reads the others' entries once. Liveness goes
from node to node; the entries are no more than addresses to try.
"""

import asyncio
from typing import Any

import structlog
from result import Err, Ok

from lentilsill.daemon.context import Context
from lentilsill.distribution import Backoff
from lentilsill.platform import ObjectApi, StoredObject

from .membership import MembershipController

__all__ = ["DIRECTORY_KIND", "DirectoryController"]

DIRECTORY_KIND = "nodes"
BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 4.0
# Nodes that start together have written their entries by then.
FIRST_READ_S = 0.5
# A node that knows no other node of some domain reads again.
CHECK_S = 2.0

log = structlog.get_logger()


class DirectoryController:
    """Writes the own entry and gives the others' addresses to the membership."""

    def __init__(
        self, ctx: Context, api: ObjectApi, membership: MembershipController
    ) -> None:
        self._ctx = ctx
        self._api = api
        self._membership = membership
        self._known: dict[str, str] = {}
        self._last_error = ""

    def start(self) -> None:
        """Start to write and to read."""
        self._ctx.board.dump_parts["directory"] = self._dump
        self._ctx.spawn(self._run())

    async def _run(self) -> None:
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, self._ctx.rng)
        while not await self._write():
            await asyncio.sleep(backoff.next_delay())
        await asyncio.sleep(FIRST_READ_S)
        backoff.reset()
        while True:
            if self._is_isolated():
                if await self._read():
                    backoff.reset()
                else:
                    await asyncio.sleep(backoff.next_delay())
            await asyncio.sleep(CHECK_S)

    def _is_isolated(self) -> bool:
        """Whether this node knows nobody else of its own or another domain."""
        board = self._ctx.board
        known = {record.domain for record in board.remote_nodes.values()}
        if len(board.members) > 1:
            known.add(self._ctx.cfg.domain)
        return not known.issuperset({*self._ctx.cfg.domains, self._ctx.cfg.domain})

    async def _write(self) -> bool:
        me = self._ctx.links.identity
        value = {"domain": me.domain, "peer_address": me.peer_address}
        match await self._api.put(DIRECTORY_KIND, me.node, value, None):
            case Ok(_):
                self._last_error = ""
                return True
            case Err(exc):
                self._failed("write", str(exc))
        return False

    async def _read(self) -> bool:
        match await self._api.list(DIRECTORY_KIND, stale=False):
            case Ok(listing):
                self._last_error = ""
                found = [_address(obj) for obj in listing.objects]
                own = self._ctx.links.identity.peer_address
                addresses = {a for a in found if a and a != own}
                self._known = dict.fromkeys(sorted(addresses), "")
                self._membership.add_seeds(addresses)
                log.info("directory_read", entries=len(listing.objects))
                return True
            case Err(exc):
                self._failed("read", str(exc))
        return False

    def _failed(self, what: str, error: str) -> None:
        if not self._last_error:
            log.warning("directory_failed", what=what, error=error)
        self._last_error = error

    def _dump(self) -> dict[str, Any]:
        return {"known": list(self._known), "last_error": self._last_error}


def _address(obj: StoredObject) -> str:
    """Give the peer address of an entry; empty for one of another form."""
    value = obj.value
    address = value.get("peer_address") if isinstance(value, dict) else None
    if not isinstance(address, str) or ":" not in address:
        return ""
    return address
