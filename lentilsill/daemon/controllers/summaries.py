"""Exchange of domain summaries between failure domains."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.membership import (
    DomainSummary,
    NodeRecord,
    RowError,
    SummaryTable,
    build_summary,
    record_from_row,
    record_to_row,
)
from lentilsill.wire import CONTROL, Hello, Link
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Summary

__all__ = ["SummaryExchange"]

# Coalesces the changes of a busy domain; well below the 2 s in which other
# domains must learn of a leaving upstream.
MIN_INTERVAL_S = 0.5
# Replaces a summary that was lost with its link.
REFRESH_INTERVAL_S = 10.0
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
    tree_children : callable
        Addresses below this node in the tree of a root.
    """

    def __init__(
        self,
        ctx: Context,
        is_gateway: Callable[[], bool],
        tree_children: Callable[[str], list[str]],
    ) -> None:
        self._ctx = ctx
        self._is_gateway = is_gateway
        self._tree_children = tree_children
        self._table = SummaryTable()
        # Addresses by domain, the latest last.
        self._addresses: dict[str, dict[str, None]] = defaultdict(dict)
        self._sent: dict[str, tuple[float, DomainSummary]] = {}
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

    def send_all(self, link: Link) -> None:
        """Send the other domains' summaries to a node of the own domain.

        A node that joins after a summary was spread gets it in this way only.
        """
        if link.hello.domain == self._ctx.cfg.domain:
            for summary in self._table.all():
                if summary.domain != self._ctx.cfg.domain:
                    link.send(_to_message(summary, ""))

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
            summary = self._build()
            now = self._ctx.now()
            for domain, addresses in self.remote_addresses().items():
                if self._is_due(domain, summary, now):
                    self._sent[domain] = (now, summary)
                    self._ctx.spawn(self._send(domain, addresses, summary))

    def _build(self) -> DomainSummary:
        domain = self._ctx.cfg.domain
        known = self._table.get(domain)
        # The other gateway's clock may be ahead.
        floor = known.generation + 1 if known is not None else 0
        generation = max(self._ctx.wall_ms(), floor)
        summary = build_summary(
            domain, generation, self._members.values(), self._gateways
        )
        if known is not None and known.has_content_of(summary):
            return known
        self._table.merge(summary)
        for node in self._gateways:
            if node != self._ctx.cfg.node and node in self._members:
                address = self._members[node].peer_address
                self._ctx.links.send(address, CONTROL, _to_message(summary, ""))
        return summary

    def _is_due(self, domain: str, summary: DomainSummary, now: float) -> bool:
        if domain not in self._sent:
            return True
        sent_at, sent = self._sent[domain]
        is_same = sent.has_content_of(summary)
        return now - sent_at >= (REFRESH_INTERVAL_S if is_same else MIN_INTERVAL_S)

    async def _send(
        self, domain: str, addresses: list[str], summary: DomainSummary
    ) -> None:
        pool = list(addresses)
        self._ctx.rng.shuffle(pool)
        for address in pool[:SEND_ATTEMPTS]:
            try:
                link = await self._ctx.links.connect(address, CONTROL)
            except LinkError:
                self._addresses[domain].pop(address, None)
                continue
            if link.send(_to_message(summary, "")):
                self._ctx.count("membership.summaries_sent")
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
        summary = DomainSummary(
            message.domain, message.generation, message.totals, nodes
        )
        if not self._table.merge(summary) or message.domain == self._ctx.cfg.domain:
            return
        self._publish()
        # The first receiver in a domain is the root of the tree there.
        root = message.root
        if link.hello.domain != self._ctx.cfg.domain:
            root = self._ctx.cfg.node
        if not root:
            return
        passed_on = msgspec.structs.replace(message, root=root)
        for address in self._tree_children(root):
            self._ctx.links.send(address, CONTROL, passed_on)

    def _publish(self) -> None:
        board = self._ctx.board
        board.remote_nodes = {
            record.node: record
            for summary in self._table.all()
            if summary.domain != self._ctx.cfg.domain
            for record in summary.nodes
        }
        board.changed(Topic.MEMBERS)


def _to_message(summary: DomainSummary, root: str) -> Summary:
    rows: Any = tuple(record_to_row(record) for record in summary.nodes)
    return Summary(summary.domain, summary.generation, summary.totals, rows, root)
