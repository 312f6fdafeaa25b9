"""Load of mixed calls; callers repeat failed calls that have a request key."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from standins.caller import Caller, CallPlan, CallRecord

__all__ = ["FAILED_OUTCOMES", "Load", "make_mixed_plans"]

FAILED_OUTCOMES = frozenset({"not_run", "unknown", "run_answer_lost", "cut"})
MAX_RESENDS = 8
RESEND_PAUSE_S = 0.25


def make_mixed_plans(
    services: Sequence[str], service_ms: float
) -> tuple[CallPlan, ...]:
    """Return a lookup, and a booking with and without a key, for each service."""
    return tuple(
        plan
        for service in services
        for plan in (
            CallPlan(f"/{service}/lookup/1", service_ms=service_ms),
            CallPlan(f"/{service}/book", "POST", False, b"a", service_ms=service_ms),
            CallPlan(
                f"/{service}/book", "POST", False, b"b", True, service_ms=service_ms
            ),
        )
    )


@dataclass
class Load:
    """A number of concurrent callers that make calls until the load is stopped.

    Parameters
    ----------
    nodes : list of str
        Addresses at which nodes accept calls; may change while the load runs.
    concurrency : int
        Number of callers, each of which makes one call at a time.
    pause_s : float
        Pause in seconds between two calls of a caller.
    """

    caller: Caller
    nodes: list[str]
    plans: Sequence[CallPlan]
    rng: random.Random
    concurrency: int = 12
    pause_s: float = 0.01
    is_stopped: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start the callers."""
        self._tasks = [
            asyncio.create_task(self._make_calls()) for _ in range(self.concurrency)
        ]

    async def stop(self) -> None:
        """Stop making new calls and wait for those in progress."""
        self.is_stopped = True
        await asyncio.gather(*self._tasks)

    async def _make_calls(self) -> None:
        while not self.is_stopped:
            await self.call(self.rng.choice(self.plans))
            await asyncio.sleep(self.pause_s)

    async def call(self, plan: CallPlan) -> CallRecord:
        """Make one call; a call with a key is repeated while it fails."""
        record = await self.caller.call(plan, node=self._choose_node())
        for _ in range(MAX_RESENDS):
            if record.outcome not in FAILED_OUTCOMES or not record.request_key:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
            record = await self.caller.call(
                plan, record.request_key, self._choose_node(), record.call_id
            )
        return record

    def _choose_node(self) -> str:
        return self.rng.choice(self.nodes)
