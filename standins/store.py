"""Objects, history and rate limits of the platform stand-in."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import takewhile
from typing import Any

__all__ = ["Change", "CompactedError", "ConflictError", "Store", "TokenBucket"]


@dataclass(frozen=True, slots=True)
class Change:
    """One write or deletion; `version` is the store revision that it created."""

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False
    status: Any = None
    created: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the object in the form that listings contain."""
        metadata = {
            "name": self.name,
            "revision": self.version,
            "finalizers": [],
            "deleting": False,
            "created": self.created,
        }
        return {"metadata": metadata, "spec": self.value, "status": self.status}

    def to_event(self) -> dict[str, Any]:
        """Return the event that watches receive."""
        return {"object": self.to_json(), "deleted": self.deleted}


class ConflictError(Exception):
    """The expected version differs from the current one (0 if no object exists)."""

    def __init__(self, current_version: int) -> None:
        super().__init__(f"current version is {current_version}")
        self.current_version = current_version


class CompactedError(Exception):
    """Changes after the requested revision are no longer kept."""

    def __init__(self, oldest_revision: int) -> None:
        super().__init__(f"oldest revision is {oldest_revision}")
        self.oldest_revision = oldest_revision


@dataclass(frozen=True, slots=True)
class _UndoEntry:
    """State of one object before the change that created `revision`."""

    at_s: float
    revision: int
    key: tuple[str, str]
    before: Change | None


@dataclass
class Store:
    """Objects of all kinds, with one revision counter for all of them.

    Parameters
    ----------
    history_limit : int
        Number of changes kept for watches; older ones are compacted.
    era : int or None
        Number that rises with each restore; None for a store that names no era.
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> store = Store()
    >>> store.put("service", "slots", {}, expected=0).version
    1
    >>> [change.name for change in store.changes("service", since=0)]
    ['slots']
    """

    history_limit: int = 10_000
    revision: int = 0
    compacted_to: int = 0
    objects: dict[tuple[str, str], Change] = field(default_factory=dict)
    history: deque[Change] = field(default_factory=deque)
    era: int | None = None
    clock: Callable[[], float] = time.monotonic
    _undo: deque[_UndoEntry] = field(default_factory=deque)

    def put(self, kind: str, name: str, value: Any, expected: int | None) -> Change:
        """Write an object if its version is `expected` (None accepts any)."""
        self._check_version(kind, name, expected)
        revision = self.revision + 1
        old = self.objects.get((kind, name))
        status, created = (old.status, old.created) if old else (None, revision)
        return self._record(
            Change(kind, name, revision, value, status=status, created=created)
        )

    def put_status(
        self, kind: str, name: str, status: Any, expected: int | None
    ) -> Change:
        """Replace the status of an existing object if its version is `expected`."""
        self._check_version(kind, name, expected)
        old = self.objects[kind, name]
        return self._record(replace(old, version=self.revision + 1, status=status))

    def delete(self, kind: str, name: str, expected: int | None) -> Change:
        """Delete an existing object if its version is `expected` (None accepts any)."""
        self._check_version(kind, name, expected)
        return self._record(Change(kind, name, self.revision + 1, None, True))

    def objects_of(self, kind: str) -> list[Change]:
        """Return the objects of a kind, sorted by name."""
        return [obj for key, obj in sorted(self.objects.items()) if key[0] == kind]

    def changes(self, kind: str, since: int) -> list[Change]:
        """Return the changes of a kind after a revision, oldest first."""
        if not self.compacted_to <= since <= self.revision:
            raise CompactedError(self.compacted_to)
        # Watches request recent changes, so the search starts at the newest.
        recent = takewhile(lambda c: c.version > since, reversed(self.history))
        return [c for c in recent if c.kind == kind][::-1]

    def compact(self, keep: int = 0) -> None:
        """Discard all but the last `keep` changes."""
        while len(self.history) > keep:
            self.compacted_to = self.history.popleft().version

    def restore(self, age_s: float) -> None:
        """Return to the state of `age_s` seconds ago, as from a copy.

        Changes since then are lost and their revisions are given out again. The
        history of the copy is gone.
        """
        copied_at_s = self.clock() - age_s
        while self._undo and self._undo[-1].at_s > copied_at_s:
            entry = self._undo.pop()
            self.revision = entry.revision - 1
            if entry.before is None:
                self.objects.pop(entry.key, None)
            else:
                self.objects[entry.key] = entry.before
        self.history.clear()
        self.compacted_to = self.revision
        if self.era is not None:
            self.era += 1

    def _check_version(self, kind: str, name: str, expected: int | None) -> None:
        obj = self.objects.get((kind, name))
        current = obj.version if obj is not None else 0
        if expected is not None and expected != current:
            raise ConflictError(current)

    def _record(self, change: Change) -> Change:
        self.revision = change.version
        key = (change.kind, change.name)
        self._undo.append(
            _UndoEntry(self.clock(), change.version, key, self.objects.get(key))
        )
        if len(self._undo) > self.history_limit:
            self._undo.popleft()
        if change.deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = change
        self.history.append(change)
        self.compact(self.history_limit)
        return change


@dataclass
class TokenBucket:
    """Rate limit of calls; the bucket holds at most the tokens of one second.

    Parameters
    ----------
    rate_per_s : float
        Calls per second; 0 disables the limit.
    clock : callable
        Monotonic clock in seconds.
    """

    rate_per_s: float
    clock: Callable[[], float]
    tokens: float = field(init=False)
    refilled_at_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.tokens = self.rate_per_s
        self.refilled_at_s = self.clock()

    def take_token(self, reserved_per_s: float = 0.0) -> bool:
        """Take a token if one is left; `reserved_per_s` lowers the refill rate."""
        if self.rate_per_s <= 0:
            return True
        refill_per_s = max(0.0, self.rate_per_s - reserved_per_s)
        now_s = self.clock()
        self.tokens = min(
            self.rate_per_s, self.tokens + (now_s - self.refilled_at_s) * refill_per_s
        )
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
