"""Records that a node distributes about itself and its upstreams."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = [
    "Liveness",
    "NodeRecord",
    "NodeState",
    "UpstreamRecord",
    "UpstreamState",
]


class UpstreamState(IntEnum):
    """State that an upstream announces for itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class NodeState(IntEnum):
    """State that a node announces for itself."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class Liveness(IntEnum):
    """Verdict of the failure detector on the node of a record."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream of a service.

    Parameters
    ----------
    upstream : str
        Identifier, unique per process of the upstream.
    service : str
    address : str
        ``ip:port`` of the upstream's HTTP server.
    slots : int
        Number of calls that the upstream runs concurrently.
    labels : tuple of (str, str)
        Sorted by name; upstream sets select upstreams by their labels.
    state : UpstreamState
    ready_at_ms : int
        When the upstream became ready, in ms since the epoch by its node's
        clock; its slow start begins then.
    started_ms : int
        Start of its process, in ms since the epoch by its own clock, 0 if unknown;
        only the node beside it knows it.
    """

    upstream: str
    service: str
    address: str
    slots: int
    labels: tuple[tuple[str, str], ...]
    state: UpstreamState
    ready_at_ms: int = 0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a node announces about itself.

    Of two records of a node, the one with the higher (`generation`, `seq`) is newer.
    `instance` consists of 16 random hexadecimal digits that are drawn at process
    start; a restarted node is another instance. Addresses are ``ip:port``.
    `link_mbps` is the rate of the host's network link in Mbit/s, 0 when it is not
    known.
    """

    node: str
    domain: str
    instance: str
    generation: int
    seq: int
    peer_address: str
    caller_address: str
    state: NodeState
    upstreams: tuple[UpstreamRecord, ...] = ()
    link_mbps: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of the records of one node."""
        return (self.generation, self.seq)
