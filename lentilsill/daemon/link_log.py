"""Log lines and counters of links to other nodes that have closed."""

from collections.abc import Callable

from lentilsill.wire import Link, LinkCloseReason

from .call_log import CallLog
from .context import Context

__all__ = ["LinkLog"]

# Ends of links without calls that are counted and not logged.
USUAL_REASONS = frozenset(
    {LinkCloseReason.PEER, LinkCloseReason.IDLE, LinkCloseReason.STOP}
)


class LinkLog:
    """Counts closed links; logs closes after a fault, and lost calls.

    Parameters
    ----------
    count_sent, count_served : callable
        Return the number of calls without a result that this node sent over a link,
        or that it runs for the node at the other end of a link.
    """

    def __init__(
        self,
        ctx: Context,
        count_sent: Callable[[Link], int],
        count_served: Callable[[Link], int],
    ) -> None:
        self.ctx = ctx
        self._count_sent = count_sent
        self._count_served = count_served
        # Links that are lost together must not suppress the lines of calls.
        self._call_log = CallLog(ctx.now)
        # The handlers that settle the calls of a lost link run after this one.
        ctx.links.close_handlers.insert(0, self.record)

    def record(self, link: Link) -> None:
        """Count a closed link, and log it at a limited rate."""
        reason = link.close_reason or LinkCloseReason.PEER
        sent_count = self._count_sent(link)
        served_count = self._count_served(link)
        self.ctx.count(f"links.closed.{reason.value}")
        if sent_count:
            self.ctx.count(f"links.unanswered_calls.{reason.value}", sent_count)
        if reason in USUAL_REASONS and not (sent_count or served_count):
            return
        self._call_log.write(
            "link_closed",
            peer=link.hello.node,
            purpose=link.hello.purpose,
            dialed=link.is_dialed,
            reason=reason.value,
            idle_ms=round(link.idle_at_close_s * 1000),
            dropped_bytes=link.stream.dropped_byte_count,
            unanswered=sent_count,
            serving=served_count,
        )
