"""Claims of request keys, made as entry node and granted as replica."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import IssuedKeys, KeyGranted
from lentilsill.membership import NodeRecord
from lentilsill.outcomes import (
    Attempt,
    CallResult,
    ClaimRound,
    ClaimTable,
    Decision,
    MayRun,
    Outcome,
    Refused,
    RequestKey,
    Resolved,
    Waiting,
    has_issued_key_prefix,
    limit_result_size,
)
from lentilsill.platform import ObjectApi
from lentilsill.wire import CALLS, Link, Message
from lentilsill.wire.links import LinkError
from lentilsill.wire.messages import Claim, ClaimReply, Release, StoreOutcome

from .claim_messages import (
    answer_from_reply,
    reply_from_answer,
    result_from_store,
    store_message,
)
from .key_issuance import make_keys
from .platform_claims import PlatformClaims

__all__ = ["ClaimsController"]

ROUND_TIMEOUT_S = 1.0
"""A replica that does not answer within this time counts as unreachable."""
MAX_REPEATED_ROUNDS = 2
"""Rounds repeated because links closed before their replies arrived."""
FIRST_POLL_DELAY_S = 0.02
MAX_POLL_DELAY_S = 0.4


@dataclass(eq=False)
class _PendingRound:
    """A claim round that waits for the replies of replicas."""

    claims: ClaimRound
    attempt: str
    decision_fut: asyncio.Future[Decision]
    request_ids: list[int] = field(default_factory=list)
    has_lost_reply: bool = False

    def resolve(self, decision: Decision | None) -> None:
        if decision is not None and not self.decision_fut.done():
            self.decision_fut.set_result(decision)


class ClaimsController:
    """Implements `KeyClaims`, and answers the claims of other entry nodes.

    Issued keys are claimed at the instances that they name. All other keys are
    claimed in the platform through `api`, and are refused without it.
    `is_first_ranked` says whether this node deletes the expired claim objects
    of its domain.
    """

    def __init__(
        self,
        ctx: Context,
        api: ObjectApi | None = None,
        is_first_ranked: Callable[[], bool] | None = None,
    ) -> None:
        self.ctx = ctx
        self.instance = ctx.links.identity.instance
        keys = ctx.cfg.keys
        self.table = ClaimTable(
            self.instance,
            int(keys.retention_s * 1000),
            keys.max_records,
            keys.max_answer_bytes,
        )
        self.platform = PlatformClaims(
            ctx, api, self.is_alive, is_first_ranked or self._is_first_by_name
        )
        self._attempts = 0
        self._request_ids = 0
        self._pending_claims: dict[int, tuple[_PendingRound, str, Link]] = {}
        # Granted attempts as named at the replicas, by key and the caller's attempt.
        self._granted: dict[tuple[str, str], str] = {}
        # Node records of the blackboard by instance, cleared when members change.
        self._records: dict[str, NodeRecord] = {}

    def start(self) -> None:
        """Register the message handlers and start the expiry of claim objects."""
        links = self.ctx.links
        links.on(Claim, self._on_claim)
        links.on(ClaimReply, self._on_reply)
        links.on(StoreOutcome, self._on_store)
        links.on(Release, self._on_release)
        links.close_handlers.append(self._on_close)
        self.ctx.board.subscribe(Topic.MEMBERS, self._records.clear)
        self.ctx.board.dump_parts["claims"] = self._dump
        self.platform.start()

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> KeyGranted | CallResult:
        """Claim the key, or return the recorded answer or a refusal.

        While a live entry node holds the key, this waits until the timeout.
        """
        if not has_issued_key_prefix(request_key):
            wire_attempt = self._next_attempt()
            outcome = await self.platform.claim(
                request_key, wire_attempt, fingerprint, timeout_s
            )
            if isinstance(outcome, KeyGranted):
                self._granted[request_key, attempt] = wire_attempt
                return KeyGranted(wire_attempt)
            return outcome
        match RequestKey.parse(request_key):
            case Err(findings):
                reason = "; ".join(str(finding) for finding in findings)
                # No replica grants a malformed key, so its request never ran.
                return Refused(Outcome.NOT_RUN, reason)
            case Ok(key):
                return await self._claim_at_replicas(
                    key, attempt, fingerprint, timeout_s
                )
        raise AssertionError("unreachable")

    def finish(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store the result of a granted attempt; ``not_run`` releases its claim."""
        wire_attempt = self._granted.pop((request_key, attempt), None)
        if wire_attempt is None:
            return
        result = limit_result_size(result, self.ctx.cfg.keys.max_answer_bytes)
        if not has_issued_key_prefix(request_key):
            self.platform.finish(request_key, wire_attempt, result)
            return
        key = RequestKey.parse(request_key).unwrap()
        message: Message = store_message(request_key, wire_attempt, result)
        if isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN:
            message = Release(request_key, wire_attempt)
        self._send_to_instances(key.instances, message)

    def store_orphaned_result(
        self, request_key: str, wire_attempt: str, result: CallResult
    ) -> None:
        """Store the result of an attempt whose entry node can't be reached.

        ``not_run`` is not stored: the entry node may be alive and retry elsewhere.
        """
        if isinstance(result, Refused) and result.outcome is Outcome.NOT_RUN:
            return
        self.ctx.count("claims.stored_for_lost")
        result = limit_result_size(result, self.ctx.cfg.keys.max_answer_bytes)
        if not has_issued_key_prefix(request_key):
            self.platform.settle(request_key, wire_attempt, result)
            return
        match RequestKey.parse(request_key):
            case Ok(key):
                message = store_message(request_key, wire_attempt, result)
                self._send_to_instances(key.instances, message)

    def count_unfinished(self) -> int:
        """Count attempts without a result, and writes to the platform in progress.

        A drain waits for them: a result that is not stored leaves its key held.
        """
        return len(self._granted) + len(self.platform.pending_writes)

    def issue_keys(self, count: int) -> IssuedKeys:
        """Issue keys that name ready live nodes of the local domain."""
        return make_keys(self.ctx, count)

    def is_alive(self, attempt: str) -> bool:
        """Return whether the entry node of an attempt is known to be alive."""
        holder = Attempt.parse(attempt)
        return holder is not None and (
            holder.instance == self.instance
            or self._find_record(holder.instance) is not None
        )

    async def _claim_at_replicas(
        self, key: RequestKey, attempt: str, fingerprint: str, timeout_s: float
    ) -> KeyGranted | CallResult:
        deadline = self.ctx.now() + timeout_s
        poll_s = FIRST_POLL_DELAY_S
        rounds = 0
        while True:
            wire_attempt = self._next_attempt()
            remaining_s = deadline - self.ctx.now()
            round_timeout_s = max(min(remaining_s, ROUND_TIMEOUT_S), 0.0)
            fut: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
            pending = _PendingRound(ClaimRound(key), wire_attempt, fut)
            match await self._run_round(pending, fingerprint, round_timeout_s):
                case MayRun():
                    self._granted[str(key), attempt] = wire_attempt
                    return KeyGranted(wire_attempt)
                case Resolved(Refused(outcome=Outcome.UNKNOWN)) if (
                    pending.has_lost_reply and rounds < MAX_REPEATED_ROUNDS
                ):
                    # The next round sends the claims over new links.
                    rounds += 1
                case Resolved(result):
                    self._count_refusal(result)
                    return result
                case Waiting(holders):
                    # Jitter keeps two polling attempts from blocking each other.
                    pause_s = poll_s * self.ctx.rng.uniform(0.5, 1.5)
                    poll_s = min(poll_s * 2, MAX_POLL_DELAY_S)
                    has_live_holder = any(self.is_alive(holder) for holder in holders)
                    if not has_live_holder or self.ctx.now() + pause_s >= deadline:
                        self.ctx.count("claims.held")
                        return Refused(Outcome.UNKNOWN, "key held by another attempt")
                    await asyncio.sleep(pause_s)

    async def _run_round(
        self, pending: _PendingRound, fingerprint: str, timeout_s: float
    ) -> Decision:
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        is_done = False
        try:
            for instance in pending.claims.key.instances:
                self._claim_at(pending, instance, fingerprint)
            await asyncio.wait([pending.decision_fut], timeout=timeout_s)
            if loop.time() - sent_at_s >= ROUND_TIMEOUT_S:
                self._close_silent_links(pending, sent_at_s)
            decision = pending.claims.give_up()
            is_done = True
            return decision
        finally:
            self._close_round(pending, is_done=is_done)

    def _close_silent_links(self, pending: _PendingRound, sent_at_s: float) -> None:
        """Close links that received no byte since the claims were sent.

        The detection of silent links covers only calls, so a silent link that
        carries only claims would stay open indefinitely.
        """
        waiting = [self._pending_claims.get(rid) for rid in pending.request_ids]
        for link in [entry[2] for entry in waiting if entry is not None]:
            pending.has_lost_reply = True
            if link.last_received_s < sent_at_s and not link.has_unread_input():
                link.close()

    def _close_round(self, pending: _PendingRound, is_done: bool) -> None:
        """Stop waiting for replies, and release an attempt that will not run."""
        for request_id in pending.request_ids:
            self._pending_claims.pop(request_id, None)
        pending.claims.give_up()
        if not pending.decision_fut.done():
            pending.decision_fut.cancel()
        key = pending.claims.key
        targets = pending.claims.instances_to_release() if is_done else key.instances
        self._send_to_instances(targets, Release(str(key), pending.attempt))

    def _claim_at(
        self, pending: _PendingRound, instance: str, fingerprint: str
    ) -> None:
        key = str(pending.claims.key)
        if instance == self.instance:
            answer = self.table.claim(
                key, pending.attempt, fingerprint, self.ctx.wall_ms()
            )
            pending.resolve(pending.claims.add_reply(instance, answer))
            return
        rec = self._find_record(instance)
        if rec is None:
            pending.resolve(pending.claims.mark_unreachable(instance))
            return
        link = self.ctx.links.find(rec.peer_address, CALLS)
        if link is not None:
            self._send_claim(pending, instance, link, fingerprint)
        else:
            self.ctx.spawn(self._connect_and_claim(pending, rec, fingerprint))

    async def _connect_and_claim(
        self, pending: _PendingRound, rec: NodeRecord, fingerprint: str
    ) -> None:
        try:
            link = await self.ctx.links.connect(rec.peer_address, CALLS)
        except LinkError:
            pending.resolve(pending.claims.mark_unreachable(rec.instance))
            return
        # A claim is useless once its attempt has been released.
        if pending.claims.decision is None or isinstance(
            pending.claims.decision, MayRun
        ):
            self._send_claim(pending, rec.instance, link, fingerprint)

    def _send_claim(
        self, pending: _PendingRound, instance: str, link: Link, fingerprint: str
    ) -> None:
        self._request_ids += 1
        request_id = self._request_ids
        claim = Claim(request_id, str(pending.claims.key), pending.attempt, fingerprint)
        # A restarted node has the same address, but none of the claim records.
        if link.hello.instance != instance or not link.send(claim):
            pending.resolve(pending.claims.mark_unreachable(instance))
            return
        if not pending.decision_fut.done():
            self._pending_claims[request_id] = (pending, instance, link)
            pending.request_ids.append(request_id)

    def _send_to_instances(self, instances: tuple[str, ...], message: Message) -> None:
        for instance in instances:
            if instance == self.instance:
                self._apply(message)
                continue
            rec = self._find_record(instance)
            if rec is not None:
                self.ctx.links.send(rec.peer_address, CALLS, message)

    def _apply(self, message: Message) -> None:
        now_ms = self.ctx.wall_ms()
        match message:
            case Release(key, attempt):
                self.table.release(key, attempt, now_ms)
            case StoreOutcome(key, attempt):
                result = result_from_store(message)
                if result is not None:
                    self.table.store(key, attempt, result, now_ms)

    def _on_claim(self, link: Link, message: Message) -> None:
        assert isinstance(message, Claim)
        answer = self.table.claim(
            message.request_key,
            message.attempt,
            message.fingerprint,
            self.ctx.wall_ms(),
        )
        link.send(reply_from_answer(message.request_id, answer))

    def _on_reply(self, link: Link, message: Message) -> None:
        assert isinstance(message, ClaimReply)
        pending, instance, claim_link = self._pending_claims.get(
            message.request_id, (None, "", None)
        )
        # Request ids are counted per node, not per link, so a reply counts only
        # on the link that its claim was sent on.
        if pending is None or claim_link is not link:
            return
        del self._pending_claims[message.request_id]
        pending.resolve(pending.claims.add_reply(instance, answer_from_reply(message)))

    def _on_store(self, link: Link, message: Message) -> None:
        self._apply(message)

    def _on_release(self, link: Link, message: Message) -> None:
        self._apply(message)

    def _on_close(self, link: Link) -> None:
        lost_ids = [
            rid for rid, entry in self._pending_claims.items() if entry[2] is link
        ]
        for request_id in lost_ids:
            pending, instance, _ = self._pending_claims.pop(request_id)
            pending.has_lost_reply = True
            pending.resolve(pending.claims.mark_unreachable(instance))

    def _next_attempt(self) -> str:
        self._attempts += 1
        return str(Attempt(self.instance, self._attempts))

    def _find_record(self, instance: str) -> NodeRecord | None:
        rec = self._records.get(instance)
        if rec is None:
            board = self.ctx.board
            for records in (board.remote_nodes, board.members):
                self._records |= {rec.instance: rec for rec in records.values()}
            rec = self._records.get(instance)
        return rec

    def _is_first_by_name(self) -> bool:
        return self.ctx.cfg.node == min(self.ctx.board.members, default="")

    def _count_refusal(self, result: CallResult) -> None:
        if isinstance(result, Refused):
            self.ctx.count(f"claims.{result.outcome.value}")

    def _dump(self) -> dict[str, int]:
        return {
            "records": len(self.table),
            "answers_bytes": self.table.answers_bytes,
            "granted": len(self._granted),
            "pending": len(self._pending_claims),
        }
