"""Contacts to seed addresses, for joining the domain and healing partitions."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.distribution import Backoff, choose_peers
from lentilsill.membership import Liveness, MemberTable, record_to_row
from lentilsill.wire import CONTROL
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Probe, Records

from .summaries import SummaryExchange

__all__ = ["SeedContacts"]

MAX_SEEDS_PER_ROUND = 8
TABLE_REQUEST_INTERVAL_S = 2.0
# Nodes that start together delay their first contacts at random up to this time. Each
# contacts a few seeds, so a seed gets a few dozen contacts in this time.
MAX_START_DELAY_S = 0.1
BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 5.0
# Only live nodes are probed. After a partition, two halves of a domain that consider
# each other dead find each other again through these contacts.
HEAL_INTERVAL_RANGE_S = (5.0, 15.0)
# A node that has just died is often restarted, and may know no other node while the
# platform is down. Contacts are more frequent for `RESTART_WINDOW_S` after a death.
RESTART_INTERVAL_RANGE_S = (0.5, 1.0)
RESTART_WINDOW_S = 30.0


class SeedContacts:
    """Contacts the seeds until each has answered once.

    Afterwards it contacts one random seed or dead node at random intervals.
    """

    def __init__(
        self,
        ctx: Context,
        table: MemberTable,
        summaries: SummaryExchange,
        digest: Callable[[], tuple[int, int, int]],
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._summaries = summaries
        self._digest = digest
        self._reached: set[str] = set()
        self._dead_since: dict[str, float] = {}
        own_address = {table.own.peer_address}
        self._seeds = set(ctx.cfg.membership.seeds) - own_address
        self._new_seeds_event = asyncio.Event()
        self._requested_at = float("-inf")

    def start(self) -> None:
        """Start the contact loop."""
        self._ctx.spawn(self._loop())

    def add(self, addresses: Iterable[str]) -> None:
        """Add seeds and contact them without delay."""
        new_seeds = set(addresses) - self._seeds - {self._table.own.peer_address}
        if new_seeds:
            self._seeds |= new_seeds
            self._new_seeds_event.set()

    async def _loop(self) -> None:
        rng = self._ctx.rng
        backoff = Backoff(BACKOFF_BASE_S, BACKOFF_CAP_S, rng)
        seeds = self._seeds
        await asyncio.sleep(rng.uniform(0, MAX_START_DELAY_S))
        while True:
            await self._contact_some_peers(seeds)
            if len(self._table.live()) > 1 and self._reached >= seeds:
                interval_range_s = (
                    RESTART_INTERVAL_RANGE_S
                    if self._has_recent_death()
                    else HEAL_INTERVAL_RANGE_S
                )
                delay_s = rng.uniform(*interval_range_s)
            else:
                delay_s = backoff.next_delay()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._new_seeds_event.wait(), delay_s)
            self._new_seeds_event.clear()

    def _has_recent_death(self) -> bool:
        """Return whether a node has been dead for less than `RESTART_WINDOW_S`."""
        now = self._ctx.now()
        dead = {
            e.record.node for e in self._table.entries() if e.liveness == Liveness.DEAD
        }
        self._dead_since = {name: self._dead_since.get(name, now) for name in dead}
        return any(
            now - since < RESTART_WINDOW_S for since in self._dead_since.values()
        )

    async def _contact_some_peers(self, seeds: set[str]) -> None:
        """Contact seeds that have not answered yet.

        When all have answered, contact one random seed or dead node.
        """
        unreached = seeds - self._reached
        dead = {
            e.record.peer_address
            for e in self._table.entries()
            if e.liveness == Liveness.DEAD
        }
        count = MAX_SEEDS_PER_ROUND if unreached else 1
        chosen = choose_peers(unreached or (seeds | dead), count, self._ctx.rng)
        await asyncio.gather(*(self._contact(address) for address in chosen))

    async def _contact(self, address: str) -> None:
        try:
            link = await self._ctx.links.connect(address, CONTROL)
        except LinkError:
            self._ctx.count("membership.seed_unreachable")
            return
        self._reached.add(address)
        if link.hello.domain != self._ctx.cfg.domain:
            self._summaries.record_address(link.hello)
            return
        entry = self._table.get(link.hello.node)
        if entry is not None and entry.liveness != Liveness.DEAD:
            link.send(Probe(0, self._digest()))
            return
        now = self._ctx.now()
        rows: list[Any] = [record_to_row(self._table.own)]
        if entry is not None:
            # The peer refutes the verdict that it is dead.
            rows.append(record_to_row(entry.record, entry.liveness))
        # The whole table of one seed is requested; repair adds what that table lacks.
        is_table_needed = (
            now - self._requested_at > TABLE_REQUEST_INTERVAL_S or entry is not None
        )
        if is_table_needed:
            self._requested_at = now
        link.send(Records(tuple(rows), want_reply=is_table_needed))
