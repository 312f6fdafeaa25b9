"""An upstream of this node, and the calls that it runs."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash
from tornado.httputil import HTTPHeaders

from lentilsill.admission import AdmissionQueue, HostPace
from lentilsill.admission.actions import Action
from lentilsill.daemon.held_bytes import HeldBytes
from lentilsill.daemon.integration import HeaderNames, Integration
from lentilsill.daemon.interfaces import CallRequest, CrashGuard
from lentilsill.daemon.server_load import parse_server_load
from lentilsill.membership import UpstreamRecord
from lentilsill.outcomes import Refused
from lentilsill.quarantine import Run
from lentilsill.wire import Link
from lentilsill.wire.messages import Call

from .upstream_client import Exchange, UpstreamClient
from .upstream_connections import OnUpstreamClosed, ignore_upstream_close
from .upstream_notices import OnLeaving, UpstreamNotices, ignore_leaving

__all__ = [
    "Execution",
    "LocalUpstream",
    "call_fingerprint",
    "call_kind",
    "objective_at",
    "request_fingerprint",
    "upstream_headers",
    "whole_ms",
]


def request_fingerprint(
    request_key: str,
    service: str,
    method: str,
    path: str,
    body: bytes,
    caller: str = "",
) -> str:
    """Return the id under which the quarantine counts crashes of a request.

    It is the request key, or a hash of the request if there is none.
    """
    if request_key:
        return request_key
    head = f"{service}\0{method}\0{path}\0{caller}\0".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def call_fingerprint(req: CallRequest | Call, caller_header: str) -> str:
    """Return the fingerprint of a call; `caller_header` names its caller's service."""
    caller = ""
    if caller_header:
        caller = next((v for name, v in req.headers if name == caller_header), "")
    return request_fingerprint(
        req.request_key, req.service, req.method, req.path, req.body, caller
    )


@dataclass(eq=False, slots=True)
class Execution:
    """A call at its destination node.

    `deadline` is in seconds of one monotonic clock. `link` leads to the entry
    node and is None when that is this node. `admission` is set while the call waits
    for a slot: it resolves to None when the call may start, or to its refusal.
    `is_trial` is set when the call starts as a suspect, alone on the upstream.
    """

    call: Call
    deadline: float
    link: Link | None = None
    fingerprint: str = ""
    admission: asyncio.Future[Refused | None] | None = None
    exchange: Exchange = field(default_factory=Exchange)
    is_trial: bool = False

    @property
    def run(self) -> Run:
        """The call as the quarantine counts it."""
        return Run(self.fingerprint, self.is_trial)


