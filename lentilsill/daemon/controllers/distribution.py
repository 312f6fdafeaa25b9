"""Spread of documents: pushes down the tree, digests and syncs."""

import asyncio
from typing import Any

import structlog
from msgspec.structs import replace

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import (
    Admitted,
    AdoptRevision,
    Ask,
    DigestValue,
    InSync,
    RetryAfter,
    SendDigest,
    SyncAdmission,
    batch_window_s,
    compare_digests,
    policy_for,
)
from lentilsill.membership import NodeState
from lentilsill.wire import CONTROL, Link
from lentilsill.wire.messages import Busy, Delta, DeltaRequest, Digest

from .membership import MembershipController
from .probe_relays import DigestTuple

__all__ = ["DistributionController", "coalesce"]

# A peer that has not answered by then is given up, and another one is asked.
ASK_TIMEOUT_S = 2.0
# While the node is not ready, it asks for digests instead of awaiting probes.
UNREADY_DIGEST_INTERVAL_S = 0.5
UNREADY_PEERS = 2
# A push reaches a domain within tens of ms, so the second watcher seldom pushes.
BACKUP_PUSH_DELAY_S = 0.5
REMOTE_CHANGE_SHARE = 0.1
DRAIN_POLL_S = 0.05
DRAIN_BOUND_S = 10.0

log = structlog.get_logger()


