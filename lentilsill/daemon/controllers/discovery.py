"""Discovery of the upstream on this host after a restart of the node alone.

The upstream announces itself only periodically. Without discovery, a node that was
restarted while its upstream kept running would refuse calls until the next
announcement.
"""

import asyncio

import structlog

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.context import Context
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState

from .upstream_check import UpstreamCheck

__all__ = ["UpstreamDiscovery"]

# The checks are few, because each occupies a slot of the upstream, which announces
# itself soon anyway.
MAX_CHECKS = 3
CHECK_INTERVAL_S = 0.4

log = structlog.get_logger()


class UpstreamDiscovery:
    """Announces the upstream on this host when it passes its health check.

    The checks stop as soon as the upstream has announced itself.
    """

    def __init__(
        self, ctx: Context, announcements: Announcements, check: UpstreamCheck
    ) -> None:
        self._ctx = ctx
        self._announcements = announcements
        self._health = check

    def start(self) -> None:
        """Start the checks if the settings allow them."""
        address = self._ctx.cfg.host_upstream_address
        if address is not None and self._health.is_possible:
            self._ctx.spawn(self._run(address))

    async def _run(self, address: str) -> None:
        for _ in range(MAX_CHECKS):
            if self._announcements.has_announcements:
                return
            announcement = await self._check(address)
            if announcement is not None and not self._announcements.has_announcements:
                log.info("upstream_discovered", upstream=announcement.record.upstream)
                self._announcements.apply(announcement)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, address: str) -> Announcement | None:
        answer = await self._health.send()
        if answer is None:
            return None
        if not answer.is_ready:
            # The upstream is leaving or failing, and must get no calls.
            self._announcements.doubt_ready()
            return None
        if not answer.upstream:
            return None
        record = UpstreamRecord(
            answer.upstream,
            self._ctx.cfg.host_service,
            address,
            answer.slots,
            (),
            UpstreamState.READY,
        )
        return Announcement(record)
