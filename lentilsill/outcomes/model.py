"""Results of a call."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "CallResult", "Outcome", "Refused"]


class Outcome(StrEnum):
    """What is known of the execution of a call that has no answer."""

    NOT_RUN = "not_run"
    RUN_ANSWER_LOST = "run_answer_lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """The upstream's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """No answer: what is known of the execution, and a reason for people.

    `retry_after_s` is when the call may succeed; 0 when that is not known.
    `arrived` tells that the call was sent to an upstream.
    """

    outcome: Outcome
    reason: str
    retry_after_s: float = 0.0
    arrived: bool = False

    @property
    def is_overload(self) -> bool:
        """Whether the node of an upstream refused for want of room."""
        return not self.arrived and self.retry_after_s > 0


CallResult = Answer | Refused
