"""Start of a node with roll-outs enabled."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.rollout_start import RolloutStart
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.membership import UpstreamRecord, UpstreamState
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity


def make_record(upstream: str, version: str) -> UpstreamRecord:
    labels = (("version", version),) if version else ()
    return UpstreamRecord(upstream, "slots", "", 1, labels, UpstreamState.READY)


class RolloutStartTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, *versions: str) -> RolloutStart:
        """Start beside upstreams of some versions, with no peers and no store."""
        links = PeerLinks(Identity("n1", "i", "d", "127.0.0.1:1"), "127.0.0.1")
        self.board = Blackboard(EMPTY_SNAPSHOT)
        records = [make_record(f"u{i}", version) for i, version in enumerate(versions)]
        self.board.upstreams = {record.upstream: record for record in records}
        ctx = Context(node_settings("n1"), self.board, links, None, random.Random(1))
        self.addCleanup(lambda: [task.cancel() for task in ctx.tasks])
        membership = SimpleNamespace(random_peer_addresses=lambda count: [])
        start = RolloutStart(ctx, membership)  # type: ignore[arg-type]
        start.start()
        await asyncio.sleep(0.02)
        return start

    async def test_start_is_not_later_with_one_version(self) -> None:
        """Guards against a later start of all nodes while the store is down."""
        await self.start("v1", "v1", "")
        self.assertEqual(self.board.services_in_doubt, frozenset())

    async def test_service_with_two_versions_is_in_doubt_until_informed(self) -> None:
        """Guards against calls to a version that was rolled back before a restart."""
        start = await self.start("v1", "v2")
        self.assertEqual(self.board.services_in_doubt, {"slots"})
        start.mark_informed()
        await asyncio.sleep(0.1)
        self.assertEqual(self.board.services_in_doubt, frozenset())


if __name__ == "__main__":
    unittest.main()
