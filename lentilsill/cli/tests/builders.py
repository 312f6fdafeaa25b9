"""Documents, status objects and a platform for the tests of the commands."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from lentilsill.platform import (
    AnswerLost,
    Conflict,
    PlatformError,
    StoredObject,
    WatchBatch,
)
from lentilsill.status import DomainStatus, Held, ServiceStatus, status_to_value
from standins.store import ConflictError, Store

__all__ = ["NOW_S", "StoreApi", "a_document", "a_status"]


def a_document(service: str = "slots", deadline_ms: int = 800) -> dict[str, Any]:
    """Make a valid service document."""
    return {
        "service": service,
        "upstream_sets": {"current": {"labels": {"release": "1"}, "leaving": False}},
        "routes": [
            {
                "name": "lookup",
                "match": {"path_prefix": "/lookup", "methods": ["GET"]},
                "targets": [
                    {"service": service, "upstream_set": "current", "weight": 100}
                ],
                "idempotent": True,
                "deadline_ms": deadline_ms,
            }
        ],
        "limits": {"slots_per_upstream": 6, "queue_per_upstream": 12},
        "requires": [],
    }


# Time of the reports and of the commands that read them, seconds.
NOW_S = 1_000_000.0


def a_status(
    domain: str, in_force: int, nodes_in_force: int = 3, age_s: float = 1.0
) -> dict[str, Any]:
    """Make the status of a domain of three nodes."""
    entry = ServiceStatus(
        as_of=9,
        newest=8,
        accepted=7,
        in_force=in_force,
        nodes=nodes_in_force,
        nodes_heard=3,
        rejected={8: ("limits: unknown key",)},
        held=Held(7, False, ("needs ledger",)),
    )
    updated_at_ms = int((NOW_S - age_s) * 1000)
    return status_to_value(DomainStatus(domain, 9, {"slots": entry}, updated_at_ms))


class StoreApi:
    """The object API on a store in this process, with lost answers.

    `on_put` runs before a write, and `on_lost` after a write whose answer is
    lost, like another operator's edit. Each entry of `lose` is for one write:
    "applied", "dropped" or "".
    """

    def __init__(self) -> None:
        self.store = Store()
        self.lose: list[str] = []
        self.on_put: Callable[[], Any] = lambda: None
        self.on_lost: Callable[[], Any] = lambda: None
        self.writes = 0

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Give an object."""
        obj = self.store.objects.get((kind, name))
        if obj is None:
            return Ok(None)
        return Ok(StoredObject(kind, name, obj.version, obj.value))

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object, or lose the write or its answer."""
        self.writes += 1
        self.on_put()
        fault = self.lose.pop(0) if self.lose else ""
        if fault == "dropped":
            return Err(AnswerLost("timed out"))
        try:
            version = self.store.put(kind, name, value, expected_version).version
        except ConflictError as exc:
            return Err(Conflict(exc.current_version))
        if not fault:
            return Ok(version)
        self.on_lost()
        return Err(AnswerLost("timed out"))

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Give the changes so far, without waiting."""
        changes = tuple(
            StoredObject(kind, c.name, c.version, c.value, c.deleted)
            for c in self.store.changes(kind, since)
        )
        return Ok(WatchBatch(self.store.revision, changes))

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object, or lose the deletion or its answer."""
        self.writes += 1
        self.on_put()
        fault = self.lose.pop(0) if self.lose else ""
        if fault == "dropped":
            return Err(AnswerLost("timed out"))
        try:
            version = self.store.delete(kind, name, expected_version).version
        except ConflictError as exc:
            return Err(Conflict(exc.current_version))
        return Err(AnswerLost("timed out")) if fault else Ok(version)
