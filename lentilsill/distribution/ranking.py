"""Ranking of a domain's members, the fan-out tree over them, and peer choice."""

from collections.abc import Collection, Iterable, Mapping
from random import Random

import xxhash

__all__ = ["choose_peers", "fanout_children", "rank_by_link", "rank_members"]


def rank_members(members: Iterable[str], key: str) -> tuple[str, ...]:
    """Rank members by rendezvous hash for `key`, highest weight first.

    The order of the other members does not change when one joins or leaves (Thaler
    and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).

    Examples
    --------
    >>> ranked = rank_members(["a", "b", "c"], "lahore")
    >>> [m for m in ranked if m != "b"] == list(rank_members(["c", "a"], "lahore"))
    True
    """
    return tuple(sorted(set(members), key=lambda m: (-_weight(key, m), m)))


def rank_by_link(link_mbps: Mapping[str, int], key: str) -> tuple[str, ...]:
    """Rank members for tasks that cost bandwidth: fast network links first.

    `link_mbps` maps each member to the rate of its link in Mbit/s, 0 when it is not
    known. Rates between the same two powers of two count as equal; members with
    equal rates are ranked by rendezvous hash.

    Examples
    --------
    >>> rank_by_link({"slow": 5, "fast": 50, "unknown": 0}, "lahore")
    ('fast', 'slow', 'unknown')
    """
    ranked = rank_members(link_mbps, key)
    return tuple(sorted(ranked, key=lambda m: -link_mbps[m].bit_length()))


def fanout_children(
    node: str, root: str, members: Collection[str], fanout: int
) -> tuple[str, ...]:
    """Return the members to which `node` forwards a push that `root` started.

    The members form a `fanout`-ary heap, ranked by rendezvous hash for `root`, with
    the root at index 0. A root that is not a member still takes index 0, so that its
    children are well defined. A `node` outside the tree has no children.

    Examples
    --------
    >>> sorted(fanout_children("a", "a", ["a", "b", "c"], 8))
    ['b', 'c']
    """
    order = (root, *(m for m in rank_members(members, root) if m != root))
    try:
        index = order.index(node)
    except ValueError:
        return ()
    return order[fanout * index + 1 : fanout * (index + 1) + 1]


def choose_peers(
    members: Collection[str], count: int, rng: Random, exclude: Collection[str] = ()
) -> list[str]:
    """Choose up to `count` distinct members at random."""
    pool = sorted(m for m in members if m not in exclude)
    return rng.sample(pool, min(count, len(pool)))


def _weight(key: str, member: str) -> int:
    # Names contain no NUL, so ("ab", "c") and ("a", "bc") hash differently.
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())