class DistributionController:
    """Keeps the documents of this node in step with its peers.

    `sources` maps peers, whose documents this node has merged, to their
    domain.

    See Also
    --------
    lentilsill.daemon.controllers.platform_watch : where new versions come from.
    """

    def __init__(
        self, ctx: Context, documents: Documents, membership: MembershipController
    ) -> None:
        self._ctx = ctx
        self._documents = documents
        self._membership = membership
        cfg = ctx.cfg.distribution
        self._policy = policy_for(cfg.optimise_for)
        self._admission = SyncAdmission(cfg.max_full_syncs, ctx.rng, DRAIN_BOUND_S)
        self._asked: tuple[str, float] | None = None
        self._ask_after = 0.0
        # Digests of peers whose changes had no effect on the own digest.
        self._no_effect: set[DigestValue] = set()
        self._no_effect_on: DigestValue | None = None
        self._asked_digest: DigestValue | None = None
        self._batch: list[Delta] = []
        self._backups = 0
        # Highest version by service, as a push leaves out what it supersedes.
        self._pushed_by_others: dict[str, int] = {}
        # Root of the last push whose patch did not fit; what the answer to the
        # request for the whole brings is pushed on in its tree.
        self._missed_root = ""
        self._remote_choice: dict[str, str] = {}
        self._full_syncs = 0
        self._most_syncs = 0
        self.sources: dict[str, str] = {}

    @classmethod
    def from_context(
        cls, ctx: Context, documents: Documents, membership: MembershipController
    ) -> "DistributionController":
        """Make the controller of a node."""
        return cls(ctx, documents, membership)

    def start(self) -> None:
        """Register handlers and start the digest loops."""
        links = self._ctx.links
        links.on(Digest, self._on_digest_message)
        links.on(DeltaRequest, self._on_delta_request)
        links.on(Delta, self._on_delta)
        links.on(Busy, self._on_busy)
        self._membership.subscribe_to_digests(self._on_probe_digest)
        self._ctx.board.dump_parts["distribution"] = self._dump
        self._ctx.spawn(self._remote_loop())
        self._ctx.spawn(self._unready_loop())

    def take(self, delta: Delta) -> None:
        """Merge what this node learned from outside the domain and push the news."""
        new = self._documents.merge(delta)
        if new is None or not _has_content(new):
            return
        passed_on = _passable(delta, new)
        if self._membership.is_among_first_ranked(1):
            self._publish(passed_on)
            return
        # The first-ranked watcher pushes the same; two pushes would cost each
        # node the bytes twice. This one is for the case that it is paused.
        delay_s = batch_window_s(self._policy) + BACKUP_PUSH_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self._push_backup, passed_on)
        self._backups += 1

    # Pushes

    def _push_backup(self, delta: Delta) -> None:
        """Push what the first-ranked watcher has not pushed in the meantime."""
        pushed = self._pushed_by_others
        if any(version > pushed.get(name, 0) for name, version in _versions(delta)):
            self._ctx.count("distribution.backup_pushes")
            self._push(delta, self._ctx.cfg.node)
        self._backups -= 1
        if not self._backups:
            self._pushed_by_others.clear()

    def _publish(self, delta: Delta) -> None:
        window_s = batch_window_s(self._policy)
        if window_s == 0.0:
            self._push(delta, self._ctx.cfg.node)
            return
        if not self._batch:
            asyncio.get_running_loop().call_later(window_s, self._flush)
        self._batch.append(delta)

    def _flush(self) -> None:
        batch, self._batch = self._batch, []
        for delta in coalesce(batch):
            self._push(delta, self._ctx.cfg.node)

    def _push(self, delta: Delta, root: str) -> None:
        count = self._membership.push_to_children(root, replace(delta, root=root))
        self._ctx.count("distribution.pushes", count)

    def _on_delta(self, link: Link, message: Delta) -> None:
        new = self._documents.merge(message)
        if message.root:
            if self._backups:
                for name, version in _versions(message):
                    highest = max(version, self._pushed_by_others.get(name, 0))
                    self._pushed_by_others[name] = highest
            if new is not None and _has_content(new):
                self._push(_passable(message, new), message.root)
            elif self._documents.lacks_base(message):
                self._ctx.count("distribution.patches_unfit")
                self._missed_root = message.root
                self._ask(link, self._mine())
            return
        if self._asked is not None and self._asked[0] == link.hello.instance:
            self._asked = None
            self._note_effect()
        self._note_source(link, message.complete_as_of)
        missed_root, self._missed_root = self._missed_root, ""
        if new is None or not _has_content(new):
            return
        if link.hello.domain != self._ctx.cfg.domain:
            self._publish(_passable(message, new))
        elif missed_root:
            self._push(_passable(message, new), missed_root)

    # Digests

    def _mine(self) -> DigestValue:
        docs = self._documents
        return DigestValue(docs.complete_as_of, docs.content_hash)

    def _digest_message(self) -> Digest:
        mine = self._mine()
        return Digest(mine.complete_as_of, mine.documents_hash, 0)

    def _on_probe_digest(self, link: Link, digest: DigestTuple) -> None:
        # The peer sees this node's digest too and asks by itself when behind.
        self._compare(link, DigestValue(digest[0], digest[1]))

    def _on_digest_message(self, link: Link, message: Digest) -> None:
        self._membership.summaries.note_address(link.hello)
        theirs = DigestValue(message.complete_as_of, message.documents_hash)
        if self._compare(link, theirs) or self._is_awaiting(link):
            link.send(self._digest_message())

    def _is_awaiting(self, link: Link) -> bool:
        """Whether the peer of equal content needs this node as its source."""
        peer = self._ctx.board.members.get(link.hello.node)
        is_unready = peer is None or peer.state == NodeState.JOINING
        is_local = link.hello.domain == self._ctx.cfg.domain
        return self._ctx.board.ready and is_local and is_unready

    def _compare(self, link: Link, theirs: DigestValue) -> bool:
        """Act on a digest; True when the peer is behind."""
        mine = self._mine()
        match compare_digests(mine, theirs):
            case InSync():
                self._note_source(link, theirs.complete_as_of)
            case AdoptRevision(complete_as_of):
                base = mine.complete_as_of
                self._documents.merge(Delta(base, complete_as_of, False, ()))
                self._note_source(link, complete_as_of)
            case SendDigest():
                self._note_source(link, theirs.complete_as_of)
                return True
            case Ask():
                if not self._is_without_effect(theirs):
                    self._ask(link, theirs)
        return False

    def _is_without_effect(self, theirs: DigestValue) -> bool:
        """Whether these two digests differed before, and asking changed nothing.

        Nodes may hold sets of versions that exclude each other until the next
        edit; they would otherwise ask each other at every digest.
        """
        return self._no_effect_on == self._mine() and theirs in self._no_effect

    def _note_effect(self) -> None:
        mine = self._mine()
        if self._no_effect_on != mine:
            # What had no effect on the old content may have one on the new.
            self._no_effect_on = mine
            self._no_effect.clear()
        elif self._asked_digest is not None:
            self._no_effect.add(self._asked_digest)

    def _note_source(self, link: Link, complete_as_of: int) -> None:
        peer = self._ctx.board.members.get(link.hello.node)
        is_ready = peer is not None and peer.state != NodeState.JOINING
        is_remote = link.hello.domain != self._ctx.cfg.domain
        if is_ready or (is_remote and complete_as_of > 0):
            self.sources[link.hello.node] = link.hello.domain

    async def _remote_loop(self) -> None:
        """Exchange digests with the other domains while this is a gateway."""
        while True:
            await asyncio.sleep(self._policy.digest_interval_s)
            if self._membership.is_gateway():
                self._send_remote_digests()

    def _send_remote_digests(self) -> None:
        remote = self._membership.summaries.remote_addresses()
        for domain, addresses in remote.items():
            address = self._remote_choice.get(domain, "")
            # Another node now and then, so that the digests of one that is
            # behind are not the only ones; a dial costs ten times a message.
            is_kept = self._ctx.links.find(address, CONTROL) is not None
            if not is_kept or self._ctx.rng.random() < REMOTE_CHANGE_SHARE:
                address = self._remote_choice[domain] = self._ctx.rng.choice(addresses)
            self._ctx.links.send(address, CONTROL, self._digest_message())

    async def _unready_loop(self) -> None:
        while not self._ctx.board.ready:
            # Jitter spreads the digests of nodes that start together.
            interval = UNREADY_DIGEST_INTERVAL_S * self._ctx.rng.uniform(0.5, 1.5)
            await asyncio.sleep(interval)
            peers = self._membership.random_peers(UNREADY_PEERS, ready_only=True)
            for address in peers or self._membership.random_peers(UNREADY_PEERS):
                self._ctx.links.send(address, CONTROL, self._digest_message())
            if self._membership.is_gateway():
                self._send_remote_digests()

    # Syncs

    def _ask(self, link: Link, theirs: DigestValue) -> None:
        now = self._ctx.now()
        is_waiting = self._asked is not None and now - self._asked[1] < ASK_TIMEOUT_S
        if is_waiting or now < self._ask_after:
            return
        self._asked = (link.hello.instance, now)
        self._asked_digest = theirs
        self._ctx.count("distribution.syncs_asked")
        docs = self._documents
        link.send(DeltaRequest(docs.complete_as_of, docs.bundle_version))

    def _on_busy(self, link: Link, message: Busy) -> None:
        self._asked = None
        self._ask_after = self._ctx.now() + message.retry_after_ms / 1000

    def _on_delta_request(self, link: Link, message: DeltaRequest) -> None:
        delta = self._documents.delta_since(message.complete_as_of, message.held)
        if not delta.full:
            link.send(delta)
            return
        match self._admission.try_start(self._ctx.now()):
            case RetryAfter(delay_ms):
                self._ctx.count("distribution.syncs_refused")
                link.send(Busy(delay_ms))
            case Admitted(ticket):
                self._ctx.count("distribution.full_syncs")
                self._full_syncs += 1
                self._most_syncs = max(self._most_syncs, self._admission.running)
                link.send(delta)
                self._ctx.spawn(self._finish_sync(link, ticket))

    async def _finish_sync(self, link: Link, ticket: int) -> None:
        """Hold the place of a sync until its bytes have left this process."""
        deadline = self._ctx.now() + DRAIN_BOUND_S
        while link.is_open and link.stream.writing() and self._ctx.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        self._admission.finish(ticket)

    def _dump(self) -> dict[str, Any]:
        mine = self._mine()
        return {
            "complete_as_of": mine.complete_as_of,
            "documents_hash": f"{mine.documents_hash:016x}",
            "sources": dict(self.sources),
            "syncs_served": self._admission.running,
            "full_syncs": self._full_syncs,
            "full_syncs_at_once": self._most_syncs,
            "batched": len(self._batch),
        }