class LocalUpstream:
    """An upstream of this node with its queue and connections.

    `lost_runs` are the requests whose connections the upstream lost and which
    `crash_check` has not resolved. `is_dropped` is set when the upstream is
    removed because it crashed.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        guard: CrashGuard | None,
        post_reuse_s: float,
        integration: Integration,
        on_closed: OnUpstreamClosed = ignore_upstream_close,
        on_leaving: OnLeaving = ignore_leaving,
        held_bytes: HeldBytes | None = None,
        fair_shares: bool = False,
        inner_slots: bool = False,
    ) -> None:
        self.record = record
        self.guard = guard
        self.running: dict[Execution, None] = {}
        self.lost_runs: list[Run] = []
        self.crash_check: asyncio.Task[bool] | None = None
        self.is_dropped = False
        self.client = UpstreamClient(
            record.address, post_reuse_s, integration, on_closed, held_bytes
        )
        self.notices = UpstreamNotices(record.upstream, integration.headers, on_leaving)
        self.pace = HostPace()
        self._reserves_slots = inner_slots
        self._load_header = integration.headers.load
        self.client.on_answer_head = self._record_answer
        can_start = None if guard is None else self._can_start
        self.queue = AdmissionQueue(max(1, record.slots), 0, can_start, fair_shares)

    def is_inner(self, call: Call) -> bool:
        """Return whether slots are reserved for a call.

        A running call waits for it, of a service that waits for calls of this one.
        """
        return self._reserves_slots and self.record.service in call.waiting_services

    def offer(self, execution: Execution, now: float) -> list[Action]:
        """Offer a call to the queue; it waits if no action is returned for it."""
        call = execution.call
        return self.queue.offer(
            execution,
            now,
            execution.deadline,
            call.priority,
            objective_at(call, now, execution.deadline),
            call_kind(call),
            call.organisation,
            call.organisation_weight,
            self.is_inner(call),
        )

    def latest_start_s(self, execution: Execution, now: float) -> float:
        """Return the time in seconds after which a call is not worth starting."""
        return self.queue.service_times.latest_start_s(
            execution.deadline - now, call_kind(execution.call)
        )

    def has_room(self, call: Call, now: float) -> bool:
        """Return whether a new call would start at once."""
        return self.queue.has_room and self.queue.has_slot(now, self.is_inner(call))

    def load_figures(self, call: Call, now: float, is_even: bool) -> tuple[int, int]:
        """Return the expected time in ms and the busy percentage for a new call.

        Without `is_even`, and for an upstream that states no pace, the pace of the host
        is not used, and the latter is -1.
        """
        expected_ms = 1000 * self.queue.expected_time_s(
            now,
            call.priority,
            call_kind(call),
            objective_at(call, now, math.inf),
            call.organisation,
            self.is_inner(call),
        )
        if not is_even or not self.pace.is_known:
            return round(expected_ms), -1
        expected_ms *= self.pace.factor(now)
        busy_share = self.queue.busy_share
        if not self.queue.has_slot(now, self.is_inner(call)):
            busy_share = max(1.0, busy_share)
        return round(expected_ms), round(100 * busy_share)

    def record_start(self, execution: Execution) -> None:
        """Count a call as running, and determine whether it is a trial."""
        is_alone = not (self.running or self.lost_runs)
        execution.is_trial = (
            self.guard is not None
            and is_alone
            and self.guard.is_suspect(execution.fingerprint)
        )
        self.running[execution] = None

    def waiting_suspects(self) -> list[Execution]:
        """Return the calls that wait to run as trials."""
        guard = self.guard
        if guard is None:
            return []
        return [e for e in self.queue.waiting_calls if guard.is_suspect(e.fingerprint)]

    def take_runs_in_flight(self) -> tuple[Run, ...]:
        """Return the runs that the death of the upstream has ended."""
        lost, self.lost_runs = self.lost_runs, []
        return (*lost, *(execution.run for execution in self.running))

    def _record_answer(self, headers: HTTPHeaders, heard_at: float, now: float) -> None:
        self.notices.record_answer(headers, heard_at, now)
        text = headers.get(self._load_header) if self._load_header else None
        if text is not None:
            percent = parse_server_load(text).pace_percent
            if percent is not None:
                self.pace.record(percent, heard_at)

    def _can_start(self, execution, running) -> bool:
        assert self.guard is not None
        # A call that starts while a crash check is pending would be in flight at the
        # same crash as the suspect, and the crash would not show which one caused it.
        others = (
            *(other.fingerprint for other in running),
            *(run.fingerprint for run in self.lost_runs),
        )
        return self.guard.can_start(execution.fingerprint, others)


def call_kind(call: Call) -> str:
    """Return the kind of the call: its service and route."""
    return f"{call.service}/{call.route}"


def objective_at(call: Call, now: float, default: float) -> float:
    """Return the time by which a call that arrives now meets its objective."""
    return now + call.objective_ms / 1000 if call.objective_ms else default


def upstream_headers(
    names: HeaderNames,
    call: Call,
    forwarded: Iterable[tuple[str, str]],
    remaining_s: float,
) -> list[tuple[str, str]]:
    """Return the forwarded headers with those that the upstream gets in addition."""
    headers = [*forwarded, (names.deadline_ms, str(whole_ms(remaining_s)))]
    if call.request_key:
        headers.append((names.request_key, call.request_key))
    if names.target_upstream:
        headers.append((names.target_upstream, call.upstream))
    return headers


def whole_ms(seconds: float) -> int:
    """Return a time in whole ms, at least 0.

    Examples
    --------
    >>> whole_ms(0.0019), whole_ms(-1.0)
    (1, 0)
    """
    return max(0, int(seconds * 1000))
