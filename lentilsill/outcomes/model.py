"""Results of a call."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Answer", "CallResult", "Outcome", "Refused", "is_answer_status"]

# Statuses below are those of interim responses, and those above have no meaning.
MIN_STATUS, MAX_STATUS = 200, 599


class Outcome(StrEnum):
    """What is known about the execution of a call that has no answer."""

    NOT_RUN = "not_run"
    RUN_ANSWER_LOST = "run_answer_lost"
    UNKNOWN = "unknown"


def is_answer_status(status: int) -> bool:
    """Return whether a status can be that of an answer.

    Examples
    --------
    >>> [is_answer_status(status) for status in (0, 1, 199, 200, 599, 600)]
    [False, False, False, True, True, False]
    """
    return MIN_STATUS <= status <= MAX_STATUS


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer of the upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of a call: what is known about its execution, and a readable reason.

    `retry_after_s` is the time after which a retry may succeed, or 0 when it is not
    known. `arrived` states that the call was sent to an upstream.
    """

    outcome: Outcome
    reason: str
    retry_after_s: float = 0.0
    arrived: bool = False

    @property
    def is_overload(self) -> bool:
        """Whether the upstream's node refused the call because it was overloaded."""
        return not self.arrived and self.retry_after_s > 0


CallResult = Answer | Refused
