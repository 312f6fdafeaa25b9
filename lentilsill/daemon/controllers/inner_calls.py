"""Calls that the running calls of this node's upstreams make and wait for."""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from lentilsill.admission import CallChains
from lentilsill.daemon.context import Context
from lentilsill.wire.addresses import split_address
from lentilsill.wire.messages import Call

from .local_upstream import LocalUpstream

__all__ = ["InnerCalls"]

# The number of reserved slots falls without any event when inner calls have ended.
# Calls that wait for such a slot start after this time at the latest.
CHECK_INTERVAL_S = 0.25
# An upstream that reserves slots writes a line at this interval.
LOG_INTERVAL_S = 10.0

log = structlog.get_logger()


class InnerCalls:
    """Names the services that wait for a call, and maintains the reserved slots.

    Does nothing unless the setting `calls.inner_slots` is on at the start. A call is
    made by a running call if its connection comes from the address of an upstream of
    this node that runs calls. `apply` carries out the actions of a queue.
    """

    def __init__(
        self,
        ctx: Context,
        upstreams: Mapping[str, LocalUpstream],
        apply: Callable[[list], None],
    ) -> None:
        self._ctx = ctx
        self._upstreams = upstreams
        self._apply = apply
        self.is_on = False
        self._chains = CallChains()
        self._logged_at: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic check if the setting is on."""
        self.is_on = self._ctx.cfg.calls.inner_slots
        if self.is_on:
            self._ctx.spawn(self._run())

    def waiting_services(self, caller_ip: str) -> tuple[str, ...]:
        """Return the services that wait for a call of this node's callers.

        The result is empty for a call that no running call has made.
        """
        if not self.is_on or not caller_ip:
            return ()
        services = [
            local.record.service
            for local in self._upstreams.values()
            if local.running and split_address(local.record.address)[0] == caller_ip
        ]
        if not services:
            return ()
        return self._chains.waiting_services(services, self._ctx.now())

    def record(self, call: Call, now: float) -> None:
        """Record the services that wait for a call to an upstream of this node."""
        if self.is_on:
            self._chains.record(call.waiting_services, now)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Start calls that wait for slots no longer reserved, and report the others."""
        now = self._ctx.now()
        reserved_total = 0
        for name, local in self._upstreams.items():
            queue = local.queue
            if queue.waiting:
                self._apply(queue.advance(now))
            reserved = queue.inner_slots.reserved(now, queue.slots)
            reserved_total += reserved
            if reserved and now - self._logged_at.get(name, -LOG_INTERVAL_S) >= (
                LOG_INTERVAL_S
            ):
                self._logged_at[name] = now
                log.info(
                    "slots_reserved",
                    upstream=name,
                    reserved=reserved,
                    slots=queue.slots,
                    running=queue.inner_slots.running,
                    refused=queue.inner_slots.refused,
                    services=self._chains.waiting_services((), now),
                )
        self._logged_at = {
            name: at for name, at in self._logged_at.items() if name in self._upstreams
        }
        self._ctx.gauge("slots.reserved", reserved_total)
