"""What the results of attempts say of the call and of the upstream."""

from lentilsill.outcomes import Answer, CallResult, Outcome, Refused

from .reasons import UNREACHABLE

__all__ = ["speaks_against", "worse_of"]


def speaks_against(result: CallResult) -> bool:
    """Whether the result counts as a failure of the upstream or its host."""
    match result:
        case Answer(status=status):
            return status >= 500
        case Refused(outcome=Outcome.NOT_RUN, reason=reason, arrived=arrived):
            return arrived or reason.startswith(UNREACHABLE)
    return True


def worse_of(worst: Refused | None, result: Refused) -> Refused:
    """Keep what is known over all attempts: one that may have run stays."""
    order = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RUN_ANSWER_LOST)
    if worst is None or order.index(result.outcome) >= order.index(worst.outcome):
        return result
    return worst
