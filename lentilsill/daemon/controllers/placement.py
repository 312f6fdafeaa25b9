"""Where the next attempt of a call goes, and whether it may wait there."""

from dataclasses import dataclass

from lentilsill.daemon.context import Context
from lentilsill.documents import RouteTarget
from lentilsill.retries import SlotProbeRecord, decide_probe
from lentilsill.routing import CallProfile, Candidate, Selector, choose_target

from .call_progress import CallPlan

__all__ = ["Choice", "Placing"]

# A call with a larger body is not sent only to ask for a free slot.
MAX_ASKED_BODY_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for the next attempt, which starts there at once or not at all
    with `only_if_free`."""

    target: RouteTarget
    candidate: Candidate
    only_if_free: bool


class Placing:
    """Chooses upstreams for attempts.

    A node learns the load of upstreams from the answers to its own calls, and with
    few calls a second it knows too little. A call therefore asks a few upstreams of
    its domain for a free slot, and waits at the one of them that will answer first
    when none has one. While asking hardly ever finds a slot, most calls don't.
    """

    def __init__(self, ctx: Context, selector: Selector) -> None:
        self._ctx = ctx
        self._selector = selector
        self._record = SlotProbeRecord()

    def asked(self, plan: CallPlan, found: bool) -> None:
        """Take in whether an upstream that was asked had a free slot."""
        self._record.add_result(plan.kind, found)

    def choose(self, plan: CallPlan, now: float) -> Choice | None:
        """Choose a target by weight; when it has no upstream, another one.

        A target that has upstreams but no room keeps its share of the calls.
        """
        if plan.target is not None:
            return self._choose_of(plan, plan.target, now)
        targets = plan.route.targets
        while targets:
            target = choose_target(targets, self._ctx.rng)
            if target is None:
                break
            choice = self._choose_of(plan, target, now)
            if choice is not None:
                plan.target = target
                return choice
            targets = tuple(t for t in targets if t is not target)
        return None

    def _choose_of(
        self, plan: CallPlan, target: RouteTarget, now: float
    ) -> Choice | None:
        selector = self._selector
        near = selector.local_upstreams(target.service, target.upstream_set, now)
        others = len(near - plan.asked - plan.attempts)
        asks = (
            not plan.attempts
            and plan.route.hedge is None
            and len(plan.req.body) <= MAX_ASKED_BODY_BYTES
            and decide_probe(len(plan.asked), others)
            and (plan.asked or self._is_worth_asking(plan))
        )
        candidate = selector.pick(
            target.service,
            target.upstream_set,
            now,
            self._ctx.wall_ms(),
            plan.attempts,
            CallProfile(plan.objective_ms(now), plan.kind),
            plan.asked,
            is_probing=bool(asks),
        )
        if candidate is None:
            return None
        is_probing = bool(asks) and candidate.upstream in near
        return Choice(target, candidate, is_probing)

    def _is_worth_asking(self, plan: CallPlan) -> bool:
        return self._record.is_worthwhile(plan.kind, self._ctx.rng.random())
