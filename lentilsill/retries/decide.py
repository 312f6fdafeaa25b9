"""Decisions to retry a call, to hedge it, and to probe for a free slot."""

from lentilsill.documents import HedgePolicy
from lentilsill.outcomes import Answer, CallResult, Outcome

__all__ = ["MAX_SLOT_PROBES", "decide_hedge", "decide_probe", "decide_retry"]

# A call makes up to this many slot probes before it waits at one of the upstreams, or
# one more where a single upstream is left. Each probe costs the call two messages.
MAX_SLOT_PROBES = 2

# Placements that reached an upstream, or that an upstream without room refused.
MAX_PLACEMENTS = 4
# Upstreams are tried in the order of their expected time. When two have no room, a
# third seldom has, and each attempt costs the upstreams time.
MAX_OVERLOADED = 2
MIN_FAILED_STATUS = 500


def decide_retry(
    result: CallResult,
    idempotent: bool,
    arrivals: int,
    max_attempts: int,
    remaining_s: float,
    choices: int,
    overloaded: int = 0,
) -> bool:
    """Return whether a call may have another attempt.

    A call that is not idempotent is retried only after ``not_run``, an idempotent one
    also after an answer that reports a failure. The call was sent to `choices`
    upstreams; `arrivals` of them received it, and `overloaded` had no room for it.
    Upstreams whose nodes refused it for another reason than overload are not counted:
    such a refusal costs the upstream nothing and says nothing about the others.

    Examples
    --------
    >>> from lentilsill.outcomes import Refused
    >>> decide_retry(Refused(Outcome.UNKNOWN, ""), False, 1, 3, 1.0, 1)
    False
    >>> decide_retry(Refused(Outcome.NOT_RUN, ""), False, 0, 3, 1.0, 1)
    True
    """
    if isinstance(result, Answer):
        if not idempotent or result.status < MIN_FAILED_STATUS:
            return False
    elif not idempotent and result.outcome is not Outcome.NOT_RUN:
        return False
    if choices >= MAX_PLACEMENTS or overloaded >= MAX_OVERLOADED:
        return False
    return arrivals < max_attempts and remaining_s > 0


def decide_probe(probed: int, unprobed: int, max_probes: int = MAX_SLOT_PROBES) -> bool:
    """Return whether a call probes the next upstream for a slot, instead of waiting.

    Probes help when most slots are taken and each node sends too few calls to know
    which ones are free. `probed` upstreams had no free slot, and `unprobed` remain. A
    single upstream receives the call without a probe. The last remaining one is probed
    even beyond `max_probes`, as nothing is known of it.

    Examples
    --------
    >>> decide_probe(0, 2), decide_probe(0, 1), decide_probe(2, 9), decide_probe(2, 1)
    (True, False, False, True)
    """
    has_probed_enough = probed >= max_probes and unprobed > 1
    return (
        max_probes > 0
        and unprobed > 0
        and probed + unprobed > 1
        and not has_probed_enough
    )


def decide_hedge(
    policy: HedgePolicy | None, idempotent: bool, remaining_s: float
) -> float | None:
    """Return the delay in seconds before the hedged attempt, or None for no hedge."""
    if policy is None or not idempotent:
        return None
    delay_s = policy.delay_ms / 1000
    return delay_s if delay_s < remaining_s else None
