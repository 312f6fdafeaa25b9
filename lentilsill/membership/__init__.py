"""Records of nodes and upstreams, liveness, and summaries of failure domains.

The nodes of a failure domain know each other's records. Of another domain they know the
summary, which two of its nodes, the gateways, send.
"""

from .announcement import Announcement, is_superseded
from .announcement_order import AnnouncementOrder
from .announcement_verdicts import (
    Accepted,
    CheckedUpstream,
    Disputed,
    HostUpstream,
    Objection,
    Outdated,
    Refused,
    Verdict,
)
from .detector import (
    Action,
    DeclareDead,
    DeclareSuspect,
    FailureDetector,
    RepeatProbe,
    SendIndirectProbe,
    SendProbe,
)
from .records import (
    Liveness,
    NodeRecord,
    NodeState,
    UpstreamRecord,
    UpstreamState,
)
from .rows import RowError, record_from_row, record_to_row, upstream_from_row
from .summary import (
    DomainSummary,
    SummaryDelta,
    SummaryTable,
    apply_delta,
    build_summary,
    diff_summaries,
)
from .table import BUCKET_COUNT, Entry, MemberTable

__all__ = [
    "BUCKET_COUNT",
    "Accepted",
    "Action",
    "Announcement",
    "AnnouncementOrder",
    "CheckedUpstream",
    "DeclareDead",
    "DeclareSuspect",
    "Disputed",
    "DomainSummary",
    "Entry",
    "FailureDetector",
    "HostUpstream",
    "Liveness",
    "MemberTable",
    "NodeRecord",
    "NodeState",
    "Objection",
    "Outdated",
    "Refused",
    "RepeatProbe",
    "RowError",
    "SendIndirectProbe",
    "SendProbe",
    "SummaryDelta",
    "SummaryTable",
    "UpstreamRecord",
    "UpstreamState",
    "Verdict",
    "apply_delta",
    "build_summary",
    "diff_summaries",
    "is_superseded",
    "record_from_row",
    "record_to_row",
    "upstream_from_row",
]
