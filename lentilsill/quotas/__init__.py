"""Quotas of organisations over all nodes, without agreement between nodes."""

from .allocator import Allocator
from .bounds import QuotaBounds
from .client import QuotaClient
from .first_start import FirstStart
from .messages import Ask, Grant, GrantReply, Outgoing, Pledge, TokenRequest
from .node_count import NodeCount
from .shards import AllocatorRanking, shard_of
from .tokens import OrganisationTokens

__all__ = [
    "Allocator",
    "AllocatorRanking",
    "Ask",
    "FirstStart",
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
