"""Interfaces through which the controllers of a node use each other."""

from dataclasses import dataclass, field
from typing import Protocol

from lentilsill.documents import Organisation
from lentilsill.outcomes import CallResult
from lentilsill.quarantine import Run
from lentilsill.wire.messages import Delta

__all__ = [
    "CallRequest",
    "CallService",
    "CrashGuard",
    "Documents",
    "IssuedKeys",
    "KeyClaims",
    "KeyGranted",
    "Quotas",
]


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's call as the entry node receives it.

    `path` starts after the service name and includes the query string.
    `deadline_ms` is the deadline that the caller requested; 0 stands for the
    route's deadline. `attempt_id` identifies the caller's attempt and is empty if
    the caller sent none. `caller_ip` is the other end of the caller's connection.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_key: str
    deadline_ms: int
    attempt_id: str = ""
    caller_ip: str = ""


class CallService(Protocol):
    """Runs the calls of callers at the entry node."""

    async def handle(self, req: CallRequest) -> CallResult:
        """Run the call and return its result; a failed call doesn't raise."""
        ...


class Documents(Protocol):
    """Documents of a node; its controller is the only writer of the snapshot."""

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the node has every change."""
        ...

    @property
    def content_hash(self) -> int:
        """64-bit hash of the versions that peers must agree on."""
        ...

    def merge(self, delta: Delta) -> Delta | None:
        """Apply documents; return those that were new, to be forwarded, or None."""
        ...

    @property
    def bundle_version(self) -> int:
        """Version of the bundle; 0 without a bundle."""
        ...

    @property
    def patch_base(self) -> int:
        """Version of the bundle to which patches of peers apply; 0 if there is none."""
        ...

    def lacks_patch_base(self, delta: Delta) -> bool:
        """Return whether the delta has a newer version whose patch has another base."""
        ...

    def delta_since(self, base: int, held: int = 0) -> Delta:
        """Return the changes after `base`, or all documents if those are not kept.

        A receiver that has version `held` of the bundle may get a patch.
        """
        ...


@dataclass(frozen=True, slots=True)
class IssuedKeys:
    """Keys for a caller, and the time from which the first is no longer granted."""

    keys: tuple[str, ...]
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class KeyGranted:
    """The attempt has claimed the key and may run.

    `attempt` is the name of the attempt at the replicas of the key.
    """

    attempt: str = field(default="", compare=False)


class KeyClaims(Protocol):
    """At-most-once execution of calls with a request key."""

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> KeyGranted | CallResult:
        """Claim the key, or return the recorded answer or a refusal."""
        ...

    def finish(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store the result; ``not_run`` releases the claim, as nothing was executed."""
        ...


class CrashGuard(Protocol):
    """Quarantine of requests that crash their upstreams."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must be refused."""
        ...

    def can_start(self, fingerprint: str, in_flight: tuple[str, ...]) -> bool:
        """Return whether the request may run beside those in flight on an upstream."""
        ...

    def record_suspect(self, fingerprint: str) -> None:
        """Record another node's report that an upstream died running the request."""
        ...

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a run of the request that begins now is a trial."""
        ...

    def hold_s(self, fingerprint: str) -> float:
        """Return for how many seconds the request must not run."""
        ...

    def record_loss(self, upstream: str, runs: tuple[Run, ...]) -> None:
        """Record that an upstream of this node died during these runs."""
        ...

    def record_end(self, run: Run) -> None:
        """Record that a run at an upstream of this node finished without a crash."""
        ...

    def record_answer(self, fingerprint: str) -> None:
        """Record that a call of this node was answered."""
        ...


class Quotas(Protocol):
    """Quotas of organisations over all nodes."""

    waiting_count: int

    async def take(self, organisation: Organisation, deadline_s: float) -> float | None:
        """Take a token for a call; return None, or the seconds until there are more.

        It waits for the token no longer than `deadline_s`.
        """
        ...

    def give_back(self, organisation: str) -> None:
        """Return the token of a call that was proved not run."""
        ...
