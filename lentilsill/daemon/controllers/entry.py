"""Calls of this node's callers: route, select, send, retry."""

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

from lentilsill.admission import CallAges
from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest, CrashGuard, Granted, KeyClaims
from lentilsill.documents import ServiceDocument
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.retries import (
    decide_hedge,
    decide_retry,
)
from lentilsill.routing import (
    Candidate,
    RouteIndex,
    Selector,
)
from lentilsill.wire import CALLS, Link
from lentilsill.wire.messages import Call, GoAway

from .call_budgets import CallBudgets
from .call_progress import Attempt, CallPlan, report_call
from .call_results import speaks_against, worse_of
from .destination import DestinationController
from .local_upstream import Execution, request_fingerprint
from .peer_calls import PeerCalls, Reply
from .placement import Placing
from .reasons import (
    BUSY,
    CONNECTION_LOST,
    CRASHED,
    NO_ROUTE,
    NO_UPSTREAM,
    NODE_LEAVING,
    NOT_READY,
    OVERLOADED,
    STARTING_RETRY_S,
    not_run,
)

__all__ = ["EntryController"]

# A call that lost so many upstreams may be what crashes them. The quarantine
# of one domain does not stop it in another.
MAX_LOST_UPSTREAMS = 2


class EntryController:
    """Implements `CallService` for the callers of this node.

    `claims` makes calls with a request key run at most once in total; without
    it such calls are refused as unknown. `guard` is the quarantine, or None.
    """

    def __init__(
        self,
        ctx: Context,
        destination: DestinationController,
        claims: KeyClaims | None = None,
        guard: CrashGuard | None = None,
    ) -> None:
        self.ctx = ctx
        self.destination = destination
        self.claims = claims
        self.guard = guard
        self.peers = PeerCalls(ctx)
        self.selector = Selector(ctx.cfg.domain, ctx.rng)
        self.ages = CallAges()
        self.in_flight = 0
        self._attempt_ids = itertools.count(1)
        self._placing = Placing(ctx, self.selector)
        self._budgets = CallBudgets(ctx)
        self._gone_away: dict[str, str] = {}
        self._indexes: dict[str, RouteIndex] = {}
        ctx.links.on(GoAway, self._on_go_away)
        for topic in (Topic.IN_FORCE, Topic.MEMBERS, Topic.UPSTREAMS):
            ctx.board.follow(topic, self.refresh)
        ctx.board.dump_parts["entry"] = self._dump

    def start(self) -> None:
        """Take in the blackboard and start the search for silent links."""
        self.refresh()
        self.peers.start()

    def refresh(self) -> None:
        """Follow changes of documents and members."""
        board = self.ctx.board
        self._indexes = {
            name: index
            for name, index in self._indexes.items()
            if name in board.snapshot.documents
        }
        nodes = [*board.members.values(), *board.remote_nodes.values()]
        present = {node.node: node.instance for node in nodes}
        self._gone_away = {
            node: instance
            for node, instance in self._gone_away.items()
            if present.get(node) == instance
        }
        self.selector.update(board.snapshot, nodes, {*board.suspects, *self._gone_away})

    async def handle(self, req: CallRequest) -> CallResult:
        """Run the call; never raises for a failed call."""
        board = self.ctx.board
        if not board.ready:
            return _refused(req, NOT_READY)
        if board.is_closing:
            return _refused(req, NODE_LEAVING)
        document = board.snapshot.documents.get(req.service)
        if document is None:
            return _refused(req, NO_ROUTE)
        route = self._index(document).match(req.method, req.path)
        if route is None:
            return _refused(req, NO_ROUTE)
        if self.in_flight >= self.ctx.cfg.calls.max_calls:
            return _refused(req, OVERLOADED)
        claimed = bool(req.request_key) and not route.idempotent
        fingerprint = ""
        if claimed or self.guard is not None:
            fingerprint = request_fingerprint(
                req.request_key, req.service, req.method, req.path, req.body
            )
        if self.guard is not None and self.guard.is_quarantined(fingerprint):
            # A keyed request has been run before, as its crashes show.
            outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
            return Refused(outcome, "request is quarantined")
        deadline_s = route.deadline_ms / 1000
        if req.deadline_ms > 0:
            deadline_s = min(deadline_s, req.deadline_ms / 1000)
        now = self.ctx.now()
        plan = CallPlan(req, document, route, now, now + deadline_s, fingerprint)
        if req.deadline_ms > 0:
            plan.age_s = self.ages.estimate_age_ms(plan.kind, req.deadline_ms) / 1000
        if not claimed:
            # The destination keeps a call that may not be repeated when its
            # caller goes away, unless it still waits.
            return await self._counted(plan, self._run(plan))
        # The outcome of a claimed call is stored.
        run = self._run_claimed(plan)
        return await asyncio.shield(self.ctx.spawn(self._counted(plan, run)))

    def _index(self, document: ServiceDocument) -> RouteIndex:
        index = self._indexes.get(document.service)
        if index is None or index.document is not document:
            index = self._indexes[document.service] = RouteIndex(document)
        return index

    async def _counted(
        self, plan: CallPlan, run: Coroutine[Any, Any, CallResult]
    ) -> CallResult:
        self.in_flight += 1
        result: CallResult | None = None
        try:
            result = await run
            return result
        finally:
            self.in_flight -= 1
            report_call(self.ctx, plan, result)

    async def _run_claimed(self, plan: CallPlan) -> CallResult:
        if self.claims is None:
            return Refused(Outcome.UNKNOWN, "request keys are not supported")
        key = plan.req.request_key
        attempt = f"{self.ctx.links.identity.instance}:{next(self._attempt_ids)}"
        remaining_s = plan.deadline - self.ctx.now()
        claim = await self.claims.claim(
            key, attempt, _content_fingerprint(plan), remaining_s
        )
        if not isinstance(claim, Granted):
            return claim
        plan.claim = claim.attempt
        result: CallResult = Refused(Outcome.UNKNOWN, "node stopped")
        try:
            result = await self._run(plan)
        finally:
            self.claims.finish(key, attempt, result)
        return result

    async def _run(self, plan: CallPlan) -> CallResult:
        """Make attempts until an answer, or until no other may be made."""
        route = plan.route
        worst: Refused | None = None
        failure: Answer | None = None
        lost = 0
        while True:
            now = self.ctx.now()
            choice = self._placing.choose(plan, now)
            if choice is None:
                return failure or worst or not_run(NO_UPSTREAM, STARTING_RETRY_S)
            candidate = choice.candidate
            if failure is not None and not self.selector.has_lower_failure_share(
                candidate.upstream, plan.last, now
            ):
                return failure
            budget = self._budgets.retry(plan, choice.target.service)
            if not plan.is_counted:
                plan.is_counted = True
                budget.add_call(now)
            if plan.arrivals and not budget.take(now):
                return failure or worst or not_run(NO_UPSTREAM, STARTING_RETRY_S)
            plan.last = candidate.upstream
            hedge_s = decide_hedge(route.hedge, route.idempotent, plan.deadline - now)
            if hedge_s is None:
                result = await self._attempt(plan, candidate, choice.only_if_free)
            else:
                result = await self._hedged(plan, candidate, hedge_s)
            if choice.only_if_free:
                self._placing.asked(plan, not _is_busy(result))
            if _is_busy(result):
                plan.asked.add(candidate.upstream)
                continue
            plan.attempts.add(candidate.upstream)
            if isinstance(result, Answer):
                plan.arrivals += 1
                if route.objective_ms:
                    is_late = plan.objective_ms(self.ctx.now()) <= 1
                    self.selector.record_lateness(plan.kind, is_late)
                if result.status < 500 or not route.idempotent:
                    return result
                failure = result
            else:
                worst = worse_of(worst, result)
                plan.arrivals += result.arrived
                plan.overloaded += result.is_overload
                lost += result.reason in (CONNECTION_LOST, CRASHED)
                plan.is_suspect |= result.reason == CRASHED
            if lost >= MAX_LOST_UPSTREAMS or not decide_retry(
                result,
                route.idempotent,
                plan.arrivals,
                route.retry.max_attempts,
                plan.deadline - self.ctx.now(),
                len(plan.attempts),
                plan.overloaded,
            ):
                return failure or worst or not_run(NO_UPSTREAM, STARTING_RETRY_S)

    async def _attempt(
        self, plan: CallPlan, candidate: Candidate, only_if_free: bool = False
    ) -> CallResult:
        upstream = candidate.upstream
        selector = self.selector
        began = self.ctx.now()
        selector.record_start(upstream, began)
        failed = False
        reply: Reply | None = None
        try:
            reply = await self._send(plan, candidate, only_if_free)
            failed = speaks_against(reply.result)
        finally:
            now = self.ctx.now()
            if reply is not None and not _is_busy(reply.result):
                plan.trace.append(
                    Attempt(candidate, reply.result, reply.load, now - began)
                )
            selector.record_end(upstream, now, failed, (now - began) * 1000)
        if reply.load >= 0:
            selector.record_report(upstream, reply.load, self.ctx.now(), plan.kind)
        if isinstance(reply.result, Refused) and not (failed or _is_busy(reply.result)):
            hold_s = reply.result.retry_after_s
            selector.record_refusal(upstream, self.ctx.now(), hold_s)
        return reply.result

    async def _send(
        self, plan: CallPlan, candidate: Candidate, only_if_free: bool
    ) -> Reply:
        req = plan.req
        call = Call(
            0,
            candidate.upstream,
            req.method,
            req.path,
            req.headers,
            req.body,
            0,
            plan.route.idempotent,
            req.request_key,
            req.service,
            plan.document.version,
            attempt=plan.claim,
            attempt_id=req.attempt_id,
            route=plan.route.name,
            priority=plan.route.priority,
            objective_ms=plan.objective_ms(self.ctx.now()),
            is_suspect=plan.is_suspect,
            only_if_free=only_if_free,
        )
        if candidate.node != self.ctx.cfg.node:
            return await self.peers.send(candidate.peer_address, call, plan.deadline)
        execution = Execution(call, plan.deadline, None, plan.fingerprint)
        result = await self.destination.execute(execution)
        return Reply(result, self.destination.expected_time_ms(call))

    async def _hedged(
        self, plan: CallPlan, candidate: Candidate, delay_s: float
    ) -> CallResult:
        """Add a second attempt when the first is slow; the loser is cancelled."""
        budget = self._budgets.hedge(plan)
        budget.add_call(self.ctx.now())
        first = asyncio.ensure_future(self._attempt(plan, candidate))
        running = {first}
        try:
            done, _ = await asyncio.wait(running, timeout=delay_s)
            if done:
                return first.result()
            plan.attempts.add(candidate.upstream)
            choice = self._placing.choose(plan, self.ctx.now())
            if choice is not None and budget.take(self.ctx.now()):
                other = choice.candidate
                plan.attempts.add(other.upstream)
                self.ctx.count("calls.hedge")
                running.add(asyncio.ensure_future(self._attempt(plan, other)))
            worst: Refused | None = None
            while running:
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    result = task.result()
                    if isinstance(result, Answer):
                        return result
                    worst = worse_of(worst, result)
            return worst or not_run(NO_UPSTREAM, STARTING_RETRY_S)
        finally:
            for task in running:
                task.cancel()

    def _on_go_away(self, link: Link, message) -> None:
        if link.hello.purpose == CALLS:
            self._gone_away[link.hello.node] = link.hello.instance
            self.refresh()

    def _dump(self) -> dict[str, object]:
        return {
            "in_flight": self.in_flight,
            "outstanding": self.peers.outstanding,
            "upstreams": self.selector.dump(self.ctx.now()),
        }


def _refused(req: CallRequest, reason: str) -> Refused:
    """Refuse a call that was not tried.

    With a key, an earlier attempt through another node may have run; only the
    replicas of the key can tell.
    """
    outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
    return Refused(outcome, reason, STARTING_RETRY_S)


def _is_busy(result: CallResult) -> bool:
    """Whether the upstream had no free slot for a call that asked for one."""
    return isinstance(result, Refused) and result.reason == BUSY


def _content_fingerprint(plan: CallPlan) -> str:
    """Identify the content of a keyed request, to tell a reused key."""
    req = plan.req
    return request_fingerprint("", req.service, req.method, req.path, req.body)
