"""Claims of request keys: the node as entry node and as replica."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Granted, IssuedKeys
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
from .key_issue import make_keys
from .platform_claims import PlatformClaims

__all__ = ["ClaimsController"]

ROUND_BOUND_S = 1.0
"""A replica that has not answered by then counts as unreachable."""
MAX_LOST_ROUNDS = 2
"""Rounds made again because replies were lost with their links."""
FIRST_POLL_S = 0.02
MAX_POLL_S = 0.4


@dataclass(eq=False)
class _OpenRound:
    """A round whose replies are awaited."""

    claims: ClaimRound
    attempt: str
    decided: asyncio.Future[Decision]
    request_ids: list[int] = field(default_factory=list)
    lost_reply: bool = False

    def settle(self, decision: Decision | None) -> None:
        if decision is not None and not self.decided.done():
            self.decided.set_result(decision)


class ClaimsController:
    """Implements `KeyClaims`; also answers the claims of other entry nodes.

    Keys that nodes issued are claimed at the instances they name. Keys in
    another form are claimed in the platform through `api`; without it they are
    refused. `is_first_ranked` says whether this node expires the claim objects
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
        self._pending: dict[int, tuple[_OpenRound, str, Link]] = {}
        # Attempt that was granted, by key and the caller's name for the attempt.
        self._granted: dict[tuple[str, str], str] = {}
        # Index of the board's records, built anew after each change of members.
        self._by_instance: dict[str, NodeRecord] = {}

    def start(self) -> None:
        """Register the message handlers and start the expiry of old claims."""
        links = self.ctx.links
        links.on(Claim, self._on_claim)
        links.on(ClaimReply, self._on_reply)
        links.on(StoreOutcome, self._on_store)
        links.on(Release, self._on_release)
        links.close_handlers.append(self._on_close)
        self.ctx.board.subscribe(Topic.MEMBERS, self._by_instance.clear)
        self.ctx.board.dump_parts["claims"] = self._dump
        self.platform.start()

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> Granted | CallResult:
        """Claim the key, or give the recorded answer or a refusal.

        A key held by a live entry node is waited for until the timeout.
        """
        if not has_issued_key_prefix(request_key):
            wire_attempt = self._next_attempt()
            outcome = await self.platform.claim(
                request_key, wire_attempt, fingerprint, timeout_s
            )
            if isinstance(outcome, Granted):
                self._granted[request_key, attempt] = wire_attempt
                return Granted(wire_attempt)
            return outcome
        match RequestKey.parse(request_key):
            case Err(findings):
                reason = "; ".join(str(finding) for finding in findings)
                # No replica grants a malformed key, so it never ran.
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
        self._send(key.instances, message)

    def store_orphaned_result(
        self, request_key: str, wire_attempt: str, result: CallResult
    ) -> None:
        """Store the result of an attempt whose entry node can't be reached.

        ``not_run`` is not stored: the entry node may live and try elsewhere.
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
                self._send(key.instances, message)

    def count_unfinished(self) -> int:
        """Count attempts without a result, and results still being stored.

        A drain waits for them: a result that is not stored leaves its key held.
        """
        return len(self._granted) + len(self.platform.storing)

    def issue_keys(self, count: int) -> IssuedKeys:
        """Make keys that name ready live nodes of the own domain."""
        return make_keys(self.ctx, count)

    def is_alive(self, attempt: str) -> bool:
        """Whether the entry node of an attempt is known to be alive."""
        holder = Attempt.parse(attempt)
        return holder is not None and (
            holder.instance == self.instance
            or self._find_record(holder.instance) is not None
        )

    async def _claim_at_replicas(
        self, key: RequestKey, attempt: str, fingerprint: str, timeout_s: float
    ) -> Granted | CallResult:
        deadline = self.ctx.now() + timeout_s
        poll_s = FIRST_POLL_S
        rounds = 0
        while True:
            wire_attempt = self._next_attempt()
            left_s = deadline - self.ctx.now()
            bound_s = max(min(left_s, ROUND_BOUND_S), 0.0)
            fut: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
            opened = _OpenRound(ClaimRound(key), wire_attempt, fut)
            match await self._run_round(opened, fingerprint, bound_s):
                case MayRun():
                    self._granted[str(key), attempt] = wire_attempt
                    return Granted(wire_attempt)
                case Resolved(Refused(outcome=Outcome.UNKNOWN)) if (
                    opened.lost_reply and rounds < MAX_LOST_ROUNDS
                ):
                    # The next round asks over new links.
                    rounds += 1
                case Resolved(result):
                    self._count_refusal(result)
                    return result
                case Waiting(holders):
                    # Jitter keeps two polling attempts from blocking each other.
                    pause_s = poll_s * self.ctx.rng.uniform(0.5, 1.5)
                    poll_s = min(poll_s * 2, MAX_POLL_S)
                    alive = any(self.is_alive(holder) for holder in holders)
                    if not alive or self.ctx.now() + pause_s >= deadline:
                        self.ctx.count("claims.held")
                        return Refused(Outcome.UNKNOWN, "key held by another attempt")
                    await asyncio.sleep(pause_s)

    async def _run_round(
        self, opened: _OpenRound, fingerprint: str, bound_s: float
    ) -> Decision:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        handed_over = False
        try:
            for instance in opened.claims.key.instances:
                self._ask(opened, instance, fingerprint)
            await asyncio.wait([opened.decided], timeout=bound_s)
            if loop.time() - asked_at >= ROUND_BOUND_S:
                self._close_silent_links(opened, asked_at)
            decision = opened.claims.give_up()
            handed_over = True
            return decision
        finally:
            self._close_round(opened, may_run=handed_over)

    def _close_silent_links(self, opened: _OpenRound, asked_at: float) -> None:
        """Close links that brought no byte since the claims were sent.

        The search for silent links looks at calls only, and a link that carries
        nothing but claims would stay silent for good.
        """
        waiting = [self._pending.get(rid) for rid in opened.request_ids]
        for link in [entry[2] for entry in waiting if entry is not None]:
            opened.lost_reply = True
            if link.last_received < asked_at:
                link.close()

    def _close_round(self, opened: _OpenRound, may_run: bool) -> None:
        """Stop waiting, and release an attempt that will not run."""
        for request_id in opened.request_ids:
            self._pending.pop(request_id, None)
        opened.claims.give_up()
        if not opened.decided.done():
            opened.decided.cancel()
        key = opened.claims.key
        targets = opened.claims.instances_to_release() if may_run else key.instances
        self._send(targets, Release(str(key), opened.attempt))

    def _ask(self, opened: _OpenRound, instance: str, fingerprint: str) -> None:
        key = str(opened.claims.key)
        if instance == self.instance:
            answer = self.table.claim(
                key, opened.attempt, fingerprint, self.ctx.wall_ms()
            )
            opened.settle(opened.claims.add_reply(instance, answer))
            return
        rec = self._find_record(instance)
        if rec is None:
            opened.settle(opened.claims.mark_unreachable(instance))
            return
        link = self.ctx.links.find(rec.peer_address, CALLS)
        if link is not None:
            self._send_claim(opened, instance, link, fingerprint)
        else:
            self.ctx.spawn(self._dial_and_ask(opened, rec, fingerprint))

    async def _dial_and_ask(
        self, opened: _OpenRound, rec: NodeRecord, fingerprint: str
    ) -> None:
        try:
            link = await self.ctx.links.connect(rec.peer_address, CALLS)
        except LinkError:
            opened.settle(opened.claims.mark_unreachable(rec.instance))
            return
        # A claim sent after the release of its attempt would be of no use.
        if opened.claims.decision is None or isinstance(opened.claims.decision, MayRun):
            self._send_claim(opened, rec.instance, link, fingerprint)

    def _send_claim(
        self, opened: _OpenRound, instance: str, link: Link, fingerprint: str
    ) -> None:
        self._request_ids += 1
        request_id = self._request_ids
        message = Claim(request_id, str(opened.claims.key), opened.attempt, fingerprint)
        # The address may belong to a successor, which holds none of the records.
        if link.hello.instance != instance or not link.send(message):
            opened.settle(opened.claims.mark_unreachable(instance))
            return
        if not opened.decided.done():
            self._pending[request_id] = (opened, instance, link)
            opened.request_ids.append(request_id)

    def _send(self, instances: tuple[str, ...], message: Message) -> None:
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
        opened, instance, asked = self._pending.get(
            message.request_id, (None, "", None)
        )
        # Request ids are per node, so a reply counts only on the link it was
        # asked on.
        if opened is None or asked is not link:
            return
        del self._pending[message.request_id]
        opened.settle(opened.claims.add_reply(instance, answer_from_reply(message)))

    def _on_store(self, link: Link, message: Message) -> None:
        self._apply(message)

    def _on_release(self, link: Link, message: Message) -> None:
        self._apply(message)

    def _on_close(self, link: Link) -> None:
        lost = [rid for rid, entry in self._pending.items() if entry[2] is link]
        for request_id in lost:
            opened, instance, _ = self._pending.pop(request_id)
            opened.lost_reply = True
            opened.settle(opened.claims.mark_unreachable(instance))

    def _next_attempt(self) -> str:
        self._attempts += 1
        return str(Attempt(self.instance, self._attempts))

    def _find_record(self, instance: str) -> NodeRecord | None:
        rec = self._by_instance.get(instance)
        if rec is None:
            board = self.ctx.board
            for records in (board.remote_nodes, board.members):
                self._by_instance |= {rec.instance: rec for rec in records.values()}
            rec = self._by_instance.get(instance)
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
            "pending": len(self._pending),
        }
