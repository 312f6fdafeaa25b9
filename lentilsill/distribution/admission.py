"""Bound on the full syncs that a node serves at once."""

from dataclasses import dataclass
from random import Random

__all__ = ["Admitted", "RetryAfter", "SyncAdmission"]


@dataclass(frozen=True, slots=True)
class Admitted:
    """The sync may run; pass `ticket` to `SyncAdmission.finish`."""

    ticket: int


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Too many syncs run; ask again after `delay_ms`."""

    delay_ms: int


class SyncAdmission:
    """Admits up to `limit` full syncs at once.

    A sync counts for at most `max_s` seconds, so that a receiver which stops
    reading does not hold its place for ever. Refused peers are spread over
    `retry_ms` to twice that.
    """

    def __init__(
        self, limit: int, rng: Random, max_s: float = 10.0, retry_ms: int = 500
    ) -> None:
        self._limit = limit
        self._rng = rng
        self._max_s = max_s
        self._retry_ms = retry_ms
        self._running: dict[int, float] = {}
        self._next_ticket = 0

    @property
    def running(self) -> int:
        """Syncs that hold a place."""
        return len(self._running)

    def try_start(self, now: float) -> Admitted | RetryAfter:
        """Take a place at time `now` (seconds), or tell when to ask again."""
        for ticket, started in list(self._running.items()):
            if now - started >= self._max_s:
                del self._running[ticket]
        if len(self._running) >= self._limit:
            jitter = self._rng.uniform(0, self._retry_ms)
            return RetryAfter(self._retry_ms + int(jitter))
        self._next_ticket += 1
        self._running[self._next_ticket] = now
        return Admitted(self._next_ticket)

    def finish(self, ticket: int) -> None:
        """Give the place back; a ticket that has expired is ignored."""
        self._running.pop(ticket, None)
