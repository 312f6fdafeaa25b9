"""Whether a call may be tried again, or twice at once."""

from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, CallResult, Outcome

__all__ = ["MAX_SLOT_PROBES", "decide_hedge", "decide_probe", "decide_retry"]

# Upstreams that are asked for a free slot before a call waits at one of them. Each
# costs a call two messages.
MAX_SLOT_PROBES = 2

# Refusals that reached no upstream cost little, but a caller must not wait for
# a whole fleet to refuse it.
MAX_CHOICES = 4
# The upstream with the shortest expected time is asked first: when two have no
# room, a third seldom has, and asking costs all of them time.
MAX_OVERLOADED = 2
FAILED_STATUS = 500


def decide_retry(
    result: CallResult,
    idempotent: bool,
    arrivals: int,
    max_attempts: int,
    remaining_s: float,
    choices: int,
    overloaded: int = 0,
) -> bool:
    """Whether a call may get another attempt.

    A call that is not idempotent is tried again only after ``not_run``, an
    idempotent one also after an answer that reports a failure. `arrivals` of
    its `choices` upstreams have received it, and `overloaded` had no room for it.

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
    if choices >= MAX_CHOICES or overloaded >= MAX_OVERLOADED:
        return False
    return arrivals < max_attempts and remaining_s > 0


def decide_probe(asked: int, others: int, max_probes: int = MAX_SLOT_PROBES) -> bool:
    """Whether a call asks the next upstream for a free slot, rather than wait there.

    It is made for the load at which most slots are taken, and each node sends too few
    calls to know which are free. `asked` upstreams had none, and there are `others`
    that have not been asked. An only upstream gets the call as it is, and the last
    one that is left is asked too, as nothing is known of it.

    Examples
    --------
    >>> decide_probe(0, 2), decide_probe(0, 1), decide_probe(2, 9), decide_probe(2, 1)
    (True, False, False, True)
    """
    is_known = asked >= max_probes and others > 1
    return max_probes > 0 and others > 0 and asked + others > 1 and not is_known


def decide_hedge(
    policy: HedgePolicy | None, idempotent: bool, remaining_s: float
) -> float | None:
    """Give the delay in seconds before a second attempt, or None for no hedge."""
    if policy is None or not idempotent:
        return None
    delay_s = policy.delay_ms / 1000
    return delay_s if delay_s < remaining_s else None
