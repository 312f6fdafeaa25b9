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
    """No answer: what is known of the execution, and a reason for people."""

    outcome: Outcome
    reason: str


CallResult = Answer | Refused
