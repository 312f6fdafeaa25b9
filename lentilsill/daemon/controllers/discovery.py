"""Asks the upstream of this host who it is, after a start of the node alone.

The upstream announces itself only now and then, and a node that was restarted
beside it would refuse its calls until then.
"""

import asyncio

import structlog
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from lentilsill.daemon.announcements import Announcements
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import Integration
from lentilsill.membership import Announcement, UpstreamRecord, UpstreamState

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
        if self._ctx.cfg.host_upstream_address is not None and names.upstream:
            self._ctx.spawn(self._run())

    async def _run(self) -> None:
        for _ in range(MAX_CHECKS):
            if self._announcements.has_heard:
                return
            announcement = await self._check()
            if announcement is not None and not self._announcements.has_heard:
                log.info("upstream_discovered", upstream=announcement.record.upstream)
                self._announcements.announce(announcement)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> Announcement | None:
        cfg = self._ctx.cfg
        url = f"http://{cfg.host_upstream_address}{self._integration.health_path}"
        req = HTTPRequest(
            url, connect_timeout=CHECK_TIMEOUT_S, request_timeout=CHECK_TIMEOUT_S
        )
        try:
            resp = await AsyncHTTPClient().fetch(req, raise_error=False)
        except (HTTPError, OSError) as exc:
            log.info("upstream_check_failed", error=str(exc))
            return None
        if resp.code != 200:
            # One that leaves or fails answers so, and gets no calls from here.
            log.info("upstream_check_failed", error=f"status {resp.code}")
            return None
        return self._announcement(resp)

    def _announcement(self, resp: HTTPResponse) -> Announcement | None:
        names = self._integration.headers
        upstream = resp.headers.get(names.upstream, "")
        load = resp.headers.get(names.load, "").split(",")
        slots = int(load[-1]) if load[-1].isdigit() else 1
        address = self._ctx.cfg.host_upstream_address
        if not upstream or address is None:
            return None
        service = self._ctx.cfg.host_service
        record = UpstreamRecord(
            upstream, service, address, slots, (), UpstreamState.READY
        )
        return Announcement(record)
