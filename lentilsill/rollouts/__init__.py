"""Roll-outs of a service's version: exposure, evidence and stages."""

from .coordination import (
    Action,
    Announce,
    Heartbeat,
    ReportToDeciders,
    ReportToDomains,
    ServiceRollout,
    Store,
    View,
)
from .decider import Decider, NodeReport, shift_after_s
from .evidence import EvidenceRow, EvidenceTable, find_fault
from .exposure import ExposureLimit, extra_calls
from .model import ExposureLimits, Order, RolloutState, Stage, newest_state
from .node_rollout import NodeRollout, VersionChoice

__all__ = [
    "Action",
    "Announce",
    "Decider",
    "EvidenceRow",
    "EvidenceTable",
    "ExposureLimit",
    "ExposureLimits",
    "Heartbeat",
    "NodeReport",
    "NodeRollout",
    "Order",
    "ReportToDeciders",
    "ReportToDomains",
    "RolloutState",
    "ServiceRollout",
    "Stage",
    "Store",
    "VersionChoice",
    "View",
    "extra_calls",
    "find_fault",
    "newest_state",
    "shift_after_s",
]
