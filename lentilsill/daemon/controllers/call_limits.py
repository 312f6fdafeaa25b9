"""Ends of calls on the clock of the node that has taken them from a caller."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.daemon.deadlines import Deadlines, Entry
from lentilsill.outcomes import CallResult, Outcome, Refused

__all__ = ["ATTEMPT_END_GRACE_S", "CallLimits"]

# An attempt ends by itself within this time after its deadline, with a reason that is
# more precise.
ATTEMPT_END_GRACE_S = 0.15
# A timer that runs this late shows that the process has stalled.
MIN_STALL_S = 0.05


class CallLimits:
    """Ends calls that run beyond their deadline, or into the end of the process.

    A caller gets an answer in both cases, whatever the attempts of its call do.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self._running: set[_Limit] = set()
        self._has_stopped = False
        ctx.board.subscribe(Topic.DRAIN, self._schedule_stop)

    async def run(
        self, call: Coroutine[Any, Any, CallResult], deadline: float
    ) -> CallResult:
        """Run a call, and end it as `unknown` after its deadline."""
        task = asyncio.current_task()
        assert task is not None
        limit = _Limit(self.ctx.deadlines, task, deadline - self.ctx.now())
        self._running.add(limit)
        try:
            return await call
        except asyncio.CancelledError:
            # The caller may have left at the same moment.
            if not limit.has_expired or task.uncancel() > 0:
                raise
        finally:
            self._running.discard(limit)
            limit.remove()
        self.ctx.count("calls.overdue")
        reason = "node is stopping" if self._has_stopped else "deadline passed"
        return Refused(Outcome.UNKNOWN, reason, arrived=True)

    def _schedule_stop(self) -> None:
        end_at_s = self.ctx.board.calls_end_at_s
        if end_at_s < math.inf:
            self.ctx.deadlines.add(end_at_s - self.ctx.now(), self._end_all)

    def _end_all(self) -> None:
        self._has_stopped = True
        for limit in list(self._running):
            limit.expire()


class _Limit:
    """Cancels a task some time after its deadline, unless it is removed before.

    The grace begins when the deadline's callback runs: after a stall of this process,
    bytes that have arrived meanwhile are read first. After a stall in the grace, it
    begins anew.
    """

    __slots__ = (
        "_deadlines",
        "_end_at_s",
        "_entry",
        "_has_stalled",
        "_task",
        "has_expired",
    )

    def __init__(
        self, deadlines: Deadlines, task: asyncio.Task[Any], delay_s: float
    ) -> None:
        self.has_expired = False
        self._deadlines = deadlines
        self._task: asyncio.Task[Any] | None = task
        self._end_at_s = 0.0
        self._has_stalled = False
        # The entry refers to this limit. It is dropped with the limit, so that no
        # reference cycle is left for the garbage collector.
        self._entry: Entry | None = deadlines.add(delay_s, self._start_grace)

    def remove(self) -> None:
        """Cancel nothing any more; a callback that is due already does nothing."""
        self._task = None
        if self._entry is not None:
            self._deadlines.remove(self._entry)
            self._entry = None

    def expire(self) -> None:
        """Cancel the task now."""
        if self._task is not None and not self.has_expired:
            self.has_expired = True
            self._task.cancel()

    def _start_grace(self) -> None:
        if self._task is not None:
            self._end_at_s = asyncio.get_running_loop().time() + ATTEMPT_END_GRACE_S
            self._entry = self._deadlines.add(ATTEMPT_END_GRACE_S, self._end_grace)

    def _end_grace(self) -> None:
        is_late = asyncio.get_running_loop().time() - self._end_at_s > MIN_STALL_S
        if is_late and not self._has_stalled:
            self._has_stalled = True
            self._start_grace()
        else:
            self.expire()
