"""Distribution of documents among nodes: tree pushes, digests and syncs."""

import asyncio
from typing import Any

import structlog
from msgspec.structs import replace

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import (
    AdoptRevision,
    Ask,
    DigestValue,
    InSync,
    SendDigest,
    batch_window_s,
    compare_digests,
    policy_for,
)
from lentilsill.membership import NodeState
from lentilsill.versioning import era_of
from lentilsill.wire import CONTROL, Link
from lentilsill.wire.messages import Busy, Delta, DeltaRequest, Digest

from .bundle_sources import BundleSources
from .confirmations import ConfirmationController
from .deltas import coalesce, delta_to_forward, has_content, row_versions
from .membership import MembershipController
from .probe_relays import DigestTuple
from .sync_server import SyncServer
from .version_arrivals import VersionArrivals

__all__ = ["DistributionController"]

# A request without a reply after this share of the time in which a change must be in
# force no longer blocks the next request.
REQUEST_TIMEOUT_SHARE = 0.4
MAX_REQUEST_TIMEOUT_S = 2.0
# A node that is not ready sends digests itself instead of waiting for probes.
UNREADY_DIGEST_INTERVAL_S = 0.5
UNREADY_DIGEST_PEERS = 2
# A push reaches the whole domain within tens of ms. After this delay, the second
# watcher therefore seldom has anything left to push.
BACKUP_PUSH_DELAY_S = 0.5
PEER_CHANGE_PROBABILITY = 0.1

log = structlog.get_logger()


