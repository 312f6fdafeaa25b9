"""Calls of this node's callers: routing, selection, sending and retries."""

import asyncio
import itertools
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from lentilsill.admission import CallAges
from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest, CrashGuard, KeyClaims, KeyGranted
from lentilsill.daemon.link_log import LinkLog
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.retries import decide_hedge
from lentilsill.routing import Candidate, EvenSelector, Selector
from lentilsill.wire import CALLS, Link
from lentilsill.wire.messages import GoAway

from .call_admission import CallAdmission
from .call_budgets import CallBudgets
from .call_limits import ATTEMPT_END_GRACE_S, CallLimits
from .call_progress import Attempt, CallProgress, report_call
from .call_results import (
    is_busy,
    is_upstream_failure,
    refuse_call,
    with_retry_after,
    worse_refusal,
)
from .destination import DestinationController
from .hedging import run_hedged
from .local_upstream import Execution, call_fingerprint, request_fingerprint
from .peer_attempts import Reply
from .peer_calls import PeerCalls
from .placement import AttemptPlacer
from .reasons import (
    CONNECTION_LOST,
    CRASHED,
    CRASHED_IN_TRIAL,
    NO_ROUTE,
    NO_UPSTREAM,
    NODE_LEAVING,
    NOT_READY,
    OVERLOADED,
    STARTUP_RETRY_S,
    SUSPECTED,
    not_run_refusal,
)
from .rollout_calls import RolloutCalls
from .route_indexes import RouteIndexes
from .stale_view import ViewChanges
from .suspects import refuse_suspect

__all__ = ["EntryController"]

# A call whose attempts lost this many upstreams may be what crashes them. The
# quarantine of one domain does not stop attempts in another.
MAX_LOST_UPSTREAMS = 2
NO_UPSTREAM_REFUSAL = not_run_refusal(NO_UPSTREAM, STARTUP_RETRY_S)


