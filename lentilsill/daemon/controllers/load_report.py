"""Log reports of slot usage on this host and of its callers' calls."""

import asyncio

import structlog

from lentilsill.daemon.context import Context
from lentilsill.daemon.load_summary import usage_fields

from .destination import DestinationController

__all__ = ["LoadReportController"]

# At this interval, each phase of a fault that lasts seconds gets several lines, and the
# log stays small.
REPORT_INTERVAL_S = 5.0

log = structlog.get_logger()


class LoadReportController:
    """Logs `load_summary` while there are calls, and sets the gauge of busy slots."""

    def __init__(self, ctx: Context, destination: DestinationController) -> None:
        self.ctx = ctx
        self._destination = destination

    def start(self) -> None:
        """Start the periodic reports."""
        self.ctx.spawn(self._run())

    def record_held_answer(self, held_s: float) -> None:
        """Record how long an answer waited for earlier ones on its connection."""
        self.ctx.load_summary.record_held_answer(held_s)
        self.ctx.timing("answers.held", held_s * 1000)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Log one line, unless there were no calls since the last report."""
        upstreams = {}
        for name, queue in self._destination.queues():
            usage = queue.usage.report(self.ctx.now(), queue.slots)
            self.ctx.gauge("slots.busy", usage.busy_share)
            if usage.kinds:
                upstreams[name] = usage_fields(usage, queue.slots, queue.waiting)
        calls = self.ctx.load_summary.pop_fields()
        if calls["routes"] or upstreams:
            log.info(
                "load_summary",
                upstreams=upstreams,
                routes=calls["routes"],
                held=calls["held"],
                held_ms=calls["held_ms"],
            )
