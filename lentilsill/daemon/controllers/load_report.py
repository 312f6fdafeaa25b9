"""Tells in the log how the slots of this host and the calls of its callers do."""

import asyncio

import structlog

from lentilsill.daemon.context import Context
from lentilsill.daemon.load_summary import usage_fields

from .destination import DestinationController

__all__ = ["LoadReportController"]

# Several lines in each phase of a fault that lasts seconds, and few bytes.
REPORT_INTERVAL_S = 5.0

log = structlog.get_logger()


class LoadReportController:
    """Writes `load_summary` while there are calls, and sets the gauge of busy slots."""

    def __init__(self, ctx: Context, destination: DestinationController) -> None:
        self.ctx = ctx
        self._destination = destination

    def start(self) -> None:
        """Start the reports."""
        self.ctx.spawn(self._run())

    def answer_held(self, held_s: float) -> None:
        """Record how long an answer waited for those before it on a connection."""
        self.ctx.load_summary.held(held_s)
        self.ctx.timing("answers.held", held_s * 1000)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Write one line, unless nothing has been called."""
        upstreams = {}
        for name, queue in self._destination.queues():
            usage = queue.usage.report(self.ctx.now(), queue.slots)
            self.ctx.gauge("slots.busy", usage.busy_share)
            if usage.kinds:
                upstreams[name] = usage_fields(usage, queue.slots, queue.waiting)
        calls = self.ctx.load_summary.take()
        if calls["routes"] or upstreams:
            log.info(
                "load_summary",
                upstreams=upstreams,
                routes=calls["routes"],
                held=calls["held"],
                held_ms=calls["held_ms"],
            )
