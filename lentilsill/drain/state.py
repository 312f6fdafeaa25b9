"""Drain state of a node."""

from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = ["DrainPhase", "DrainReason", "DrainState"]


class DrainPhase(StrEnum):
    """Whether a node serves calls, finishes the remaining ones, or may exit."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class DrainReason(StrEnum):
    """Why a drain ended."""

    IDLE = "idle"
    BOUND = "bound"


@dataclass(frozen=True, slots=True)
class DrainState:
    """Drain of a node, which takes from `min_s` to `bound_s` seconds.

    Callers may need up to `min_s` to notice that the node leaves. Calls that arrive
    more than `accept_s` after the start of the drain are refused, so that the accepted
    ones can end within `bound_s`.

    Examples
    --------
    >>> state = DrainState(bound_s=30.0).begin(now_s=5.0)
    >>> state.update(in_flight=2, now_s=6.0).phase.value
    'draining'
    >>> state.update(in_flight=0, now_s=6.0).reason.value
    'idle'
    >>> state.update(in_flight=2, now_s=35.0).reason.value
    'bound'
    >>> state = DrainState(bound_s=5.0, accept_s=2.8).begin(now_s=5.0)
    >>> state.accepts_calls(now_s=7.0), state.accepts_calls(now_s=8.0)
    (True, False)
    """

    bound_s: float
    phase: DrainPhase = DrainPhase.SERVING
    began_s: float = 0.0
    reason: DrainReason | None = None
    min_s: float = 0.0
    accept_s: float | None = None

    def accepts_calls(self, now_s: float) -> bool:
        """Return whether the node still accepts calls from its callers."""
        if self.phase is DrainPhase.SERVING or self.accept_s is None:
            return True
        return now_s < self.began_s + self.accept_s

    def begin(self, now_s: float) -> "DrainState":
        """Start the drain; a second start does not extend the bound."""
        if self.phase is not DrainPhase.SERVING:
            return self
        return replace(self, phase=DrainPhase.DRAINING, began_s=now_s)

    def update(self, in_flight: int, now_s: float) -> "DrainState":
        """End the drain when no call is in flight after `min_s`, or at the bound."""
        if self.phase is not DrainPhase.DRAINING:
            return self
        if in_flight == 0 and now_s >= self.began_s + self.min_s:
            return replace(self, phase=DrainPhase.DRAINED, reason=DrainReason.IDLE)
        if now_s >= self.began_s + self.bound_s:
            return replace(self, phase=DrainPhase.DRAINED, reason=DrainReason.BOUND)
        return self
