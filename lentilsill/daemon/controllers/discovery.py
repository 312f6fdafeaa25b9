"""Asks the upstream of this host who it is, after a start of the node alone.

The upstream announces itself only now and then, and a node that was restarted
beside it would refuse its calls until then.
"""

import asyncio
from dataclasses import replace

import structlog
from tornado.httputil import HTTPHeaders

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import Integration
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState
from lentilsill.outcomes import Answer, Refused

from .upstream_client import Exchange, UpstreamClient

__all__ = ["UpstreamDiscovery"]

# Each check takes a slot of the upstream; the announcement comes soon by itself.
MAX_CHECKS = 3
CHECK_INTERVAL_S = 0.4
CHECK_TIMEOUT_S = 0.4

log = structlog.get_logger()


class UpstreamDiscovery:
    """Announces the upstream that answers its health check as well."""

    def __init__(
        self, ctx: Context, announcements: Announcements, integration: Integration
    ) -> None:
        self._ctx = ctx
        self._announcements = announcements
        self._integration = integration

    def start(self) -> None:
        """Start to ask, if the settings name the upstream."""
        names = self._integration.headers
        address = self._ctx.cfg.host_upstream_address
        if address is not None and names.upstream:
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
        # The answer to a health check names no attempt and has no digest.
        names = replace(self._integration.headers, attempt_id="", answer_digest="")
        integration = replace(self._integration, headers=names, routes_by_host=False)
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
                return self._announcement(address, HTTPHeaders(dict(headers)))
            case Answer(status=status):
                # One that leaves or fails answers so, and gets no calls from here.
                log.info("upstream_check_failed", error=f"status {status}")
                self._announcements.distrust_first_ready()
            case Refused(reason=reason):
                log.info("upstream_check_failed", error=reason)
        return None

    def _announcement(self, address: str, headers: HTTPHeaders) -> Announcement | None:
        names = self._integration.headers
        upstream = headers.get(names.upstream, "")
        load = headers.get(names.load, "").split(",")
        slots = int(load[-1]) if load[-1].isdigit() else 1
        if not upstream:
            return None
        service = self._ctx.cfg.host_service
        record = UpstreamRecord(
            upstream, service, address, slots, (), UpstreamState.READY
        )
        return Announcement(record)
