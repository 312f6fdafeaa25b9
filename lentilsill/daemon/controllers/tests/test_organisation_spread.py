"""Organisations spread between nodes that know them, and to no other node."""

import asyncio
import unittest

from lentilsill.documents import parse_bundle

from .spread_builders import FakePlatform, start_node, wait_until


def make_bundle(version, *names):
    """Return a bundle with a public route and these organisations."""
    target = {"service": "s", "upstream_set": "all"}
    routes = [
        {
            "name": f"r{number}",
            "match": {"path_prefix": f"/{number}/"},
            "targets": [target],
            "deadline_ms": 100,
            **({"is_public": True} if number == 3 else {}),
        }
        for number in range(50)
    ]
    return {
        "version": version,
        "documents": [
            {"service": "s", "upstream_sets": {"all": {}}},
            {"service": "h.example", "routes": routes},
        ],
        "organisations": [{"name": name, "key_digests": [name]} for name in names],
    }


class OrganisationSpreadTests(unittest.IsolatedAsyncioTestCase):
    def start(self, name, platform, seeds=(), organisations=True):
        node = start_node(
            name,
            platform,
            tuple(seed.address for seed in seeds),
            documents="bundle",
            organisations=organisations,
            # Each of the few nodes reads the platform if it can.
            watchers_per_domain=3,
        )
        self.addCleanup(node.stop)
        return node

    def organisations(self, node):
        organisations = node.ctx.board.snapshot.organisations
        return None if organisations is None else set(organisations)

    def version(self, node):
        return node.documents.in_force and node.documents.in_force.version

    async def wait_for(self, version, *nodes):
        await wait_until(lambda: all(self.version(node) == version for node in nodes))

    async def test_each_peer_gets_the_text_that_it_can_read(self):
        """Guards against old nodes that reject the text, or don't get changes."""
        platform, no_platform = FakePlatform(), FakePlatform(is_up=False)
        source = self.start("a", platform)
        peer = self.start("b", no_platform, [source])
        old = self.start("c", no_platform, [source], organisations=False)
        for version, names in ((1, ["x", "y"]), (2, ["x", "z"]), (3, [])):
            await platform.write("main", make_bundle(version, *names))
            await self.wait_for(version, source, peer, old)
            self.assertEqual(self.organisations(source), set(names))
            self.assertEqual(self.organisations(peer), set(names))
            self.assertIsNone(self.organisations(old))
            [row] = old.documents.delta_since(0).rows
            value = make_bundle(version)
            del value["organisations"]
            del value["documents"][1]["routes"][3]["is_public"]
            expected = parse_bundle(str(value).replace("'", '"'), row[1]).unwrap()
            self.assertEqual(parse_bundle(row[3], row[1]).unwrap(), expected)
            self.assertEqual(old.documents.content_hash, source.documents.content_hash)

    async def test_node_does_not_take_a_bundle_from_a_peer_without_them(self):
        """Guards against a node that serves callers without a key."""
        platform, own_path = FakePlatform(), FakePlatform(is_up=False)
        await platform.write("main", make_bundle(1, "x"))
        old = self.start("a", platform, organisations=False)
        await self.wait_for(1, old)
        node = self.start("b", own_path, [old])
        await wait_until(lambda: node.distribution.bundle_sources.has_refused_newer)
        await asyncio.sleep(1.0)
        self.assertIsNone(self.version(node))
        self.assertFalse(node.ctx.board.ready)
        own_path.is_up = True
        own_path.revision = platform.revision
        own_path.objects = platform.objects
        await wait_until(lambda: self.organisations(node) == {"x"})
        self.assertFalse(node.distribution.bundle_sources.has_refused_newer)
        await wait_until(lambda: node.ctx.board.ready)

    async def test_old_peer_gets_a_version_that_a_new_one_has_read(self):
        """Guards against old nodes that stay behind during an upgrade."""
        platform, no_platform = FakePlatform(), FakePlatform(is_up=False)
        old = self.start("a", no_platform, organisations=False)
        node = self.start("b", platform, [old])
        await platform.write("main", make_bundle(1, "x"))
        await self.wait_for(1, old)
        await wait_until(lambda: old.ctx.board.ready)
        self.assertEqual(self.organisations(node), {"x"})
