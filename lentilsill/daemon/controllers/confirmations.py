"""Age of this node's configuration, and its spread within the domain."""

import asyncio
from typing import Any

import structlog

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import Confirmation
from lentilsill.versioning import era_of
from lentilsill.wire import Link
from lentilsill.wire.messages import Digest

from .membership import MembershipController

__all__ = ["ConfirmationController"]

# Smallest difference between two confirmations that are pushed, as a share of the
# time in which a change must be in force.
PUSH_SHARE = 0.3
# Each rank waits this long for the push of a node that ranks before it.
PUSH_DELAY_PER_RANK_S = 0.1
MAX_PUSH_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.5

log = structlog.get_logger()


class ConfirmationController:
    """Tracks when this node's documents were last the platform's newest.

    A node that has read the platform pushes its confirmation down the tree of the
    domain, unless another node has pushed one shortly before.
    """

    def __init__(
        self, ctx: Context, documents: Documents, membership: MembershipController
    ) -> None:
        self._ctx = ctx
        self._documents = documents
        self._membership = membership
        self._confirmation = Confirmation(ctx.now())
        self._pushed_at = float("-inf")
        self._is_push_pending = False
        self._unconfirmed_since: float | None = None

    def start(self) -> None:
        """Start the check for missing confirmations."""
        self._ctx.board.dump_parts["confirmation"] = self._dump
        self._ctx.spawn(self._check_loop())

    def age_s(self) -> float:
        """Return the age of the last confirmation in seconds."""
        return self._confirmation.age_s(self._ctx.now())

    def digest(self, root: str = "") -> Digest:
        """Return the digest of this node's documents with their age."""
        docs = self._documents
        # A node that has just started knows nothing of the platform.
        age_ms = round(self.age_s() * 1000) if self._confirmation.is_known else -1
        return Digest(docs.complete_as_of, docs.content_hash, 0, age_ms, root)

    def record_read(self, at: float) -> None:
        """Record that a read of the platform was answered as of time `at`."""
        if self._confirmation.record(at, "platform"):
            self._push_soon()

    def record_digest(self, link: Link, message: Digest) -> None:
        """Record the confirmation in a peer's digest; forward one that is a push."""
        docs = self._documents
        is_of_earlier_era = era_of(message.complete_as_of) < era_of(docs.complete_as_of)
        if message.age_ms < 0 or is_of_earlier_era:
            return
        at = self._ctx.now() - message.age_ms / 1000
        peer = link.hello.node
        if docs.complete_as_of < message.complete_as_of:
            self._confirmation.add_claim(message.complete_as_of, at, peer)
            return
        is_new = self._confirmation.record(at, peer)
        if message.root:
            if is_new and self._is_push_due():
                self._push(message.root)
        elif link.hello.domain != self._ctx.cfg.domain:
            self._push_soon()

    def apply_claims(self) -> None:
        """Apply confirmations of peers for documents that have arrived since."""
        self._confirmation.apply_claims(self._documents.complete_as_of)

    def _is_push_due(self) -> bool:
        interval_s = PUSH_SHARE * self._ctx.cfg.distribution.in_force_s
        return self._confirmation.confirmed_at - self._pushed_at >= interval_s

    def _push_soon(self) -> None:
        if self._is_push_pending or not self._is_push_due():
            return
        delay_s = min(MAX_PUSH_DELAY_S, PUSH_DELAY_PER_RANK_S * self._membership.rank())
        self._is_push_pending = True
        asyncio.get_running_loop().call_later(delay_s, self._push_if_due)

    def _push_if_due(self) -> None:
        self._is_push_pending = False
        if self._is_push_due():
            self._push(self._ctx.cfg.node)

    def _push(self, root: str) -> None:
        self._pushed_at = self._confirmation.confirmed_at
        count = self._membership.push_to_children(root, self.digest(root))
        self._ctx.count("distribution.confirmations", count)

    async def _check_loop(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self) -> None:
        now = self._ctx.now()
        age_s = self._confirmation.age_s(now)
        self._ctx.gauge("documents.confirmation_age", round(age_s * 1000))
        is_late = age_s > self._ctx.cfg.distribution.in_force_s
        if is_late and self._unconfirmed_since is None:
            self._unconfirmed_since = self._confirmation.confirmed_at
            log.warning(
                "documents_unconfirmed",
                age_ms=round(age_s * 1000),
                source=self._confirmation.source,
                rank=self._membership.rank(),
                complete_as_of=self._documents.complete_as_of,
            )
        elif not is_late and self._unconfirmed_since is not None:
            log.info(
                "documents_confirmed",
                gap_ms=round((now - self._unconfirmed_since) * 1000),
                source=self._confirmation.source,
                complete_as_of=self._documents.complete_as_of,
            )
            self._unconfirmed_since = None

    def _dump(self) -> dict[str, Any]:
        return {
            "age_ms": round(self.age_s() * 1000),
            "source": self._confirmation.source,
        }
