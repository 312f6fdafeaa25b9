"""Execution of calls on the upstreams of this node."""

import asyncio
from collections.abc import Callable, Iterator

from lentilsill.admission import AdmissionQueue, Refuse, Start
from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import DEFAULT_INTEGRATION, Integration
from lentilsill.daemon.interfaces import CrashGuard
from lentilsill.documents import Limits
from lentilsill.membership import UpstreamState
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.routing import is_leaving
from lentilsill.wire import CALLS
from lentilsill.wire.messages import Call, GoAway, NoticeRow

from .call_admission import forwarded_headers
from .inner_calls import InnerCalls
from .local_upstream import (
    Execution,
    LocalUpstream,
    call_fingerprint,
    upstream_headers,
    whole_ms,
)
from .reasons import (
    BUSY,
    CRASHED,
    CRASHED_IN_TRIAL,
    LEAVING,
    MISDIRECTED,
    RATE_LIMITED,
    RESET_BEFORE_REQUEST,
    SUSPECTED,
    UNREACHABLE,
    not_run_refusal,
)
from .rollout_calls import RolloutCalls
from .served_calls import ServedCalls
from .share_log import ShareLog, dump_upstream
from .suspects import refuse_suspect
from .unacknowledged_results import StoreOrphanedResult
from .upstream_connection_log import UpstreamConnectionLog
from .upstream_notices import OnLeaving, ignore_leaving

__all__ = ["DestinationController"]

# All connections of a crashed upstream have closed by the end of this delay.
CRASH_CHECK_DELAY_S = 0.05
CRASH_CHECK_TIMEOUT_S = 0.2
DEFAULT_LIMITS = Limits()


