"""Membership of the local domain: join, probes and dissemination of node records."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import (
    Convergence,
    choose_peers,
    policy_for,
    rank_by_link,
)
from lentilsill.membership import (
    DeclareDead,
    DeclareSuspect,
    Entry,
    FailureDetector,
    Liveness,
    MemberTable,
    NodeRecord,
    NodeState,
    RepeatProbe,
    RowError,
    SendIndirectProbe,
    SendProbe,
    UpstreamState,
    record_from_row,
)
from lentilsill.wire import CONTROL, Link, Message
from lentilsill.wire.messages import IndirectProbe, NodeRow, Probe, ProbeAck, Records

from .probe_relays import NO_DIGEST, DigestTuple, ProbeRelays
from .seeds import SeedContacts
from .summaries import SummaryExchange
from .table_repair import TableRepair, to_row, to_rows
from .tree_push import TreePush

__all__ = ["MembershipController"]

MAX_PIGGYBACK_ROWS = 6
# Pushes to random peers, in addition to the tree: a dead child then does not delay its
# whole subtree.
EXTRA_PUSHES = 2
# Minimum time between two publications of the members to the blackboard. The restart
# of a third of 511 nodes changes hundreds of records within a second.
PUBLISH_INTERVAL_S = 0.1

log = structlog.get_logger()


class MembershipController:
    """Maintains `board.members` and the record of this node.

    See Also
    --------
    lentilsill.membership.MemberTable : the merge of records.
    lentilsill.daemon.controllers.summaries : exchange of summaries with other domains.
    """

    def __init__(self, ctx: Context, documents: Documents) -> None:
        self._ctx = ctx
        self._documents = documents
        identity = ctx.links.identity
        cfg = ctx.cfg.membership
        self.table = MemberTable(
            NodeRecord(
                identity.node,
                identity.domain,
                identity.instance,
                ctx.wall_ms(),
                0,
                identity.peer_address,
                ctx.cfg.caller_address,
                NodeState.JOINING,
                link_mbps=round(ctx.cfg.link_mbps or 0),
            )
        )
        self._tree = TreePush(ctx, self.alive_names, self._address)
        self.summaries = SummaryExchange(ctx, self.is_gateway, self._tree.push)
        self._repair = TableRepair(ctx, self.table, self.summaries)
        self._detector = FailureDetector(
            cfg.probe_interval_s, cfg.probe_timeout_s, cfg.suspect_timeout_s, ctx.rng
        )
        self._policy = policy_for(ctx.cfg.distribution.optimise_for)
        self._digest_due_at = 0.0
        self._digest_subscribers: list[Callable[[Link, DigestTuple], None]] = []
        self._relays = ProbeRelays(ctx)
        self._seeds = SeedContacts(ctx, self.table, self.summaries, self._digest)
        self._is_publish_pending = False
        self._published_at = float("-inf")
        self._cached_ranking: tuple[int, tuple[str, ...]] = (-1, ())
        self._has_left = False

    @classmethod
    def from_context(cls, ctx: Context, documents: Documents) -> "MembershipController":
        """Return the controller of a node."""
        return cls(ctx, documents)

    def start(self) -> None:
        """Register handlers and start the probe and join loops."""
        ctx = self._ctx
        ctx.links.on(Probe, self._on_probe)
        ctx.links.on(ProbeAck, self._on_probe_ack)
        ctx.links.on(Records, self._on_records)
        for topic in (Topic.UPSTREAMS, Topic.READY, Topic.DRAIN):
            ctx.board.subscribe(topic, self._update_own_record)
        ctx.board.dump_parts["membership"] = self._dump
        self.summaries.start()
        self._update_own_record()
        self._publish()
        ctx.spawn(self._probe_loop())
        self._seeds.start()
        self._relays.start()

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add peer addresses to contact, as found in the platform."""
        self._seeds.add(addresses)

    def subscribe_to_digests(
        self, callback: Callable[[Link, DigestTuple], None]
    ) -> None:
        """Call `callback` with each digest in a probe or probe answer of the domain."""
        self._digest_subscribers.append(callback)

    def alive_names(self) -> list[str]:
        """Return the names of the nodes that are alive, this node included.

        Suspect nodes are left out.
        """
        return [
            e.record.node for e in self.table.live() if e.liveness == Liveness.ALIVE
        ]

    def ranked(self) -> tuple[str, ...]:
        """Return the names of the alive nodes of the domain, ranked.

        The first nodes watch the platform. Leaving nodes are ranked only when all
        nodes are leaving. Suspect nodes are left out.
        """
        version, ranked = self._cached_ranking
        if version != self.table.version:
            # A leaving node would soon have to hand over its watch.
            alive = [
                e.record for e in self.table.live() if e.liveness == Liveness.ALIVE
            ]
            staying = [r for r in alive if r.state != NodeState.LEAVING] or alive
            rates = {record.node: record.link_mbps for record in staying}
            ranked = rank_by_link(rates, self._ctx.cfg.domain)
            self._cached_ranking = (self.table.version, ranked)
        return ranked

    def is_among_first_ranked(self, count: int) -> bool:
        """Return whether this node is among the first `count` in the ranking."""
        return self.rank() < count

    def rank(self) -> int:
        """Return the position of this node in the ranking; a leaving node is last."""
        return (*self.ranked(), self._ctx.cfg.node).index(self._ctx.cfg.node)

    def is_gateway(self) -> bool:
        """Return whether this node is one of the two gateways to other domains."""
        return self.is_among_first_ranked(2)

    def push_to_children(self, root: str, message: Message) -> int:
        """Push to this node's children in the tree of `root`; return their number."""
        return self._tree.push(root, message)

    def random_peer_addresses(self, count: int, ready_only: bool = False) -> list[str]:
        """Return the peer addresses of up to `count` random live nodes.

        With `ready_only`, only nodes in the state `READY` are chosen.
        """
        own_name = self._ctx.cfg.node
        names = [
            e.record.node
            for e in self.table.live()
            if not ready_only or e.record.state == NodeState.READY
        ]
        chosen = choose_peers(names, count, self._ctx.rng, exclude=(own_name,))
        return [self._address(name) for name in chosen]

    # Record of this node

    def _update_own_record(self) -> None:
        """Rebuild this node's record from the blackboard; push it if it changed."""
        board = self._ctx.board
        upstreams = [board.upstreams[name] for name in sorted(board.upstreams)]
        if board.draining:
            state = NodeState.LEAVING
            upstreams = [replace(u, state=UpstreamState.LEAVING) for u in upstreams]
        else:
            state = NodeState.READY if board.ready else NodeState.JOINING
        record = replace(self.table.own, state=state, upstreams=tuple(upstreams))
        if self.table.update_own(record, self._ctx.now()):
            self._push_own_record()
            self._publish_soon()

    def leave(self) -> None:
        """Notify peers that the process ends; must be the last call before links close.

        Peers then drop the record immediately, without detecting the end by probes.
        """
        self._has_left = True
        self._push_own_record(Liveness.DEAD)

    def _push_own_record(self, liveness: Liveness = Liveness.ALIVE) -> None:
        own_name = self._ctx.cfg.node
        message = Records((to_row(self.table.own, liveness),), push=True)
        self._ctx.count("membership.own_pushed")
        self._tree.push(own_name, message)
        for address in self.random_peer_addresses(EXTRA_PUSHES):
            self._send(address, message)

    # Probes

    async def _probe_loop(self) -> None:
        interval_s = self._ctx.cfg.membership.probe_timeout_s / 2
        while True:
            await asyncio.sleep(interval_s)
            now = self._ctx.now()
            self.table.expire(now)
            peers = {
                e.record.node: e
                for e in self.table.live()
                if e.record.node != self._ctx.cfg.node
            }
            suspects = [n for n, e in peers.items() if e.liveness == Liveness.SUSPECT]
            orders = {n: e.record.order for n, e in peers.items()}
            for action in self._detector.tick(now, orders, suspects):
                self._execute(action, now)
            self._relays.expire(now)

    def _execute(self, action: object, now: float) -> None:
        match action:
            case SendProbe(node, probe_id):
                probe = Probe(probe_id, self._digest_if_due(now), self._recent_rows())
                self._send(self._address(node), probe)
            case RepeatProbe(node, probe_id):
                # The link may have failed silently; a new one may work.
                self._ctx.links.disconnect(self._address(node), CONTROL)
                self._send(self._address(node), Probe(probe_id, self._digest()))
            case SendIndirectProbe(via, node, probe_id):
                message = IndirectProbe(probe_id, self._address(node), node)
                self._send(self._address(via), message, self._ctx.links.send_checked)
            case DeclareSuspect(node, order):
                self._apply_verdict(node, order, Liveness.SUSPECT, now)
            case DeclareDead(node, order):
                self._ctx.links.disconnect(self._address(node), CONTROL)
                self._apply_verdict(node, order, Liveness.DEAD, now)

    def _apply_verdict(
        self, node: str, order: tuple[int, int], liveness: Liveness, now: float
    ) -> None:
        if self.table.apply_verdict(node, order, liveness, now) is not None:
            log.info("member_judged", member=node, verdict=liveness.name.lower())
            self._ctx.count(f"membership.{liveness.name.lower()}")
            self._publish_soon()

    def _digest_if_due(self, now: float) -> DigestTuple:
        if isinstance(self._policy, Convergence) or now >= self._digest_due_at:
            self._digest_due_at = now + self._policy.digest_interval_s
            return self._digest()
        return NO_DIGEST

    def _digest(self) -> DigestTuple:
        docs = self._documents
        return (docs.complete_as_of, docs.content_hash, self._repair.digest_hash)

    def _recent_rows(self) -> tuple[NodeRow, ...]:
        return to_rows(self.table.take_recent(MAX_PIGGYBACK_ROWS))

    def _on_probe(self, link: Link, message: Probe) -> None:
        self._merge(link, message.rows)
        digest = NO_DIGEST if message.digest == NO_DIGEST else self._digest()
        link.send(ProbeAck(message.probe_id, digest, self._recent_rows()))
        if link.hello.domain != self._ctx.cfg.domain:
            return
        entry = self.table.get(link.hello.node)
        if entry is None:
            link.send(Records((to_row(self.table.own),), want_reply=True))
        elif entry.liveness != Liveness.ALIVE:
            # Only the sender can refute the verdict on its own record.
            link.send(Records(to_rows([entry])))
        self._on_digest(link, message.digest)

    def _on_probe_ack(self, link: Link, message: ProbeAck) -> None:
        if self._relays.forward_ack(link, message.probe_id):
            return
        self._merge(link, message.rows)
        # A relayed answer comes from the relay, and names the node that was probed.
        self._detector.ack(message.probe_id, message.node or link.hello.node)
        self._on_digest(link, message.digest)
        is_local = link.hello.domain == self._ctx.cfg.domain
        if is_local and message.digest != NO_DIGEST:
            # Only the probing node starts a repair, so that one probe does not lead to
            # two exchanges.
            self._repair.start(link, message.digest[2])

    # Exchange of records

    def _on_digest(self, link: Link, digest: DigestTuple) -> None:
        if digest == NO_DIGEST or link.hello.domain != self._ctx.cfg.domain:
            return
        for callback in self._digest_subscribers:
            callback(link, digest)

    def _on_records(self, link: Link, message: Records) -> None:
        changed, records = self._merge(link, message.rows)
        if message.push:
            self._forward_changes(changed)
        if message.want_reply:
            precedences = {r[0]: (r[3], r[4], r[2], r[9]) for r in message.rows}
            link.send(Records(to_rows(self.table.newer_than(precedences))))
        elif not self._has_left:
            self._repair.answer(link, message, records)

    def _merge(
        self, link: Link, rows: Iterable[NodeRow]
    ) -> tuple[list[Entry], list[tuple[NodeRecord, Liveness]]]:
        if not rows or self._has_left:
            return [], []
        records = []
        for row in rows:
            try:
                records.append(record_from_row(row))
            except RowError as exc:
                self._ctx.count("membership.bad_rows")
                log.warning("bad_record", peer=link.hello.node, error=str(exc))
        own_before = self.table.own
        changed = self.table.merge(records, self._ctx.now())
        if changed:
            self._publish_soon()
        if self.table.own is not own_before:
            self._ctx.count("membership.refuted")
            self._push_own_record()
            link.send(Records((to_row(self.table.own),)))
        return changed, records

    def _forward_changes(self, changed: list[Entry]) -> None:
        """Push each changed record down the tree that is rooted at its node."""
        for entry in changed:
            root = entry.record.node
            if root != self._ctx.cfg.node:
                row = to_row(entry.record, entry.liveness)
                self._tree.push(root, Records((row,), push=True))

    # Blackboard

    def _publish_soon(self) -> None:
        if not self._is_publish_pending:
            self._is_publish_pending = True
            elapsed_s = self._ctx.now() - self._published_at
            delay_s = max(0.0, PUBLISH_INTERVAL_S - elapsed_s)
            asyncio.get_running_loop().call_later(delay_s, self._publish)

    def _publish(self) -> None:
        self._is_publish_pending = False
        self._published_at = self._ctx.now()
        live = self.table.live()
        board = self._ctx.board
        board.members = {e.record.node: e.record for e in live}
        board.suspects = frozenset(
            e.record.node for e in live if e.liveness == Liveness.SUSPECT
        )
        self.summaries.set_members(board.members, self.ranked()[:2])
        self._ctx.gauge("membership.live", len(live))
        board.notify(Topic.MEMBERS)

    def _dump(self) -> dict[str, Any]:
        return {
            "own": {"generation": self.table.own.generation, "seq": self.table.own.seq},
            "records_hash": f"{self.table.records_hash:016x}",
            "ranked": list(self.ranked()[:2]),
            "unsent": self.table.unsent,
            "members": {
                e.record.node: {
                    "verdict": e.liveness.name.lower(),
                    "state": e.record.state.name.lower(),
                    "order": list(e.record.order),
                    "upstreams": len(e.record.upstreams),
                }
                for e in self.table.entries()
            },
            "summaries": self.summaries.dump(),
        }

    def _address(self, node: str) -> str:
        entry = self.table.get(node)
        return entry.record.peer_address if entry is not None else ""

    def _send(self, address: str, message: Any, send: Any = None) -> None:
        if address:
            (send or self._ctx.links.send)(address, CONTROL, message)
