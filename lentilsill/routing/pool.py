"""Candidates of an upstream set, as the selector uses them."""

from dataclasses import dataclass, field

from .candidates import Candidate

__all__ = ["Pool"]


@dataclass(slots=True)
class Pool:
    """Candidates of one set.

    `local`, `remote` and `local_names` leave out ejected candidates and are valid
    until `valid_until`.
    """

    candidates: tuple[Candidate, ...]
    local: list[Candidate] = field(default_factory=list)
    remote: list[Candidate] = field(default_factory=list)
    local_names: frozenset[str] = frozenset()
    valid_until: float = float("-inf")
