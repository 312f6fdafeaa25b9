"""Pushes down the fan-out trees over the members of the domain."""

from collections.abc import Callable

from lentilsill.daemon.context import Context
from lentilsill.distribution import fanout_children
from lentilsill.wire import CONTROL, Message

__all__ = ["TreePush"]

# Bounds the dials of a node that has lost its network and reaches no child. The
# subtree of one child has 73 nodes with 511 members and fan-out 8.
MAX_AROUND = 80


class TreePush:
    """Sends to the own children in a tree, and past those out of reach.

    The subtree of a child that died a moment ago would otherwise wait for
    anti-entropy.

    Parameters
    ----------
    ctx : Context
    names : callable
        Nodes of the domain that are alive and not suspect.
    address : callable
        Peer address of a node, empty when not known.
    """

    def __init__(
        self,
        ctx: Context,
        names: Callable[[], list[str]],
        address: Callable[[str], str],
    ) -> None:
        self._ctx = ctx
        self._names = names
        self._address = address

    def push(self, root: str, message: Message) -> int:
        """Send a push of `root` to the own children; give their number."""
        left = [MAX_AROUND]
        children = self._children(self._ctx.cfg.node, root)
        for child in children:
            self._send(child, root, message, left)
        return len(children)

    def _children(self, node: str, root: str) -> tuple[str, ...]:
        fanout = self._ctx.cfg.distribution.fanout
        return fanout_children(node, root, self._names(), fanout)

    def _send(self, node: str, root: str, message: Message, left: list[int]) -> None:
        def push_around() -> None:
            self._ctx.count("distribution.pushed_around")
            for child in self._children(node, root):
                if left[0] > 0:
                    left[0] -= 1
                    self._send(child, root, message, left)

        address = self._address(node)
        if address:
            self._ctx.links.send_or_else(address, CONTROL, message, push_around)
