"""What is observable of the sharing of slots between organisations."""

from itertools import islice
from typing import Any

import structlog

from lentilsill.admission import Refuse
from lentilsill.daemon.context import Context
from lentilsill.wire.messages import Call

from .local_upstream import LocalUpstream

__all__ = ["ShareLog", "dump_upstream"]

# An organisation that is refused continuously writes a line at this interval.
LOG_INTERVAL_S = 10.0
# Organisations with a time of their last line; further ones are counted only.
MAX_LOGGED = 256
MAX_DUMPED = 20

log = structlog.get_logger()


class ShareLog:
    """Counts calls refused above their organisation's share, and logs a few of them."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._logged_at: dict[str, float] = {}

    def record_refusal(self, call: Call, refusal: Refuse) -> None:
        """Count a refusal above the share; log it if the last line is old."""
        if not refusal.is_above_share:
            return
        self._ctx.count("calls.refused_above_share")
        now = self._ctx.now()
        organisation = call.organisation
        if now - self._logged_at.get(organisation, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at.pop(organisation, None)
        if len(self._logged_at) >= MAX_LOGGED:
            oldest, logged_at = next(iter(self._logged_at.items()))
            if now - logged_at < LOG_INTERVAL_S:
                return
            del self._logged_at[oldest]
        self._logged_at[organisation] = now
        log.info(
            "organisation_above_share",
            organisation=organisation,
            upstream=call.upstream,
        )


def dump_upstream(local: LocalUpstream, now: float) -> dict[str, Any]:
    """Return the state of an upstream for the state dump."""
    state: dict[str, Any] = {
        "running": len(local.running),
        "work": local.queue.call_count,
        "reserved_slots": local.queue.inner_slots.reserved(now, local.queue.slots),
    }
    if local.queue.shares is not None:
        shares = local.queue.shares.dump(now).items()
        state["shares"] = dict(islice(shares, MAX_DUMPED))
    return state
