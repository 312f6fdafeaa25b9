"""Positions in the history of a store that can lose its newest writes.

A store that comes back from an older copy of itself gives out revisions again. Its
era, which rises each time, tells these apart: a position is the era and the revision
in one integer, and positions increase with the history of the store.
"""

from dataclasses import dataclass

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "VersionOrder",
    "era_of",
    "format_position",
    "has_numbers",
    "make_position",
    "parse_position",
    "revision_of",
    "supersedes",
]

REVISION_BITS = 40
MAX_REVISION = 2**REVISION_BITS - 1
# A position fits a signed integer of 64 bits.
MAX_ERA = 2 ** (63 - REVISION_BITS) - 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision; era 0 stands for a store that names none.

    Examples
    --------
    >>> make_position(0, 57)
    57
    >>> make_position(2, 41) > make_position(1, 57)
    True
    """
    return era << REVISION_BITS | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position, as the store counts it."""
    return position & MAX_REVISION


def format_position(position: int) -> str:
    """Return a position as text: the revision, after the era if there is one.

    Examples
    --------
    >>> format_position(57), format_position(make_position(2, 41))
    ('57', '2-41')
    """
    era, revision = era_of(position), revision_of(position)
    return f"{era}-{revision}" if era else str(revision)


def parse_position(text: str) -> int:
    """Return the position that `format_position` has written.

    Raises
    ------
    ValueError
        The text is not a position.

    Examples
    --------
    >>> parse_position("57"), format_position(parse_position("2-41"))
    (57, '2-41')
    """
    era, separator, revision = text.rpartition("-")
    is_number = revision.isdecimal() and (era.isdecimal() or not separator)
    if not is_number or int(revision) > MAX_REVISION or int(era or 0) > MAX_ERA:
        raise ValueError(f"{text}: must be REVISION or ERA-REVISION")
    return make_position(int(era or 0), int(revision))


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """What orders a version: its position, and the number its author gave, if any."""

    position: int
    number: int | None = None

    @property
    def repeats_revision(self) -> bool:
        """Whether the number says no more than the revision."""
        return self.number == revision_of(self.position)


def supersedes(version: VersionOrder, other: VersionOrder) -> bool:
    """Return whether a version is newer than another one of the same object.

    Within an era the store's revisions order versions. Across eras the numbers of
    their author do: a copy can hold an older version at a later position. Without
    numbers, or with numbers that repeat the revisions, the later position is newer.

    Examples
    --------
    >>> lost = VersionOrder(make_position(1, 57), number=7)
    >>> copy = VersionOrder(make_position(2, 38), number=5)
    >>> supersedes(copy, lost), supersedes(lost, copy)
    (False, True)
    >>> supersedes(VersionOrder(make_position(2, 45), number=9), lost)
    True
    """
    is_same_era = era_of(version.position) == era_of(other.position)
    if is_same_era or not has_numbers(version, other):
        return version.position > other.position
    mine, theirs = version.number or 0, other.number or 0
    return (mine, version.position) > (theirs, other.position)


def has_numbers(version: VersionOrder, other: VersionOrder) -> bool:
    """Return whether numbers of their author order two versions."""
    if version.number is None or other.number is None:
        return False
    return not (version.repeats_revision and other.repeats_revision)
