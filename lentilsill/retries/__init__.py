"""Budgets and decisions for retries, hedged calls and slot probes.

A hedge is a second attempt that runs beside a slow first one. A slot probe is an
attempt that runs only if the upstream has a free slot.
"""

from .budget import Budget, RetryBudget, SharedRetryBudget
from .decide import MAX_SLOT_PROBES, decide_hedge, decide_probe, decide_retry
from .slot_probes import SlotProbeRecord

__all__ = [
    "MAX_SLOT_PROBES",
    "Budget",
    "RetryBudget",
    "SharedRetryBudget",
    "SlotProbeRecord",
    "decide_hedge",
    "decide_probe",
    "decide_retry",
]
