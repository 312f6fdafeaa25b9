"""Settings, shared state and services that all controllers of a node use."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import statsd
import structlog

from lentilsill.settings import NodeSettings
from lentilsill.wire import PeerLinks

from .blackboard import Blackboard
from .call_log import CallLog
from .deadlines import Deadlines
from .held_bytes import MAX_HELD_ANSWER_BYTES, HeldBytes
from .load_summary import LoadSummary
from .metrics import Metrics

__all__ = ["Context"]

log = structlog.get_logger()


@dataclass
class Context:
    """Settings, blackboard, links, metrics and clocks of a node.

    Decision logic gets the time from `now`, in seconds of one monotonic clock, or
    from `wall_ms`. `wall_ms` reads the wall clock once, at the start of the
    process, and adds the monotonic time since then, so that it never steps.
    `in_flight` counts the calls that a drain waits for; `running_node` sets it.
    `deadlines` runs the callbacks of calls that reach their deadline. `answer_bytes`
    bounds the answers that upstreams send and those that callers don't read. Metrics go
    to `metrics`, which the admin address serves, and to the statsd client
    `statsd_client`, if there is one.
    """

    cfg: NodeSettings
    board: Blackboard
    links: PeerLinks
    statsd_client: statsd.StatsClient | None
    rng: random.Random
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    in_flight: Callable[[], int] = lambda: 0
    deadlines: Deadlines = field(default_factory=Deadlines)
    now: Callable[[], float] = time.monotonic
    metrics: Metrics = field(default_factory=Metrics)
    answer_bytes: HeldBytes = field(
        default_factory=lambda: HeldBytes(MAX_HELD_ANSWER_BYTES)
    )
    call_log: CallLog = field(init=False)
    load_summary: LoadSummary = field(default_factory=LoadSummary)
    _wall_offset_ms: float = field(
        default_factory=lambda: time.time() * 1000 - time.monotonic() * 1000
    )

    def __post_init__(self) -> None:
        self.call_log = CallLog(lambda: self.now())

    def wall_ms(self) -> int:
        """Return the milliseconds since the epoch, by a clock that never steps."""
        return int(self.now() * 1000 + self._wall_offset_ms)

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run `coro` as a task that is cancelled when the node stops."""
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        name = getattr(coro, "__qualname__", "")
        task.add_done_callback(lambda ended: self._end_task(ended, name))
        return task

    def _end_task(self, task: asyncio.Task[Any], name: str) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log.error("task_failed", task=name, error=repr(exc))

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter metric."""
        self.metrics.count(name, value)
        if self.statsd_client is not None:
            self.statsd_client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge metric."""
        self.metrics.gauge(name, value)
        if self.statsd_client is not None:
            self.statsd_client.gauge(name, value)

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        self.metrics.timing(name, value_ms)
        if self.statsd_client is not None:
            self.statsd_client.timing(name, value_ms)
