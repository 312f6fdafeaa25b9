"""Spreading of document versions: ranking, fan-out, digests and deltas."""

from .admission import Admitted, RetryAfter, SyncAdmission
from .backoff import Backoff
from .policy import ControlBytes, Convergence, Policy, batch_window_s, policy_for
from .ranking import choose_peers, fanout_children, rank_members
from .reading import Reading
from .repair import Adopt, Ask, DigestValue, InStep, Offer, compare_digests

__all__ = [
    "Admitted",
    "Adopt",
    "Ask",
    "Backoff",
    "ControlBytes",
    "Convergence",
    "DigestValue",
    "InStep",
    "Offer",
    "Policy",
    "Reading",
    "RetryAfter",
    "SyncAdmission",
    "batch_window_s",
    "choose_peers",
    "compare_digests",
    "fanout_children",
    "policy_for",
    "rank_members",
]
