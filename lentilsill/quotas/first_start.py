"""Start of a node that has had no process before."""

import math
from collections.abc import Iterable

__all__ = ["FirstStart"]

# A process of a system that starts for the first time knows all nodes of the directory
# a few tenths of a second after it has written its own entry; its node count is used
# when it has not changed for this time.
SETTLE_S = 0.25
# The processes of a first start begin within this time of each other.
TOGETHER_S = 5.0


class FirstStart:
    """Decides whether a process may lend its share before its first lease has passed.

    A process normally waits, as pledges of the node's earlier process may be valid.
    There was none if this process itself created the node's entry in the directory. An
    entry may also have been lost with the history of the store; then nodes that started
    much earlier are alive, at least the one that holds the earlier pledge. A process
    that knows no node of some domain may not know it, and waits. One that knows a node
    that seems to have started much later has a clock that differs from that node's, so
    it can't tell which nodes are older, and waits too.

    Pledges of too large shares are prevented by the node count of a directory that has
    been read after the entry was created, and that has settled.

    Parameters
    ----------
    started_ms : int
        Start of this process in ms since the epoch.

    Examples
    --------
    >>> start = FirstStart(started_ms=10_000)
    >>> start.update(True, [9_500], 3, now=0.5), start.update(True, [9_500], 3, now=0.8)
    (False, True)
    """

    def __init__(self, started_ms: int) -> None:
        self._started_ms = started_ms
        self._node_count = 0
        self._changed_at = math.inf
        self._may_lend = False

    def update(
        self,
        is_first_process: bool,
        starts_ms: Iterable[int],
        node_count: int,
        now: float,
    ) -> bool:
        """Return whether the share may be lent; it stays so.

        `is_first_process` states that the entry was created and the directory has been
        read since, and `starts_ms` are the starts of the known processes.
        """
        if node_count != self._node_count:
            self._node_count, self._changed_at = node_count, now
        if is_first_process and now - self._changed_at >= SETTLE_S:
            limit_ms = TOGETHER_S * 1000
            self._may_lend |= all(
                abs(start_ms - self._started_ms) <= limit_ms for start_ms in starts_ms
            )
        return self._may_lend
