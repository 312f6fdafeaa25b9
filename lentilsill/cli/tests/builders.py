"""Builders of documents and status objects, and an object API for the tests."""

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

__all__ = ["NOW_S", "InMemoryObjectApi", "make_document", "make_status"]


def make_document(service: str = "slots", deadline_ms: int = 800) -> dict[str, Any]:
    """Return a valid service document."""
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


# Current time in the tests, in seconds since the epoch.
NOW_S = 1_000_000.0


def make_status(
    domain: str, in_force: int, nodes_in_force: int = 3, age_s: float = 1.0
) -> dict[str, Any]:
    """Return the status of a domain with three nodes, updated `age_s` ago."""
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


class InMemoryObjectApi:
    """An object API on an in-process store that can lose writes and answers.

    Each entry of `write_faults` applies to one write: "dropped" loses the write,
    "applied" loses only its answer, and "" is no fault. `before_write` runs before
    each write, and `after_lost_answer` after a lost answer to `put`; both simulate
    another operator's edit.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.write_faults: list[str] = []
        self.before_write: Callable[[], Any] = lambda: None
        self.after_lost_answer: Callable[[], Any] = lambda: None
        self.write_count = 0

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Return an object."""
        obj = self.store.objects.get((kind, name))
        if obj is None:
            return Ok(None)
        return Ok(StoredObject(kind, name, obj.version, obj.value))

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object; the next fault may lose the write or its answer."""
        self.write_count += 1
        self.before_write()
        fault = self.write_faults.pop(0) if self.write_faults else ""
        if fault == "dropped":
            return Err(AnswerLost("timed out"))
        try:
            version = self.store.put(kind, name, value, expected_version).version
        except ConflictError as exc:
            return Err(Conflict(exc.current_version))
        if not fault:
            return Ok(version)
        self.after_lost_answer()
        return Err(AnswerLost("timed out"))

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Return the changes so far, without waiting."""
        changes = tuple(
            StoredObject(
                kind, change.name, change.version, change.value, change.deleted
            )
            for change in self.store.changes(kind, since)
        )
        return Ok(WatchBatch(self.store.revision, changes))

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object; the next fault may lose the deletion or its answer."""
        self.write_count += 1
        self.before_write()
        fault = self.write_faults.pop(0) if self.write_faults else ""
        if fault == "dropped":
            return Err(AnswerLost("timed out"))
        try:
            version = self.store.delete(kind, name, expected_version).version
        except ConflictError as exc:
            return Err(Conflict(exc.current_version))
        return Err(AnswerLost("timed out")) if fault else Ok(version)
