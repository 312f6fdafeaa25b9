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

# Coalesces the changes of a busy domain; well below the 2 s in which other
# domains must learn of a leaving upstream.
MIN_INTERVAL_S = 0.5
# Finds a summary that was lost with its link, by the hashes of all summaries.
LISTING_INTERVAL_S = 5.0
# Coalesces the summaries of several domains into one rebuild of candidates.
PUBLISH_DELAY_S = 0.1
# Listing of a node without summaries.
UNKNOWN = (("", -1, 0),)
MAX_ADDRESSES = 16
SEND_ATTEMPTS = 3

log = structlog.get_logger()


class SummaryExchange:
    """Sends the own domain's summary to others and spreads theirs.

    Parameters
    ----------
    ctx : Context
    is_gateway : callable
        Whether this node is among the first two in the ranking.
    push_to_children : callable
        Pushes a message to the nodes below this one in the tree of a root.
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
        # Addresses by domain, the latest last.
        self._addresses: dict[str, dict[str, None]] = defaultdict(dict)
        # Time, generation and content hash of what was sent last, by domain.
        self._sent: dict[str, tuple[float, int, int]] = {}
        self._listed_at = float("-inf")
        # Newest generation that was passed on, by domain.
        self._passed_on: dict[str, int] = {}
        self._publish_pending = False
        self._has_changed = True
        self._members: Mapping[str, NodeRecord] = {}
        self._gateways: tuple[str, ...] = ()

    def start(self) -> None:
        """Register the handler and start the send loop."""
        self._ctx.links.on(Summary, self._on_summary)
        self._ctx.spawn(self._send_loop())

    def note_address(self, hello: Hello) -> None:
        """Remember a node of another domain."""
        if hello.domain != self._ctx.cfg.domain:
            known = self._addresses[hello.domain]
            known.pop(hello.peer_address, None)
            known[hello.peer_address] = None
            while len(known) > MAX_ADDRESSES:
                del known[next(iter(known))]

    def members_changed(
        self, members: Mapping[str, NodeRecord], gateways: tuple[str, ...]
    ) -> None:
        """Take the live records of the own domain and its first-ranked nodes."""
        if members != self._members or gateways != self._gateways:
            self._has_changed = True
        self._members = members
        self._gateways = gateways

    def remote_addresses(self) -> dict[str, list[str]]:
        """Give the known peer addresses of each other domain."""
        found = {domain: dict(known) for domain, known in self._addresses.items()}
        for summary in self._table.all():
            if summary.domain != self._ctx.cfg.domain:
                named = dict.fromkeys(n.peer_address for n in summary.nodes)
                found.setdefault(summary.domain, {}).update(named)
        return {domain: list(known) for domain, known in found.items() if known}

    @property
    def content_hash(self) -> int:
        """64-bit hash of the summaries of the other domains."""
        return self._table.content_hash(without=self._ctx.cfg.domain)

    def listing(self) -> tuple[tuple[str, int, int], ...]:
        """List (domain, generation, content hash) of the known summaries."""
        return self._table.listing()

    def listing_if_behind(
        self, theirs: Iterable[tuple[str, int, int]]
    ) -> tuple[tuple[str, int, int], ...]:
        """Give the own listing when a peer has something newer, else nothing."""
        mine = {domain: (gen, known) for domain, gen, known in self.listing()}
        for domain, generation, content_hash in theirs:
            if domain == self._ctx.cfg.domain:
                continue
            own_generation, own_hash = mine.get(domain, (-1, 0))
            if generation > own_generation and content_hash != own_hash:
                return self.listing() or UNKNOWN
        return ()

    def send_newer(self, link: Link, theirs: Iterable[tuple[str, int, int]]) -> None:
        """Send the summaries that are newer than a peer's."""
        known = {domain: (gen, found) for domain, gen, found in theirs}
        for domain, generation, content_hash in self.listing():
            their_generation, their_hash = known.get(domain, (-1, 0))
            is_newer = generation > their_generation and content_hash != their_hash
            if is_newer and domain != link.hello.domain:
                self._send_update(link, domain, their_hash)

    def _send_update(self, link: Link, domain: str, their_hash: int) -> None:
        update = self._table.update_for(domain, their_hash)
        if update is not None and link.send(_to_message(update, "")):
            self._ctx.count("membership.summaries_sent")

    def dump(self) -> dict[str, Any]:
        """Give this part of the state dump."""
        return {
            s.domain: {
                "generation": s.generation,
                "totals": [list(t) for t in s.totals],
            }
            for s in self._table.all()
        }

    async def _send_loop(self) -> None:
        while True:
            await asyncio.sleep(MIN_INTERVAL_S / 2)
            if not self._is_gateway():
                continue
            summary = self._current()
            now = self._ctx.now()
            is_listing_due = now - self._listed_at >= LISTING_INTERVAL_S
            if is_listing_due:
                self._listed_at = now
            for domain, addresses in self.remote_addresses().items():
                if self._is_due(domain, summary, now) or is_listing_due:
                    self._ctx.spawn(self._send(domain, addresses, summary))

    def _current(self) -> DomainSummary:
        """Build the own domain's summary when its members have changed."""
        domain = self._ctx.cfg.domain
        known = self._table.get(domain)
        if known is not None and not self._has_changed:
            return known
        self._has_changed = False
        # The other gateway's clock may be ahead.
        floor = known.generation + 1 if known is not None else 0
        generation = max(self._ctx.wall_ms(), floor)
        summary = build_summary(
            domain, generation, self._members.values(), self._gateways
        )
        if known is not None and known.has_same_content(summary):
            return known
        self._table.merge(summary)
        update = summary if known is None else diff_summaries(known, summary)
        for node in self._gateways:
            if node != self._ctx.cfg.node and node in self._members:
                address = self._members[node].peer_address
                self._ctx.links.send(address, CONTROL, _to_message(update, ""))
        return summary

    def _is_due(self, domain: str, summary: DomainSummary, now: float) -> bool:
        if domain not in self._sent:
            return True
        sent_at, generation, _ = self._sent[domain]
        return generation != summary.generation and now - sent_at >= MIN_INTERVAL_S

    async def _send(
        self, domain: str, addresses: list[str], summary: DomainSummary
    ) -> None:
        """Send what changed since the last time, or ask what is not known there.

        The receiver answers a listing by its own one, and gets what it lacks.
        """
        _, _, sent_hash = self._sent.get(domain, (0.0, 0, 0))
        own = self._ctx.cfg.domain
        update = self._table.update_for(own, sent_hash)
        message: Message = Records((), summaries=self.listing())
        if sent_hash and update is not None:
            message = _to_message(update, "")
        content_hash = summary.content_hash
        pool = list(addresses)
        self._ctx.rng.shuffle(pool)
        self._sent[domain] = (self._ctx.now(), summary.generation, content_hash)
        for address in pool[:SEND_ATTEMPTS]:
            try:
                link = await self._ctx.links.connect(address, CONTROL)
            except LinkError:
                self._addresses[domain].pop(address, None)
                continue
            if link.send(message):
                return
        # Sent again with the next round.
        self._sent.pop(domain, None)

    def _on_summary(self, link: Link, message: Summary) -> None:
        self.note_address(link.hello)
        try:
            nodes = tuple(record_from_row(row)[0] for row in message.nodes)
        except RowError as exc:
            log.warning("bad_summary", peer=link.hello.node, error=str(exc))
            return
        is_new = self._take(message, nodes)
        if is_new is None:
            self._ctx.count("membership.summary_bases_missing")
            # Without a hash the answer is the whole summary; a second delta that
            # does not fit would be asked for without end.
            known = [row for row in self.listing() if row[0] != message.domain]
            asked = (message.domain, message.generation - 1, 0)
            link.send(Records((), summaries=(*known, asked)))
        if is_new is False or message.domain == self._ctx.cfg.domain:
            return
        if is_new:
            self._publish_soon()
        self._pass_on(link, message)

    def _take(self, message: Summary, nodes: tuple[NodeRecord, ...]) -> bool | None:
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

    def _pass_on(self, link: Link, message: Summary) -> None:
        # The first receiver in a domain is the root of the tree there.
        is_remote = link.hello.domain != self._ctx.cfg.domain
        root = self._ctx.cfg.node if is_remote else message.root
        is_repeated = message.generation <= self._passed_on.get(message.domain, -1)
        if root and not is_repeated:
            self._passed_on[message.domain] = message.generation
            self._push_to_children(root, msgspec.structs.replace(message, root=root))

    def _publish_soon(self) -> None:
        if not self._publish_pending:
            self._publish_pending = True
            loop = asyncio.get_running_loop()
            loop.call_later(PUBLISH_DELAY_S, self._publish)

    def _publish(self) -> None:
        self._publish_pending = False
        board = self._ctx.board
        board.remote_nodes = {
            record.node: record
            for summary in self._table.all()
            if summary.domain != self._ctx.cfg.domain
            for record in summary.nodes
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
