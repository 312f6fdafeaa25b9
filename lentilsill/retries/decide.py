"""Whether a call may be tried again, or twice at once."""

from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, CallResult, Outcome

__all__ = ["decide_hedge", "decide_retry"]

# Refusals that reached no upstream cost little, but a caller must not wait for
# a whole fleet to refuse it.
MAX_CHOICES = 4
FAILED_STATUS = 500


def decide_retry(
    result: CallResult,
    idempotent: bool,
    arrivals: int,
    max_attempts: int,
    remaining_s: float,
    choices: int,
) -> bool:
    """Whether a call may get another attempt.

    A call that is not idempotent is tried again only after ``not_run``, an
    idempotent one also after an answer that reports a failure. `arrivals` of
    its `choices` upstreams have received it.

    Examples
    --------
    >>> from lentilsill.outcomes import Refused
    >>> decide_retry(Refused(Outcome.UNKNOWN, ""), False, 1, 3, 1.0, 1)
    False
    >>> decide_retry(Refused(Outcome.NOT_RUN, ""), False, 0, 3, 1.0, 1)
    True
    """
    if isinstance(result, Answer):
        if not idempotent or result.status < FAILED_STATUS:
            return False
    elif not idempotent and result.outcome is not Outcome.NOT_RUN:
        return False
    return arrivals < max_attempts and remaining_s > 0 and choices < MAX_CHOICES


def decide_hedge(
    policy: HedgePolicy | None, idempotent: bool, remaining_s: float
) -> float | None:
    """Give the delay in seconds before a second attempt, or None for no hedge."""
    if policy is None or not idempotent:
        return None
    delay_s = policy.delay_ms / 1000
    return delay_s if delay_s < remaining_s else None
