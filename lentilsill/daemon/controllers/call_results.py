"""Classification of the results of attempts."""

from dataclasses import replace

from lentilsill.daemon.interfaces import CallRequest
from lentilsill.outcomes import Answer, CallResult, Outcome, Refused

from .reasons import BUSY, LEAVING, RATE_LIMITED, STARTUP_RETRY_S, UNREACHABLE

__all__ = [
    "is_busy",
    "is_overload",
    "is_upstream_failure",
    "refuse_call",
    "with_retry_after",
    "worse_refusal",
]


def is_upstream_failure(result: CallResult) -> bool:
    """Return whether the result counts as a failure of the upstream or its host."""
    match result:
        case Answer(status=status):
            return status >= 500
        case Refused(outcome=Outcome.NOT_RUN, reason=reason, arrived=arrived):
            return arrived or reason.startswith(UNREACHABLE)
    return True


def is_busy(result: CallResult) -> bool:
    """Return whether the upstream refused a slot probe because it had no free slot."""
    return isinstance(result, Refused) and result.reason == BUSY


def is_overload(refusal: Refused) -> bool:
    """Return whether the refusal shows that upstreams have no room.

    An upstream at its own limit shows nothing about the others.
    """
    return refusal.is_overload and refusal.reason != RATE_LIMITED


def worse_refusal(worst: Refused | None, result: Refused) -> Refused:
    """Return the refusal that is stronger evidence of an execution, or the newer one.

    The outcome of a call thus covers any attempt that may have run.
    """
    order = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RUN_ANSWER_LOST)
    if worst is None or order.index(result.outcome) >= order.index(worst.outcome):
        return result
    return worst


def with_retry_after(refusal: Refused | None) -> Refused | None:
    """Return the last refusal of a call, with the time of a retry if upstreams leave.

    Others are started in their place in most cases.
    """
    if refusal is None or refusal.reason != LEAVING:
        return refusal
    return replace(refusal, retry_after_s=STARTUP_RETRY_S)


def refuse_call(req: CallRequest, reason: str, retry_after_s: float = 0.0) -> Refused:
    """Refuse a call before its first attempt.

    A call with a request key may have run before through another node. Only the
    replicas of the key know, so its outcome is ``unknown``.
    """
    outcome = Outcome.UNKNOWN if req.request_key else Outcome.NOT_RUN
    return Refused(outcome, reason, retry_after_s)
