"""A call on its way, what its attempts have shown, and its log line."""

from dataclasses import dataclass, field
from typing import Any

from lentilsill.daemon.context import Context
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import Route, RouteTarget, ServiceDocument
from lentilsill.outcomes import Answer, CallResult, Refused
from lentilsill.routing import Candidate

__all__ = ["Attempt", "CallPlan", "report_call"]

FAILED_STATUS = 500


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that has ended."""

    candidate: Candidate
    result: CallResult
    expected_ms: int
    taken_s: float

    def fields(self) -> dict[str, Any]:
        """Give the attempt as it is logged."""
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
            "ms": round(self.taken_s * 1000, 1),
        }


@dataclass(eq=False, slots=True)
class CallPlan:
    """A call with what its attempts have shown.

    Parameters
    ----------
    began, deadline : float
        In seconds of the clock that never steps.
    attempts : set of str
        Upstreams that were chosen.
    arrivals : int
        How many of them the call has reached.
    target : RouteTarget or None
        The share of the route that the call belongs to.
    claim : str
        Attempt that holds the request key at its replicas.
    is_suspect : bool
        Whether an upstream died while it ran the call.
    overloaded : int
        Upstreams that had no room for the call.
    asked : set of str
        Upstreams that had no free slot when the call asked for one.
    is_counted : bool
        Whether the retry budget knows of the call.
    age_s : float
        How long before `began` the caller first tried, as far as that shows.
    """

    req: CallRequest
    document: ServiceDocument
    route: Route
    began: float
    deadline: float
    fingerprint: str
    attempts: set[str] = field(default_factory=set)
    arrivals: int = 0
    last: str = ""
    target: RouteTarget | None = None
    claim: str = ""
    is_suspect: bool = False
    overloaded: int = 0
    age_s: float = 0.0
    asked: set[str] = field(default_factory=set)
    is_counted: bool = False
    trace: list[Attempt] = field(default_factory=list)

    @property
    def kind(self) -> str:
        """Name calls that take about as long as each other."""
        return f"{self.document.service}/{self.route.name}"

    def objective_ms(self, now: float) -> int:
        """What is left of the objective of the route; 0 when it has none.

        An objective that has passed leaves 1 ms, which nothing can meet.
        """
        if not self.route.objective_ms:
            return 0
        waited_ms = (now - self.began + self.age_s) * 1000
        return max(1, round(self.route.objective_ms - waited_ms))


def report_call(ctx: Context, plan: CallPlan, result: CallResult | None) -> None:
    """Count a call, and log it unless its first attempt served it.

    The result is None when the caller left before there was one.
    """
    taken_s = ctx.now() - plan.began
    match result:
        case Answer(status=status):
            kind = "served" if status < FAILED_STATUS else "failed"
        case Refused(outcome=outcome):
            kind = outcome.value
            status = 0
        case None:
            kind, status = "abandoned", 0
    ctx.count(f"calls.ended.{kind}")
    ctx.timing("calls.duration", taken_s * 1000)
    ctx.load_summary.ended(
        plan.kind,
        result,
        plan.objective_ms(ctx.now()) == 1,
        taken_s,
        len(plan.asked),
        len(plan.trace),
    )
    if kind == "served" and len(plan.trace) == 1:
        return
    ctx.call_log.write(
        "call_ended",
        attempt=plan.req.attempt_id,
        service=plan.req.service,
        route=plan.route.name,
        revision=plan.document.version,
        outcome=kind,
        status=status,
        age_ms=round(plan.age_s * 1000),
        asked=len(plan.asked),
        reason=result.reason if isinstance(result, Refused) else "",
        retry_after_s=round(getattr(result, "retry_after_s", 0.0), 3),
        ms=round(taken_s * 1000, 1),
        time_limit_ms=round((plan.deadline - plan.began) * 1000),
        attempts=[attempt.fields() for attempt in plan.trace],
    )
