"""Answers to peers that request documents."""

import asyncio
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import Documents
from lentilsill.distribution import Admitted, RetryAfter, SyncAdmission
from lentilsill.wire import Link
from lentilsill.wire.messages import Busy, DeltaRequest

__all__ = ["SyncServer"]

WRITE_POLL_INTERVAL_S = 0.05
MAX_SYNC_S = 10.0


class SyncServer:
    """Serves requests for changes; the number of full syncs at a time is limited."""

    def __init__(self, ctx: Context, documents: Documents) -> None:
        self._ctx = ctx
        self._documents = documents
        limit = ctx.cfg.distribution.max_full_syncs
        self._admission = SyncAdmission(limit, ctx.rng, MAX_SYNC_S)
        self._full_sync_count = 0
        self._peak_syncs = 0

    def start(self) -> None:
        """Register the handler of requests."""
        self._ctx.links.on(DeltaRequest, self._on_delta_request)

    def _on_delta_request(self, link: Link, message: DeltaRequest) -> None:
        delta = self._documents.delta_since(message.complete_as_of, message.held)
        if not delta.full:
            link.send(delta)
            return
        match self._admission.try_start(self._ctx.now()):
            case RetryAfter(delay_ms):
                self._ctx.count("distribution.syncs_refused")
                link.send(Busy(delay_ms))
            case Admitted(ticket):
                self._ctx.count("distribution.full_syncs")
                self._full_sync_count += 1
                self._peak_syncs = max(self._peak_syncs, self._admission.running)
                link.send(delta)
                self._ctx.spawn(self._finish_sync(link, ticket))

    async def _finish_sync(self, link: Link, ticket: int) -> None:
        """Count a full sync against the limit until its bytes have been sent."""
        deadline = self._ctx.now() + MAX_SYNC_S
        while link.is_open and link.stream.writing() and self._ctx.now() < deadline:
            await asyncio.sleep(WRITE_POLL_INTERVAL_S)
        self._admission.finish(ticket)

    def dump(self) -> dict[str, Any]:
        """Return the numbers of syncs as a part of the state dump."""
        return {
            "syncs_served": self._admission.running,
            "full_syncs": self._full_sync_count,
            "full_syncs_at_once": self._peak_syncs,
        }
