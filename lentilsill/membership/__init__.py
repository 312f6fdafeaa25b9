"""Node and upstream records, liveness and summaries of failure domains."""

from .records import (
    Liveness,
    NodeRecord,
    NodeState,
    UpstreamRecord,
    UpstreamState,
)

__all__ = [
    "Liveness",
    "NodeRecord",
    "NodeState",
    "UpstreamRecord",
    "UpstreamState",
]
