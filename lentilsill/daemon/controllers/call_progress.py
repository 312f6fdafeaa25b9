"""State of a call in progress, and the metrics and log line of its end."""

from dataclasses import dataclass, field, replace
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Route, RouteTarget, ServiceDocument
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused
from lentilsill.retries import decide_retry
from lentilsill.routing import Candidate
from lentilsill.wire.messages import Call

from .call_admission import Admission
from .call_results import is_overload
from .late_replies import LateReplies
from .reasons import CRASHED, LEAVING

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
        Upstream that an attempt reached last. The second attempt of a hedge does not
        set it.
    target : RouteTarget or None
        Weighted target of the route that the call was assigned to.
    claim_attempt : str
        Attempt that holds the request key at its replicas.
    is_suspect : bool
        Whether an upstream died while it ran the call.
    overload_count : int
        Number of attempts that were refused because of overload.
    unreached_upstreams : set of str
        Upstreams whose nodes refused the call, without those that had no room for it.
    leaving_upstreams : set of str
        Upstreams whose nodes refused the call because they leave.
    retry_tokens : int
        Number of attempts that the retry budget has granted.
    view_wait_ends_at : float or None
        Time until which the call waits for changes that its node does not know yet;
        None if it has not waited.
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
    waiting_services : tuple of str
        Services with running calls that wait for this call.
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
    unreached_upstreams: set[str] = field(default_factory=set)
    leaving_upstreams: set[str] = field(default_factory=set)
    retry_tokens: int = 0
    view_wait_ends_at: float | None = None
    age_s: float = 0.0
    busy_upstreams: set[str] = field(default_factory=set)
    is_in_retry_budget: bool = False
    ended_attempts: list[Attempt] = field(default_factory=list)
    late_replies: LateReplies = field(default_factory=LateReplies)
    waiting_services: tuple[str, ...] = ()

    @property
    def kind(self) -> str:
        """Service and route; calls of one kind take about the same time."""
        return f"{self.document.service}/{self.route.name}"

    @property
    def needs_retry_token(self) -> bool:
        """Whether another arrival at an upstream has to be granted by the budget.

        A granted attempt that reached no upstream leaves its token to the next one.
        """
        return self.arrival_count > self.retry_tokens

    @property
    def is_unreached(self) -> bool:
        """Whether no attempt reached an upstream or was refused for lack of room."""
        has_probed = bool(self.busy_upstreams)
        return not has_probed and self.tried_upstreams <= self.unreached_upstreams

    def record_reply(self, upstream: str, result: CallResult) -> None:
        """Record the result of an attempt, also of one of two hedged attempts."""
        match result:
            case Refused(outcome=Outcome.NOT_RUN, arrived=False, reason=reason):
                # Upstreams at their own limit count, so that a call that all of them
                # refuse does not send messages to the whole fleet.
                if not result.is_overload:
                    self.unreached_upstreams.add(upstream)
                if reason == LEAVING:
                    self.leaving_upstreams.add(upstream)

    def record_attempt(self, upstream: str, result: CallResult) -> None:
        """Record the result with which the call goes on, except busy slot probes."""
        self.tried_upstreams.add(upstream)
        match result:
            case Answer():
                self.arrival_count += 1
                self.last_upstream = upstream
            case Refused(reason=reason, arrived=arrived):
                self.overload_count += is_overload(result)
                self.is_suspect |= reason == CRASHED
                if arrived:
                    self.arrival_count += 1
                    self.last_upstream = upstream

    def may_retry(self, result: CallResult, now: float) -> bool:
        """Return whether the call may have another attempt after this result."""
        return decide_retry(
            result,
            self.route.idempotent,
            self.arrival_count,
            self.route.retry.max_attempts,
            self.deadline - now,
            len(self.tried_upstreams - self.unreached_upstreams),
            self.overload_count,
        )

    def set_targets(
        self, document: ServiceDocument, targets: tuple[RouteTarget, ...]
    ) -> None:
        """Take the targets from a newer document; the other properties stay."""
        self.document = document
        self.route = replace(self.route, targets=targets)
        if self.target not in targets:
            self.target = None

    def make_call(self, upstream: str, only_if_free: bool, now: float) -> Call:
        """Return the message for an attempt; the link fills in its id and deadline."""
        req = self.req
        return Call(
            0,
            upstream,
            req.method,
            req.path,
            req.headers,
            req.body,
            0,
            self.route.idempotent,
            req.request_key,
            req.service,
            self.document.version,
            attempt=self.claim_attempt,
            attempt_id=req.attempt_id,
            route=self.route.name,
            priority=self.admission.priority,
            objective_ms=self.objective_ms(now),
            is_suspect=self.is_suspect,
            only_if_free=only_if_free,
            organisation=self.admission.organisation,
            organisation_weight=self.admission.weight,
            waiting_services=self.waiting_services,
        )

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
