"""Deltas that are forwarded to other nodes."""

from lentilsill.wire.messages import Delta

__all__ = ["coalesce", "delta_to_forward", "has_content", "row_versions"]


def has_content(delta: Delta) -> bool:
    return bool(delta.rows or delta.patches)


def row_versions(delta: Delta) -> list[tuple[str, int]]:
    """Return (name, version) of each row and patch of a delta."""
    rows = [(name, version) for name, version, *_ in delta.rows]
    return rows + [(name, version) for name, version, *_ in delta.patches]


def delta_to_forward(delta: Delta, new: Delta) -> Delta:
    """Return the delta to forward when only `new` of `delta` was new to this node.

    A row that this node already had may be missing at nodes below it in the tree. A
    delta without that row must therefore not advance a receiver's `complete_as_of`,
    so its `base` equals its own `complete_as_of`.
    """
    if new.patches:
        return new
    if set(new.rows) == set(delta.rows):
        return delta
    revision = delta.complete_as_of
    return Delta(revision, revision, False, new.rows)


def coalesce(batch: list[Delta]) -> list[Delta]:
    """Merge consecutive deltas that have no gap between them.

    Examples
    --------
    >>> a, b = Delta(1, 3, False, (("x", 3, False, "{}"),)), Delta(3, 4, False, ())
    >>> coalesce([a, b]) == [Delta(1, 4, False, a.rows)]
    True
    """
    joined: list[Delta] = []
    for delta in batch:
        last = joined[-1] if joined else None
        # A patch applies only to its base, so it can't be merged with other changes.
        has_patch = last is not None and (delta.patches or last.patches)
        if last is None or has_patch or delta.full or delta.base > last.complete_as_of:
            joined.append(delta)
            continue
        rows = {row[0]: row for row in last.rows}
        for row in delta.rows:
            if row[0] not in rows or row[1] > rows[row[0]][1]:
                rows[row[0]] = row
        joined[-1] = Delta(
            min(last.base, delta.base),
            max(last.complete_as_of, delta.complete_as_of),
            last.full,
            tuple(rows.values()),
        )
    return joined
