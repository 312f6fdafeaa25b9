"""Directory of nodes in the platform, through which nodes find each other.

Each node has one entry there. At its start, a node reads the entries, and writes its
own if that is missing or differs; it checks that again when the platform's store has
lost writes. Nodes exchange liveness among themselves; the
entries are only addresses to try, so the first read may return entries that are
seconds old.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import structlog
from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.distribution import Backoff
from lentilsill.platform import Conflict, ObjectApi, StoredObject
from lentilsill.versioning import era_of
from lentilsill.wire.addresses import check_address

from .membership import MembershipController

__all__ = ["DIRECTORY_KIND", "DirectoryController"]

DIRECTORY_KIND = "nodes"
BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 4.0
# While a node knows no other node of some domain, it repeats the read at these
# intervals: when nodes start together, the first read misses entries that are not
# written yet.
READ_INTERVALS_S = (0.4, 0.6, 1.0, 2.0)
# The first of them at a node that had no entry, with quotas, as it lends its share of
# them only after that read.
FIRST_START_READ_S = 0.2
# Number of nodes to contact in each domain; they report the other nodes.
LOCAL_DOMAIN_SEEDS = 4
REMOTE_DOMAIN_SEEDS = 2
# After the store has lost writes, all nodes check their entries within this time. 4,600
# nodes then make 1,533 reads a second, below the platform's 2,000.
MAX_CHECK_DELAY_S = 3.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Entry:
    """Directory entry that a node has written about itself."""

    domain: str
    peer_address: str

    @classmethod
    def parse(cls, obj: StoredObject) -> "_Entry | None":
        """Parse an entry; return None if it is malformed."""
        value = obj.value if isinstance(obj.value, dict) else {}
        domain, address = value.get("domain"), value.get("peer_address")
        if not isinstance(domain, str) or not isinstance(address, str):
            return None
        try:
            return cls(domain, check_address(address))
        except ValueError:
            return None


class DirectoryController:
    """Writes this node's entry and adds addresses of other nodes as seeds."""

    def __init__(
        self, ctx: Context, api: ObjectApi, membership: MembershipController
    ) -> None:
        self._ctx = ctx
        self._api = api
        self._membership = membership
        self._contacted: list[str] = []
        self._last_error = ""
        # This node's entry as last read from the platform; None if there was none,
        # {} if the entry exists but its value is not known.
        self._stored_entry: Any = None
        # Position at which the platform last had this node's entry.
        self._entry_as_of = 0
        # Whether this process created the node's first entry; see `_wants_read`.
        self._has_created_entry = False

    def start(self) -> None:
        """Start to read the directory and to write this node's entry."""
        self._ctx.board.dump_parts["directory"] = self._dump
        self._ctx.board.subscribe(Topic.STORE_ERA, self._check_soon)
        self._ctx.spawn(self._run())

    def _check_soon(self) -> None:
        if era_of(self._entry_as_of) < (self._ctx.board.store_era or 0):
            self._ctx.spawn(self._check_entry())

    async def _check_entry(self) -> None:
        """Write this node's entry again if the store has lost it."""
        await asyncio.sleep(self._ctx.rng.uniform(0.0, MAX_CHECK_DELAY_S))
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, self._ctx.rng)
        node = self._ctx.links.identity.node
        while True:
            match await self._api.get(DIRECTORY_KIND, node):
                case Ok(obj):
                    self._stored_entry = obj.value if obj is not None else None
                    break
                case Err(exc):
                    self._record_failure("read", str(exc))
            await asyncio.sleep(backoff.next_delay())
        if self._stored_entry != self._own_entry():
            log.info("directory_entry_lost", was_missing=self._stored_entry is None)
            await self._write_until_done()

    async def _run(self) -> None:
        has_read = await self._read(stale=True)
        if self._stored_entry != self._own_entry():
            self._ctx.spawn(self._write_until_done())
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, self._ctx.rng)
        if has_read:
            is_new = self._ctx.cfg.quotas is not None and self._stored_entry is None
            await asyncio.sleep(FIRST_START_READ_S if is_new else READ_INTERVALS_S[0])
        read_count = int(has_read)
        while True:
            if not self._has_unknown_domain() and not self._wants_read():
                await asyncio.sleep(READ_INTERVALS_S[-1])
            elif await self._read():
                backoff.reset()
                await asyncio.sleep(
                    READ_INTERVALS_S[min(read_count, len(READ_INTERVALS_S) - 1)]
                )
                read_count += 1
            else:
                await asyncio.sleep(backoff.next_delay())

    async def _write_until_done(self) -> None:
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, self._ctx.rng)
        while not await self._write():
            await asyncio.sleep(backoff.next_delay())

    def _wants_read(self) -> bool:
        """Return whether the entries must be counted after this one was created.

        With quotas, a process that created its entry had no process before it.
        """
        return (
            self._has_created_entry
            and self._ctx.cfg.quotas is not None
            and not self._ctx.board.is_first_process
        )

    def _has_unknown_domain(self) -> bool:
        """Return whether this node knows no other node of at least one domain."""
        board = self._ctx.board
        known = {record.domain for record in board.remote_nodes.values()}
        if len(board.members) > 1:
            known.add(self._ctx.cfg.domain)
        return not known.issuperset({*self._ctx.cfg.domains, self._ctx.cfg.domain})

    async def _write(self) -> bool:
        value = self._own_entry()
        expected = 0 if self._stored_entry is None else None
        node = self._ctx.links.identity.node
        match await self._api.put(DIRECTORY_KIND, node, value, expected):
            case Ok(version):
                self._last_error = ""
                # An entry that the store has lost is not the first one.
                self._has_created_entry |= expected == 0 and not self._entry_as_of
                self._entry_as_of = version
                return True
            case Err(Conflict()):
                # The entry was written after the state that the read returned.
                self._stored_entry = {}
            case Err(exc):
                self._record_failure("write", str(exc))
        return False

    def _own_entry(self) -> dict[str, str]:
        identity = self._ctx.links.identity
        return {"domain": identity.domain, "peer_address": identity.peer_address}

    async def _read(self, stale: bool = False) -> bool:
        is_counting = self._wants_read() and not stale
        match await self._api.list(DIRECTORY_KIND, stale=stale):
            case Ok(listing):
                self._last_error = ""
                self._ctx.board.directory_entries = len(listing.objects)
                self._ctx.board.is_first_process |= is_counting
                node = self._ctx.links.identity.node
                for obj in listing.objects:
                    if obj.name == node:
                        self._stored_entry = obj.value
                        self._entry_as_of = listing.revision
                self._contacted = self._choose_seeds(listing.objects)
                self._membership.add_seeds(self._contacted)
                log.info(
                    "directory_read",
                    entries=len(listing.objects),
                    contacted=len(self._contacted),
                )
                return True
            case Err(exc):
                self._record_failure("read", str(exc))
        return False

    def _choose_seeds(self, objects: Iterable[StoredObject]) -> list[str]:
        """Choose the addresses of some nodes of each domain at random."""
        addresses_by_domain: dict[str, list[str]] = defaultdict(list)
        for obj in objects:
            entry = _Entry.parse(obj)
            if entry is None:
                log.warning("directory_entry_unreadable", name=obj.name)
            elif entry.peer_address != self._ctx.links.identity.peer_address:
                addresses_by_domain[entry.domain].append(entry.peer_address)
        chosen: list[str] = []
        for domain, addresses in sorted(addresses_by_domain.items()):
            is_local = domain == self._ctx.cfg.domain
            count = LOCAL_DOMAIN_SEEDS if is_local else REMOTE_DOMAIN_SEEDS
            chosen += self._ctx.rng.sample(addresses, min(count, len(addresses)))
        return chosen

    def _record_failure(self, operation: str, error: str) -> None:
        if not self._last_error:
            log.warning("directory_failed", what=operation, error=error)
        self._last_error = error

    def _dump(self) -> dict[str, Any]:
        return {"contacted": self._contacted, "last_error": self._last_error}
