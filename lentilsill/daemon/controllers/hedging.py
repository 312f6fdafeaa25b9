"""A second attempt beside a slow one."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from lentilsill.outcomes import Answer, CallResult, Refused

from .call_results import worse_refusal
from .reasons import NO_UPSTREAM, STARTUP_RETRY_S, not_run_refusal

__all__ = ["run_hedged"]

AttemptRun = Coroutine[Any, Any, CallResult]


async def run_hedged(
    attempt: AttemptRun, delay_s: float, make_second: Callable[[], AttemptRun | None]
) -> CallResult:
    """Add a second attempt when the first is slow, and cancel the slower one.

    A refusal counts as arrived if either attempt reached its upstream.
    """
    first = asyncio.ensure_future(attempt)
    running = {first}
    try:
        done, _ = await asyncio.wait(running, timeout=delay_s)
        if done:
            return first.result()
        second = make_second()
        if second is not None:
            running.add(asyncio.ensure_future(second))
        refusal: Refused | None = None
        has_arrived = False
        while running:
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if isinstance(result, Answer):
                    return result
                has_arrived |= result.arrived
                refusal = worse_refusal(refusal, result)
        if refusal is None:
            return not_run_refusal(NO_UPSTREAM, STARTUP_RETRY_S)
        return replace(refusal, arrived=has_arrived)
    finally:
        for task in running:
            task.cancel()