def _has_content(delta: Delta) -> bool:
    return bool(delta.rows or delta.patches)


def _versions(delta: Delta) -> list[tuple[str, int]]:
    """List (name, version) of all that a delta brings."""
    rows = [(name, version) for name, version, *_ in delta.rows]
    return rows + [(name, version) for name, version, *_ in delta.patches]


def _passable(delta: Delta, new: Delta) -> Delta:
    """Give the delta to pass on when only `new` of `delta` was new here.

    A row that was known here may be missing further down, so a delta without
    it must not advance a receiver's `complete_as_of`; equal bounds do that.
    """
    if new.patches:
        return new
    if set(new.rows) == set(delta.rows):
        return delta
    bound = delta.complete_as_of
    return Delta(bound, bound, False, new.rows)


def coalesce(batch: list[Delta]) -> list[Delta]:
    """Join deltas that follow on each other without a gap.

    Examples
    --------
    >>> a, b = Delta(1, 3, False, (("x", 3, False, "{}"),)), Delta(3, 4, False, ())
    >>> coalesce([a, b]) == [Delta(1, 4, False, a.rows)]
    True
    """
    joined: list[Delta] = []
    for delta in batch:
        last = joined[-1] if joined else None
        # A patch is applied to the version just before it.
        is_apart = last is not None and (delta.patches or last.patches)
        if last is None or is_apart or delta.full or delta.base > last.complete_as_of:
            joined.append(delta)
            continue
        rows = {row[0]: row for row in last.rows}
        for row in delta.rows:
            if row[0] not in rows or row[1] > rows[row[0]][1]:
                rows[row[0]] = row
        joined[-1] = Delta(
            min(last.base, delta.base),
            max(last.complete_as_of, delta.complete_as_of),
            last.full,
            tuple(rows.values()),
        )
    return joined
