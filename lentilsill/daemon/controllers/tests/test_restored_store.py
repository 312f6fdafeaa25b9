"""Versions are in force in time and none goes back when the store loses writes."""

import random
import time
import unittest
from typing import Any

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.platform_watch import PlatformWatchController
from lentilsill.versioning import make_position

from .restored_store_builders import IN_FORCE_S, DrillCase, bundle_value, in_force
from .spread_builders import FakePlatform, PlatformPath, start_node, wait_until


class NextVersionTests(DrillCase):
    """One node, whose store comes back at a lower revision."""

    async def start_with_version_at_a_high_revision(self):
        self.write(3, "five")
        self.write_others(20)
        self.write(4, "seven")
        node = self.start("a")
        await self.wait_in_force("seven", node)
        return node

    async def test_version_after_the_return_is_ignored_as_older(self):
        """Guards against a node that orders versions by revision alone (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        self.restore(age_s=10.5)
        self.write(9, "nine")
        await self.wait_in_force("nine", node)

    async def test_version_at_a_revision_given_out_again_is_ignored(self):
        """Guards against two versions that share one revision (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        revision = self.store.revision
        self.restore(age_s=5.5)
        self.write_others(revision - self.store.revision - 1)
        self.assertEqual(self.write(9, "nine"), revision)
        await self.wait_in_force("nine", node)

    async def test_version_that_the_counter_has_passed_is_never_read(self):
        """Guards against a watch that continues in another history (G9)."""
        node = await self.start_with_version_at_a_high_revision()
        revision = self.store.revision
        self.store.restore(10.5)
        self.write(9, "nine")
        self.write_others(30)
        self.assertGreater(self.store.revision, revision)
        await self.wait_in_force("nine", node)


class SlowestRandom(random.Random):
    """Always returns the upper bound."""

    def uniform(self, a, b):
        return b


class ReturnTests(unittest.IsolatedAsyncioTestCase):
    async def test_list_after_a_return_waits_as_long_as_the_failures_before(self):
        """Guards against a node that lists seconds after the store is back (G9)."""
        platform: Any = FakePlatform()
        platform.revision = platform.oldest_revision = 5
        await platform.write("main", bundle_value(3, "five"))
        node = start_node("n", PlatformPath(platform), documents="bundle")
        self.addCleanup(node.stop)
        node.ctx.rng = SlowestRandom()
        watch = PlatformWatchController.from_context(
            node.ctx, platform, node.documents, node.membership, node.distribution
        )
        node.documents.complete_as_of = 1
        for _ in range(10):
            watch._backoff.next_delay()
        started_s = time.monotonic()
        await watch._read_platform()
        await watch._read_platform()
        self.assertEqual(in_force(node), "five")
        self.assertLess(time.monotonic() - started_s, IN_FORCE_S / 2)


class NameTests(unittest.IsolatedAsyncioTestCase):
    async def test_other_object_of_the_kind_does_not_replace_the_bundle(self):
        """Guards against an object under another name that outranks the bundle.

        The newest revision among all objects of the kind was in force.
        """
        for is_listed in (True, False):
            with self.subTest(is_listed):
                platform: Any = FakePlatform()
                path = PlatformPath(platform)
                path.is_silent = True
                node = start_node("n", path, documents="bundle")
                self.addCleanup(node.stop)
                watch = PlatformWatchController.from_context(
                    node.ctx,
                    platform,
                    node.documents,
                    node.membership,
                    node.distribution,
                    name="main",
                )
                await platform.write("main", bundle_value(3, "five"))
                if not is_listed:
                    await watch._read_platform()
                await platform.write("odd", bundle_value(9, "seven"))
                await watch._read_platform()
                self.assertEqual(in_force(node), "five")
                await platform.write("main", bundle_value(4, "nine"))
                await watch._read_platform()
                self.assertEqual(in_force(node), "nine")


class CopyTests(DrillCase):
    """A copy that holds an older version than the one in force."""

    async def start_with_lost_version(self, *names):
        self.write(3, "five")
        nodes: list = []
        for name in names:
            nodes.append(self.start(name, tuple(n.address for n in nodes[:1])))
        await self.wait_in_force("five", *nodes)
        self.write_others(5)
        self.write(4, "seven")
        await self.wait_in_force("seven", *nodes)
        self.restore(age_s=3.5)
        return nodes

    def count_services(self, node):
        """Return the services that are in force at a node from now on, in order."""
        seen = []
        node.ctx.board.subscribe(Topic.IN_FORCE, lambda: seen.append(in_force(node)))
        return seen

    async def wait_for_era(self, *nodes):
        await wait_until(lambda: all(n.ctx.board.store_era == 2 for n in nodes))

    async def test_older_copy_replaces_the_version_in_force(self):
        """Guards against a configuration that comes back older (G1, G9)."""
        [node] = await self.start_with_lost_version("a")
        seen = self.count_services(node)
        await self.wait_for_era(node)
        revision = self.write(4, "seven")
        await wait_until(lambda: node.documents.bundle_version > make_position(2, 0))
        self.assertEqual(node.documents.bundle_version, make_position(2, revision))
        self.assertEqual(set(seen), {"seven"})
        self.write(6, "nine")
        await self.wait_in_force("nine", node)

    async def test_node_that_starts_with_the_copy_spreads_it(self):
        """Guards against an older version that a restarted node brings back (G1)."""
        nodes = await self.start_with_lost_version("a", "b")
        seen = [self.count_services(node) for node in nodes]
        late = self.start("c", (nodes[0].address,))
        await self.wait_in_force("seven", *nodes, late, timeout_s=IN_FORCE_S + 1.0)
        await self.wait_for_era(*nodes, late)
        self.assertLessEqual({service for s in seen for service in s}, {"seven"})
        self.write(6, "nine")
        await self.wait_in_force("nine", *nodes, late)

    async def test_lost_versions_written_again_in_order_go_back(self):
        """Guards against the older of two lost versions when it comes again (G1)."""
        self.write(3, "five")
        node = self.start("a")
        await self.wait_in_force("five", node)
        for number, service in ((4, "six"), (5, "seven")):
            self.write(number, service)
        await self.wait_in_force("seven", node)
        self.restore(age_s=2.5)
        seen = self.count_services(node)
        self.write(4, "six")
        await self.wait_for_era(node)
        self.write(5, "seven")
        self.write(8, "nine")
        await self.wait_in_force("nine", node)
        self.assertNotIn("six", seen)

    async def test_rejected_version_of_the_new_era_replaces_a_good_one(self):
        """Guards against a node without configuration after a return (G3)."""
        [node] = await self.start_with_lost_version("a")
        seen = self.count_services(node)
        self.write_value({"version": 6})
        await wait_until(lambda: node.documents.rejected_versions())
        late = self.start("c", (node.address,))
        await self.wait_in_force("seven", node, late, timeout_s=IN_FORCE_S + 1.0)
        self.assertLessEqual(set(seen), {"seven"})
        self.write(7, "nine")
        await self.wait_in_force("nine", node, late)

    async def test_second_return_right_after_an_acknowledgement(self):
        """Guards against a version that only the first era can follow (G9)."""
        nodes = await self.start_with_lost_version("a", "b")
        await self.wait_for_era(*nodes)
        self.write(4, "seven")
        self.write(6, "eight")
        self.restore(age_s=1.5)
        await wait_until(lambda: all(n.ctx.board.store_era == 3 for n in nodes))
        self.write(6, "eight")
        self.write(9, "nine")
        await self.wait_in_force("nine", *nodes)

    async def test_store_that_names_no_era_is_followed(self):
        """Guards against nodes that need the header."""
        self.store.era = None
        self.write(3, "five")
        node = self.start("a")
        await self.wait_in_force("five", node)
        self.write(4, "seven")
        await self.wait_in_force("seven", node)
        self.assertEqual(node.documents.bundle_version, self.store.revision)
        self.store.era = 1
        self.write(6, "nine")
        await self.wait_in_force("nine", node)


class DocumentTests(DrillCase):
    """Documents of single services, which have no numbers of their own."""

    def write_document(self, service, deadline_ms):
        route = {
            "name": "r",
            "match": {"path_prefix": "/"},
            "targets": [{"service": service, "upstream_set": "all"}],
            "deadline_ms": deadline_ms,
        }
        value = {
            "service": service,
            "upstream_sets": {"all": {}},
            "routes": [route],
        }
        return self.write_value(value, name=service)

    async def start_with_documents(self):
        self.write_document("a", 1)
        node = self.start("n", documents="real")
        await self.wait_deadlines(node, a=1)
        self.write_document("a", 2)
        self.write_others(4)
        self.write_document("a", 3)
        self.write_document("b", 1)
        await self.wait_deadlines(node, a=3, b=1)
        return node

    async def wait_deadlines(self, node, **expected):
        await wait_until(lambda: deadlines(node) == expected, IN_FORCE_S)

    async def test_older_copy_replaces_or_deletes_documents(self):
        """Guards against routes that vanish until they are written again (G1)."""
        node = await self.start_with_documents()
        seen = []
        node.ctx.board.subscribe(Topic.IN_FORCE, lambda: seen.append(deadlines(node)))
        self.restore(age_s=3.5)
        await wait_until(lambda: node.ctx.board.store_era == 2)
        self.assertEqual(deadlines(node), {"a": 3, "b": 1})
        self.assertEqual([s for s in seen if s != {"a": 3, "b": 1}], [])

    async def test_document_written_before_the_return_was_noticed_is_ignored(self):
        """Guards against a write at a revision below the one in force (G9)."""
        node = await self.start_with_documents()
        self.store.restore(3.5)
        self.write_document("a", 9)
        await self.wait_deadlines(node, a=9, b=1)
        self.write_document("b", 5)
        await self.wait_deadlines(node, a=9, b=5)


def deadlines(node):
    documents = node.ctx.board.snapshot.documents
    return {name: doc.routes[0].deadline_ms for name, doc in documents.items()}
