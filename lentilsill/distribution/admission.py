"""Limit on the full syncs that a node serves at the same time."""

from dataclasses import dataclass
from random import Random

__all__ = ["Admitted", "RetryAfter", "SyncAdmission"]


@dataclass(frozen=True, slots=True)
class Admitted:
    """The sync may start; call `SyncAdmission.finish(ticket)` when it ends."""

    ticket: int


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Too many syncs are running; the peer retries after `delay_ms`."""

    delay_ms: int


class SyncAdmission:
    """Admits up to `limit` full syncs at the same time.

    A sync counts against the limit for at most `max_sync_s` seconds, so that a
    receiver that stops reading does not block others forever. Refused peers retry
    after a random delay between `min_retry_ms` and twice that.
    """

    def __init__(
        self, limit: int, rng: Random, max_sync_s: float = 10.0, min_retry_ms: int = 500
    ) -> None:
        self._limit = limit
        self._rng = rng
        self._max_sync_s = max_sync_s
        self._min_retry_ms = min_retry_ms
        self._running: dict[int, float] = {}
        self._next_ticket = 0

    @property
    def running(self) -> int:
        """Number of syncs that count against the limit."""
        return len(self._running)

    def try_start(self, now: float) -> Admitted | RetryAfter:
        """Start a sync at time `now` (seconds), or return when to retry."""
        for ticket, started in list(self._running.items()):
            if now - started >= self._max_sync_s:
                del self._running[ticket]
        if len(self._running) >= self._limit:
            jitter = self._rng.uniform(0, self._min_retry_ms)
            return RetryAfter(self._min_retry_ms + int(jitter))
        self._next_ticket += 1
        self._running[self._next_ticket] = now
        return Admitted(self._next_ticket)

    def finish(self, ticket: int) -> None:
        """End a sync; a ticket that has expired is ignored."""
        self._running.pop(ticket, None)
