"""Outcomes of calls, request keys, claims and the record of executions."""

from .ledger import Begin, CallLedger, CallState
from .model import Answer, CallResult, Outcome, Refused

__all__ = [
    "Answer",
    "Begin",
    "CallLedger",
    "CallResult",
    "CallState",
    "Outcome",
    "Refused",
]
