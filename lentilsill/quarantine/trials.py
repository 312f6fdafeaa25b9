"""Placement of trials, so that a suspect runs on one upstream at a time."""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_trial_place"]


def choose_trial_place(fingerprint: str, names: Iterable[str]) -> str | None:
    """Return the name on which a suspect runs, or None if there are no names.

    All nodes that know the same names choose the same one (rendezvous hashing, Thaler
    and Ravishankar 1998). Copies of a request that come at many nodes at once then
    crash one upstream, not one each.

    Examples
    --------
    >>> choose_trial_place("f", ("w1", "w2", "w3"))
    'w3'
    >>> choose_trial_place("f", ("w3", "w2"))
    'w3'
    """
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_digest(f"{fingerprint}\0{name}".encode()),
        default=None,
    )
