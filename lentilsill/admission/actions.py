"""What becomes of a call that was offered to an admission queue."""

from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["Action", "Refuse", "Start"]


@dataclass(frozen=True, slots=True)
class Start:
    """The call starts now."""

    call: Hashable


@dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused; it was not run.

    `retry_after_s` is the time until the queue is expected to have room for the call;
    0 when that is unknown. `is_above_share` tells that the caller's organisation has
    used its share of the slots.
    """

    call: Hashable
    reason: str
    retry_after_s: float = 0.0
    is_above_share: bool = False


Action = Start | Refuse