class EntryController:
    """Implements `CallService` for the callers of this node.

    `claims` ensures that a call with a request key runs at most once across all
    nodes. Without it, such calls are refused with the outcome ``unknown``. `guard`
    is the quarantine, or None.
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
        LinkLog(ctx, self.peers.count_calls, destination.served_calls.count_calls)
        select = EvenSelector if ctx.cfg.calls.even_load else Selector
        self.selector = select(ctx.cfg.domain, ctx.rng)
        self.call_ages = CallAges()
        self.in_flight = 0
        self._attempt_ids = itertools.count(1)
        self.rollouts = RolloutCalls(ctx)
        self._placer = AttemptPlacer(ctx, self.selector, self.rollouts)
        self.admission = CallAdmission(ctx, destination.integration.headers)
        self._budgets = CallBudgets(ctx)
        self._limits = CallLimits(ctx)
        self._view = ViewChanges(ctx)
        self._leaving_nodes: dict[str, str] = {}
        self._routes = RouteIndexes()
        ctx.links.on(GoAway, self._on_go_away)
        for topic in (Topic.IN_FORCE, Topic.MEMBERS, Topic.UPSTREAMS):
            ctx.board.subscribe(topic, self.refresh)
        ctx.board.dump_parts["entry"] = self._dump

    def start(self) -> None:
        """Apply the state of the blackboard and start the check for silent links."""
        self.refresh()
        self.peers.start()

    def refresh(self) -> None:
        """Apply changes of documents and members."""
        board = self.ctx.board
        self._routes.forget_replaced(board.snapshot)
        nodes = [*board.members.values(), *board.remote_nodes.values()]
        instances = {node.node: node.instance for node in nodes}
        self._leaving_nodes = {
            node: instance
            for node, instance in self._leaving_nodes.items()
            if instances.get(node) == instance
        }
        self.selector.update(
            board.snapshot, nodes, {*board.suspects, *self._leaving_nodes}
        )
        self._view.notify()

    async def handle(self, req: CallRequest) -> CallResult:
        """Run the call; a failure is returned as its result, never raised."""
        now = self.ctx.now()
        board = self.ctx.board
        if not board.ready:
            return refuse_call(req, NOT_READY, STARTUP_RETRY_S)
        if board.is_refusing_callers:
            return refuse_call(req, NODE_LEAVING, STARTUP_RETRY_S)
        document = board.snapshot.find_routes(req.service)
        if document is None:
            return refuse_call(req, NO_ROUTE, STARTUP_RETRY_S)
        route = self._routes.match(document, req)
        if route is None:
            return refuse_call(req, NO_ROUTE, STARTUP_RETRY_S)
        in_flight = self.in_flight + self.admission.waiting_count
        if in_flight >= self.ctx.cfg.calls.max_calls:
            return refuse_call(req, OVERLOADED, STARTUP_RETRY_S)
        admission = await self.admission.admit(req, route)
        if isinstance(admission, Refused):
            return admission
        req = admission.req
        needs_claim = bool(req.request_key) and not route.idempotent
        fingerprint = ""
        if needs_claim or self.guard is not None:
            names = self.destination.integration.headers
            fingerprint = call_fingerprint(req, names.caller_service)
        refused = refuse_suspect(self.guard, fingerprint)
        if refused is not None:
            # The quarantine shows that a request with this key has run before.
            outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
            refused = replace(refused, outcome=outcome)
            self.admission.record_end(admission, refused)
            return refused
        deadline_s = route.deadline_ms / 1000
        if req.deadline_ms > 0:
            deadline_s = min(deadline_s, req.deadline_ms / 1000)
        # A call that no upstream has begun by then ends as not run.
        ends_at = board.calls_end_at_s - ATTEMPT_END_GRACE_S
        deadline = min(now + deadline_s, ends_at)
        progress = CallProgress(
            req, document, route, now, deadline, fingerprint, admission
        )
        progress.waiting_services = self.destination.inner_calls.waiting_services(
            req.caller_ip
        )
        if req.deadline_ms > 0:
            progress.age_s = (
                self.call_ages.age_ms(progress.kind, req.deadline_ms) / 1000
            )
        if not needs_claim:
            # When the caller disconnects, the destination node finishes a running
            # call that is not idempotent, and drops any other.
            return await self._run_and_report(progress, self._run_attempts(progress))
        # A claimed call continues without its caller, as its outcome is stored.
        run = self._run_claimed(progress)
        return await asyncio.shield(self.ctx.spawn(self._run_and_report(progress, run)))

    async def _run_and_report(
        self, progress: CallProgress, run: Coroutine[Any, Any, CallResult]
    ) -> CallResult:
        self.in_flight += 1
        result: CallResult | None = None
        try:
            result = await self._limits.run(run, progress.deadline)
            return result
        finally:
            self.in_flight -= 1
            self.admission.record_end(progress.admission, result)
            report_call(self.ctx, progress, result)

    async def _run_claimed(self, progress: CallProgress) -> CallResult:
        if self.claims is None:
            return Refused(Outcome.UNKNOWN, "request keys are not supported")
        req = progress.req
        key = req.request_key
        # It detects that a key is used for another request.
        content = request_fingerprint("", req.service, req.method, req.path, req.body)
        attempt = f"{self.ctx.links.identity.instance}:{next(self._attempt_ids)}"
        remaining_s = progress.deadline - self.ctx.now()
        claim = await self.claims.claim(key, attempt, content, remaining_s)
        if not isinstance(claim, KeyGranted):
            return claim
        progress.claim_attempt = claim.attempt
        result: CallResult = Refused(Outcome.UNKNOWN, "node stopped")
        try:
            result = await self._run_attempts(progress)
        finally:
            self.claims.finish(key, attempt, result)
        return result

    async def _run_attempts(self, progress: CallProgress) -> CallResult:
        """Make attempts; deliver an answer that arrives after its link was lost."""
        late_replies = progress.late_replies
        try:
            result = await self._make_attempts(progress)
            if isinstance(result, Refused):
                return (
                    await late_replies.first_answer(None, progress.deadline) or result
                )
            return result
        finally:
            late_replies.cancel()

    async def _make_attempts(self, progress: CallProgress) -> CallResult:
        """Make attempts until one is answered or no further attempt is allowed."""
        route = progress.route
        refusal: Refused | None = None
        failure: Answer | None = None
        lost_upstreams = 0
        while True:
            now = self.ctx.now()
            if progress.tried_upstreams:
                refused = refuse_suspect(self.guard, progress.fingerprint)
                if refused is not None:
                    return failure or worse_refusal(refusal, refused)
            self._update_targets(progress)
            is_suspect = progress.is_suspect or self._is_suspect(progress)
            placement = self._placer.choose(progress, now, is_suspect)
            if placement is None:
                if failure is None:
                    change = self._view.wait_for_change(
                        progress, self.selector.is_candidate
                    )
                    changed = await progress.late_replies.run(change)
                    if isinstance(changed, Answer):
                        return changed
                    if changed:
                        continue
                return failure or with_retry_after(refusal) or NO_UPSTREAM_REFUSAL
            candidate = placement.candidate
            if failure is not None and not self.selector.has_lower_failure_share(
                candidate.upstream, progress.last_upstream, now
            ):
                return failure
            budget = self._budgets.for_retries(progress, placement.target.service)
            if not progress.is_in_retry_budget:
                progress.is_in_retry_budget = True
                budget.add_call(now)
            if progress.needs_retry_token:
                if not budget.take_attempt(now):
                    return failure or refusal or NO_UPSTREAM_REFUSAL
                progress.retry_tokens += 1
            hedge_delay_s = decide_hedge(
                route.hedge, route.idempotent, progress.deadline - now
            )
            if hedge_delay_s is None or is_suspect:
                attempt = self._make_attempt(
                    progress, candidate, placement.only_if_free
                )
                result = await progress.late_replies.run(attempt)
            else:
                attempt = self._attempt_with_hedge(progress, candidate, hedge_delay_s)
                result = await progress.late_replies.run(attempt, is_hedged=True)
            if placement.only_if_free:
                self._placer.record_slot_probe(progress, not is_busy(result))
            if is_busy(result):
                progress.busy_upstreams.add(candidate.upstream)
                continue
            progress.record_attempt(candidate.upstream, result)
            if isinstance(result, Answer):
                if self.guard is not None:
                    self.guard.record_answer(progress.fingerprint)
                if route.objective_ms:
                    is_late = progress.objective_ms(self.ctx.now()) <= 1
                    self.selector.record_lateness(progress.kind, is_late)
                if result.status < 500 or not route.idempotent:
                    return result
                failure = result
            else:
                refusal = worse_refusal(refusal, result)
                lost_upstreams += result.reason in (CONNECTION_LOST, CRASHED)
                if result.reason in (CRASHED_IN_TRIAL, SUSPECTED):
                    return failure or refusal
            may_retry = progress.may_retry(result, self.ctx.now())
            if lost_upstreams >= MAX_LOST_UPSTREAMS or not may_retry:
                return failure or refusal or NO_UPSTREAM_REFUSAL

    def _update_targets(self, progress: CallProgress) -> None:
        """Give the call the targets that its route has in the documents in force.

        The selector knows only upstream sets of these documents. A call that kept the
        targets of an earlier version would find no upstream after a change.
        """
        document = self.ctx.board.snapshot.find_routes(progress.req.service)
        if document is None or document is progress.document:
            return
        route = self._routes.match(document, progress.req)
        if route is not None:
            progress.set_targets(document, route.targets)

    def _is_suspect(self, progress: CallProgress) -> bool:
        return self.guard is not None and self.guard.is_suspect(progress.fingerprint)

    async def _make_attempt(
        self, progress: CallProgress, candidate: Candidate, only_if_free: bool = False
    ) -> CallResult:
        upstream, selector = candidate.upstream, self.selector
        started_at = self.ctx.now()
        selector.record_start(upstream, started_at)
        failed = False
        reply: Reply | None = None
        self.rollouts.record_start(progress, candidate)
        try:
            reply = await self._send(progress, candidate, only_if_free)
            failed = is_upstream_failure(reply.result)
        finally:
            now = self.ctx.now()
            if reply is not None and not is_busy(reply.result):
                progress.record_reply(upstream, reply.result)
                progress.ended_attempts.append(
                    Attempt(candidate, reply.result, reply.load, now - started_at)
                )
            selector.record_end(upstream, now, failed, (now - started_at) * 1000)
            self.rollouts.record_end(progress, candidate, reply)
        if reply.late is not None:
            progress.late_replies.add(reply.late)
        if reply.load >= 0:
            report = (reply.load, self.ctx.now(), progress.kind, reply.busy_percent)
            selector.record_report(upstream, *report)
        if isinstance(reply.result, Refused) and not (failed or is_busy(reply.result)):
            hold_s = reply.result.retry_after_s
            selector.record_refusal(upstream, self.ctx.now(), hold_s)
        return reply.result

    async def _send(
        self, progress: CallProgress, candidate: Candidate, only_if_free: bool
    ) -> Reply:
        call = progress.make_call(candidate.upstream, only_if_free, self.ctx.now())
        if candidate.node != self.ctx.cfg.node:
            return await self.peers.send(
                candidate.peer_address, call, progress.deadline
            )
        execution = Execution(call, progress.deadline, None, progress.fingerprint)
        result = await self.destination.execute(execution)
        return Reply(result, *self.destination.load_figures(call))

    def _attempt_with_hedge(
        self, progress: CallProgress, candidate: Candidate, delay_s: float
    ) -> Coroutine[Any, Any, CallResult]:
        budget = self._budgets.for_hedges(progress)
        budget.add_call(self.ctx.now())

        def make_second() -> Coroutine[Any, Any, CallResult] | None:
            progress.tried_upstreams.add(candidate.upstream)
            placement = self._placer.choose(progress, self.ctx.now())
            if placement is None or not budget.take_attempt(self.ctx.now()):
                return None
            progress.tried_upstreams.add(placement.candidate.upstream)
            self.ctx.count("calls.hedge")
            return self._make_attempt(progress, placement.candidate)

        attempt = self._make_attempt(progress, candidate)
        return run_hedged(attempt, delay_s, make_second)

    def _on_go_away(self, link: Link, message) -> None:
        if link.hello.purpose == CALLS:
            self._leaving_nodes[link.hello.node] = link.hello.instance
            self.refresh()

    def _dump(self) -> dict[str, object]:
        return {
            "in_flight": self.in_flight,
            "outstanding": self.peers.outstanding,
            "upstreams": self.selector.dump(self.ctx.now()),
        }
