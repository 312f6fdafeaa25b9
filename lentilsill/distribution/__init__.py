"""Replication of document versions: ranking, fan-out, digests and deltas.

The watchers, the nodes of a domain that rank first, read changes from the platform
and push them along a fan-out tree over the nodes of the domain. Nodes also compare
digests of their documents (anti-entropy): one that is behind requests a delta, which
has the changes that it lacks, or all documents (a full sync).
"""

from .admission import Admitted, RetryAfter, SyncAdmission
from .backoff import Backoff
from .confirmation import Confirmation, read_due_age_s, watch_wait_s
from .patch import PatchError, TextPatch, apply_patch, make_patch
from .policy import ControlBytes, Convergence, Policy, batch_window_s, policy_for
from .ranking import choose_peers, fanout_children, rank_by_link, rank_members
from .read_planner import ReadPlanner, first_delay_s
from .repair import AdoptRevision, Ask, DigestValue, InSync, SendDigest, compare_digests
from .text_versions import TextVersions

__all__ = [
    "Admitted",
    "AdoptRevision",
    "Ask",
    "Backoff",
    "Confirmation",
    "ControlBytes",
    "Convergence",
    "DigestValue",
    "InSync",
    "PatchError",
    "Policy",
    "ReadPlanner",
    "RetryAfter",
    "SendDigest",
    "SyncAdmission",
    "TextPatch",
    "TextVersions",
    "apply_patch",
    "batch_window_s",
    "choose_peers",
    "compare_digests",
    "fanout_children",
    "first_delay_s",
    "make_patch",
    "policy_for",
    "rank_by_link",
    "rank_members",
    "read_due_age_s",
    "watch_wait_s",
]
