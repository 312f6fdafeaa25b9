"""Records of a run, and the check of each guarantee on the merged history.

Times are seconds of the machine's monotonic clock, which all processes of a
run share.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lentilsill.findings import Findings

__all__ = [
    "AppliedSnapshot",
    "CallRecord",
    "DocumentWrite",
    "Execution",
    "GracefulStop",
    "History",
    "Organisation",
    "Retirement",
    "Rollout",
    "check_history",
    "runs_with_calls",
]

RETIRE_BOUND_S = 2.0
CONVERGENCE_BOUND_S = 13.0


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call and its result as the caller saw them.

    `outcome` is ``answer``, a value of `lentilsill.outcomes.Outcome`, or
    ``connection_lost`` when the entry node sent no answer.
    `answered_id` is the call id that the answer carries, and `status` the status of
    the HTTP answer.
    """

    call_id: str
    request_key: str
    idempotent: bool
    start_s: float
    end_s: float
    outcome: str
    answered_id: str = ""
    is_complete: bool = True
    api_key: str = ""
    is_public: bool = False
    status: int = 0
    service: str = ""


@dataclass(frozen=True, slots=True)
class Execution:
    """An execution of a request, as the upstream recorded it.

    `organisation` is the one that the node named, and `has_api_key` states whether
    the request contained an API key. `version` is that of the upstream, and `is_bad`
    states whether the answer failed or was slow.
    """

    call_id: str
    request_key: str
    idempotent: bool
    upstream: str
    start_s: float
    organisation: str = ""
    has_api_key: bool = False
    service: str = ""
    version: str = ""
    is_bad: bool = False


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its API keys; a rate of 0 stands for no quota."""

    name: str
    api_keys: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class DocumentWrite:
    """A version of a document that was written to the platform.

    `is_valid` states whether it passes validation; `references` are the
    services whose documents must be in force together with it. `organisations` is
    None if callers need no API key.
    """

    service: str
    version: int
    time_s: float
    is_valid: bool = True
    is_deleted: bool = False
    references: tuple[str, ...] = ()
    organisations: tuple[Organisation, ...] | None = None


@dataclass(frozen=True, slots=True)
class AppliedSnapshot:
    """A snapshot that a node put in force, as (service, version) pairs."""

    node: str
    instance: str
    time_s: float
    versions: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Retirement:
    """The time from which an upstream was leaving, until it was started again."""

    upstream: str
    time_s: float
    returned_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """A graceful stop of a node or upstream, from the request to the exit."""

    process: str
    requested_s: float
    end_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """A roll-out of a service's version, from the order to the status `outcome`.

    `outcome` is ``completed`` or ``rolled_back``, and empty if there was none.
    """

    service: str
    version: str
    ordered_s: float
    duration_s: float
    is_bad: bool
    ended_s: float = float("inf")
    outcome: str = ""


@dataclass(slots=True)
class History:
    """All records of one run."""

    calls: list[CallRecord] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    writes: list[DocumentWrite] = field(default_factory=list)
    applied: list[AppliedSnapshot] = field(default_factory=list)
    retirements: list[Retirement] = field(default_factory=list)
    stops: list[GracefulStop] = field(default_factory=list)
    rollouts: list[Rollout] = field(default_factory=list)


def runs_with_calls(history: History) -> Iterator[tuple[Execution, CallRecord]]:
    """Yield executions with their calls; those of unrecorded calls are left out."""
    calls: dict[str, list[CallRecord]] = defaultdict(list)
    for call in sorted(history.calls, key=lambda c: c.start_s):
        calls[call.call_id].append(call)
    for execution in history.executions:
        # A repeated call has the id of the first one.
        sent = [c for c in calls[execution.call_id] if c.start_s <= execution.start_s]
        if sent:
            yield execution, sent[-1]


def check_history(
    history: History, live_nodes: Iterable[str] = (), can_lose_answers: bool = True
) -> Findings:
    """Check every guarantee; a finding's place starts with the guarantee's number.

    Parameters
    ----------
    history : History
    live_nodes : iterable of str
        Nodes that were up and connected for the whole run. G9 is checked only
        for these.
    can_lose_answers : bool
        Whether the faults of the run can make callers lose answers. If not, G8
        requires an answer or `not_run` for every call.
    """
    findings = Findings()
    _check_monotonic(history, findings)
    _check_references(history, findings)
    _check_valid(history, findings)
    _check_answers(history, findings)
    _check_not_run(history, findings)
    _check_at_most_once(history, findings)
    _check_retirements(history, findings)
    _check_stops(history, can_lose_answers, findings)
    _check_convergence(history, tuple(live_nodes), findings)
    return findings


def _check_monotonic(history: History, findings: Findings) -> None:
    newest: dict[tuple[str, str, str], int] = {}
    for event in sorted(history.applied, key=lambda e: e.time_s):
        for service, version in event.versions:
            key = (event.node, event.instance, service)
            if version < newest.get(key, 0):
                findings.add(
                    f"G1 {event.node}",
                    f"{service} went from {newest[key]} to {version}",
                )
            newest[key] = max(version, newest.get(key, 0))


def _check_references(history: History, findings: Findings) -> None:
    references = {(w.service, w.version): w.references for w in history.writes}
    for event in history.applied:
        present = {service for service, _ in event.versions}
        for item in event.versions:
            for target in references.get(item, ()):
                if target not in present:
                    findings.add(f"G2 {event.node}", f"{item} refers to {target}")


def _check_valid(history: History, findings: Findings) -> None:
    valid = {(w.service, w.version) for w in history.writes if w.is_valid}
    for event in history.applied:
        for item in event.versions:
            if item not in valid:
                findings.add(f"G3 {event.node}", f"{item} in force, never accepted")


def _check_answers(history: History, findings: Findings) -> None:
    for call in history.calls:
        if call.outcome != "answer":
            continue
        if not call.is_complete:
            findings.add(f"G4 {call.call_id}", "answer cut short")
        # A call that repeats a request key receives the answer recorded for the key.
        if not call.request_key and call.answered_id != call.call_id:
            findings.add(f"G4 {call.call_id}", f"got answer of {call.answered_id}")


def _check_not_run(history: History, findings: Findings) -> None:
    by_identity = _executions_by_identity(history)
    for call in history.calls:
        if call.outcome != "not_run":
            continue
        identity = call.request_key or call.call_id
        starts = [e.start_s for e in by_identity[identity] if e.start_s <= call.end_s]
        if starts:
            findings.add(f"G5 {identity}", f"refused as not run, ran at {starts[0]}")


def _check_at_most_once(history: History, findings: Findings) -> None:
    for identity, executions in _executions_by_identity(history).items():
        if not executions[0].idempotent and len(executions) > 1:
            upstreams = ", ".join(e.upstream for e in executions)
            findings.add(f"G6 {identity}", f"ran {len(executions)} times: {upstreams}")


def _executions_by_identity(history: History) -> dict[str, list[Execution]]:
    grouped: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        grouped[execution.request_key or execution.call_id].append(execution)
    return grouped


def _check_retirements(history: History, findings: Findings) -> None:
    # An upstream can be retired and started again more than once.
    for retirement in history.retirements:
        limit_s = retirement.time_s + RETIRE_BOUND_S
        for execution in history.executions:
            if execution.upstream != retirement.upstream:
                continue
            if limit_s < execution.start_s < retirement.returned_s:
                late_s = execution.start_s - limit_s
                findings.add(
                    f"G7 {execution.upstream}", f"new work {late_s:.3f} s too late"
                )


def _check_stops(history: History, can_lose_answers: bool, findings: Findings) -> None:
    for stop in history.stops:
        if stop.reason != "idle":
            findings.add(f"G8 {stop.process}", f"stopped by {stop.reason}, not idle")
    if can_lose_answers:
        return
    for call in history.calls:
        if call.outcome not in ("answer", "not_run"):
            findings.add(f"G8 {call.call_id}", f"cut: {call.outcome}")


def _check_convergence(
    history: History, live_nodes: tuple[str, ...], findings: Findings
) -> None:
    reached: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for event in history.applied:
        for service, version in event.versions:
            reached[event.node, service].append((event.time_s, version))
    for write in history.writes:
        if not write.is_valid or write.is_deleted:
            continue
        for node in live_nodes:
            limit_s = write.time_s + CONVERGENCE_BOUND_S
            if not any(
                version >= write.version and time_s <= limit_s
                for time_s, version in reached[node, write.service]
            ):
                findings.add(
                    f"G9 {node}",
                    f"{write.service}@{write.version} not in force within "
                    f"{CONVERGENCE_BOUND_S:.0f} s",
                )
