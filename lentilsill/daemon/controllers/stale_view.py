"""Calls that wait until their node knows what has changed elsewhere."""

import asyncio
from collections.abc import Callable

from lentilsill.daemon.context import Context

from .call_progress import CallProgress

__all__ = ["ViewChanges"]

# A change reaches all nodes of a domain in less time, unless links are silent.
MAX_WAIT_S = 0.5
# Share of its remaining time for which a call waits, so that an attempt can follow.
WAIT_SHARE = 0.5


class ViewChanges:
    """Changes of this node's view of routes and upstreams.

    A change of a document or of an upstream reaches the nodes of upstreams and entry
    nodes at different times. If all upstreams that an entry node knows refuse a call
    because they leave, the change that names their successors is on its way.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._changed: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wake the calls that wait for a change."""
        changed, self._changed = self._changed, None
        if changed is not None and not changed.done():
            changed.set_result(None)

    async def wait_for_change(
        self, progress: CallProgress, is_candidate: Callable[[str], bool]
    ) -> bool:
        """Wait for a change if the view is known to be out of date.

        It is while an upstream that refused the call because it leaves is a candidate.
        Return False if it is not, or if the call has waited for too long.
        """
        ctx = self._ctx
        now = ctx.now()
        if progress.view_wait_ends_at is None:
            wait_s = min(MAX_WAIT_S, WAIT_SHARE * (progress.deadline - now))
            progress.view_wait_ends_at = now + wait_s
        timeout_s = progress.view_wait_ends_at - now
        if timeout_s <= 0 or not any(map(is_candidate, progress.leaving_upstreams)):
            return False
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        ctx.count("calls.waited_for_view")
        done, _ = await asyncio.wait([self._changed], timeout=timeout_s)
        return bool(done)
