"""Drain of the node on SIGTERM."""

import asyncio
from collections.abc import Callable

import structlog

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.context import Context
from lentilsill.drain import DrainPhase, DrainReason, DrainState

__all__ = ["DrainController"]

POLL_INTERVAL_S = 0.05

# After the bound, calls in progress have this time left: the process is killed about a
# second after the bound, and a caller must get an answer before.
LAST_CALLS_S = 0.5

log = structlog.get_logger()


class DrainController:
    """Takes the node out of service without aborting calls in flight.

    Message handlers and links keep working until the process exits, so that the
    node still answers claims of keys that name it. `in_flight` returns the number
    of calls that this node has accepted or runs.
    """

    def __init__(self, ctx: Context, in_flight: Callable[[], int]) -> None:
        self.ctx = ctx
        self.in_flight = in_flight
        self.state = DrainState(
            ctx.cfg.calls.drain_bound_s,
            min_s=ctx.cfg.calls.drain_min_s,
            accept_s=ctx.cfg.calls.drain_take_s,
        )

    def start(self) -> None:
        """Register the drain phase in the state dump."""
        self.ctx.board.dump_parts["drain"] = lambda: self.state.phase.value

    def begin(self) -> None:
        """Begin the drain; a second call does nothing."""
        if self.state.phase is not DrainPhase.SERVING:
            return
        self.state = self.state.begin(self.ctx.now())
        log.info("drain_started", in_flight=self.in_flight())
        self.ctx.board.draining = True
        bound_s = self.ctx.cfg.calls.drain_bound_s
        self.ctx.board.calls_end_at_s = self.state.began_s + bound_s + LAST_CALLS_S
        self.ctx.board.notify(Topic.DRAIN)

    async def run(self) -> DrainReason:
        """Drain until idle or until the time bound; return which came first."""
        self.begin()
        while True:
            in_flight = self.in_flight()
            now = self.ctx.now()
            if (
                not self.state.accepts_calls(now)
                and not self.ctx.board.is_refusing_callers
            ):
                log.info("callers_refused", in_flight=in_flight)
                self.ctx.board.is_refusing_callers = True
            self.state = self.state.update(in_flight, now)
            if self.state.reason is not None:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        seconds = round(self.ctx.now() - self.state.began_s, 3)
        log.info(
            "drain_ended",
            reason=self.state.reason.value,
            in_flight=in_flight,
            seconds=seconds,
        )
        return self.state.reason
