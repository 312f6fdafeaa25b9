"""Log lines and metrics about quotas."""

from collections.abc import Mapping
from dataclasses import dataclass

import structlog

from lentilsill.daemon.context import Context

__all__ = ["QuotaLog"]

# One line per organisation in this time, not one per call.
DENIAL_INTERVAL_S = 5.0

log = structlog.get_logger()


@dataclass(slots=True)
class _Denials:
    logged_at: float
    count: int = 0


class QuotaLog:
    """Logs changes of allocators, and organisations whose calls are denied."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._allocators: dict[int, str] = {}
        self._denials: dict[str, _Denials] = {}

    def record_denial(self, organisation: str, wait_s: float) -> None:
        """Count a denied call, and log the first and then one line per interval."""
        self._ctx.count("quotas.denied")
        now = self._ctx.now()
        denials = self._denials.get(organisation)
        if denials is None:
            denials = self._denials[organisation] = _Denials(float("-inf"))
        denials.count += 1
        if now - denials.logged_at < DENIAL_INTERVAL_S:
            return
        log.info(
            "organisation_denied",
            organisation=organisation,
            calls=denials.count,
            retry_after_s=round(wait_s, 3),
        )
        denials.logged_at, denials.count = now, 0

    def record_allocators(self, allocators: Mapping[int, str]) -> None:
        """Log the allocators of shards that have changed since the last call."""
        if allocators == self._allocators:
            return
        for shard, node in sorted(allocators.items()):
            before = self._allocators.get(shard, "")
            if node == before:
                continue
            if node:
                log.info("quota_allocator_chosen", shard=shard, node=node)
            else:
                log.warning("quota_allocator_lost", shard=shard, node=before)
                self._ctx.count("quotas.allocators_lost")
        self._allocators = dict(allocators)
