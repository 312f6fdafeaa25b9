"""Health checks of the upstream on this host."""

import asyncio
from dataclasses import dataclass, replace

import structlog
from tornado.httputil import HTTPHeaders

from lentilsill.daemon.announcements import MAX_SLOTS
from lentilsill.daemon.context import Context
from lentilsill.daemon.integration import Integration
from lentilsill.daemon.server_load import parse_server_load
from lentilsill.membership import CheckedUpstream
from lentilsill.outcomes import Answer, Refused

from .upstream_client import Exchange, UpstreamClient

__all__ = ["HealthAnswer", "UpstreamCheck"]

CHECK_TIMEOUT_S = 0.4
# A check occupies a slot of the upstream, so disputes cause no more than one in this
# time. With the timeout it stays below the second in which an upstream expects the
# answer to its announcement.
MIN_INTERVAL_S = 0.4

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class HealthAnswer:
    """What an upstream answers to a health check.

    `upstream` is its id, empty if it names none; `slots` is 1 if it names none.
    """

    upstream: str
    is_ready: bool
    slots: int


class UpstreamCheck:
    """Sends health checks to the upstream on this host.

    The settings must name its address, and the integration the header in which it
    sends its id.
    """

    def __init__(self, ctx: Context, integration: Integration) -> None:
        self._ctx = ctx
        self._names = integration.headers
        self._path = integration.health_path
        # The answer to a health check carries no attempt id and no digest. Its status
        # is read even if it proves nothing about the execution of a call.
        headers = replace(integration.headers, attempt_id="", answer_digest="")
        self._integration = replace(
            integration, headers=replace(headers, not_run=""), routes_by_host=False
        )
        self._asked_at = float("-inf")
        # The next check, as long as it is not sent.
        self._scheduled: asyncio.Task[CheckedUpstream | None] | None = None

    @property
    def is_possible(self) -> bool:
        """Whether an answer can tell which upstream the host has."""
        return bool(self._ctx.cfg.host_upstream_address and self._names.upstream)

    async def ask(self) -> CheckedUpstream | None:
        """Return which upstream the host has, and whether it takes calls.

        The check is sent after this call, at the latest after `MIN_INTERVAL_S`; calls
        until then share it. The result is None if nothing is known: the upstream gave
        no answer, an answer without its id, or one that says that it has no room for
        the check.
        """
        if self._scheduled is None:
            self._scheduled = self._ctx.spawn(self._send_when_due())
        return await asyncio.shield(self._scheduled)

    async def _send_when_due(self) -> CheckedUpstream | None:
        await asyncio.sleep(self._asked_at + MIN_INTERVAL_S - self._ctx.now())
        self._scheduled = None
        self._asked_at = self._ctx.now()
        self._ctx.count("announcements.checks")
        answer = await self.send()
        if answer is None or not answer.upstream:
            return None
        return CheckedUpstream(answer.upstream, answer.is_ready)

    async def send(self) -> HealthAnswer | None:
        """Send one health check; None if it gets no answer about the upstream."""
        address = self._ctx.cfg.host_upstream_address
        if address is None:
            return None
        client = UpstreamClient(address, integration=self._integration)
        exchange = Exchange()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CHECK_TIMEOUT_S, exchange.abort, "no answer in time")
        try:
            result = await client.send(exchange, "GET", self._path, (), b"", False)
        finally:
            timer.cancel()
            client.close()
        match result:
            case Answer(status=status, headers=pairs):
                headers = HTTPHeaders(dict(pairs))
                if status != 200:
                    log.info("upstream_check_failed", error=f"status {status}")
                if self._names.not_run and self._names.not_run in headers:
                    return None
                return HealthAnswer(
                    headers.get(self._names.upstream, ""),
                    status == 200,
                    self._slots(headers),
                )
            case Refused(reason=reason):
                log.info("upstream_check_failed", error=reason)
        return None

    def _slots(self, headers: HTTPHeaders) -> int:
        load = parse_server_load(headers.get(self._names.load, ""))
        return min(load.slots or 1, MAX_SLOTS)
