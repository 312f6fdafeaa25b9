"""Choice between list and watch for the next read of the platform."""

from random import Random

__all__ = ["ReadPlanner", "first_delay_s"]

# A watch returns every version that the node has missed. When the transfer of a version
# over the host's network link takes longer than this, a newer one may have been written
# in the meantime.
SLOW_TRANSFER_S = 0.2
# A network link of this rate transfers the largest object of the platform, 1 MB, within
# `SLOW_TRANSFER_S`.
FAST_LINK_MBPS = 40.0
# Random delays spread the first reads of nodes that start together. A node with a slow
# link waits longer, so that it can get the compressed documents from a peer.
FAST_LINK_MAX_DELAY_S = 0.1
MAX_DELAY_S = 0.5


def first_delay_s(link_mbps: float | None, rng: Random) -> float:
    """Return the delay in seconds before a started node first reads the platform.

    Each of several nodes that start together ranks itself first until it knows its
    peers. The delay lets most of them discover their peers before they list.

    Examples
    --------
    >>> first_delay_s(1000.0, Random(1)) < 0.1, first_delay_s(5.0, Random(1)) < 0.1
    (True, False)
    """
    is_fast = link_mbps is not None and link_mbps >= FAST_LINK_MBPS
    if is_fast:
        return rng.uniform(0.0, FAST_LINK_MAX_DELAY_S)
    is_slow = link_mbps is not None
    return rng.uniform(FAST_LINK_MAX_DELAY_S if is_slow else 0.0, MAX_DELAY_S)


class ReadPlanner:
    """Decides whether the next read of the platform is a list or a watch.

    With `newest_only`, each version replaces all earlier ones, as in a bundle. A node
    with a slow network link then lists, which transfers only the newest version. A
    watch would transfer every version since the last read; when versions are written
    faster than the link transfers them, each watch would take longer than the one
    before.

    Examples
    --------
    >>> planner = ReadPlanner(newest_only=True)
    >>> planner.record_watch(changes=3, transfer_s=0.8)
    >>> planner.must_list
    True
    >>> planner.record_list(has_changes=False, transfer_s=0.8)
    >>> planner.must_list
    False
    """

    def __init__(self, newest_only: bool) -> None:
        self.newest_only = newest_only
        self.must_list = False

    def record_watch(self, changes: int, transfer_s: float) -> None:
        """Record that a watch returned `changes` versions in `transfer_s` seconds."""
        self.must_list = self._can_be_behind(changes > 0, transfer_s)

    def record_list(self, has_changes: bool, transfer_s: float) -> None:
        """Record a list; `has_changes` is true when it held a new version."""
        self.must_list = self._can_be_behind(has_changes, transfer_s)

    def record_failure(self) -> None:
        """Record a failed read; versions may have been written in the meantime."""
        self.must_list = self.must_list or self.newest_only

    def record_compaction(self) -> None:
        """Record that the platform has compacted the changes since the last read."""
        self.must_list = True

    def _can_be_behind(self, has_changes: bool, transfer_s: float) -> bool:
        return self.newest_only and has_changes and transfer_s > SLOW_TRANSFER_S
