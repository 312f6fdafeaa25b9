"""Detection of requests that crash their upstreams."""

from .evidence import Loss, LossRow, Run, has_proof
from .tracker import ClearedRow, CrashRow, CrashTracker
from .trials import choose_trial_place

__all__ = [
    "ClearedRow",
    "CrashRow",
    "CrashTracker",
    "Loss",
    "LossRow",
    "Run",
    "choose_trial_place",
    "has_proof",
]
