"""State of a call in progress, and the metrics and log line of its end."""

from dataclasses import dataclass, field
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Route, RouteTarget, ServiceDocument
from lentilsill.outcomes import Answer, CallResult, Refused
from lentilsill.routing import Candidate

from .call_admission import Admission
from .late_replies import LateReplies

__all__ = ["Attempt", "CallProgress", "report_call"]

MIN_FAILED_STATUS = 500


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt with a result; `expected_ms` is the time reported with it, or -1."""

    candidate: Candidate
    result: CallResult
    expected_ms: int
    duration_s: float

    def log_fields(self) -> dict[str, Any]:
        """Return the attempt as the fields of a log entry."""
        match self.result:
            case Answer(status=status):
                outcome, reason = str(status), ""
            case Refused(outcome=known, reason=reason):
                outcome = known.value
        return {
            "upstream": self.candidate.upstream,
            "node": self.candidate.node,
            "outcome": outcome,
            "reason": reason,
            "expected_ms": self.expected_ms,
            "ms": round(self.duration_s * 1000, 1),
        }


@dataclass(eq=False, slots=True)
class CallProgress:
    """A call in progress and the results of its attempts so far.

    Parameters
    ----------
    started_at, deadline : float
        In seconds of one monotonic clock.
    admission : Admission
        The caller's organisation and the priority of the call.
    tried_upstreams : set of str
        Upstreams chosen for an attempt, without those that refused a slot probe.
    arrival_count : int
        Number of attempts that reached an upstream.
    last_upstream : str
        Upstream chosen last. The second attempt of a hedge does not set it.
    target : RouteTarget or None
        Weighted target of the route that the call was assigned to.
    claim_attempt : str
        Attempt that holds the request key at its replicas.
    is_suspect : bool
        Whether an upstream died while it ran the call.
    overload_count : int
        Number of attempts that were refused because of overload.
    age_s : float
        Estimated time from the caller's first try to `started_at`.
    busy_upstreams : set of str
        Upstreams that had no free slot when the call probed them.
    is_in_retry_budget : bool
        Whether the retry budget has counted the call.
    ended_attempts : list of Attempt
        Attempts with a result, in the order of their ends. Slot probes that found
        no free slot are left out.
    late_replies : LateReplies
        Results of attempts whose links were lost.
    """

    req: CallRequest
    document: ServiceDocument
    route: Route
    started_at: float
    deadline: float
    fingerprint: str
    admission: Admission
    tried_upstreams: set[str] = field(default_factory=set)
    arrival_count: int = 0
    last_upstream: str = ""
    target: RouteTarget | None = None
    claim_attempt: str = ""
    is_suspect: bool = False
    overload_count: int = 0
    age_s: float = 0.0
    busy_upstreams: set[str] = field(default_factory=set)
    is_in_retry_budget: bool = False
    ended_attempts: list[Attempt] = field(default_factory=list)
    late_replies: LateReplies = field(default_factory=LateReplies)

    @property
    def kind(self) -> str:
        """Service and route; calls of one kind take about the same time."""
        return f"{self.document.service}/{self.route.name}"

    def objective_ms(self, now: float) -> int:
        """Return the remaining latency objective, or 0 for a route without one.

        Returns 1 ms, which no attempt can meet, when the objective has passed.
        """
        if not self.route.objective_ms:
            return 0
        waited_ms = (now - self.started_at + self.age_s) * 1000
        return max(1, round(self.route.objective_ms - waited_ms))


def report_call(
    ctx: Context, progress: CallProgress, result: CallResult | None
) -> None:
    """Update the metrics for an ended call and log it.

    A call that its first attempt served is not logged. The result is None when the
    caller disconnected before there was one.
    """
    duration_s = ctx.now() - progress.started_at
    match result:
        case Answer(status=status):
            kind = "served" if status < MIN_FAILED_STATUS else "failed"
        case Refused(outcome=outcome):
            kind = outcome.value
            status = 0
        case None:
            kind, status = "abandoned", 0
    ctx.count(f"calls.ended.{kind}")
    ctx.timing("calls.duration", duration_s * 1000)
    ctx.load_summary.record_call(
        progress.kind,
        result,
        progress.objective_ms(ctx.now()) == 1,
        duration_s,
        len(progress.busy_upstreams),
        len(progress.ended_attempts),
    )
    is_late_reply = progress.late_replies.has_answered
    if is_late_reply:
        ctx.count("calls.late_reply")
    if kind == "served" and len(progress.ended_attempts) == 1 and not is_late_reply:
        return
    ctx.call_log.write(
        "call_ended",
        attempt=progress.req.attempt_id,
        service=progress.req.service,
        route=progress.route.name,
        revision=progress.document.version,
        outcome=kind,
        status=status,
        age_ms=round(progress.age_s * 1000),
        asked=len(progress.busy_upstreams),
        reason=result.reason if isinstance(result, Refused) else "",
        retry_after_s=round(getattr(result, "retry_after_s", 0.0), 3),
        ms=round(duration_s * 1000, 1),
        time_limit_ms=round((progress.deadline - progress.started_at) * 1000),
        late_reply=is_late_reply,
        attempts=[attempt.log_fields() for attempt in progress.ended_attempts],
    )
