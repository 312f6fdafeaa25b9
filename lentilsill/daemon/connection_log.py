"""Log lines and counters of callers' connections that have closed."""

from .call_log import CallLog
from .connection_close import CloseReason, ConnectionClose
from .context import Context

__all__ = ["ConnectionLog"]

# Usual ends of a connection, which are logged only if something was lost.
CLOSED_BY_CALLER = frozenset({CloseReason.CALLER, CloseReason.REQUESTED})
# Attempt ids listed in one line.
MAX_LISTED_ATTEMPTS = 8


class ConnectionLog:
    """Counts closed connections; logs closes of this process, and lost requests."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        # Callers that leave under overload must not suppress the lines of calls.
        self._call_log = CallLog(ctx.now)

    def record(self, close: ConnectionClose) -> None:
        """Count a closed connection, and log it at a limited rate."""
        lost_count = len(close.lost_attempts)
        self.ctx.count(f"connections.closed.{close.reason.value}")
        if lost_count:
            self.ctx.count(
                f"connections.lost_requests.{close.reason.value}", lost_count
            )
        is_loss = bool(lost_count or close.dropped_bytes)
        if close.reason in CLOSED_BY_CALLER and not is_loss:
            return
        self._call_log.write(
            "connection_closed",
            reason=close.reason.value,
            idle_ms=round(close.idle_s * 1000),
            dropped_bytes=close.dropped_bytes,
            lost=lost_count,
            attempts=list(close.lost_attempts[:MAX_LISTED_ATTEMPTS]),
        )