class DistributionController:
    """Synchronises the documents of this node with its peers.

    `sources` maps the peers whose documents this node has merged to their
    domains.

    See Also
    --------
    lentilsill.daemon.controllers.platform_watch
    """

    def __init__(
        self, ctx: Context, documents: Documents, membership: MembershipController
    ) -> None:
        self._ctx = ctx
        self._documents = documents
        self._membership = membership
        self.confirmations = ConfirmationController(ctx, documents, membership)
        cfg = ctx.cfg.distribution
        self._policy = policy_for(cfg.optimise_for)
        self._sync_server = SyncServer(ctx, documents)
        self.bundle_sources = BundleSources(ctx, documents)
        self._request_timeout_s = min(
            MAX_REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_SHARE * cfg.in_force_s
        )
        self._pending_request: tuple[str, float] | None = None
        self._next_request_at = 0.0
        # Digests of peers whose changes did not change this node's digest, and the
        # digest of this node for which that holds.
        self._ineffective_digests: set[DigestValue] = set()
        self._ineffective_for: DigestValue | None = None
        self._requested_digest: DigestValue | None = None
        self._batch: list[Delta] = []
        self._pending_backup_pushes = 0
        # Highest version pushed by peers, by service; it supersedes earlier ones,
        # which a push may leave out.
        self._pushed_by_peers: dict[str, int] = {}
        # Root of the last push whose patch could not be applied. The reply to the
        # resulting request is forwarded in the tree of this root.
        self._failed_patch_root = ""
        self._remote_peers: dict[str, str] = {}
        self._arrivals = VersionArrivals(ctx, documents)
        self._has_lost_history = False
        self.sources: dict[str, str] = {}

    @classmethod
    def from_context(
        cls, ctx: Context, documents: Documents, membership: MembershipController
    ) -> "DistributionController":
        """Return the controller of a node."""
        return cls(ctx, documents, membership)

    def start(self) -> None:
        """Register handlers and start the digest loops."""
        links = self._ctx.links
        links.era_of_old_peers = self._era_of_old_peers
        links.on(Digest, self._on_digest_message)
        links.on(Delta, self._on_delta)
        links.on(Busy, self._on_busy)
        self._membership.subscribe_to_digests(self._on_probe_digest)
        self._ctx.board.dump_parts["distribution"] = self._dump
        self._sync_server.start()
        self.confirmations.start()
        self._ctx.spawn(self._remote_digest_loop())
        self._ctx.spawn(self._unready_digest_loop())

    def add_platform_changes(self, delta: Delta) -> None:
        """Merge changes read from the platform, and push those that are new."""
        new = self._documents.merge(delta)
        self._arrivals.log_read(delta, new)
        self._record_era()
        if new is None or not has_content(new):
            return
        forwarded = delta_to_forward(delta, new)
        rank = self._membership.rank()
        # A node that is no watcher reads because no watcher has pushed for long.
        if rank == 0 or rank >= self._ctx.cfg.distribution.watchers_per_domain:
            self._push_or_batch(forwarded)
            return
        # An immediate second push would double the traffic of the first watcher's. The
        # backup is for a paused first watcher.
        delay_s = batch_window_s(self._policy) + BACKUP_PUSH_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self._push_backup, forwarded)
        self._pending_backup_pushes += 1

    def _record_era(self) -> None:
        """Tell the other controllers when the platform's store has a new era.

        What this node wrote there shortly before may be lost.
        """
        board = self._ctx.board
        if not self._documents.complete_as_of:
            return
        era = era_of(self._documents.complete_as_of)
        before, board.store_era = board.store_era, era
        if before is not None and era > before:
            self._has_lost_history = self._has_lost_history or before > 0
            self._ctx.count("distribution.store_eras")
            board.notify(Topic.STORE_ERA)

    def _era_of_old_peers(self) -> int | None:
        """Return the era of revisions of peers of an earlier release.

        After a loss of writes, these can be of the time before or after it.
        """
        return None if self._has_lost_history else self._ctx.board.store_era or 0

    # Pushes

    def _push_backup(self, delta: Delta) -> None:
        """Push `delta` unless peers have pushed all of it in the meantime."""
        pushed = self._pushed_by_peers
        if any(version > pushed.get(name, 0) for name, version in row_versions(delta)):
            self._ctx.count("distribution.backup_pushes")
            self._push(delta, self._ctx.cfg.node)
        self._pending_backup_pushes -= 1
        if not self._pending_backup_pushes:
            self._pushed_by_peers.clear()

    def _push_or_batch(self, delta: Delta) -> None:
        window_s = batch_window_s(self._policy)
        if window_s == 0.0:
            self._push(delta, self._ctx.cfg.node)
            return
        if not self._batch:
            asyncio.get_running_loop().call_later(window_s, self._push_batch)
        self._batch.append(delta)

    def _push_batch(self) -> None:
        batch, self._batch = self._batch, []
        for delta in coalesce(batch):
            self._push(delta, self._ctx.cfg.node)

    def _push(self, delta: Delta, root: str) -> None:
        count = self._membership.push_to_children(root, replace(delta, root=root))
        self._ctx.count("distribution.pushes", count)

    def _on_delta(self, link: Link, message: Delta) -> None:
        if not self.bundle_sources.accepts_delta(link, message):
            return
        new = self._documents.merge(message)
        self._arrivals.log_received(link, message, new)
        self._record_era()
        self.confirmations.apply_claims()
        if message.root:
            if self._pending_backup_pushes:
                for name, version in row_versions(message):
                    highest = max(version, self._pushed_by_peers.get(name, 0))
                    self._pushed_by_peers[name] = highest
            if new is not None and has_content(new):
                self._push(delta_to_forward(message, new), message.root)
            elif self._documents.lacks_patch_base(message):
                self._ctx.count("distribution.patches_unfit")
                self._arrivals.record_lack()
                self._failed_patch_root = message.root
                self._request_changes(link, self._local_digest())
            return
        if (
            self._pending_request is not None
            and self._pending_request[0] == link.hello.instance
        ):
            self._pending_request = None
            self._record_effect()
        self._record_source(link, message.complete_as_of)
        failed_patch_root, self._failed_patch_root = self._failed_patch_root, ""
        if new is None or not has_content(new):
            return
        if link.hello.domain != self._ctx.cfg.domain:
            self._push_or_batch(delta_to_forward(message, new))
        elif failed_patch_root:
            self._push(delta_to_forward(message, new), failed_patch_root)

    # Digests

    def _local_digest(self) -> DigestValue:
        return DigestValue(self._documents.complete_as_of, self._documents.content_hash)

    def _on_probe_digest(self, link: Link, digest: DigestTuple) -> None:
        # A peer that is behind requests the changes itself, as it gets this node's
        # digest as well.
        self._handle_digest(link, DigestValue(digest[0], digest[1]))

    def _on_digest_message(self, link: Link, message: Digest) -> None:
        self._membership.summaries.record_address(link.hello)
        theirs = DigestValue(message.complete_as_of, message.documents_hash)
        is_behind = self._handle_digest(link, theirs)
        self.confirmations.record_digest(link, message)
        if is_behind or (not message.root and self._is_waiting_for_source(link)):
            link.send(self.confirmations.digest())

    def _is_waiting_for_source(self, link: Link) -> bool:
        """Return whether the peer is not ready and can count this node as a source."""
        peer = self._ctx.board.members.get(link.hello.node)
        is_unready = peer is None or peer.state == NodeState.JOINING
        is_local = link.hello.domain == self._ctx.cfg.domain
        return self._ctx.board.ready and is_local and is_unready

    def _handle_digest(self, link: Link, theirs: DigestValue) -> bool:
        """Act on a peer's digest; return True when the peer is behind."""
        mine = self._local_digest()
        match compare_digests(mine, theirs):
            case InSync():
                self._record_source(link, theirs.complete_as_of)
            case AdoptRevision(complete_as_of):
                base = mine.complete_as_of
                self._documents.merge(Delta(base, complete_as_of, False, ()))
                self._record_era()
                self._record_source(link, complete_as_of)
            case SendDigest():
                self._record_source(link, theirs.complete_as_of)
                return True
            case Ask() if self.bundle_sources.accepts(link, theirs.complete_as_of):
                if not self._is_ineffective(theirs):
                    self._arrivals.record_lack()
                    self._request_changes(link, theirs)
        return False

    def _is_ineffective(self, theirs: DigestValue) -> bool:
        """Return whether an earlier request for this difference changed nothing.

        Until the next edit, nodes may hold sets of versions that exclude each
        other. They would otherwise send each other a request at every digest.
        """
        return (
            self._ineffective_for == self._local_digest()
            and theirs in self._ineffective_digests
        )

    def _record_effect(self) -> None:
        mine = self._local_digest()
        if self._ineffective_for != mine:
            # Changes without effect on the old documents may affect the new ones.
            self._ineffective_for = mine
            self._ineffective_digests.clear()
        elif self._requested_digest is not None:
            self._ineffective_digests.add(self._requested_digest)

    def _record_source(self, link: Link, complete_as_of: int) -> None:
        peer = self._ctx.board.members.get(link.hello.node)
        is_ready = peer is not None and peer.state != NodeState.JOINING
        is_remote = link.hello.domain != self._ctx.cfg.domain
        if is_ready or (is_remote and complete_as_of > 0):
            self.sources[link.hello.node] = link.hello.domain

    async def _remote_digest_loop(self) -> None:
        """Exchange digests with other domains while this node is a gateway."""
        while True:
            await asyncio.sleep(self._policy.digest_interval_s)
            if self._membership.is_gateway():
                self._send_remote_digests()

    def _send_remote_digests(self) -> None:
        remote = self._membership.summaries.remote_addresses()
        for domain, addresses in remote.items():
            address = self._remote_peers.get(domain, "")
            # The peer may be behind, so another one is chosen now and then; not
            # each time, as a new connection costs ten times as much as a message.
            is_connected = self._ctx.links.find(address, CONTROL) is not None
            if not is_connected or self._ctx.rng.random() < PEER_CHANGE_PROBABILITY:
                address = self._remote_peers[domain] = self._ctx.rng.choice(addresses)
            self._ctx.links.send(address, CONTROL, self.confirmations.digest())

    async def _unready_digest_loop(self) -> None:
        while not self._ctx.board.ready:
            # Nodes that start together send their digests at different times.
            interval_s = UNREADY_DIGEST_INTERVAL_S * self._ctx.rng.uniform(0.5, 1.5)
            await asyncio.sleep(interval_s)
            peers = self._membership.random_peer_addresses(
                UNREADY_DIGEST_PEERS, ready_only=True
            )
            for address in peers or self._membership.random_peer_addresses(
                UNREADY_DIGEST_PEERS
            ):
                self._ctx.links.send(address, CONTROL, self.confirmations.digest())
            if self._membership.is_gateway():
                self._send_remote_digests()

    # Syncs

    def _request_changes(self, link: Link, theirs: DigestValue) -> None:
        now = self._ctx.now()
        is_waiting = (
            self._pending_request is not None
            and now - self._pending_request[1] < self._request_timeout_s
        )
        if is_waiting or now < self._next_request_at:
            self._arrivals.record_postponed()
            return
        request = self._pending_request = (link.hello.instance, now)
        self._requested_digest = theirs
        self._arrivals.record_request(link.hello.node)
        self._ctx.count("distribution.syncs_asked")

        def request_again() -> None:
            """Request the changes over a new link, unless another peer is asked."""
            if self._pending_request != request:
                return
            self._ctx.count("distribution.requests_repeated")
            address = link.hello.peer_address
            self._ctx.links.send(address, CONTROL, self._delta_request())

        self._ctx.links.checks.start(link, request_again)
        link.send(self._delta_request())

    def _delta_request(self) -> DeltaRequest:
        docs = self._documents
        return DeltaRequest(docs.complete_as_of, docs.patch_base)

    def _on_busy(self, link: Link, message: Busy) -> None:
        self._pending_request = None
        self._next_request_at = self._ctx.now() + message.retry_after_ms / 1000

    def _dump(self) -> dict[str, Any]:
        mine = self._local_digest()
        return {
            "complete_as_of": mine.complete_as_of,
            "documents_hash": f"{mine.documents_hash:016x}",
            "sources": dict(self.sources),
            **self._sync_server.dump(),
            "batched": len(self._batch),
        }
