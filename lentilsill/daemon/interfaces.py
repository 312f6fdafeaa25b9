"""What the controllers of a node ask of each other."""

from dataclasses import dataclass, field
from typing import Protocol

from lentilsill.outcomes import CallResult
from lentilsill.wire.messages import Delta

__all__ = [
    "CallRequest",
    "CallService",
    "CrashGuard",
    "Documents",
    "Granted",
    "IssuedKeys",
    "KeyClaims",
]


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's call as the entry node takes it.

    `path` starts after the service name and includes the query string.
    `deadline_ms` is what the caller asked for; 0 takes the route's. `attempt_id`
    names the caller's attempt and is empty when it names none.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_key: str
    deadline_ms: int
    attempt_id: str = ""


class CallService(Protocol):
    """Takes calls at the entry node."""

    async def handle(self, req: CallRequest) -> CallResult:
        """Run the call; never raises for a failed call."""
        ...


class Documents(Protocol):
    """The documents of a node; only this controller writes the snapshot."""

    @property
    def complete_as_of(self) -> int:
        """Revision up to which the node's knowledge has no gap."""
        ...

    @property
    def content_hash(self) -> int:
        """Hash of the newest known (service, version) pairs, 64 bits."""
        ...

    def merge(self, delta: Delta) -> Delta | None:
        """Take in documents; give what was new here, to pass on, or None."""
        ...

    @property
    def bundle_version(self) -> int:
        """Version that patches can be applied to; 0 when none is taken."""
        ...

    def lacks_base(self, delta: Delta) -> bool:
        """Whether the delta has a newer version as a patch that does not fit."""
        ...

    def delta_since(self, base: int, held: int = 0) -> Delta:
        """Give the changes after `base`, or everything when those are not kept.

        A receiver that holds version `held` of the bundle may get a patch.
        """
        ...


@dataclass(frozen=True, slots=True)
class IssuedKeys:
    """Keys for a caller, and when the first of them stops being granted."""

    keys: tuple[str, ...]
    expires_at_ms: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds the key and may run.

    `attempt` is the name of the attempt at the key's replicas.
    """

    attempt: str = field(default="", compare=False)


class KeyClaims(Protocol):
    """At-most-once execution of calls with a request key."""

    async def claim(
        self, request_key: str, attempt: str, fingerprint: str, timeout_s: float
    ) -> Granted | CallResult:
        """Claim the key, or give the recorded answer or a refusal."""
        ...

    def finish(self, request_key: str, attempt: str, result: CallResult) -> None:
        """Store the result; a proved `not_run` releases the claim."""
        ...


class CrashGuard(Protocol):
    """Quarantine of requests that crash their upstreams."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether the request must be refused."""
        ...

    def can_start(self, fingerprint: str, in_flight: tuple[str, ...]) -> bool:
        """Whether the request may run beside those in flight on an upstream."""
        ...

    def record_suspect(self, fingerprint: str) -> None:
        """Another node told that an upstream died while it ran the request."""
        ...

    def record_crash(self, in_flight: tuple[str, ...]) -> None:
        """An upstream of this node died with these requests in flight."""
        ...

    def record_end(self, fingerprint: str) -> None:
        """The request finished without a crash."""
        ...
