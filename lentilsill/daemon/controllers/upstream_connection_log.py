"""Log lines and counters of connections to upstreams that have closed."""

from lentilsill.daemon.call_log import CallLog
from lentilsill.daemon.context import Context

from .upstream_connections import UpstreamClose

__all__ = ["UpstreamConnectionLog"]


class UpstreamConnectionLog:
    """Counts closed connections to upstreams, and logs them at a limited rate."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        # Connections that close in series must not suppress the lines of calls.
        self._call_log = CallLog(ctx.now)

    def record(self, close: UpstreamClose) -> None:
        """Count a closed connection, and log it."""
        self.ctx.count(f"upstream_connections.closed.{close.reason.value}")
        if close.has_request:
            self.ctx.count(f"upstream_connections.lost_requests.{close.reason.value}")
        self._call_log.write(
            "upstream_connection_closed",
            reason=close.reason.value,
            address=close.address,
            idle_ms=round(close.idle_s * 1000),
            has_request=close.has_request,
            attempt=close.attempt_id,
            detail=close.detail,
        )
