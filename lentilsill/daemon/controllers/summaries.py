"""Exchange of domain summaries between failure domains."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import (
    DomainSummary,
    NodeRecord,
    RowError,
    SummaryDelta,
    SummaryTable,
    build_summary,
    diff_summaries,
    record_from_row,
    record_to_row,
)
from lentilsill.wire import CONTROL, Hello, Link, Message
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Records, Summary

__all__ = ["SummaryExchange"]

# This interval combines the changes of a busy domain. It is well below the 2 s within
# which other domains must learn that an upstream is leaving.
MIN_SEND_INTERVAL_S = 0.5
# The listing holds the hashes of all summaries, and so reveals a summary that was lost
# when its link broke.
LISTING_INTERVAL_S = 5.0
# This delay combines the summaries of several domains, so that routing rebuilds its
# candidates once.
PUBLISH_DELAY_S = 0.1
# Listing of a node without summaries; receivers ignore an empty tuple.
EMPTY_LISTING = (("", -1, 0),)
MAX_ADDRESSES_PER_DOMAIN = 16
MAX_SEND_ATTEMPTS = 3

log = structlog.get_logger()


class SummaryExchange:
    """Sends the local domain's summary to other domains and disseminates theirs.

    Parameters
    ----------
    ctx : Context
    is_gateway : callable
        Returns whether this node is among the first two in the ranking.
    push_to_children : callable
        Pushes a message to the children of this node in the tree of a root.
    """

    def __init__(
        self,
        ctx: Context,
        is_gateway: Callable[[], bool],
        push_to_children: Callable[[str, Message], int],
    ) -> None:
        self._ctx = ctx
        self._is_gateway = is_gateway
        self._push_to_children = push_to_children
        self._table = SummaryTable()
        # Peer addresses by domain; the most recently seen one is last.
        self._addresses: dict[str, dict[str, None]] = defaultdict(dict)
        # Time in s, generation and content hash of the last sent summary of the local
        # domain, by receiving domain.
        self._last_sent: dict[str, tuple[float, int, int]] = {}
        self._listed_at = float("-inf")
        # Lowest generation of the local summary, above what other domains have known.
        self._min_generation = 0
        # When a peer was last told that a later generation of its domain is known.
        self._rank_sent_at = float("-inf")
        # Newest generation that was forwarded, by domain of the summary.
        self._forwarded: dict[str, int] = {}
        self._is_publish_pending = False
        self._has_member_changes = True
        self._members: Mapping[str, NodeRecord] = {}
        self._gateways: tuple[str, ...] = ()

    def start(self) -> None:
        """Register the handler and start the send loop."""
        self._ctx.links.on(Summary, self._on_summary)
        self._ctx.spawn(self._send_loop())

    def record_address(self, hello: Hello) -> None:
        """Store the peer address of a node of another domain."""
        if hello.domain != self._ctx.cfg.domain:
            addresses = self._addresses[hello.domain]
            addresses.pop(hello.peer_address, None)
            addresses[hello.peer_address] = None
            while len(addresses) > MAX_ADDRESSES_PER_DOMAIN:
                del addresses[next(iter(addresses))]

    def set_members(
        self, members: Mapping[str, NodeRecord], gateways: tuple[str, ...]
    ) -> None:
        """Set the live records of the local domain and its gateways."""
        if members != self._members or gateways != self._gateways:
            self._has_member_changes = True
        self._members = members
        self._gateways = gateways

    def remote_addresses(self) -> dict[str, list[str]]:
        """Return the known peer addresses of each other domain."""
        found = {domain: dict(known) for domain, known in self._addresses.items()}
        for summary in self._table.all():
            if summary.domain != self._ctx.cfg.domain:
                in_summary = dict.fromkeys(n.peer_address for n in summary.nodes)
                found.setdefault(summary.domain, {}).update(in_summary)
        return {domain: list(known) for domain, known in found.items() if known}

    @property
    def content_hash(self) -> int:
        """64-bit hash of the summaries of the other domains."""
        return self._table.content_hash(without=self._ctx.cfg.domain)

    def listing(self) -> tuple[tuple[str, int, int], ...]:
        """Return (domain, generation, content hash) of each known summary."""
        return self._table.listing()

    def listing_if_needed(
        self, link: Link, their_listing: Iterable[tuple[str, int, int]]
    ) -> tuple[tuple[str, int, int], ...]:
        """Return this node's listing if it is behind a peer, else ().

        A peer also gets it if this node knows a later generation of the peer's domain:
        the peer then outranks that, see `_outrank`.
        """
        own_versions = {name: (gen, content) for name, gen, content in self.listing()}
        for domain, generation, content_hash in their_listing:
            if domain == self._ctx.cfg.domain:
                continue
            own_generation, own_hash = own_versions.get(domain, (-1, 0))
            is_behind = generation > own_generation
            if generation < own_generation and domain == link.hello.domain:
                is_behind = self._ctx.now() - self._rank_sent_at > MIN_SEND_INTERVAL_S
                self._rank_sent_at = self._ctx.now()
            if is_behind and content_hash != own_hash:
                return self.listing() or EMPTY_LISTING
        return ()

    def send_newer(
        self, link: Link, their_listing: Iterable[tuple[str, int, int]]
    ) -> None:
        """Send a peer the summaries whose content is newer than in its listing."""
        self._outrank(their_listing)
        their_versions = {name: (gen, content) for name, gen, content in their_listing}
        for domain, generation, content_hash in self.listing():
            their_generation, their_hash = their_versions.get(domain, (-1, 0))
            is_newer = generation > their_generation and content_hash != their_hash
            if is_newer and domain != link.hello.domain:
                self._send_update(link, domain, their_hash)

    def _outrank(self, their_listing: Iterable[tuple[str, int, int]]) -> None:
        """Renumber the local summary if other domains know a later generation of it.

        Generations follow the clocks of gateways. After a clock was ahead and all
        nodes of the domain have restarted, other domains would keep its old summary.
        """
        domain = self._ctx.cfg.domain
        own = self._table.get(domain)
        if own is None or not self._is_gateway():
            return
        for name, generation, content_hash in their_listing:
            is_later = generation > own.generation and content_hash != own.content_hash
            if name == domain and is_later:
                self._min_generation = generation + 1
                self._has_member_changes = True
                self._update_summary()

    def _send_update(self, link: Link, domain: str, their_hash: int) -> None:
        update = self._table.update_for(domain, their_hash)
        if update is not None and link.send(_to_message(update, "")):
            self._ctx.count("membership.summaries_sent")

    def dump(self) -> dict[str, Any]:
        """Return the part of the state dump about summaries."""
        return {
            s.domain: {
                "generation": s.generation,
                "totals": [list(t) for t in s.totals],
            }
            for s in self._table.all()
        }

    async def _send_loop(self) -> None:
        while True:
            await asyncio.sleep(MIN_SEND_INTERVAL_S / 2)
            if not self._is_gateway():
                continue
            summary = self._update_summary()
            now = self._ctx.now()
            is_listing_due = now - self._listed_at >= LISTING_INTERVAL_S
            if is_listing_due:
                self._listed_at = now
            for domain, addresses in self.remote_addresses().items():
                if self._is_send_due(domain, summary, now) or is_listing_due:
                    self._ctx.spawn(self._send(domain, addresses, summary))

    def _update_summary(self) -> DomainSummary:
        """Return the local domain's summary, rebuilt if its members have changed.

        New content is stored and sent to the other gateway.
        """
        domain = self._ctx.cfg.domain
        known = self._table.get(domain)
        if known is not None and not self._has_member_changes:
            return known
        self._has_member_changes = False
        # The other gateway's clock may be ahead of this one's.
        min_generation = known.generation + 1 if known is not None else 0
        min_generation = max(min_generation, self._min_generation)
        generation = max(self._ctx.wall_ms(), min_generation)
        summary = build_summary(
            domain, generation, self._members.values(), self._gateways
        )
        has_rank = known is not None and known.generation >= self._min_generation
        if known is not None and has_rank and known.has_same_content(summary):
            return known
        self._table.merge(summary)
        update = summary if known is None else diff_summaries(known, summary)
        for node in self._gateways:
            if node != self._ctx.cfg.node and node in self._members:
                address = self._members[node].peer_address
                self._ctx.links.send(address, CONTROL, _to_message(update, ""))
        return summary

    def _is_send_due(self, domain: str, summary: DomainSummary, now: float) -> bool:
        if domain not in self._last_sent:
            return True
        sent_at, generation, _ = self._last_sent[domain]
        return generation != summary.generation and now - sent_at >= MIN_SEND_INTERVAL_S

    async def _send(
        self, domain: str, addresses: list[str], summary: DomainSummary
    ) -> None:
        """Send a node of `domain` the update since the last summary sent there.

        If there is no such summary or no update, send the listing instead. The
        receiver answers with its own listing, and then gets the summaries that it
        lacks.
        """
        _, _, sent_hash = self._last_sent.get(domain, (0.0, 0, 0))
        local_domain = self._ctx.cfg.domain
        update = self._table.update_for(local_domain, sent_hash)
        message: Message = Records((), summaries=self.listing())
        if sent_hash and update is not None:
            message = _to_message(update, "")
        content_hash = summary.content_hash
        shuffled = list(addresses)
        self._ctx.rng.shuffle(shuffled)
        self._last_sent[domain] = (self._ctx.now(), summary.generation, content_hash)
        for address in shuffled[:MAX_SEND_ATTEMPTS]:
            try:
                link = await self._ctx.links.connect(address, CONTROL)
            except LinkError:
                self._addresses[domain].pop(address, None)
                continue
            if link.send(message):
                return
        # No node was reached; the next round sends again.
        self._last_sent.pop(domain, None)

    def _on_summary(self, link: Link, message: Summary) -> None:
        self.record_address(link.hello)
        try:
            nodes = tuple(record_from_row(row)[0] for row in message.nodes)
        except RowError as exc:
            log.warning("bad_summary", peer=link.hello.node, error=str(exc))
            return
        is_new = self._merge_message(message, nodes)
        if is_new is None:
            self._ctx.count("membership.summary_bases_missing")
            # With the hash 0 the answer is the whole summary. A further delta might
            # lack its base again, and the requests would never end.
            others = [row for row in self.listing() if row[0] != message.domain]
            requested = (message.domain, message.generation - 1, 0)
            link.send(Records((), summaries=(*others, requested)))
        if is_new is False or message.domain == self._ctx.cfg.domain:
            return
        if is_new:
            self._publish_soon()
        self._forward(link, message)

    def _merge_message(
        self, message: Summary, nodes: tuple[NodeRecord, ...]
    ) -> bool | None:
        """Merge a message; return whether its content is new.

        The result is None when the base of a partial summary is missing here.
        """
        domain, generation = message.domain, message.generation
        if not message.partial:
            summary = DomainSummary(domain, generation, message.totals, nodes)
            return self._table.merge(summary)
        return self._table.merge_delta(
            SummaryDelta(
                domain,
                generation,
                message.totals,
                nodes,
                message.gone,
                message.content_hash,
            )
        )

    def _forward(self, link: Link, message: Summary) -> None:
        # A node that receives a summary from another domain becomes the root of the
        # tree in its own domain.
        is_remote = link.hello.domain != self._ctx.cfg.domain
        root = self._ctx.cfg.node if is_remote else message.root
        is_forwarded = message.generation <= self._forwarded.get(message.domain, -1)
        if root and not is_forwarded:
            self._forwarded[message.domain] = message.generation
            self._push_to_children(root, msgspec.structs.replace(message, root=root))

    def _publish_soon(self) -> None:
        if not self._is_publish_pending:
            self._is_publish_pending = True
            loop = asyncio.get_running_loop()
            loop.call_later(PUBLISH_DELAY_S, self._publish)

    def _publish(self) -> None:
        self._is_publish_pending = False
        board = self._ctx.board
        board.remote_nodes = {
            record.node: record
            for summary in self._table.all()
            if summary.domain != self._ctx.cfg.domain
            for record in summary.nodes
        }
        board.remote_totals = {
            summary.domain: sum(total[1] for total in summary.totals)
            for summary in self._table.all()
            if summary.domain != self._ctx.cfg.domain
        }
        board.notify(Topic.MEMBERS)


def _to_message(update: DomainSummary | SummaryDelta, root: str) -> Summary:
    rows: Any = tuple(record_to_row(record) for record in update.nodes)
    message = Summary(update.domain, update.generation, update.totals, rows, root)
    if isinstance(update, DomainSummary):
        return message
    return msgspec.structs.replace(
        message, partial=True, gone=update.gone, content_hash=update.content_hash
    )
