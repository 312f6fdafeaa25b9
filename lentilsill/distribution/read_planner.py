"""Whether a node that watches the platform lists or watches next."""

from random import Random

__all__ = ["ReadPlanner", "first_delay_s"]

# A watch gives every version that it has missed. Where one version takes longer than
# this on the host's network link, the next one may have come meanwhile.
SLOW_TRANSFER_S = 0.2
# Carries the largest object of the platform, 1 MB, within that time.
FAST_LINK_MBPS = 40.0
# Spreads the first reads of nodes that start together, in seconds. A node with a thin
# link had better get the documents from a peer, compressed, and waits longer.
FAST_SPREAD_S = 0.1
SPREAD_S = 0.5


def first_delay_s(link_mbps: float | None, rng: Random) -> float:
    """Give how long a node that starts waits before it reads the platform.

    Nodes that start together each rank first until they know their peers; the wait
    lets most of them find out before they list.

    Examples
    --------
    >>> first_delay_s(1000.0, Random(1)) < 0.1, first_delay_s(5.0, Random(1)) < 0.1
    (True, False)
    """
    is_fast = link_mbps is not None and link_mbps >= FAST_LINK_MBPS
    if is_fast:
        return rng.uniform(0.0, FAST_SPREAD_S)
    is_thin = link_mbps is not None
    return rng.uniform(FAST_SPREAD_S if is_thin else 0.0, SPREAD_S)


class ReadPlanner:
    """Decides between a list and a watch.

    With `newest_only` a version replaces all earlier ones, as that of a bundle does.
    A thin network link then carries the newest version once rather than all that came
    since: versions that arrive faster than the link carries them would otherwise
    make each watch longer than the one before.

    Examples
    --------
    >>> reading = ReadPlanner(newest_only=True)
    >>> reading.record_watch(changes=3, transfer_s=0.8)
    >>> reading.must_list
    True
    >>> reading.record_list(is_news=False, transfer_s=0.8)
    >>> reading.must_list
    False
    """

    def __init__(self, newest_only: bool) -> None:
        self.newest_only = newest_only
        self.must_list = False

    def record_watch(self, changes: int, transfer_s: float) -> None:
        """A watch was answered."""
        self.must_list = self._may_be_behind(changes > 0, transfer_s)

    def record_list(self, is_news: bool, transfer_s: float) -> None:
        """A list was answered; `is_news` tells that it held something new."""
        self.must_list = self._may_be_behind(is_news, transfer_s)

    def record_failure(self) -> None:
        """A read failed; versions may have come meanwhile."""
        self.must_list = self.must_list or self.newest_only

    def record_compaction(self) -> None:
        """The platform no longer keeps what came since."""
        self.must_list = True

    def _may_be_behind(self, is_news: bool, transfer_s: float) -> bool:
        return self.newest_only and is_news and transfer_s > SLOW_TRANSFER_S
