"""What a node knows of its allocators, and where its pledges are."""

import math
from dataclasses import dataclass
from enum import Enum, auto

from .messages import Ask
from .tokens import OrganisationTokens

__all__ = [
    "ANSWER_TIMEOUT_S",
    "AllocatorState",
    "Peer",
    "PendingRequest",
    "PledgeState",
]

# A request that is not answered within this time shows that the allocator is out of
# reach. Replies normally take a few ms.
ANSWER_TIMEOUT_S = 0.3
RETRY_S = 1.0
# An allocator that falls silent again soon, as on a slow host, is left alone for longer
# each time, since a node that goes back to it waits for its lease in between.
MAX_RETRY_S = 8.0
STABLE_S = 10.0


class AllocatorState(Enum):
    """Whether an allocator answers."""

    UNKNOWN = auto()
    UP = auto()
    DOWN = auto()


@dataclass(slots=True)
class Peer:
    """One allocator.

    `stamp_us` is the last time stamp of the process `instance`, which arrived at
    `stamped_at`.
    """

    state: AllocatorState = AllocatorState.UNKNOWN
    instance: str = ""
    stamp_us: int = 0
    stamped_at: float = 0.0
    replied_at: float = -math.inf
    retry_at: float = 0.0
    retry_s: float = RETRY_S
    up_since: float = -math.inf
    # Whether a request without a reply is under way.
    is_asked: bool = False

    def record_reply(self, instance: str, stamp_us: int, now: float) -> None:
        """Record a reply."""
        if instance != self.instance or stamp_us >= self.stamp_us:
            self.stamp_us, self.stamped_at = stamp_us, now
        self.instance = instance
        self.replied_at = now
        if self.state is not AllocatorState.UP:
            self.up_since = now
        self.state = AllocatorState.UP
        self.is_asked = False

    def record_silence(self, now: float, is_gone: bool = False) -> None:
        """Record that a request was not answered or could not be sent.

        A process that is gone (`is_gone`) is soon replaced by another one.
        """
        if is_gone:
            self.retry_s = RETRY_S
        elif self.state is AllocatorState.UP:
            is_stable = now - self.up_since >= STABLE_S
            self.retry_s = RETRY_S if is_stable else min(2 * self.retry_s, MAX_RETRY_S)
        self.state = AllocatorState.DOWN
        self.retry_at = now + self.retry_s
        self.is_asked = False

    def should_contact(self, now: float) -> bool:
        """Return whether to find out if the allocator answers."""
        if self.is_asked or self.state is AllocatorState.UP:
            return False
        return self.state is AllocatorState.UNKNOWN or now >= self.retry_at


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request without a reply yet, and the tokens that its rows are for."""

    node: str
    sent_at: float
    asks: list[tuple[OrganisationTokens, Ask]]


@dataclass(slots=True)
class PledgeState:
    """Where the node's pledge for one shard is.

    It may be valid at `holder` (node, instance) until `free_at`.
    """

    holder: tuple[str, str] | None = None
    free_at: float = 0.0
    pledged_at: float = 0.0
    withdrawal_seq: int = -1
    chosen: str = ""
    chosen_at: float = 0.0
    # Whether this process has pledged the share at any time.
    has_pledged: bool = False
