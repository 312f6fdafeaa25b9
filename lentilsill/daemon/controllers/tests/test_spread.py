"""Nodes on loopback discover each other and converge on the same documents."""

import unittest
from collections import Counter

import xxhash

from lentilsill.daemon.blackboard import Topic
from lentilsill.distribution import TextVersions
from lentilsill.membership import UpstreamState
from lentilsill.membership.tests.builders import make_upstream

from .spread_builders import FakePlatform, start_node, wait_until


def make_bundle(version):
    """Return the value of a bundle; the texts of versions differ in a few lines."""
    target = {"service": "s", "upstream_set": "all"}
    routes = [
        {
            "name": f"r{number}",
            "match": {"path_prefix": f"/{xxhash.xxh3_128_hexdigest(bytes(number))}/"},
            "targets": [target],
            "deadline_ms": 100 + version * (number == 3),
        }
        for number in range(300)
    ]
    documents = [
        {"service": "s", "upstream_sets": {"all": {}}},
        {"service": "h", "routes": routes},
    ]
    return {"version": version, "documents": documents}


class SpreadTests(unittest.IsolatedAsyncioTestCase):
    def start(self, *args, **kwargs):
        node = start_node(*args, **kwargs)
        self.addCleanup(node.stop)
        return node

    async def start_domain(self, platform, **kwargs):
        first = self.start("a", platform, **kwargs)
        seeds = (first.address,)
        nodes = [first, *(self.start(n, platform, seeds, **kwargs) for n in "bc")]
        await wait_until(lambda: all(n.member_names == set("abc") for n in nodes))
        await wait_until(lambda: all(n.ctx.board.ready for n in nodes))
        return nodes

    async def check_document_reaches_all(self, policy):
        platform = FakePlatform()
        nodes = await self.start_domain(platform, optimise_for=policy)
        await wait_until(lambda: platform.waiting_watches >= 2)
        await platform.write("slots", {"service": "slots"})
        await wait_until(lambda: all(n.documents.rows for n in nodes), timeout_s=2.0)
        await wait_until(lambda: all(n.documents.complete_as_of == 1 for n in nodes))

    async def test_three_nodes_join_through_one_seed_and_share_a_document(self):
        """Guards against nodes that miss a document written after they started."""
        await self.check_document_reaches_all("convergence")

    async def test_batched_push_reaches_every_node(self):
        """Guards against changes that are batched but never pushed."""
        await self.check_document_reaches_all("control_bytes")

    async def start_bundle_domain(self, platform):
        """Start two watchers, and a node that gets the bundle only from them."""
        await platform.write("main", make_bundle(0))
        fast_settings = {"documents": "bundle", "link_mbps": 50}
        first = self.start("a", platform, **fast_settings)
        seeds = (first.address,)
        second = self.start("b", platform, seeds, **fast_settings)
        down = FakePlatform(is_up=False)
        receiver = self.start("c", down, seeds, documents="bundle", link_mbps=5)
        nodes = [first, second, receiver]
        await wait_until(lambda: all(n.member_names == set("abc") for n in nodes))
        await wait_until(lambda: all(n.documents.bundle_version == 1 for n in nodes))
        await wait_until(lambda: platform.waiting_watches >= 2)
        counts: Counter[str] = Counter()
        for node in nodes:
            node.ctx.count = lambda name, value=1: counts.update({name: value})
        return nodes, counts

    async def test_bundle_change_is_pushed_as_a_patch(self):
        """Guards against whole bundles that fill slow network links at each change."""
        platform = FakePlatform()
        nodes, counts = await self.start_bundle_domain(platform)
        before = sum(n.ctx.links.traffic["control"].sent_bytes for n in nodes)
        await platform.write("main", make_bundle(1))
        await wait_until(
            lambda: all(n.documents.bundle_version == 2 for n in nodes), timeout_s=2.0
        )
        self.assertEqual(counts["distribution.patches_unfit"], 0)
        sent = sum(n.ctx.links.traffic["control"].sent_bytes for n in nodes) - before
        self.assertLess(sent, len(nodes[0].documents.delta_since(0).rows[0][3]) / 4)

    async def test_node_without_the_base_of_a_patch_requests_changes_at_once(self):
        """Guards against a node that waits for anti-entropy after a lost push (G9)."""
        platform = FakePlatform()
        nodes, counts = await self.start_bundle_domain(platform)
        receiver = nodes[2]
        receiver.documents._versions = TextVersions()
        receiver.membership._digest_subscribers.clear()
        await platform.write("main", make_bundle(1))
        await wait_until(lambda: receiver.documents.bundle_version == 2, timeout_s=2.0)
        self.assertGreaterEqual(counts["distribution.patches_unfit"], 1)

    async def test_nodes_with_fast_links_rank_first_as_watchers(self):
        """Guards against calls that wait behind the configuration on a slow link."""
        platform = FakePlatform()
        first = self.start("a", platform, link_mbps=5)
        seeds = (first.address,)
        fast = [self.start(n, platform, seeds, link_mbps=50) for n in "bc"]
        nodes = [first, *fast]
        await wait_until(lambda: all(n.member_names == set("abc") for n in nodes))
        await wait_until(
            lambda: all(n.membership.is_among_first_ranked(2) for n in fast)
        )
        self.assertFalse(first.membership.is_among_first_ranked(2))

    async def test_compacted_watch_lists_again(self):
        """Guards against missed changes after the platform has compacted them."""
        platform = FakePlatform()
        platform.revision = platform.oldest_revision = 5
        await platform.write("ledger", {"service": "ledger"})
        node = self.start("a", platform)
        node.documents.complete_as_of = 1
        await wait_until(lambda: node.documents.complete_as_of == 6)
        self.assertIn("ledger", node.documents.rows)
        self.assertEqual(platform.list_count, 1)

    async def test_departing_node_is_dropped_without_probes(self):
        """Guards against an exited node that stays a member until probes time out."""
        a, b, c = await self.start_domain(FakePlatform())
        c.membership.leave()
        await wait_until(lambda: a.member_names == b.member_names == {"a", "b"}, 1.0)

    async def test_permanent_difference_does_not_cause_repeated_syncs(self):
        """Guards against a sync at every digest between nodes that can't agree."""
        platform = FakePlatform()
        await platform.write("slots", {"service": "slots"})
        nodes = await self.start_domain(platform)
        await wait_until(lambda: all(n.documents.complete_as_of == 1 for n in nodes))
        counts: Counter[str] = Counter()
        first = nodes[0]
        first.ctx.count = lambda name, value=1: counts.update({name: value})
        handle_digest = first.distribution._handle_digest

        def count_and_handle(link, theirs):
            counts["differing"] += theirs.documents_hash != first.documents.content_hash
            return handle_digest(link, theirs)

        first.distribution._handle_digest = count_and_handle
        nodes[1].documents.salt = 1
        await wait_until(lambda: counts["differing"] >= 10)
        self.assertIn(counts["distribution.syncs_asked"], (1, 2, 3))
        await platform.write("ledger", {"service": "ledger"})
        await wait_until(lambda: all(n.documents.complete_as_of == 2 for n in nodes))

    async def test_leaving_upstream_is_known_everywhere_within_2_s(self):
        """Guards against new calls to an upstream that is leaving."""
        a, b, c = await self.start_domain(FakePlatform())
        b.ctx.board.upstreams["u1"] = make_upstream()
        b.ctx.board.notify(Topic.UPSTREAMS)
        await wait_until(lambda: c.ctx.board.members["b"].upstreams)
        b.ctx.board.draining = True
        b.ctx.board.notify(Topic.DRAIN)

        def has_leaving_upstream(node):
            upstreams = node.ctx.board.members["b"].upstreams
            return upstreams and upstreams[0].state == UpstreamState.LEAVING

        await wait_until(
            lambda: has_leaving_upstream(a) and has_leaving_upstream(c), timeout_s=2.0
        )

    async def test_node_behind_a_broken_path_is_not_suspected(self):
        """Guards against suspecting a node that others still reach."""
        a, b, c = await self.start_domain(FakePlatform())
        dropped = []
        send = a.ctx.links.send

        def send_not_to_c(address, purpose, message):
            if address == c.address:
                dropped.append(message)
            else:
                send(address, purpose, message)

        a.ctx.links.send = send_not_to_c
        generation, seq = c.membership.table.own.order
        await wait_until(lambda: len(dropped) >= 4)
        self.assertEqual(c.membership.table.own.order, (generation, seq))

    async def test_killed_node_is_detected_and_can_join_again(self):
        """Guards against calls to a dead node, and a restarted one taken for dead."""
        a, b, c = await self.start_domain(FakePlatform())
        c.stop()
        await wait_until(lambda: a.member_names == b.member_names == {"a", "b"})
        restarted = self.start("c", FakePlatform(), (a.address,))
        await wait_until(lambda: a.member_names == b.member_names == set("abc"))
        instance = restarted.ctx.links.identity.instance
        await wait_until(lambda: b.ctx.board.members["c"].instance == instance)

    async def test_domain_starts_from_another_domain_during_an_outage(self):
        """Guards against a domain that restarts as a whole and never gets ready."""
        platform = FakePlatform()
        await platform.write("slots", {"service": "slots"})
        nodes = await self.start_domain(platform)
        nodes[0].ctx.board.upstreams["u1"] = make_upstream()
        nodes[0].ctx.board.notify(Topic.UPSTREAMS)
        down = FakePlatform(is_up=False)
        first = self.start("x", down, (nodes[1].address,), domain="multan")
        seeds = (first.address,)
        others = [first, *(self.start(n, down, seeds, domain="multan") for n in "yz")]
        await wait_until(lambda: all(n.documents.rows for n in others))
        await wait_until(lambda: all(n.ctx.board.ready for n in others))
        await wait_until(lambda: all("a" in n.ctx.board.remote_nodes for n in others))
        await wait_until(lambda: all("x" in n.ctx.board.remote_nodes for n in nodes))
        nodes[0].ctx.board.draining = True
        nodes[0].ctx.board.notify(Topic.DRAIN)
        await wait_until(
            lambda: all("a" not in n.ctx.board.remote_nodes for n in others), 2.0
        )
