"""Whether a call may be tried again, or twice at once."""

from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, CallResult, Outcome

from .budget import RetryBudget

__all__ = ["decide_hedge", "decide_retry"]


def decide_retry(
    result: CallResult,
    idempotent: bool,
    attempts: int,
    max_attempts: int,
    remaining_s: float,
    budget: RetryBudget | None,
) -> bool:
    """Whether a call gets another attempt after `attempts` of them.

    A call that is not idempotent is tried again only after ``not_run``. A
    token is taken from `budget` when the answer is yes; None takes none.
    """
    if isinstance(result, Answer):
        return False
    if not idempotent and result.outcome is not Outcome.NOT_RUN:
        return False
    if attempts >= max_attempts or remaining_s <= 0:
        return False
    return budget is None or budget.take()


def decide_hedge(
    policy: HedgePolicy | None, idempotent: bool, remaining_s: float
) -> float | None:
    """Give the delay in seconds before a second attempt, or None for no hedge."""
    if policy is None or not idempotent:
        return None
    delay_s = policy.delay_ms / 1000
    return delay_s if delay_s < remaining_s else None
