"""An upstream of this node, and the calls that it runs."""

import asyncio
from dataclasses import dataclass, field

import xxhash

from lentilsill.admission import AdmissionQueue
from lentilsill.daemon.integration import Integration
from lentilsill.daemon.interfaces import CrashGuard
from lentilsill.membership import UpstreamRecord
from lentilsill.outcomes import Refused
from lentilsill.wire import Link
from lentilsill.wire.messages import Call

from .upstream_client import Exchange, UpstreamClient

__all__ = [
    "Execution",
    "LocalUpstream",
    "kind_of",
    "objective_at",
    "request_fingerprint",
]


def request_fingerprint(
    request_key: str, service: str, method: str, path: str, body: bytes
) -> str:
    """Identify requests that are the same for the quarantine."""
    if request_key:
        return request_key
    head = f"{service}\0{method}\0{path}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


@dataclass(eq=False, slots=True)
class Execution:
    """A call at its destination; `link` is None for a call of this node."""

    call: Call
    deadline: float
    link: Link | None = None
    fingerprint: str = ""
    admitted: asyncio.Future[Refused | None] | None = None
    exchange: Exchange = field(default_factory=Exchange)


class LocalUpstream:
    """An upstream of this node with its queue and connections."""

    def __init__(
        self,
        record: UpstreamRecord,
        guard: CrashGuard | None,
        reuse_s: float,
        integration: Integration,
    ) -> None:
        self.record = record
        self.guard = guard
        self.running: dict[Execution, None] = {}
        self.lost: list[str] = []
        self.check: asyncio.Task[bool] | None = None
        self.is_out = False
        self.client = UpstreamClient(record.address, reuse_s, integration)
        can_start = None if guard is None else self._can_start
        self.queue = AdmissionQueue(max(1, record.slots), 0, can_start)

    def fingerprints(self) -> tuple[str, ...]:
        return tuple(execution.fingerprint for execution in self.running)

    def _can_start(self, execution, running) -> bool:
        assert self.guard is not None
        # A call that starts before it is known whether a suspect has killed the
        # upstream would share the crash, which then proves nothing.
        others = (*(other.fingerprint for other in running), *self.lost)
        return self.guard.can_start(execution.fingerprint, others)


def kind_of(call: Call) -> str:
    """Name calls that take about as long as each other."""
    return f"{call.service}/{call.route}"


def objective_at(call: Call, now: float, default: float) -> float:
    """When the objective of a call that arrives now ends."""
    return now + call.objective_ms / 1000 if call.objective_ms else default
