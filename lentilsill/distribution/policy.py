"""Trade-off between convergence time and control bytes."""

from dataclasses import dataclass

__all__ = ["ControlBytes", "Convergence", "Policy", "batch_window_s", "policy_for"]


@dataclass(frozen=True, slots=True)
class Convergence:
    """Push at once; `digest_interval_s` is the time between digests."""

    digest_interval_s: float = 1.0


@dataclass(frozen=True, slots=True)
class ControlBytes:
    """Collect changes for `window_s` before a push, and send fewer digests."""

    window_s: float = 0.5
    digest_interval_s: float = 4.0


Policy = Convergence | ControlBytes


def policy_for(optimise_for: str) -> Policy:
    """Give the policy of the setting ``distribution.optimise_for``.

    Raises
    ------
    ValueError
        The name is not known.
    """
    match optimise_for:
        case "convergence":
            return Convergence()
        case "control_bytes":
            return ControlBytes()
    raise ValueError(f"unknown policy {optimise_for!r}")


def batch_window_s(policy: Policy) -> float:
    """Give the time in seconds for which a push waits for more changes.

    Examples
    --------
    >>> batch_window_s(policy_for("control_bytes"))
    0.5
    """
    match policy:
        case Convergence():
            return 0.0
        case ControlBytes(window_s=window_s):
            return window_s
