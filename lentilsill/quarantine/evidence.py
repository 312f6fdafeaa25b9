"""Losses of upstreams, and what they prove about the requests that were in flight."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["OUTSIDE_CAUSE_S", "Loss", "LossRow", "Run", "has_proof", "hold_until_s"]

OUTSIDE_CAUSE_S = 1.0
"""Losses within this time, in seconds, that no request shares have another cause."""

LossRow = tuple[str, int, tuple[tuple[str, bool], ...]]
"""Id of a loss, its age in ms, and its runs as (fingerprint, is trial)."""


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a request at an upstream.

    A run is a trial if the request was a suspect when it began, and if it had the
    upstream for itself. Only then does the loss of the upstream say anything about
    the request: before, it was there by chance.
    """

    fingerprint: str
    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class Loss:
    """An upstream that died at `at_s` while it executed `runs`."""

    loss_id: str
    at_s: float
    runs: tuple[Run, ...]

    def has_run(self, fingerprint: str) -> bool:
        """Return whether the request was in flight."""
        return any(run.fingerprint == fingerprint for run in self.runs)

    def is_trial_of(self, fingerprint: str) -> bool:
        """Return whether the loss ended a trial of the request."""
        return any(run.is_trial and run.fingerprint == fingerprint for run in self.runs)


def has_proof(fingerprint: str, losses: Iterable[Loss], since_s: float) -> bool:
    """Return whether losses after `since_s` prove that the request causes them.

    The loss of one trial does, unless upstreams without the request were lost at about
    the same time, and not in a trial of another one. As other crashes can't explain
    one trial after another, two trials that are further apart prove it in any case.

    Examples
    --------
    >>> first = Loss("w1", 0.0, (Run("x"), Run("y")))
    >>> trial = Loss("w2", 0.5, (Run("x", is_trial=True),))
    >>> has_proof("x", [first], -1.0), has_proof("x", [first, trial], -1.0)
    (False, True)
    >>> has_proof("x", [first, trial, Loss("w3", 0.6, (Run("z"),))], -1.0)
    False
    """
    known = list(losses)
    trials_s = _trial_times(fingerprint, known, since_s)
    if not trials_s:
        return False
    if trials_s[-1] - trials_s[0] > OUTSIDE_CAUSE_S:
        return True
    return any(not _has_outside_cause(at_s, fingerprint, known) for at_s in trials_s)


def hold_until_s(fingerprint: str, losses: Iterable[Loss], since_s: float) -> float:
    """Return the time until which no trial may start, so that the next one can prove.

    It is minus infinity before the first trial was lost.
    """
    trials_s = _trial_times(fingerprint, losses, since_s)
    return trials_s[-1] + OUTSIDE_CAUSE_S if trials_s else float("-inf")


def _trial_times(
    fingerprint: str, losses: Iterable[Loss], since_s: float
) -> list[float]:
    return sorted(
        loss.at_s
        for loss in losses
        if loss.at_s > since_s and loss.is_trial_of(fingerprint)
    )


def _has_outside_cause(at_s: float, fingerprint: str, losses: Iterable[Loss]) -> bool:
    """Return whether a loss at that time is explained by no request that is known."""
    return any(
        abs(loss.at_s - at_s) <= OUTSIDE_CAUSE_S
        and not loss.has_run(fingerprint)
        and not any(run.is_trial for run in loss.runs)
        for loss in losses
    )
