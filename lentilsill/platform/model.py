"""Objects, events and errors of the platform's object API."""

from collections.abc import Callable
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
    """An object; `version` is the revision of the whole store at its last write.

    A deleted object appears only in watch batches. It has `deleted` set, no value,
    and the revision of the deletion as its version. `status` is what other writers than
    those of the value report about it, and `created` names the creation of the object;
    it is empty if the platform names none.
    """

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False
    status: Any = field(default=None, compare=False)
    created: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of `revision`.

    The answers took `transfer_s` seconds to arrive, without the waits for them.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    transfer_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes of a kind after the requested revision, complete up to `revision`.

    The answer took `transfer_s` seconds to arrive, without the wait for a change.
    """

    revision: int
    changes: tuple[StoredObject, ...]
    transfer_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object is not at the expected version.

    `current_version` is 0 if the object does not exist.
    """

    current_version: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform is unreachable or refused the request; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """A write got no valid answer and may have taken effect; read it back to decide."""

    reason: str


@dataclass(frozen=True, slots=True)
class RateLimited:
    """The request exceeded the platform's rate limit; nothing was written."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Compacted:
    """The platform no longer keeps the watch's start revision; list instead."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The platform rejected the request as invalid."""

    status: int
    reason: str


PlatformError = Conflict | Unavailable | AnswerLost | RateLimited | Compacted | Rejected


class ObjectApi(Protocol):
    """Interface of the platform's object API."""

    async def get(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        ...

    async def list(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """List all objects of a kind; a `stale` read is cheaper but seconds old."""
        ...

    async def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Write an object and return its new version.

        If `expected_version` is 0, the object must not exist; if it is None, the
        write is unconditional.
        """
        ...

    async def put_status(
        self, kind: str, name: str, status: Any, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Replace the status of an object and return the new version of the object."""
        ...

    async def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> Result[int, PlatformError]:
        """Delete an object and return the revision of the deletion."""
        ...

    async def watch(
        self,
        kind: str,
        since: int,
        timeout_s: float,
        on_start: Callable[[], None] | None = None,
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` for changes after revision `since`.

        `on_start` is called when the answer begins to arrive.
        """
        ...
