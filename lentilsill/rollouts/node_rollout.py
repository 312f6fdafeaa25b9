"""What one node does in a roll-out of one service."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from .evidence import EvidenceTable
from .exposure import ExposureLimit
from .model import RolloutState, Stage, newest_state

__all__ = ["NodeRollout", "VersionChoice"]

# After a completion the old upstreams stop. Later, upstreams of a further version
# without an order must get calls as usual.
COMPLETED_HOLD_S = 60.0
# Time in which the share of the target version rises to 1.
SHIFT_S = 2.0
# Probability that a call goes to the target version while the limit has room, as a
# multiple of the share. A higher one would overload the canaries after a pause, and
# without one every n-th call would be exposed, which can leave routes out.
EXPOSURE_FACTOR = 1.5
# Upstreams start cold, and slow answers are no evidence then. Without this limit, the
# model counts 19 calls that are late by the time for a roll-back if all are slow.
WARM_UP_S = 4.0
# A node that has confirmed that it sends nothing to other versions keeps to this for
# this time, as `completed` may be on its way to the store.
PROMISE_S = 2.0
# A call may be on its way to its destination this long after its entry node has
# cancelled it.
SETTLE_S = 0.3


class VersionChoice(Enum):
    """Versions that a call may go to.

    `CANARIES` are a few upstreams of the target version. With a choice that prefers,
    the call goes to an upstream of the remaining versions if there is no other.
    """

    ANY = 0
    CANARIES = 1
    PREFER_TARGET = 2
    PREFER_OTHERS = 3
    TARGET = 4
    OTHERS = 5


@dataclass
class NodeRollout:
    """Roll-out of a service at one node.

    Parameters
    ----------
    state : RolloutState
    limit : ExposureLimit
    share : float
        Share of the calls that the target version gets when the shift begins.
    lease_s : float
        Time after the last heartbeat of a decider from which the node sends nothing to
        the target version: it may be cut off, and the version rolled back.
    learned_at, heard_at : float
        When the node learned of the order, and of the last heartbeat.
    """

    state: RolloutState
    limit: ExposureLimit
    share: float
    lease_s: float
    learned_at: float
    heard_at: float
    shifting_since: float = float("inf")
    others_used_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    completed_at: float = float("inf")

    def __post_init__(self) -> None:
        self.evidence = EvidenceTable()
        if self.state.stage is Stage.COMPLETED:
            self.completed_at = self.learned_at

    def merge(
        self, found: RolloutState, now: float, shifting_age_s: float = 0.0
    ) -> bool:
        """Apply a state of the same order; return whether it changed this one.

        `shifting_age_s` is the time since the shift began at the node that sent the
        state. A node that starts during the shift goes on at the share of the others.
        """
        before = self.state
        self.state = newest_state(before, found)
        if self.state.stage is Stage.SHIFTING:
            self.shifting_since = min(self.shifting_since, now - shifting_age_s)
        if self.state.stage is Stage.COMPLETED:
            self.completed_at = min(self.completed_at, now)
        after = self.state
        # The position grows with each write of the order's status.
        return (after.stage, after.is_stored) != (before.stage, before.is_stored)

    def choose(
        self, now: float, rng: Random, is_first_attempt: bool = True
    ) -> VersionChoice:
        """Return the versions that a call may go to.

        Further attempts of a call go to the other versions while the target version is
        on trial.
        """
        is_leased = self.is_leased(now)
        match self.stage_at(now):
            case Stage.WITHDRAWN:
                return VersionChoice.ANY
            case Stage.COMPLETED:
                is_held = now - self.completed_at < COMPLETED_HOLD_S
                return VersionChoice.TARGET if is_held else VersionChoice.ANY
            case Stage.ROLLED_BACK:
                return VersionChoice.OTHERS
            case Stage.SHIFTING:
                if self.is_promised(now):
                    return VersionChoice.TARGET
                if is_leased and rng.random() < self._shifted_share(now):
                    return VersionChoice.PREFER_TARGET
                return VersionChoice.PREFER_OTHERS
        is_warming_up = now - self.learned_at < WARM_UP_S
        can_expose = is_leased and is_first_attempt
        can_expose = can_expose and self.limit.has_room(is_warming_up)
        if can_expose and rng.random() < EXPOSURE_FACTOR * self.share:
            return VersionChoice.CANARIES
        return VersionChoice.OTHERS

    def is_leased(self, now: float) -> bool:
        """Return whether a heartbeat of a decider is recent."""
        return now - self.heard_at < self.lease_s

    def is_promised(self, now: float) -> bool:
        """Return whether the node has promised to use no other version."""
        return now - self.confirmed_at < PROMISE_S

    def stage_at(self, now: float) -> Stage:
        """Return the stage that the node acts on."""
        state = self.state
        is_provisional = state.stage is Stage.ROLLED_BACK and not state.is_stored
        if is_provisional and self.is_promised(now):
            return Stage.SHIFTING
        return state.stage

    def refuses_others(self, now: float) -> bool:
        """Return whether upstreams of this node with other versions take no calls."""
        match self.stage_at(now):
            case Stage.COMPLETED:
                return now - self.completed_at < COMPLETED_HOLD_S
            case Stage.SHIFTING:
                return self.is_promised(now)
        return False

    def confirm(self, now: float, others_in_flight: int) -> bool:
        """Return whether the node has no calls at other versions, and sends none.

        `others_in_flight` counts the calls that this node has sent to other versions
        and those that its own upstreams of other versions have.
        """
        if others_in_flight:
            self.others_used_at = now
        # The promise of a node that has learned of a roll-back must end.
        is_shifting = self.state.stage is Stage.SHIFTING
        is_leased = self.is_leased(now)
        if not (is_shifting and is_leased and self._shifted_share(now) >= 1):
            return False
        if now - self.others_used_at < SETTLE_S:
            return False
        self.confirmed_at = now
        return True

    def record_sent(self, is_target: bool, now: float) -> None:
        """Count a call that is sent to an upstream."""
        self.limit.record_sent(is_target)
        if not is_target:
            self.others_used_at = now

    def _shifted_share(self, now: float) -> float:
        progress = (now - self.shifting_since) / SHIFT_S
        return min(1.0, self.share + (1 - self.share) * max(0.0, progress))
