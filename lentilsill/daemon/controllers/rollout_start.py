"""Learns the roll-outs when a node starts, before it calls services in doubt."""

import asyncio
from collections import defaultdict

from lentilsill.daemon.context import Context
from lentilsill.routing import version_of
from lentilsill.wire import CONTROL, messages as wire

from .membership import MembershipController

__all__ = ["RolloutStart"]

CHECK_INTERVAL_S = 0.05
# A started node asks peers for the states until one that knows them has answered. When
# all nodes start, the answers of the first ones that have read the store spread in a
# few rounds.
REQUEST_INTERVAL_S = 0.2
# Nodes start without the states if the store and all peers that know them are out of
# reach for this time.
MAX_WAIT_S = 2.0
REQUESTED_PEERS = 2


class RolloutStart:
    """Holds back calls of services in doubt until the node knows the roll-outs.

    A service is in doubt if its upstreams have several versions: one of them may have
    been rolled back. Without such a service, a start takes no longer than without
    roll-outs.
    """

    def __init__(self, ctx: Context, membership: MembershipController) -> None:
        self._ctx = ctx
        self._membership = membership
        self.is_informed = False

    def start(self) -> None:
        """Start to ask peers."""
        self._ctx.spawn(self._run())

    def mark_informed(self) -> None:
        """Record that this node knows all roll-outs."""
        self.is_informed = True
        self._ctx.board.services_in_doubt = frozenset()

    async def _run(self) -> None:
        ctx = self._ctx
        end_at = ctx.now() + MAX_WAIT_S
        request_at = ctx.now()
        while not self.is_informed and (now := ctx.now()) < end_at:
            ctx.board.services_in_doubt = self._find_services_in_doubt()
            if now >= request_at and self._request():
                request_at = now + REQUEST_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
        ctx.board.services_in_doubt = frozenset()

    def _request(self) -> bool:
        """Ask some peers for the states; return whether any peer is known."""
        addresses = self._membership.random_peer_addresses(REQUESTED_PEERS)
        for address in addresses:
            self._ctx.links.send(address, CONTROL, wire.RolloutReport(""))
        return bool(addresses)

    def _find_services_in_doubt(self) -> frozenset[str]:
        board = self._ctx.board
        versions: dict[str, set[str]] = defaultdict(set)
        records = [*board.upstreams.values()]
        for node in (*board.members.values(), *board.remote_nodes.values()):
            records += node.upstreams
        for record in records:
            if version := version_of(record):
                versions[record.service].add(version)
        return frozenset(name for name, found in versions.items() if len(found) > 1)
