"""Calls that other nodes send to this one, each run at most once."""

import asyncio
from typing import Protocol

from lentilsill.daemon.context import Context
from lentilsill.outcomes import (
    Answer,
    Begin,
    CallLedger,
    CallResult,
    CallState,
    Outcome,
    Refused,
)
from lentilsill.wire import Link
from lentilsill.wire.messages import (
    Answer as AnswerMessage,
    Call,
    Cancel,
    NoticeRow,
    OutcomeQuery,
    OutcomeReply,
    PlainAnswer,
    PlainRefusal,
    Refusal,
)

from .local_upstream import Execution
from .reasons import not_run_refusal
from .unacknowledged_results import StoreOrphanedResult, UnacknowledgedResults

__all__ = ["ServedCalls"]

EXPIRY_INTERVAL_S = 1.0
# Expected time in ms that is sent with a stored result: none is known.
NO_EXPECTED_TIME_MS = -1


class _CallExecutor(Protocol):
    """Runs calls on upstreams."""

    async def execute(self, execution: Execution) -> CallResult: ...

    def load_figures(self, call: Call) -> tuple[int, int]: ...

    def notice_row(self, call: Call) -> NoticeRow | None: ...

    def drop_waiting(self, execution: Execution, reason: str) -> bool: ...


class ServedCalls:
    """Receives calls over links, has them executed, and sends the results back.

    `store_orphaned_result` stores the result of a call with a claimed request key when
    the link to its entry node is closed.
    """

    def __init__(
        self,
        ctx: Context,
        executor: _CallExecutor,
        store_orphaned_result: StoreOrphanedResult | None,
    ) -> None:
        self.ctx = ctx
        self._executor = executor
        self.unacknowledged = UnacknowledgedResults(
            store_orphaned_result, ctx.cfg.keys.max_answer_bytes
        )
        self.ledger = CallLedger(ctx.cfg.calls.execution_record_s)
        self._executions: dict[tuple[str, int], Execution] = {}
        ctx.links.on(Call, self._on_call)
        ctx.links.on(Cancel, self._on_cancel)
        ctx.links.on(OutcomeQuery, self._on_outcome_query)
        ctx.links.close_handlers.append(self.unacknowledged.on_link_closed)

    def start(self) -> None:
        """Start to expire execution records periodically."""
        self.ctx.spawn(self._expire_records())

    def count_calls(self, link: Link) -> int:
        """Return the number of calls that run for the entry node of a link."""
        return sum(execution.link is link for execution in self._executions.values())

    def _on_call(self, link: Link, call) -> None:
        now = self.ctx.now()
        instance = link.hello.instance
        match self.ledger.begin(instance, call.call_id, call.settled, now):
            case Begin.RUN:
                execution = Execution(call, now + call.deadline_ms / 1000, link)
                self._executions[instance, call.call_id] = execution
                self.unacknowledged.forget_acknowledged(instance, call.settled)
                self.ctx.spawn(self._serve(instance, execution))
            case Begin.DUPLICATE:
                self._send_state(link, instance, call.call_id)
            case Begin.FENCED:
                self._refuse(link, call, "call was given up by its entry node")
            case Begin.FULL:
                self._refuse(link, call, "too many execution records")

    async def _serve(self, instance: str, execution: Execution) -> None:
        call = execution.call
        result: CallResult = Refused(Outcome.UNKNOWN, "node stopped")
        try:
            result = await self._executor.execute(execution)
        finally:
            del self._executions[instance, call.call_id]
            self.ledger.finish(instance, call.call_id, result, self.ctx.now())
            self.unacknowledged.keep_or_store(instance, call, result, execution.link)
            if execution.link is not None:
                self._send_result(execution.link, call, result)

    def _send_result(self, link: Link, call: Call, result: CallResult) -> None:
        expected_ms, busy_percent = self._executor.load_figures(call)
        notice = self._executor.notice_row(call)
        self._send(link, call.call_id, expected_ms, result, notice, busy_percent)

    def _send(
        self,
        link: Link,
        call_id: int,
        expected_ms: int,
        result: CallResult,
        notice: NoticeRow | None = None,
        busy_percent: int = -1,
    ) -> None:
        match result:
            case Answer(status, headers, body):
                length = len(body)
                answer = (call_id, status, headers, body, length, expected_ms, notice)
                link.send(
                    PlainAnswer(*answer)
                    if busy_percent < 0
                    else AnswerMessage(*answer, busy_percent)
                )
            case Refused(outcome, reason, retry_after_s, arrived):
                refusal = (
                    call_id,
                    outcome.value,
                    reason,
                    expected_ms,
                    retry_after_s,
                    arrived,
                    notice,
                )
                link.send(
                    PlainRefusal(*refusal)
                    if busy_percent < 0
                    else Refusal(*refusal, busy_percent)
                )

    def _refuse(self, link: Link, call: Call, reason: str) -> None:
        self._send_result(link, call, not_run_refusal(reason))

    def _send_state(self, link: Link, instance: str, call_id: int) -> None:
        state = self.ledger.query(instance, call_id, self.ctx.now())
        if not isinstance(state, CallState):
            self._send(link, call_id, NO_EXPECTED_TIME_MS, state)
            return
        if state is CallState.RUNNING:
            execution = self._executions.get((instance, call_id))
            if execution is not None:
                execution.link = link
        link.send(OutcomeReply(call_id, state.value))

    def _on_outcome_query(self, link: Link, query) -> None:
        for call_id in query.call_ids:
            self._send_state(link, query.instance, call_id)

    def _on_cancel(self, link: Link, message) -> None:
        execution = self._executions.get((link.hello.instance, message.call_id))
        if execution is None or self._executor.drop_waiting(execution, "cancelled"):
            return
        if execution.call.idempotent:
            execution.exchange.abort("cancelled")

    async def _expire_records(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.ledger.expire(self.ctx.now())
