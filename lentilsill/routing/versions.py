"""Candidates of some versions of a service, while a version is rolled out."""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from lentilsill.distribution import rank_members

from .candidates import Candidate

__all__ = ["VersionFilter", "filter_candidates"]

# With fewer canaries, a slow host among them looks like a fault of the version.
MIN_CANARIES = 3


@dataclass(frozen=True, slots=True)
class VersionFilter:
    """Restriction to the upstreams with a version, or to those without it.

    Parameters
    ----------
    version : str
    is_wanted : bool
        Whether the upstreams have the version, or any other one.
    canary_share : float
        Share of the upstreams that get calls; 1 for all.
    key : str
        Key of the hash that chooses the canaries, the same on all nodes.
    """

    version: str
    is_wanted: bool
    canary_share: float = 1.0
    key: str = ""


def filter_candidates(
    candidates: Iterable[Candidate], versions: VersionFilter
) -> tuple[Candidate, ...]:
    """Return the candidates that the filter admits.

    An upstream whose version is not known, as its node has just started, may have the
    wanted one; it is admitted only where no upstream of another version is known.
    """
    candidates = tuple(candidates)
    wanted = tuple(c for c in candidates if c.version == versions.version)
    others = tuple(c for c in candidates if c.version != versions.version)
    if not versions.is_wanted:
        return tuple(c for c in others if c.version) or others
    if versions.canary_share >= 1:
        return wanted
    count = math.ceil(versions.canary_share * max(len(wanted), len(others)))
    return _choose_canaries(wanted, max(MIN_CANARIES, count), versions.key)


def _choose_canaries(
    candidates: tuple[Candidate, ...], count: int, key: str
) -> tuple[Candidate, ...]:
    """Choose some upstreams by their hashes, of all domains in turn."""
    by_name = {c.upstream: c for c in candidates}
    taken_by_domain: dict[str, int] = defaultdict(int)
    order = []
    for position, name in enumerate(rank_members(by_name, key)):
        domain = by_name[name].domain
        order.append((taken_by_domain[domain], position, name))
        taken_by_domain[domain] += 1
    return tuple(by_name[name] for _, _, name in sorted(order)[:count])
