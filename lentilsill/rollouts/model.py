"""Orders of roll-outs and their states."""

from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = ["ExposureLimits", "Order", "RolloutState", "Stage", "newest_state"]


class Stage(IntEnum):
    """Stage of a roll-out; `WITHDRAWN` is one whose order was deleted."""

    CANARY = 0
    SHIFTING = 1
    COMPLETED = 2
    ROLLED_BACK = 3
    WITHDRAWN = 4

    @property
    def is_final(self) -> bool:
        """Whether no other stage follows."""
        return self >= Stage.COMPLETED


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the calls that a bad version gets.

    Parameters
    ----------
    share : float
        Largest share of a service's calls during its roll-out.
    calls : float
        Number of calls above this share, over all nodes.
    rollback_s : float
        Time after the 50th bad answer from which the version gets no calls.
    """

    share: float
    calls: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to roll out a version.

    `position` is the position of its write. `identity` stays the same when the same
    order is written again, and differs for any other order.
    """

    service: str
    target_version: str
    duration_s: float
    identity: str
    position: int


@dataclass(frozen=True, slots=True)
class RolloutState:
    """State of a roll-out.

    Parameters
    ----------
    order : Order
    started_ms : int
        When the first node learned of the order, in ms since the epoch.
    stage : Stage
    reason : str
        Why the roll-out is in this stage.
    is_stored : bool
        Whether the platform's store holds the stage. Only a stored final stage is the
        outcome; a roll-back takes effect before it is stored.
    """

    order: Order
    started_ms: int
    stage: Stage = Stage.CANARY
    reason: str = ""
    is_stored: bool = False

    @property
    def is_outcome(self) -> bool:
        """Whether no other stage can follow."""
        return self.stage.is_final and self.is_stored

    def advance(self, stage: Stage, reason: str) -> "RolloutState":
        """Return the state in another stage, which is not stored yet."""
        return replace(self, stage=stage, reason=reason, is_stored=False)

    @property
    def _rank(self) -> tuple[bool, int]:
        return (self.is_outcome, self.stage)


def newest_state(known: RolloutState | None, found: RolloutState) -> RolloutState:
    """Return the state that holds, of two that may be of different orders.

    The order that was written last holds. Within an order, the stored outcome holds,
    then the later stage. Two different outcomes exist only after the store has lost
    one; the one that is already known holds.
    """
    if known is None:
        return found
    if known.order.identity != found.order.identity:
        return found if found.order.position > known.order.position else known
    position = max(known.order.position, found.order.position)
    holds = known
    if (
        found._rank > known._rank
        and not known.is_outcome
        or found.stage is known.stage
        and found.is_stored
    ):
        holds = found
    started_ms = min(known.started_ms, found.started_ms)
    order = replace(holds.order, position=position)
    return replace(holds, order=order, started_ms=started_ms)
