"""Limit on the calls that one node sends to the target version of a roll-out."""

from collections.abc import Collection

from lentilsill.distribution import rank_members

from .model import ExposureLimits

__all__ = ["ExposureLimit", "extra_calls"]

# The rest of the share covers calls that were sent to the version before all nodes had
# learned of the order.
SHARE_IN_USE = 0.8
# The rest of the extra calls covers nodes that restart or disagree on the members.
EXTRA_CALLS_IN_USE = 0.5


def extra_calls(
    limits: ExposureLimits, node: str, members: Collection[str], key: str
) -> int:
    """Return this node's part of the calls above the share.

    The parts are integers, as a node can't send a part of a call. If there are more
    nodes than calls, a hash of `key` decides which nodes get one.

    Examples
    --------
    >>> limits = ExposureLimits(0.1, 50.0, 5.0)
    >>> nodes = [f"n{i}" for i in range(30)]
    >>> sum(extra_calls(limits, node, nodes, "order") for node in nodes)
    25
    """
    total = int(EXTRA_CALLS_IN_USE * limits.calls)
    ranked = rank_members({*members, node}, key)
    each, remainder = divmod(total, len(ranked))
    return each + (ranked.index(node) < remainder)


class ExposureLimit:
    """Counts a node's calls of a service, and limits those to the target version.

    If each node keeps its limit, the sum over all nodes is at most the share of all
    calls plus the extra calls, without any agreement between nodes. `extra` is this
    node's part of the latter.

    Examples
    --------
    >>> limit = ExposureLimit(0.1, extra=1)
    >>> limit.has_room(), limit.record_sent(True), limit.has_room()
    (True, None, False)
    """

    def __init__(self, share: float, extra: int) -> None:
        self._share = SHARE_IN_USE * share
        self.extra = extra
        self.sent = 0
        self.exposed = 0

    def has_room(self, is_warming_up: bool = False) -> bool:
        """Return whether one more call may go to the target version.

        While its upstreams warm up, only the extra calls may.
        """
        share = 0.0 if is_warming_up else self._share
        return self.exposed + 1 <= share * (self.sent + 1) + self.extra

    def record_sent(self, is_target: bool) -> None:
        """Count a call that is sent to an upstream of the service."""
        self.sent += 1
        self.exposed += is_target

    def record_not_run(self, is_target: bool) -> None:
        """Take back a call that has reached no upstream."""
        # A call that was sent before the order was learned has not been counted.
        self.sent = max(0, self.sent - 1)
        self.exposed = max(0, self.exposed - is_target)
