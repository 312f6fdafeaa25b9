"""Outcomes of calls, request keys, claims and execution records."""

from .claims import (
    Attempt,
    ClaimAnswer,
    ClaimGranted,
    ClaimTable,
    Finished,
    HeldBy,
    NotGranted,
    limit_result_size,
)
from .keys import RequestKey, has_issued_key_prefix, issue_key
from .ledger import Begin, CallLedger, CallState
from .model import Answer, CallResult, Outcome, Refused
from .rates import TokenBucket, node_claim_rate
from .rounds import ClaimRound, Decision, MayRun, Resolved, Waiting

__all__ = [
    "Answer",
    "Attempt",
    "Begin",
    "CallLedger",
    "CallResult",
    "CallState",
    "ClaimAnswer",
    "ClaimGranted",
    "ClaimRound",
    "ClaimTable",
    "Decision",
    "Finished",
    "HeldBy",
    "MayRun",
    "NotGranted",
    "Outcome",
    "Refused",
    "RequestKey",
    "Resolved",
    "TokenBucket",
    "Waiting",
    "has_issued_key_prefix",
    "issue_key",
    "limit_result_size",
    "node_claim_rate",
]
