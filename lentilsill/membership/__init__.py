"""Node and upstream records, liveness and summaries of failure domains."""

from .detector import (
    Action,
    DeclareDead,
    DeclareSuspect,
    FailureDetector,
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
from .summary import DomainSummary, SummaryTable, build_summary
from .table import Entry, MemberTable

__all__ = [
    "Action",
    "DeclareDead",
    "DeclareSuspect",
    "DomainSummary",
    "Entry",
    "FailureDetector",
    "Liveness",
    "MemberTable",
    "NodeRecord",
    "NodeState",
    "RowError",
    "SendIndirectProbe",
    "SendProbe",
    "SummaryTable",
    "UpstreamRecord",
    "UpstreamState",
    "build_summary",
    "record_from_row",
    "record_to_row",
    "upstream_from_row",
]
