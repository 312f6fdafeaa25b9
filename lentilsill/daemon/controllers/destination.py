"""Execution of calls on the upstreams of this node."""

import asyncio
import math
from collections.abc import Callable, Iterator

from lentilsill.admission import AdmissionQueue, Refuse, Start
from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import OWN_INTEGRATION, Integration
from lentilsill.daemon.interfaces import CrashGuard
from lentilsill.documents import Limits
from lentilsill.membership import UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.routing import is_leaving
from lentilsill.wire import CALLS
from lentilsill.wire.messages import Call, GoAway

from .local_upstream import (
    Execution,
    LocalUpstream,
    kind_of,
    objective_at,
    request_fingerprint,
)
from .reasons import BUSY, CRASHED, LEAVING, MISDIRECTED, UNREACHABLE, not_run
from .served_calls import ServedCalls
from .unacknowledged_results import StoreOrphanedResult

__all__ = ["DestinationController"]

# All connections of a crashed upstream have closed after this time.
CRASH_CHECK_DELAY_S = 0.05
CRASH_VERDICT_BOUND_S = 0.2
DEFAULT_LIMITS = Limits()


class DestinationController:
    """Runs calls for this node's upstreams, each at most once.

    `guard` is the quarantine of requests that crash upstreams, or None.
    `store_orphaned_result` stores the result of a call with a claimed request key when
    the link of its entry node is gone.
    """

    def __init__(
        self,
        ctx: Context,
        guard: CrashGuard | None = None,
        store_orphaned_result: StoreOrphanedResult | None = None,
        integration: Integration = OWN_INTEGRATION,
    ) -> None:
        self.ctx = ctx
        self.integration = integration
        self.guard = guard
        self.peers = ServedCalls(ctx, self, store_orphaned_result)
        self._upstreams: dict[str, LocalUpstream] = {}
        # Removed upstreams whose last calls have not ended.
        self._departed: dict[str, LocalUpstream] = {}
        # Takes an upstream out; the assembly sets it.
        self.drop_upstream: Callable[[str, str], bool] | None = None
        for topic in (Topic.UPSTREAMS, Topic.IN_FORCE, Topic.DRAIN):
            ctx.board.follow(topic, self.refresh)
        ctx.board.follow(Topic.DRAIN, self._tell_of_drain)
        ctx.board.dump_parts["destination"] = self._dump

    def start(self) -> None:
        """Take in the blackboard and take calls of peers."""
        self.refresh()
        self.peers.start()

    @property
    def in_flight_total(self) -> int:
        """Calls that run or wait on all upstreams."""
        owned = (*self._upstreams.values(), *self._departed.values())
        return sum(own.queue.work for own in owned)

    def queues(self) -> Iterator[tuple[str, AdmissionQueue]]:
        """Give the upstreams of this node with their queues."""
        return ((name, own.queue) for name, own in self._upstreams.items())

    def in_flight(self, upstream: str) -> int:
        """Calls that run or wait on one upstream."""
        own = self._upstreams.get(upstream)
        return own.queue.work if own else 0

    def expected_time_ms(self, call: Call) -> int:
        """Time in ms that another call of this kind is expected to take."""
        own = self._upstreams.get(call.upstream)
        if own is None:
            return 0
        now = self.ctx.now()
        expected_s = own.queue.expected_time_s(
            now, call.priority, kind_of(call), objective_at(call, now, math.inf)
        )
        return round(expected_s * 1000)

    def has_lost_connections(self, upstream: str) -> bool:
        """Whether lost connections wait for a check for a crash."""
        own = self._upstreams.get(upstream)
        return bool(own and own.lost)

    def _crashed(self, own: LocalUpstream) -> bool:
        """Report a dead upstream and take it out; False if nothing does that."""
        if not own.is_out:
            self._report_death(own)
            if self.drop_upstream is not None:
                own.is_out = True
                self.drop_upstream(own.record.upstream, "crashed")
        return own.is_out

    def on_upstream_gone(self, upstream: str) -> None:
        """An upstream stopped announcing itself without leaving: it crashed."""
        own = self._upstreams.get(upstream) or self._departed.get(upstream)
        if own is not None and not own.is_out:
            self._report_death(own)

    def refresh(self) -> None:
        """Follow changes of upstreams, documents and drain state."""
        board = self.ctx.board
        now = self.ctx.now()
        for upstream, own in list(self._upstreams.items()):
            record = board.upstreams.get(upstream)
            if record is None or record.address != own.record.address:
                self._apply(own.queue.drain())
                own.client.close()
                del self._upstreams[upstream]
                if own.running:
                    self._departed[upstream] = own
        for upstream, record in board.upstreams.items():
            own = self._upstreams.get(upstream) or LocalUpstream(
                record,
                self.guard,
                self.ctx.cfg.calls.post_reuse_s,
                self.integration,
            )
            self._upstreams[upstream] = own
            own.record = record
            document = board.snapshot.documents.get(record.service)
            limits = document.limits if document else DEFAULT_LIMITS
            slots = min(record.slots or limits.slots_per_upstream, 10_000)
            slots = max(1, min(slots, limits.slots_per_upstream))
            self._apply(own.queue.set_limits(slots, limits.queue_per_upstream, now))
            if self._is_closed_to_calls(record):
                self._apply(own.queue.drain())
            else:
                own.queue.resume()

    def _tell_of_drain(self) -> None:
        """Tell entry nodes at once, before the node's record has spread."""
        for link in self.ctx.links.accepted:
            if link.hello.purpose == CALLS:
                link.send(GoAway("node is leaving"))

    async def execute(self, execution: Execution) -> CallResult:
        """Admit and run a call of this node or of a peer."""
        call = execution.call
        own = self._upstreams.get(call.upstream)
        if own is None or self._is_closed_to_calls(own.record):
            return not_run(LEAVING)
        if self.guard is not None:
            execution.fingerprint = execution.fingerprint or request_fingerprint(
                call.request_key, call.service, call.method, call.path, call.body
            )
            if self.guard.is_quarantined(execution.fingerprint):
                return not_run("request is quarantined")
            if call.is_suspect:
                self.guard.suspect(execution.fingerprint)
        if call.only_if_free and not own.queue.has_room:
            return not_run(BUSY)
        now = self.ctx.now()
        actions = own.queue.offer(
            execution,
            now,
            execution.deadline,
            call.priority,
            objective_at(call, now, execution.deadline),
            kind_of(call),
        )
        if len(actions) != 1 or actions[0] != Start(execution):
            refused = await self._wait(own, execution, actions, now)
            if refused is not None:
                return refused
        if call.idempotent:
            return await self._run(own, execution)
        # A caller that goes away must not cut a call that may not be repeated.
        return await asyncio.shield(self.ctx.spawn(self._run(own, execution)))

    async def _wait(
        self, own: LocalUpstream, execution: Execution, actions: list, now: float
    ) -> Refused | None:
        """Wait for a slot; give the refusal when there is none in time."""
        loop = asyncio.get_running_loop()
        execution.admitted = loop.create_future()
        self._apply(actions)
        entry = self.ctx.deadlines.add(
            execution.deadline - now,
            lambda: self.drop_waiting(execution, "deadline passed"),
        )
        try:
            return await execution.admitted
        except asyncio.CancelledError:
            if not own.queue.cancel(execution):
                self._apply(own.queue.finished(execution, self.ctx.now()))
            raise
        finally:
            self.ctx.deadlines.remove(entry)

    async def _run(self, own: LocalUpstream, execution: Execution) -> CallResult:
        call = execution.call
        remaining_s = execution.deadline - self.ctx.now()
        own.running[execution] = None
        headers = self._headers(call, remaining_s)
        entry = self.ctx.deadlines.add(
            remaining_s, lambda: execution.exchange.abort("deadline passed")
        )
        result: CallResult | None = None
        try:
            result = await own.client.send(
                execution.exchange,
                call.method,
                call.path,
                headers,
                call.body,
                call.idempotent,
                call.attempt_id,
            )
        finally:
            self.ctx.deadlines.remove(entry)
            del own.running[execution]
            if self.guard is not None:
                self._judge(own, execution, result)
            self._apply(own.queue.finished(execution, self.ctx.now()))
            if self._departed and not own.running:
                self._departed.pop(call.upstream, None)
        if isinstance(result, Refused):
            self.ctx.call_log.write(
                "execution_failed",
                attempt=call.attempt_id,
                upstream=call.upstream,
                outcome=result.outcome.value,
                reason=result.reason,
                running=len(own.running),
                work=own.queue.work,
                time_limit_ms=_ms(remaining_s),
            )
        match result:
            case Refused(outcome=Outcome.NOT_RUN, reason=reason):
                if reason.startswith(UNREACHABLE) and self._crashed(own):
                    return not_run(LEAVING)
                if reason == MISDIRECTED and self.drop_upstream is not None:
                    self.drop_upstream(call.upstream, reason)
            case Refused(outcome=outcome) if call.idempotent and own.check is not None:
                # The next attempt comes after peers know the suspects.
                check = own.check
                await asyncio.wait([check], timeout=CRASH_VERDICT_BOUND_S)
                if check.done() and not check.cancelled() and check.result():
                    return Refused(outcome, CRASHED, arrived=True)
        return result

    def _headers(self, call: Call, remaining_s: float) -> list[tuple[str, str]]:
        names = self.integration.headers
        headers = [*call.headers, (names.deadline_ms, str(_ms(remaining_s)))]
        if call.request_key:
            headers.append((names.request_key, call.request_key))
        if names.target_upstream:
            headers.append((names.target_upstream, call.upstream))
        return headers

    def _judge(
        self, own: LocalUpstream, execution: Execution, result: CallResult | None
    ) -> None:
        """Keep the fingerprint when the connection was lost by the upstream."""
        assert self.guard is not None
        match result:
            case Answer():
                self.guard.finished(execution.fingerprint)
            case Refused(outcome=outcome) if (
                outcome is not Outcome.NOT_RUN and not execution.exchange.aborted
            ):
                if not own.lost:
                    own.check = self.ctx.spawn(self._check_crash(own))
                own.lost.append(execution.fingerprint)

    async def _check_crash(self, own: LocalUpstream) -> bool:
        """Whether the upstream whose connections were lost has died."""
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        if await own.client.is_accepting():
            own.lost.clear()
            self._apply(own.queue.advance(self.ctx.now()))
            return False
        self._crashed(own)
        return True

    def _report_death(self, own: LocalUpstream) -> None:
        suspects = (*own.lost, *own.fingerprints())
        own.lost.clear()
        if self.guard is not None and suspects:
            self.guard.upstream_died(suspects)

    def _is_closed_to_calls(self, record: UpstreamRecord) -> bool:
        board = self.ctx.board
        if board.draining or record.state is not UpstreamState.READY:
            return True
        document = board.snapshot.documents.get(record.service)
        return document is not None and is_leaving(document, record)

    def _apply(self, actions: list) -> None:
        for action in actions:
            fut = action.call.admitted
            if fut is None or fut.done():
                continue
            match action:
                case Start():
                    fut.set_result(None)
                case Refuse(reason=reason, retry_after_s=retry_after_s):
                    fut.set_result(not_run(reason, retry_after_s))

    def drop_waiting(self, execution: Execution, reason: str) -> bool:
        """Refuse a call that waits for a slot; False when it does not wait."""
        own = self._upstreams.get(execution.call.upstream)
        if own is None or not own.queue.cancel(execution):
            return False
        self._apply([Refuse(execution, reason)])
        return True

    def _dump(self) -> dict[str, object]:
        return {
            "records": len(self.peers.ledger),
            "upstreams": {
                name: {"running": len(own.running), "work": own.queue.work}
                for name, own in self._upstreams.items()
            },
        }


def _ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))
