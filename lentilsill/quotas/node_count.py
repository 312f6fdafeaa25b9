"""Number of nodes that share the quotas."""

from collections.abc import Mapping

__all__ = ["NodeCount"]

RETENTION_S = 60.0
# A started node learns of the others within this time.
START_S = 10.0


class NodeCount:
    """Counts the nodes known within the last 60 s.

    A node that has been cut off still uses its share of the quotas, so a node that is
    no longer seen goes on counting for that time. Times are in seconds.

    Examples
    --------
    >>> count = NodeCount(started_at=0.0)
    >>> nodes = {"lahore": {"a", "b"}, "multan": {"c"}}
    >>> count.observe(nodes, {"multan": 2}, set(), 20.0)
    >>> count.value(20.0)
    4
    >>> count.observe({"lahore": {"a"}}, {}, set(), 79.0)
    >>> count.value(79.0), count.value(81.0)
    (4, 1)
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._seen_at: dict[str, float] = {}
        # Nodes of a domain that are counted there but not named, and when.
        self._unnamed: dict[str, dict[int, float]] = {}
        self.directory_entries = 0

    def observe(
        self,
        nodes_by_domain: Mapping[str, set[str]],
        totals: Mapping[str, int],
        leaving: set[str],
        now: float,
    ) -> None:
        """Record the live nodes, and totals of domains that name only some of theirs.

        Nodes that announced that they leave hand out no tokens any more.
        """
        for domain, names in nodes_by_domain.items():
            self._seen_at.update(dict.fromkeys(names, now))
            unnamed = totals.get(domain, 0) - len(names)
            if unnamed > 0:
                self._unnamed.setdefault(domain, {})[unnamed] = now
        for name in leaving:
            self._seen_at.pop(name, None)

    def value(self, now: float) -> int:
        """Return the number of nodes, at least 1."""
        oldest = now - RETENTION_S
        self._seen_at = {n: at for n, at in self._seen_at.items() if at >= oldest}
        total = len(self._seen_at)
        for domain, seen in self._unnamed.items():
            fresh = {count: at for count, at in seen.items() if at >= oldest}
            self._unnamed[domain] = fresh
            total += max(fresh, default=0)
        if now - self._started_at < START_S:
            total = max(total, self.directory_entries)
        return max(1, total)
