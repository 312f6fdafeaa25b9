"""Tests of reports between nodes and of writes of the domain's status."""

import asyncio
import unittest
from typing import Any

from result import Err, Ok
from tornado.testing import bind_unused_port

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.documents import DocumentsController
from lentilsill.daemon.controllers.status import StatusController
from lentilsill.daemon.node import make_context
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.membership import NodeRecord, NodeState
from lentilsill.platform import AnswerLost, Conflict, StoredObject, Unavailable
from lentilsill.status import status_from_value
from lentilsill.versioning.tests.builders import record
from lentilsill.wire.messages import Delta

WAIT_TIMEOUT_S = 10.0


class MemoryApi:
    """Platform with one object per name; each write consumes one of `faults`."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.faults = []
        self.puts = 0

    async def get(self, kind, name):
        return Ok(self.objects.get(name))

    async def put(self, kind, name, value, expected_version):
        self.puts += 1
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, Unavailable):
            return Err(fault)
        current = self.objects[name].version if name in self.objects else 0
        if expected_version != current:
            return Err(Conflict(current))
        self.revision += 1
        self.objects[name] = StoredObject(kind, name, self.revision, value)
        return Err(fault) if fault else Ok(self.revision)

    def service(self, name="a"):
        obj = self.objects.get("d")
        if obj is None:
            return None
        return status_from_value(obj.value).unwrap().services.get(name)


async def wait_until(condition):
    """Wait for a condition, at most 10 s."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


class StatusControllerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.api: Any = MemoryApi()
        self.nodes = []
        self.ranked = []

    def start_node(self, name):
        sock, port = bind_unused_port()
        sock.close()
        address = f"127.0.0.1:{port}"
        ctx = make_context(node_settings(name, peer_address=address))
        ctx.links.listen(address)
        documents = DocumentsController(ctx)
        status = StatusController(ctx, documents.store, self.api, lambda: self.ranked)
        status.interval_s = 0.02
        status.settle_s = 0.1
        rec = NodeRecord(
            name, "d", ctx.links.identity.instance, 1, 1, address, "", NodeState.READY
        )
        self.ranked.append(rec)
        self.nodes.append(ctx)
        self.addAsyncCleanup(self.stop_node, ctx)
        status.start()
        return documents, status

    async def stop_node(self, ctx):
        for task in list(ctx.tasks):
            task.cancel()
        ctx.links.close()

    def put_in_force(self, documents, version):
        rec = record("a", version)
        delta = Delta(version - 1, version, False, (rec.row(),))
        documents.merge(delta)

    def has_reached(self, version, nodes):
        part = self.api.service()
        return part is not None and (part.in_force, part.nodes) == (version, nodes)

    async def test_all_nodes_are_counted(self):
        """Guards against a report that is lost when its link is new or replaced."""
        started = [self.start_node(f"n{i}") for i in range(4)]
        for documents, _ in started:
            self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 4))
        for link in list(self.nodes[0].links.accepted):
            link.close()
        for documents, _ in started:
            self.put_in_force(documents, 2)
        await wait_until(lambda: self.has_reached(2, 4))

    async def test_next_writer_takes_over(self):
        """Guards against a status that nobody writes after its first writer stops."""
        started = [self.start_node(f"n{i}") for i in range(3)]
        for documents, _ in started:
            self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 3))
        await self.stop_node(self.nodes[0])
        del self.ranked[0]
        for documents, _ in started[1:]:
            self.put_in_force(documents, 2)
        await wait_until(lambda: self.has_reached(2, 2))

    async def test_dead_node_is_no_longer_counted(self):
        """Guards against a dead node whose last report is counted indefinitely."""
        started = [self.start_node(f"n{i}") for i in range(3)]
        for documents, _ in started:
            self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 3))
        await self.stop_node(self.nodes[2])
        del self.ranked[2]
        members = {record.node: record for record in self.ranked}
        for ctx in self.nodes[:2]:
            ctx.board.members = members
            ctx.board.notify(Topic.MEMBERS)
        await wait_until(lambda: self.has_reached(1, 2))

    async def test_unchanged_status_is_written_again_after_an_interval(self):
        """Guards against a domain that looks disconnected because nothing changed."""
        documents, status = self.start_node("n0")
        self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 1))
        now = status.ctx.now
        status.ctx.now = lambda: now() + 30
        status.refresh_s = 0.01
        puts = self.api.puts
        await wait_until(lambda: self.api.puts > puts)

    async def test_writer_retries_after_platform_faults(self):
        """Guards against a status left outdated by an outage or a lost answer."""
        self.api.faults = [Unavailable("down"), AnswerLost("cut"), Unavailable("down")]
        documents, status = self.start_node("n0")
        self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 1))
        self.put_in_force(documents, 2)
        await wait_until(lambda: self.has_reached(2, 1))
        await wait_until(lambda: status.dump()["last_error"] == "")

    async def test_unchanged_status_is_not_written_early(self):
        """Guards against writes that only repeat the stored status."""
        documents, status = self.start_node("n0")
        self.put_in_force(documents, 1)
        await wait_until(lambda: self.has_reached(1, 1))
        puts = self.api.puts
        reads = 0
        get = self.api.get

        async def counted_get(kind, name):
            nonlocal reads
            reads += 1
            return await get(kind, name)

        self.api.get = counted_get
        status.refresh_s = 0.01
        status._report_due.set()
        await wait_until(lambda: reads >= 3)
        self.assertEqual(self.api.puts, puts)

    async def test_malformed_object_is_replaced(self):
        """Guards against an object, edited by hand, that prevents all later writes."""
        self.api.objects["d"] = StoredObject("status", "d", 7, {"services": 3})
        documents, _ = self.start_node("n0")
        self.put_in_force(documents, 1)
        await wait_until(
            lambda: self.api.objects["d"].version > 7 and self.has_reached(1, 1)
        )
