"""Trade-off between convergence time and bytes of control traffic."""

from dataclasses import dataclass

__all__ = ["ControlBytes", "Convergence", "Policy", "batch_window_s", "policy_for"]


@dataclass(frozen=True, slots=True)
class Convergence:
    """Push changes immediately; send a digest every `digest_interval_s` seconds."""

    digest_interval_s: float = 1.0


@dataclass(frozen=True, slots=True)
class ControlBytes:
    """Batch changes for `window_s` seconds before a push; send fewer digests."""

    window_s: float = 0.5
    digest_interval_s: float = 4.0


Policy = Convergence | ControlBytes


def policy_for(optimise_for: str) -> Policy:
    """Return the policy for a value of the setting ``distribution.optimise_for``.

    Raises
    ------
    ValueError
        The value is not known.
    """
    match optimise_for:
        case "convergence":
            return Convergence()
        case "control_bytes":
            return ControlBytes()
    raise ValueError(f"unknown policy {optimise_for!r}")


def batch_window_s(policy: Policy) -> float:
    """Return how long a push waits for more changes, in seconds.

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
