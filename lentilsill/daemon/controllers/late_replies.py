"""Results of attempts that arrive after their link was lost."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from lentilsill.outcomes import Answer

from .call_results import is_upstream_failure
from .peer_attempts import Reply

__all__ = ["LateReplies"]

# Share of its remaining time for which a call waits for a peer that may only have
# stalled; if the peer is dead, its caller has time to try again.
WAIT_SHARE = 0.5

T = TypeVar("T")


class LateReplies:
    """Results that destination nodes may still have for one call.

    `has_answered` is whether the call was answered by one of them.
    """

    def __init__(self) -> None:
        self.has_answered = False
        self._pending: set[asyncio.Future[Reply]] = set()
        # Set when a result is added while `first_answer` waits for the others.
        self._added: asyncio.Future[None] | None = None
        self._failure: Answer | None = None

    def add(self, late: asyncio.Future[Reply]) -> None:
        """Add the late result of an attempt."""
        self._pending.add(late)
        if self._added is not None and not self._added.done():
            self._added.set_result(None)

    async def run(
        self, attempt: Coroutine[Any, Any, T], is_hedged: bool = False
    ) -> T | Answer:
        """Run another attempt or a wait, and cancel it if a late answer comes first.

        One of two hedged attempts can add a late result while the other one runs.
        """
        if not (self._pending or is_hedged):
            return await attempt
        task = asyncio.ensure_future(attempt)
        try:
            return await self.first_answer(task) or task.result()
        finally:
            task.cancel()

    async def first_answer(
        self,
        task: asyncio.Task[Any] | None = None,
        deadline_s: float = 0.0,
    ) -> Answer | None:
        """Wait for a late answer; None once there can be none or `task` has ended.

        Without a task, the wait takes up to half of the time until the deadline, and
        a failure of an upstream is returned if there is no better answer.
        """
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + WAIT_SHARE * (deadline_s - loop.time())
        while task is None or not task.done():
            waited: set[asyncio.Future[Any]] = {*self._pending}
            timeout_s = None
            if task is not None:
                self._added = asyncio.get_running_loop().create_future()
                waited |= {task, self._added}
            else:
                timeout_s = timeout_at_s - loop.time()
            if not waited or (timeout_s is not None and timeout_s <= 0):
                self.has_answered = self._failure is not None
                return self._failure
            await asyncio.wait(
                waited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            arrived = {late for late in self._pending if late.done()}
            self._pending -= arrived
            for late in arrived:
                result = late.result().result
                if not isinstance(result, Answer):
                    continue
                if is_upstream_failure(result):
                    self._failure = result
                else:
                    self.has_answered = True
                    return result
        return None

    def cancel(self) -> None:
        """Stop waiting, so that the destination nodes stop the calls."""
        for late in self._pending:
            late.cancel()
