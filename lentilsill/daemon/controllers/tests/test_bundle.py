"""A bundle comes into force as a whole and never goes back."""

import json
import random
import unittest

from msgspec.structs import replace

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.documents import bundle_text
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Delta


def delta(revision, service="a", base=0, text=None, full=False):
    value = {"version": revision, "documents": [{"service": service}]}
    row = ("main", revision, False, text or json.dumps(value))
    return Delta(base, revision, full, (row,))


def routes(count, changed=0):
    target = {"service": "s", "upstream_set": "all"}
    value = {
        "version": 1,
        "documents": [
            {"service": "s", "upstream_sets": {"all": {}}},
            {
                "service": "h",
                "routes": [
                    {
                        "name": f"r{number}",
                        "match": {"path_prefix": f"/{number}/"},
                        "targets": [target],
                        "deadline_ms": 100 + changed * (number == 3),
                    }
                    for number in range(count)
                ],
            },
        ],
    }
    return bundle_text(value)


class BundleTests(unittest.TestCase):
    def setUp(self):
        links = PeerLinks(Identity("n1", "i-1", "d", "127.0.0.1:1"), "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        cfg = node_settings("n1", documents="bundle")
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        self.bundle = BundleController(self.ctx)

    def merge_news(self, bundle, news):
        """Merge a delta that is known to be news; give what is passed on."""
        passed_on = bundle.merge(news)
        assert passed_on is not None
        return passed_on

    def in_force(self):
        return list(self.ctx.board.snapshot.documents)

    def test_older_revision_changes_nothing(self):
        """Guards against a step back by a stale read or a crossed update (G1)."""
        self.assertIsNotNone(self.bundle.merge(delta(8, "new")))
        self.assertIsNone(self.bundle.merge(delta(5, "old", full=True)))
        self.assertEqual(self.in_force(), ["new"])
        self.assertEqual(self.bundle.complete_as_of, 8)

    def test_unreadable_bundle_leaves_the_older_in_force(self):
        """Guards against a bad version that takes a node out of service (G3)."""
        self.bundle.merge(delta(8, "good"))
        self.assertIsNotNone(self.bundle.merge(delta(9, text='{"version": 9}')))
        self.assertEqual(self.in_force(), ["good"])

    def test_deletion_leaves_the_last_bundle_in_force(self):
        """Guards against a fleet without routes after a slip of an operator."""
        self.bundle.merge(delta(8, "good"))
        self.bundle.merge(Delta(8, 9, False, (("main", 9, True, ""),)))
        self.assertEqual(self.in_force(), ["good"])

    def test_change_is_passed_on_as_a_patch(self):
        """Guards against bytes per change that grow with the configuration."""
        self.bundle.merge(delta(8, text=routes(50)))
        passed_on = self.merge_news(self.bundle, delta(9, text=routes(50, changed=7)))
        self.assertEqual(passed_on.rows, ())
        [(name, version, base, _, parts)] = passed_on.patches
        self.assertEqual((name, version, base), ("main", 9, 8))
        self.assertLess(sum(len(p) for p in parts if isinstance(p, str)), 400)

    def test_patch_gives_what_the_sender_holds(self):
        """Guards against nodes that differ after a patch (G2, G3)."""
        other = BundleController(self.ctx)
        for bundle in (self.bundle, other):
            bundle.merge(delta(8, text=routes(50)))
        patch = self.merge_news(other, delta(9, text=routes(50, changed=7)))
        self.assertIsNotNone(self.bundle.merge(patch))
        self.assertEqual(self.bundle.in_force, other.in_force)
        self.assertEqual(self.bundle.complete_as_of, 9)

    def test_patch_without_its_base_changes_nothing_and_is_noticed(self):
        """Guards against a node that counts as complete without a version (G9)."""
        other = BundleController(self.ctx)
        for revision in (7, 8):
            other.merge(delta(revision, text=routes(50, changed=revision)))
        patch = self.merge_news(other, delta(9, text=routes(50, changed=9)))
        self.bundle.merge(delta(7, text=routes(50, changed=7)))
        self.assertIsNone(self.bundle.merge(patch))
        self.assertEqual(self.bundle.complete_as_of, 7)
        self.assertTrue(self.bundle.lacks_base(patch))
        repair = other.delta_since(7, self.bundle.bundle_version)
        self.assertTrue(repair.patches)
        self.assertIsNotNone(self.bundle.merge(repair))
        self.assertEqual(self.bundle.in_force, other.in_force)

    def test_damaged_patch_changes_nothing(self):
        """Guards against a configuration that no operator wrote (G3)."""
        other = BundleController(self.ctx)
        for bundle in (self.bundle, other):
            bundle.merge(delta(8, text=routes(50)))
        patch = self.merge_news(other, delta(9, text=routes(50, changed=7)))
        [(*head, text_hash, parts)] = patch.patches
        damaged = replace(patch, patches=((*head, text_hash ^ 1, parts),))
        self.assertIsNone(self.bundle.merge(damaged))
        self.assertEqual(self.bundle.bundle_version, 8)

    def test_peer_that_is_behind_gets_the_bundle(self):
        """Guards against a node cut from the platform that stays behind (G9)."""
        self.bundle.merge(delta(8))
        self.assertEqual(len(self.bundle.delta_since(3).rows), 1)
        self.assertEqual(self.bundle.delta_since(8).rows, ())
