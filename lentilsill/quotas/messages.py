"""What a node and an allocator say to each other."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Ask", "Grant", "GrantReply", "Outgoing", "Pledge", "TokenRequest"]


class Pledge(NamedTuple):
    """A node's share of the quotas of one shard, lent to an allocator.

    `stamp_us` is a time stamp that the allocator sent; the pledge ends `lease_ms` after
    it. A `lease_ms` of 0 withdraws the pledge.
    """

    shard: int
    stamp_us: int
    lease_ms: int


class Ask(NamedTuple):
    """Request for tokens of an organisation, with its quota as the asking node has it.

    `needed` tokens are for calls that wait, `soon` tokens are expected to be used
    within their validity, and `held` tokens later.
    """

    organisation: str
    rate_per_s: float
    burst: float
    needed: int
    soon: int
    held: int


class Grant(NamedTuple):
    """Answer to an `Ask`; if it grants too little, more come after `wait_ms`."""

    granted: int
    held: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Pledges and asks of a node for one allocator.

    `seq` increases with each request of the sending process. `node_count` is the number
    of nodes that the sender knows, and `version` that of its configuration. The pledges
    of `first_shards` are the first ones ever of their node.
    """

    seq: int
    node_count: int
    version: int
    pledges: tuple[Pledge, ...] = ()
    asks: tuple[Ask, ...] = ()
    first_shards: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to `node`; `instance` is the process that it is meant for, if known."""

    node: str
    instance: str
    request: TokenRequest


@dataclass(frozen=True, slots=True)
class GrantReply:
    """Answer to the request `seq`, with the allocator's time and a grant per ask."""

    seq: int
    stamp_us: int
    grants: tuple[Grant, ...] = ()
