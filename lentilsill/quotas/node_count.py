"""Number of nodes that share the quotas."""

from collections.abc import Collection, Mapping

__all__ = ["NodeCount"]

RETENTION_S = 60.0
# A started node learns of the others within this time.
START_S = 10.0


class NodeCount:
    """Counts the nodes known within the last 60 s.

    A node that has been cut off still uses its share of the quotas, so a node that is
    no longer seen goes on counting for that time. A process that starts while its
    domain is cut off can't have seen the others, so for the same time the entries of
    the directory count instead while a domain is unknown. Times are in seconds.

    Parameters
    ----------
    started_at : float
    uses_directory : bool
        Whether the directory will be read.
    domains : collection of str
        Names of all domains.

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

    def __init__(
        self,
        started_at: float,
        uses_directory: bool = False,
        domains: Collection[str] = (),
    ) -> None:
        self._started_at = started_at
        self._uses_directory = uses_directory
        self._domains = frozenset(domains)
        # Whether a domain has no node that is known.
        self.has_unknown_domain = True
        self._seen_at: dict[str, float] = {}
        # Nodes of a domain that are counted there but not named, and when.
        self._unnamed: dict[str, dict[int, float]] = {}
        # None before the directory was read.
        self.directory_entries: int | None = None

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
        self.has_unknown_domain = not self._domains <= nodes_by_domain.keys()
        for domain, names in nodes_by_domain.items():
            self._seen_at.update(dict.fromkeys(names, now))
            unnamed = totals.get(domain, 0) - len(names)
            if unnamed > 0:
                self._unnamed.setdefault(domain, {})[unnamed] = now
        for name in leaving:
            self._seen_at.pop(name, None)

    def is_known(self, now: float) -> bool:
        """Return False if a started node has not read the directory yet."""
        if not self._uses_directory or self.directory_entries is not None:
            return True
        return now - self._started_at >= START_S

    def value(self, now: float) -> int:
        """Return the number of nodes, at least 1."""
        oldest = now - RETENTION_S
        self._seen_at = {n: at for n, at in self._seen_at.items() if at >= oldest}
        total = len(self._seen_at)
        for domain, seen in self._unnamed.items():
            fresh = {count: at for count, at in seen.items() if at >= oldest}
            self._unnamed[domain] = fresh
            total += max(fresh, default=0)
        floor_s = RETENTION_S if self.has_unknown_domain else START_S
        if now - self._started_at < floor_s:
            total = max(total, self.directory_entries or 0)
        return max(1, total)
