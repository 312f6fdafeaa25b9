"""Directory of nodes in the platform: choice of seeds, and this node's entry."""

import asyncio
import random
import unittest
from typing import Any

from result import Err, Ok

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.directory import DIRECTORY_KIND, DirectoryController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.platform import Conflict, Listing, StoredObject, Unavailable
from lentilsill.settings import QuotaSettings
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity


class _FakeMembership:
    def __init__(self):
        self.seeds = []

    def add_seeds(self, addresses):
        self.seeds += addresses


class _FakeApi:
    def __init__(self, values):
        self.values = values
        self.is_up = True
        self.reads = []
        self.writes = []

    async def put(self, kind, name, value, expected_version):
        self.writes.append(expected_version)
        if expected_version == 0 and name in self.values:
            return Err(Conflict(1))
        self.values[name] = value
        return Ok(1)

    async def list(self, kind, stale=False):
        self.reads.append(stale)
        if not self.is_up:
            return Err(Unavailable("outage"))
        items = self.values.items()
        return Ok(
            Listing(1, tuple(StoredObject(DIRECTORY_KIND, n, 1, v) for n, v in items))
        )


class DirectoryTests(unittest.IsolatedAsyncioTestCase):
    api: Any
    membership: Any

    def make(self, values):
        links = PeerLinks(Identity("n0", "i", "d", "127.0.0.1:1"), "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        cfg = node_settings("n0", domains=("d", "e"))
        ctx = Context(cfg, board, links, None, random.Random(1))
        self.api = _FakeApi(values)
        self.membership = _FakeMembership()
        return DirectoryController(ctx, self.api, self.membership)

    async def test_some_nodes_of_each_domain_are_contacted(self):
        """Guards against a node that contacts all other nodes of a large fleet."""
        values = {
            f"{domain}{i}": {"domain": domain, "peer_address": f"10.0.0.{i}:1"}
            for domain in "de"
            for i in range(100)
        }
        self.assertTrue(await self.make(values)._read())
        self.assertEqual(len(self.membership.seeds), 6)

    async def test_malformed_entries_are_skipped(self):
        """Guards against one malformed entry that hides the other entries."""
        good = {"domain": "e", "peer_address": "10.0.0.1:1"}
        own = {"domain": "d", "peer_address": "127.0.0.1:1"}
        values = {"a": None, "b": {"domain": 7}, "c": good, "n0": own}
        self.assertTrue(await self.make(values)._read())
        self.assertEqual(self.membership.seeds, ["10.0.0.1:1"])

    async def test_read_during_an_outage_fails(self):
        """Guards against a node that stays isolated after an outage.

        The read returns False, so that it is repeated with backoff.
        """
        directory = self.make({})
        self.api.is_up = False
        self.assertFalse(await directory._read())

    async def run_for_50_ms(self, directory):
        task = asyncio.ensure_future(directory._run())
        await asyncio.sleep(0.05)
        task.cancel()
        for spawned in list(directory._ctx.tasks):
            spawned.cancel()

    async def test_restarted_node_does_not_write_unchanged_entry(self):
        """Guards against a second platform request per node when many nodes restart."""
        own = {"domain": "d", "peer_address": "127.0.0.1:1"}
        await self.run_for_50_ms(self.make({"n0": own}))
        self.assertEqual((self.api.reads, self.api.writes), ([True], []))

    async def test_new_and_moved_nodes_write_their_entry(self):
        """Guards against a node that other nodes can't find at its current address."""
        own = {"domain": "d", "peer_address": "127.0.0.1:1"}
        moved = {"domain": "d", "peer_address": "127.0.0.9:1"}
        for values, writes in (({}, [0]), ({"n0": moved}, [None])):
            await self.run_for_50_ms(self.make(values))
            self.assertEqual(self.api.writes, writes)
            self.assertEqual(self.api.values["n0"], own)

    async def test_entry_missed_by_a_stale_read_is_replaced(self):
        """Guards against a node that keeps trying to create an entry that exists.

        A stale read may return the state before the entry was written.
        """
        directory = self.make({"n0": {"domain": "d", "peer_address": "127.0.0.9:1"}})
        self.assertFalse(await directory._write())
        self.assertTrue(await directory._write())
        self.assertEqual(self.api.values["n0"]["peer_address"], "127.0.0.1:1")

    async def test_node_writes_its_entry_after_a_failed_read(self):
        """Guards against a node that others can't find after an outage at its start."""
        directory = self.make({})
        self.api.is_up = False
        await self.run_for_50_ms(directory)
        self.assertEqual(self.api.writes, [0])

    async def test_process_that_created_its_entry_counts_the_entries_again(self):
        """Guards against quotas that the first nodes of a system take for themselves.

        A node that had an entry may have had a process with valid pledges.
        """
        own = {"domain": "d", "peer_address": "127.0.0.1:1"}
        for values, reads, is_first in (
            ({}, [True, False], True),
            ({"n0": own}, [True], False),
        ):
            directory = self.make(values)
            board = directory._ctx.board
            directory._ctx.cfg = directory._ctx.cfg.model_copy(
                update={"quotas": QuotaSettings()}
            )
            task = asyncio.ensure_future(directory._run())
            await asyncio.sleep(0.3)
            task.cancel()
            self.assertEqual(self.api.reads, reads)
            self.assertEqual(board.is_first_process, is_first)

    async def test_entry_that_appeared_meanwhile_shows_an_earlier_process(self):
        """Guards against a restarted node whose first read is too old."""
        directory = self.make({})
        directory._ctx.cfg = directory._ctx.cfg.model_copy(
            update={"quotas": QuotaSettings()}
        )
        await directory._read(stale=True)
        self.api.values["n0"] = {}
        await directory._write_until_done()
        await directory._read()
        self.assertFalse(directory._ctx.board.is_first_process)

    async def test_entry_that_the_store_lost_is_not_the_first_one(self):
        """Guards against a full read by every node, and against a share lent twice."""
        directory = self.make(
            {"n0": {"domain": "d", "peer_address": "127.0.0.1:1"}},
        )
        directory._ctx.cfg = directory._ctx.cfg.model_copy(
            update={"quotas": QuotaSettings()}
        )
        await directory._read(stale=True)
        self.api.values.clear()
        directory._stored_entry = None
        await directory._write_until_done()
        await directory._read()
        self.assertEqual(self.api.writes, [0])
        self.assertFalse(directory._ctx.board.is_first_process)
