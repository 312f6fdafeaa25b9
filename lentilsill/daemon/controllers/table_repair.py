"""Repair of differences from a peer's member table and summaries."""

from collections.abc import Iterable

from lentilsill.daemon.context import Context
from lentilsill.membership import (
    Entry,
    Liveness,
    MemberTable,
    NodeRecord,
    record_to_row,
)
from lentilsill.wire import Link
from lentilsill.wire.messages import NodeRow, Records

from .summaries import SummaryExchange

__all__ = ["TableRepair", "to_row", "to_rows"]

# With 511 members a bucket holds 16 records, so one exchange transfers at most about
# 128 records (20 KB). Further buckets are repaired after further probes.
MAX_BUCKETS_PER_EXCHANGE = 8


class TableRepair:
    """Exchanges hashes of buckets with a peer, then only the records that differ.

    See Also
    --------
    lentilsill.wire.messages.Records : the messages of the exchange.
    """

    def __init__(
        self, ctx: Context, table: MemberTable, summaries: SummaryExchange
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._summaries = summaries
        self._started_at = float("-inf")

    @property
    def digest_hash(self) -> int:
        """Hash of the member table and of the summaries of other domains."""
        return self._table.records_hash ^ self._summaries.content_hash

    def start(self, link: Link, their_hash: int) -> None:
        """Start an exchange if the peer's hash differs, at a limited rate."""
        now = self._ctx.now()
        interval_s = self._ctx.cfg.membership.probe_interval_s
        if their_hash == self.digest_hash or now - self._started_at < interval_s / 2:
            return
        self._started_at = now
        self._ctx.count("membership.repairs")
        hashes = self._table.bucket_hashes
        link.send(Records((), table=hashes, summaries=self._summaries.listing()))

    def answer(
        self,
        link: Link,
        message: Records,
        records: list[tuple[NodeRecord, Liveness]],
    ) -> None:
        """Answer a message of an exchange; its `records` have been merged."""
        table = self._table
        listing: tuple[tuple[str, int, int], ...] = ()
        if message.summaries:
            self._summaries.send_newer(link, message.summaries)
            listing = self._summaries.listing_if_needed(link, message.summaries)
        if message.table:
            differing = table.differing_buckets(message.table)
            chosen = self._ctx.rng.sample(
                differing, min(MAX_BUCKETS_PER_EXCHANGE, len(differing))
            )
            if chosen or listing:
                hashes = tuple(table.hashes_in(chosen))
                link.send(Records((), False, False, (), tuple(chosen), hashes, listing))
        elif listing:
            link.send(Records((), summaries=listing))
        if message.buckets:
            missing_at_peer = table.missing(message.buckets, message.hashes)
            own_hashes = set(table.hashes_in(message.buckets))
            requested_hashes = tuple(h for h in message.hashes if h not in own_hashes)
            link.send(Records(to_rows(missing_at_peer), hashes=requested_hashes))
        else:
            found = {e.record.node: e for e in table.with_hashes(message.hashes)}
            if not message.push:
                # The peer must not keep records that are older than this node's.
                found |= {e.record.node: e for e in table.newer_than_rows(records)}
            if found:
                link.send(Records(to_rows(found.values())))


def to_row(record: NodeRecord, liveness: Liveness = Liveness.ALIVE) -> NodeRow:
    """Convert a record to its wire form."""
    return record_to_row(record, liveness)  # type: ignore[return-value]


def to_rows(entries: Iterable[Entry]) -> tuple[NodeRow, ...]:
    """Return the entries as rows of a message."""
    return tuple(record_to_row(e.record, e.liveness) for e in entries)  # type: ignore[misc]
