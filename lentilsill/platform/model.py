"""Objects, events and errors of the platform's object API."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Result

__all__ = [
    "AnswerLost",
    "Compacted",
    "Conflict",
    "Listing",
    "ObjectApi",
    "PlatformError",
    "RateLimited",
    "Rejected",
    "StoredObject",
    "Unavailable",
    "WatchBatch",
]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `version` is the store-wide revision at its last write.

    A deleted object appears in watch batches only, with `deleted` set, no
    value, and the revision of the deletion as its version.
    """

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of `revision`; it took `transfer_s` to arrive."""

    revision: int
    objects: tuple[StoredObject, ...]
    transfer_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of a kind after the revision asked for, complete up to `revision`.

    The answer took `transfer_s` to arrive, not counting the wait for a change.
    """

    revision: int
    changes: tuple[StoredObject, ...]
    transfer_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object has another version than expected; 0 when it does not exist."""

    current_version: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform refused or could not be reached; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """No answer to a write that may have taken effect; read back to decide."""

    reason: str


@dataclass(frozen=True, slots=True)
class RateLimited:
    """Too many calls; nothing was written."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Compacted:
    """The watch's start revision is no longer kept; list instead."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The platform refused the request as invalid."""

    status: int
    reason: str


PlatformError = Conflict | Unavailable | AnswerLost | RateLimited | Compacted | Rejected


class ObjectApi(Protocol):
    """The platform's object API as its users need it."""

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Give an object, or None when it does not exist."""
        ...

    async def list(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """List all objects of a kind; with `stale`, cheaper and seconds old."""
        ...

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object and give its new version.

        With `expected_version` 0 the object must not exist; None writes
        unconditionally.
        """
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object and give the revision of the deletion."""
        ...

    async def watch(
        self, kind: str, since: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` for changes after revision `since`."""
        ...
