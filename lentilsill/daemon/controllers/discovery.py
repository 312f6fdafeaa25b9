"""Discovery of the upstream on this host after a restart of the node alone.

The upstream announces itself only periodically. Without discovery, a node that was
restarted while its upstream kept running would refuse calls until the next
announcement.
"""

import asyncio
from dataclasses import replace

import structlog
from tornado.httputil import HTTPHeaders

from lentilsill.daemon.announcements import MAX_SLOTS, Announcements
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import Integration
from lentilsill.daemon.server_load import parse_server_load
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, Refused

from .upstream_client import Exchange, UpstreamClient

__all__ = ["UpstreamDiscovery"]

# The checks are few, because each occupies a slot of the upstream, which announces
# itself soon anyway.
MAX_CHECKS = 3
CHECK_INTERVAL_S = 0.4
CHECK_TIMEOUT_S = 0.4

log = structlog.get_logger()


class UpstreamDiscovery:
    """Announces the upstream on this host when it passes its health check.

    The checks stop as soon as the upstream has announced itself.
    """

    def __init__(
        self, ctx: Context, announcements: Announcements, integration: Integration
    ) -> None:
        self._ctx = ctx
        self._announcements = announcements
        self._integration = integration

    def start(self) -> None:
        """Start the checks if the settings allow them.

        They need the address of the upstream, and the name of the header in which the
        upstream sends its id.
        """
        header_names = self._integration.headers
        address = self._ctx.cfg.host_upstream_address
        if address is not None and header_names.upstream:
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
        # The answer to a health check carries no attempt id and no digest.
        header_names = replace(
            self._integration.headers, attempt_id="", answer_digest=""
        )
        integration = replace(
            self._integration, headers=header_names, routes_by_host=False
        )
        client = UpstreamClient(address, integration=integration)
        exchange = Exchange()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CHECK_TIMEOUT_S, exchange.abort, "no answer in time")
        path = self._integration.health_path
        try:
            result = await client.send(exchange, "GET", path, (), b"", False)
        finally:
            timer.cancel()
            client.close()
        match result:
            case Answer(status=200, headers=headers):
                return self._make_announcement(address, HTTPHeaders(dict(headers)))
            case Answer(status=status):
                # The upstream is leaving or failing, and must get no calls.
                log.info("upstream_check_failed", error=f"status {status}")
                self._announcements.distrust_first_ready()
            case Refused(reason=reason):
                log.info("upstream_check_failed", error=reason)
        return None

    def _make_announcement(
        self, address: str, headers: HTTPHeaders
    ) -> Announcement | None:
        header_names = self._integration.headers
        upstream = headers.get(header_names.upstream, "")
        load = parse_server_load(headers.get(header_names.load, ""))
        slots = min(load.slots or 1, MAX_SLOTS)
        if not upstream:
            return None
        service = self._ctx.cfg.host_service
        record = UpstreamRecord(
            upstream, service, address, slots, (), UpstreamState.READY
        )
        return Announcement(record)
