"""Shards of organisations, and the ranking of the nodes that allocate them."""

import heapq
from collections.abc import Mapping

import xxhash

__all__ = ["AllocatorRanking", "shard_of"]

# A node that none of these candidates answers allocates its own share.
COMMON_CANDIDATES = 3
DOMAIN_CANDIDATES = 2


def shard_of(organisation: str, shard_count: int) -> int:
    """Return the shard of an organisation."""
    return xxhash.xxh64_intdigest(organisation.encode()) % shard_count


class AllocatorRanking:
    """Candidates for the allocator of each shard, the best first.

    Nodes with fast network links come first, then the order is that of rendezvous
    hashing (Thaler and Ravishankar 1998). Nodes that know the same nodes choose the
    same candidates; the last candidates are of the node's own domain, so that a domain
    that is cut off uses one allocator.

    Parameters
    ----------
    link_mbps : mapping of str to int
        Rate of the network link of each node that all nodes know, 0 when the rate is
        not known.
    own_domain : mapping of str to int
        The same for all live nodes of the own domain.
    own_node : str
        The node itself is its last candidate.

    Examples
    --------
    >>> ranking = AllocatorRanking({"a": 10, "b": 1000}, {"a": 10}, "a")
    >>> ranking.candidates(0)
    ('b', 'a')
    """

    def __init__(
        self, link_mbps: Mapping[str, int], own_domain: Mapping[str, int], own_node: str
    ) -> None:
        self._link_mbps = link_mbps
        self._own_domain = own_domain
        self._own_node = own_node
        self._candidates: dict[int, tuple[str, ...]] = {}

    def candidates(self, shard: int) -> tuple[str, ...]:
        """Return the candidates for a shard."""
        found = self._candidates.get(shard)
        if found is None:
            best = self._best(shard, self._link_mbps, COMMON_CANDIDATES)
            own = self._best(shard, self._own_domain, DOMAIN_CANDIDATES)
            found = tuple(dict.fromkeys((*best, *own, self._own_node)))
            self._candidates[shard] = found
        return found

    def _best(self, shard: int, link_mbps: Mapping[str, int], count: int) -> list[str]:
        def rank(node: str) -> tuple[int, int, str]:
            weight = xxhash.xxh64_intdigest(f"quota {shard}\0{node}".encode())
            return (-link_mbps[node].bit_length(), -weight, node)

        return heapq.nsmallest(count, link_mbps, key=rank)
