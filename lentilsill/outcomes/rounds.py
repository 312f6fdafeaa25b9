"""One round of claims for a request key at the entry node.

See Also
--------
lentilsill.outcomes.claims : the replicas, and the safety argument.
"""

from dataclasses import dataclass

from .claims import ClaimAnswer, ClaimGranted, Finished, HeldBy, NotGranted
from .keys import RequestKey
from .model import CallResult, Outcome, Refused

__all__ = ["ClaimRound", "Decision", "MayRun", "Resolved", "Waiting"]


@dataclass(frozen=True, slots=True)
class MayRun:
    """A majority of the replicas granted the claim, so the attempt may run."""


@dataclass(frozen=True, slots=True)
class Resolved:
    """The key has a recorded result, or the attempt is refused."""

    result: CallResult


@dataclass(frozen=True, slots=True)
class Waiting:
    """Other attempts hold the key, and their outcome may be recorded later."""

    holders: tuple[str, ...]


Decision = MayRun | Resolved | Waiting


class ClaimRound:
    """Collects the replies of the named instances and decides once.

    The decision never changes after it is made. An attempt whose decision isn't
    `MayRun` never runs, so it may be released.
    """

    def __init__(self, key: RequestKey) -> None:
        self.key = key
        self.replies: dict[str, ClaimAnswer | None] = {}
        self.decision: Decision | None = None

    def add_reply(self, instance: str, answer: ClaimAnswer) -> Decision | None:
        """Record the first reply of an instance and return the decision, if any."""
        if instance in self.key.instances and not self.replies.get(instance):
            self.replies[instance] = answer
        return self._decide(is_final=False)

    def mark_unreachable(self, instance: str) -> Decision | None:
        """Record that no reply of an instance is expected any more."""
        if instance in self.key.instances:
            self.replies.setdefault(instance, None)
        return self._decide(is_final=False)

    def give_up(self) -> Decision:
        """Decide from the replies received so far."""
        decision = self._decide(is_final=True)
        assert decision is not None
        return decision

    def instances_to_release(self) -> tuple[str, ...]:
        """Return the instances that hold, or may later hold, the attempt to release."""
        if self.decision is None or isinstance(self.decision, MayRun):
            return ()
        return tuple(
            name
            for name in self.key.instances
            if isinstance(self.replies.get(name), ClaimGranted | None)
        )

    def _decide(self, is_final: bool) -> Decision | None:
        if self.decision is None:
            is_complete = is_final or len(self.replies) == len(self.key.instances)
            self.decision = self._evaluate(is_complete)
        return self.decision

    def _evaluate(self, is_complete: bool) -> Decision | None:
        answers = [answer for answer in self.replies.values() if answer is not None]
        for answer in answers:
            if isinstance(answer, Finished):
                return Resolved(answer.result)
        granted = sum(isinstance(answer, ClaimGranted) for answer in answers)
        if granted >= self.key.majority:
            return MayRun()
        holders = tuple(a.holder for a in answers if isinstance(a, HeldBy))
        if len(holders) >= self.key.majority:
            return Waiting(holders)
        if not is_complete:
            return None
        refusals = [a for a in answers if isinstance(a, NotGranted)]
        if holders and all(a.has_no_claim for a in refusals):
            return Waiting(holders)
        without_claim = granted + sum(a.has_no_claim for a in refusals)
        return Resolved(self._refusal(without_claim, bool(holders), refusals))

    def _refusal(
        self, without_claim: int, is_held: bool, refusals: list[NotGranted]
    ) -> Refused:
        reason = "; ".join(sorted({a.reason for a in refusals}))
        if without_claim >= self.key.majority and not is_held:
            return Refused(Outcome.NOT_RUN, reason or "claim not granted")
        return Refused(Outcome.UNKNOWN, reason or "too few replicas of the key answer")