class DestinationController:
    """Runs calls on this node's upstreams, each at most once.

    `guard` is the quarantine of requests that crash upstreams, or None.
    `store_orphaned_result` stores the result of a call with a claimed request key when
    the link to its entry node is closed.
    """

    def __init__(
        self,
        ctx: Context,
        guard: CrashGuard | None = None,
        store_orphaned_result: StoreOrphanedResult | None = None,
        integration: Integration = DEFAULT_INTEGRATION,
    ) -> None:
        self.ctx = ctx
        self.integration = integration
        self.guard = guard
        self._share_log = ShareLog(ctx)
        self._connection_log = UpstreamConnectionLog(ctx)
        self.served_calls = ServedCalls(ctx, self, store_orphaned_result)
        self._upstreams: dict[str, LocalUpstream] = {}
        # Removed upstreams that still run calls.
        self._removed: dict[str, LocalUpstream] = {}
        self.inner_calls = InnerCalls(ctx, self._upstreams, self._apply)
        # Callback that removes an upstream (id, reason); set after construction.
        self.drop_upstream: Callable[[str, str], bool] | None = None
        self.mark_leaving: OnLeaving = ignore_leaving  # Set after construction.
        self.rollouts: RolloutCalls | None = None  # Set after construction.
        for topic in (Topic.UPSTREAMS, Topic.IN_FORCE, Topic.DRAIN):
            ctx.board.subscribe(topic, self.refresh)
        ctx.board.subscribe(Topic.DRAIN, self._announce_drain)
        ctx.board.dump_parts["destination"] = self._dump

    def start(self) -> None:
        """Read the blackboard and start serving calls of peers."""
        self.inner_calls.start()
        self.refresh()
        self.served_calls.start()

    @property
    def in_flight_total(self) -> int:
        """Number of calls that run or wait on all upstreams."""
        upstreams = (*self._upstreams.values(), *self._removed.values())
        return sum(local.queue.call_count for local in upstreams)

    def queues(self) -> Iterator[tuple[str, AdmissionQueue]]:
        """Return the ids of this node's upstreams with their queues."""
        return ((name, local.queue) for name, local in self._upstreams.items())

    def in_flight(self, upstream: str) -> int:
        """Return the number of calls that run or wait on one upstream."""
        local = self._upstreams.get(upstream)
        return local.queue.call_count if local else 0

    def load_figures(self, call: Call) -> tuple[int, int]:
        """Return what another call of this kind can expect at its upstream.

        The figures are the expected time in ms, and the calls that run or wait in
        percent of the slots, which is -1 without the setting `calls.even_load`.
        """
        local = self._upstreams.get(call.upstream)
        is_even = self.ctx.cfg.calls.even_load
        now = self.ctx.now()
        return (0, -1) if local is None else local.load_figures(call, now, is_even)

    def notice_row(self, call: Call) -> NoticeRow | None:
        """Return what the upstream of a call last said, if it ever restricted calls."""
        local = self._upstreams.get(call.upstream)
        return None if local is None else local.notices.row(self.ctx.now())

    def has_lost_connections(self, upstream: str) -> bool:
        """Return whether a crash check of lost connections is pending."""
        local = self._upstreams.get(upstream)
        return bool(local and local.lost_runs)

    def _remove_crashed(self, local: LocalUpstream) -> bool:
        """Report a dead upstream and remove it; False without `drop_upstream`."""
        if not local.is_dropped:
            self._report_death(local)
            if self.drop_upstream is not None:
                local.is_dropped = True
                self.drop_upstream(local.record.upstream, "crashed")
        return local.is_dropped

    def on_upstream_crash(self, upstream: str) -> None:
        """Handle an upstream that stopped announcing itself without leaving.

        Such an upstream has crashed.
        """
        local = self._upstreams.get(upstream) or self._removed.get(upstream)
        if local is not None and not local.is_dropped:
            self._report_death(local)

    def on_upstream_return(self, upstream: str) -> None:
        """Send calls again to an upstream that had said that it leaves."""
        if (local := self._upstreams.get(upstream)) is not None:
            local.notices.withdraw_leaving(self.ctx.now())
            self.refresh()

    def refresh(self) -> None:
        """Apply changes of upstreams, documents and drain state."""
        board, now = self.ctx.board, self.ctx.now()
        for upstream, local in list(self._upstreams.items()):
            record = board.upstreams.get(upstream)
            if record is None or record.address != local.record.address:
                self._apply(local.queue.drain())
                local.client.close()
                del self._upstreams[upstream]
                if local.running:
                    self._removed[upstream] = local
        for upstream, record in board.upstreams.items():
            local = self._upstreams.get(upstream) or LocalUpstream(
                record,
                self.guard,
                self.ctx.cfg.calls.post_reuse_s,
                self.integration,
                self._connection_log.record,
                lambda *args: self.mark_leaving(*args),
                self.ctx.answer_bytes,
                self.ctx.cfg.calls.fair_shares,
                self.inner_calls.is_on,
            )
            self._upstreams[upstream] = local
            local.record = record
            local.notices.set_started(record.started_ms, now)
            document = board.snapshot.documents.get(record.service)
            limits = document.limits if document else DEFAULT_LIMITS
            slots = min(record.slots or limits.slots_per_upstream, 10_000)
            slots = max(1, min(slots, limits.slots_per_upstream))
            self._apply(local.queue.set_limits(slots, limits.queue_per_upstream, now))
            if self._is_closed_to_calls(local):
                self._apply(local.queue.drain())
            else:
                local.queue.resume()

    def _announce_drain(self) -> None:
        """Notify entry nodes at once, before the node's record has reached them."""
        for link in self.ctx.links.accepted:
            if link.hello.purpose == CALLS:
                link.send(GoAway("node is leaving"))

    async def execute(self, execution: Execution) -> CallResult:
        """Admit and run a call of this node or of a peer."""
        call = execution.call
        local = self._upstreams.get(call.upstream)
        now = self.ctx.now()
        if local is not None:
            local.notices.record_peer(call.notice, now)
        if local is None or self._is_closed_to_calls(local):
            return not_run_refusal(LEAVING)
        if self.rollouts is not None and self.rollouts.is_retired(local.record):
            return not_run_refusal(LEAVING)
        if self.guard is not None:
            execution.fingerprint = execution.fingerprint or call_fingerprint(
                call, self.integration.headers.caller_service
            )
            if call.is_suspect:
                self.guard.record_suspect(execution.fingerprint)
            refused = refuse_suspect(self.guard, execution.fingerprint)
            if refused is not None:
                return refused
        limiter = local.notices.limiter
        wait_s = limiter.wait_s(now, call.priority, local.queue.waiting)
        if wait_s > 0:
            return self._refuse_rate(wait_s)
        self.inner_calls.record(call, now)
        if call.only_if_free and not local.has_room(call, now):
            return not_run_refusal(BUSY)
        actions = local.offer(execution, now)
        if len(actions) != 1 or actions[0] != Start(execution):
            refused = await self._wait(local, execution, actions, now)
            if refused is not None:
                return refused
        now = self.ctx.now()
        if not limiter.take(now):
            self._apply(local.queue.release(execution, now))
            return self._refuse_rate(limiter.wait_s(now, call.priority))
        if call.idempotent:
            return await self._run(local, execution)
        # A caller that disconnects must not abort a call that isn't idempotent.
        return await asyncio.shield(self.ctx.spawn(self._run(local, execution)))

    def _refuse_rate(self, wait_s: float) -> Refused:
        self.ctx.count("calls.rate_limited")
        return not_run_refusal(RATE_LIMITED, wait_s)

    async def _wait(
        self, local: LocalUpstream, execution: Execution, actions: list, now: float
    ) -> Refused | None:
        """Wait for a slot; return the refusal if none is free in time."""
        loop = asyncio.get_running_loop()
        execution.admission = loop.create_future()
        self._apply(actions)
        queue = local.queue
        reason = "expected time exceeds the deadline"
        timer = self.ctx.deadlines.add(
            local.latest_start_s(execution, now),
            lambda: self.drop_waiting(execution, reason, queue.service_times.mean_s),
        )
        try:
            return await execution.admission
        except asyncio.CancelledError:
            if not local.queue.cancel(execution):
                self._apply(local.queue.finished(execution, self.ctx.now()))
            raise
        finally:
            self.ctx.deadlines.remove(timer)

    async def _run(self, local: LocalUpstream, execution: Execution) -> CallResult:
        call = execution.call
        remaining_s = execution.deadline - self.ctx.now()
        local.record_start(execution)
        names = self.integration.headers
        forwarded = forwarded_headers(self.ctx, names, call)
        headers = upstream_headers(names, call, forwarded, remaining_s)
        abort = execution.exchange.abort_at_deadline
        timer = self.ctx.deadlines.add(remaining_s, abort)
        result: CallResult | None = None
        try:
            result = await local.client.send(
                execution.exchange,
                call.method,
                call.path,
                headers,
                call.body,
                call.idempotent,
                call.attempt_id,
            )
        finally:
            self.ctx.deadlines.remove(timer)
            del local.running[execution]
            if self.guard is not None:
                self._track_crash(local, execution, result)
            self._apply(local.queue.finished(execution, self.ctx.now()))
            if self._removed and not local.running:
                self._removed.pop(call.upstream, None)
        if self.rollouts is not None:
            self.rollouts.record_run(local.record, execution, result, remaining_s)
        if isinstance(result, Refused):
            self.ctx.call_log.write(
                "execution_failed",
                attempt=call.attempt_id,
                upstream=call.upstream,
                outcome=result.outcome.value,
                reason=result.reason,
                running=len(local.running),
                work=local.queue.call_count,
                time_limit_ms=whole_ms(remaining_s),
            )
        match result:
            case Refused(outcome=Outcome.NOT_RUN, reason=reason):
                is_dead = (
                    reason.startswith(UNREACHABLE) and reason != RESET_BEFORE_REQUEST
                )
                if is_dead and self._remove_crashed(local):
                    return not_run_refusal(LEAVING)
                if reason == MISDIRECTED and self.drop_upstream is not None:
                    self.drop_upstream(call.upstream, reason)
            case Refused(outcome=outcome) if (
                call.idempotent and local.crash_check is not None
            ):
                # The wait delays the next attempt until peers know the suspects.
                check = local.crash_check
                await asyncio.wait([check], timeout=CRASH_CHECK_TIMEOUT_S)
                if check.done() and not check.cancelled() and check.result():
                    reason = CRASHED_IN_TRIAL if execution.is_trial else CRASHED
                    return Refused(outcome, reason, arrived=True)
        return result

    def _track_crash(
        self, local: LocalUpstream, execution: Execution, result: CallResult | None
    ) -> None:
        """Clear an answered request; start a crash check after a lost connection."""
        assert self.guard is not None
        match result:
            case Answer():
                self.guard.record_end(execution.run)
            case Refused(outcome=outcome) if (
                outcome is not Outcome.NOT_RUN and not execution.exchange.abort_reason
            ):
                if not local.lost_runs:
                    local.crash_check = self.ctx.spawn(self._check_crash(local))
                local.lost_runs.append(execution.run)

    async def _check_crash(self, local: LocalUpstream) -> bool:
        """Check whether the upstream whose connections were lost has died."""
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        if await local.client.is_accepting():
            local.lost_runs.clear()
            self._apply(local.queue.advance(self.ctx.now()))
            return False
        self._remove_crashed(local)
        return True

    def _report_death(self, local: LocalUpstream) -> None:
        runs = local.take_runs_in_flight()
        if self.guard is None:
            return
        self.guard.record_loss(local.record.upstream, runs)
        lost = {run.fingerprint for run in runs}
        for execution in local.waiting_suspects():
            # A suspect that was only waiting did not cause this loss. It goes on at
            # another upstream, unlike a copy of a request that was in flight.
            is_copy = execution.fingerprint in lost
            self.drop_waiting(execution, SUSPECTED if is_copy else LEAVING)

    def _is_closed_to_calls(self, local: LocalUpstream) -> bool:
        board, record = self.ctx.board, local.record
        is_ready = record.state is UpstreamState.READY and not local.notices.is_leaving
        if board.draining or not is_ready:
            return True
        document = board.snapshot.documents.get(record.service)
        return document is not None and is_leaving(document, record)

    def _apply(self, actions: list) -> None:
        for action in actions:
            execution = action.call
            if (fut := execution.admission) is None or fut.done():
                continue
            match action:
                case Start():
                    fut.set_result(None)
                case Refuse(reason=reason, retry_after_s=retry_after_s):
                    self._share_log.record_refusal(execution.call, action)
                    fut.set_result(not_run_refusal(reason, retry_after_s))

    def drop_waiting(
        self, execution: Execution, reason: str, retry_after_s: float = 0.0
    ) -> bool:
        """Refuse a call that waits for a slot; False if it isn't waiting."""
        local = self._upstreams.get(execution.call.upstream)
        if local is None or not local.queue.cancel(execution):
            return False
        self._apply([Refuse(execution, reason, retry_after_s)])
        return True

    def _dump(self) -> dict[str, object]:
        return {
            "records": len(self.served_calls.ledger),
            "upstreams": {
                name: dump_upstream(local, self.ctx.now())
                for name, local in self._upstreams.items()
            },
        }
