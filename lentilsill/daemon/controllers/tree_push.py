"""Pushes along fan-out trees over the members of the domain."""

from collections.abc import Callable

from lentilsill.daemon.context import Context
from lentilsill.distribution import fanout_children
from lentilsill.wire import CONTROL, Message

__all__ = ["TreePush"]

# Limit on the connection attempts of a node that has lost its network and reaches no
# child. With 511 members and fan-out 8, the subtree of one child has 73 nodes.
MAX_INDIRECT_PUSHES = 80


class TreePush:
    """Pushes to this node's children in a tree, bypassing unreachable ones.

    A push over a silent link is repeated over a new one. If a child can't be reached,
    the push goes to the children of that child. The subtree of a child that has just
    died would otherwise wait for anti-entropy.

    Parameters
    ----------
    ctx : Context
    alive_names : callable
        Returns the nodes of the domain that are alive and not suspect.
    find_address : callable
        Returns the peer address of a node, empty if it is not known.
    """

    def __init__(
        self,
        ctx: Context,
        alive_names: Callable[[], list[str]],
        find_address: Callable[[str], str],
    ) -> None:
        self._ctx = ctx
        self._alive_names = alive_names
        self._find_address = find_address

    def push(self, root: str, message: Message) -> int:
        """Push to this node's children in the tree of `root`; return their number."""
        remaining_pushes = [MAX_INDIRECT_PUSHES]
        children = self._children(self._ctx.cfg.node, root)
        for child in children:
            self._send(child, root, message, remaining_pushes)
        return len(children)

    def _children(self, node: str, root: str) -> tuple[str, ...]:
        fanout = self._ctx.cfg.distribution.fanout
        return fanout_children(node, root, self._alive_names(), fanout)

    def _send(
        self, node: str, root: str, message: Message, remaining_pushes: list[int]
    ) -> None:
        def push_to_children() -> None:
            self._ctx.count("distribution.pushed_around")
            for child in self._children(node, root):
                if remaining_pushes[0] > 0:
                    remaining_pushes[0] -= 1
                    self._send(child, root, message, remaining_pushes)

        address = self._find_address(node)
        if address:
            self._ctx.links.send_checked(address, CONTROL, message, push_to_children)
