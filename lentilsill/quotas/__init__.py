"""Quotas of organisations over all nodes, without agreement between nodes."""

from .allocator import Allocator
from .bounds import QuotaBounds
from .client import Outgoing, QuotaClient
from .messages import Ask, Grant, GrantReply, Pledge, TokenRequest
from .node_count import NodeCount
from .shards import AllocatorRanking, shard_of
from .tokens import OrganisationTokens

__all__ = [
    "Allocator",
    "AllocatorRanking",
    "Ask",
    "Grant",
    "GrantReply",
    "NodeCount",
    "OrganisationTokens",
    "Outgoing",
    "Pledge",
    "QuotaBounds",
    "QuotaClient",
    "TokenRequest",
    "shard_of",
]
