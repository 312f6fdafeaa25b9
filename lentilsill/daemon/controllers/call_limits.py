"""Ends of calls on the clock of the node that has taken them from a caller."""

import math
from collections.abc import Callable, Coroutine
from typing import Any

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.outcomes import CallResult, Outcome, Refused

__all__ = ["CallLimits"]

# An attempt ends by itself within this time after its deadline, with a reason that is
# more precise.
ATTEMPT_END_GRACE_S = 0.15


class CallLimits:
    """Ends calls that run beyond their deadline, or into the end of the process.

    A caller gets an answer in both cases, whatever the attempts of its call do.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self._running: set[Callable[[], None]] = set()
        self._has_stopped = False
        ctx.board.subscribe(Topic.DRAIN, self._schedule_stop)

    async def run(
        self, call: Coroutine[Any, Any, CallResult], deadline: float
    ) -> CallResult:
        """Run a call, and end it as `unknown` after its deadline."""
        limit_s = deadline - self.ctx.now()
        timeout = self.ctx.deadlines.timeout(limit_s, ATTEMPT_END_GRACE_S)
        try:
            async with timeout as end_now:
                self._running.add(end_now)
                try:
                    return await call
                finally:
                    self._running.discard(end_now)
        except TimeoutError:
            self.ctx.count("calls.overdue")
            reason = "node is stopping" if self._has_stopped else "deadline passed"
            return Refused(Outcome.UNKNOWN, reason, arrived=True)

    def _schedule_stop(self) -> None:
        end_at_s = self.ctx.board.calls_end_at_s
        if end_at_s < math.inf:
            self.ctx.deadlines.add(end_at_s - self.ctx.now(), self._end_all)

    def _end_all(self) -> None:
        self._has_stopped = True
        for end_now in list(self._running):
            end_now()
