"""Outcomes of calls, request keys, claims and execution records.

The entry node of a call receives it from the caller. The destination node runs it on an
upstream, and keeps an execution record of it. A call with a request key (an idempotency
key) runs at most once: each attempt must first claim the key. A key that a node has
issued names its replicas, the node instances that grant and store its claims. All other
keys are claimed in the platform.
"""

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
from .model import Answer, CallResult, Outcome, Refused, is_answer_status
from .rates import TokenBucket, node_claim_rate
from .recent_claims import RecentClaims
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
    "RecentClaims",
    "Refused",
    "RequestKey",
    "Resolved",
    "TokenBucket",
    "Waiting",
    "has_issued_key_prefix",
    "is_answer_status",
    "issue_key",
    "limit_result_size",
    "node_claim_rate",
]
