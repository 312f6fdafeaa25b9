"""A bundle is put in force as a whole, and never replaced by an older one."""

import json
import random
import unittest

from msgspec.structs import replace

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.distribution import make_patch
from lentilsill.documents import bundle_text
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Delta


def make_delta(revision, service="a", base=0, text=None, full=False):
    value = {"version": revision, "documents": [{"service": service}]}
    row = ("main", revision, False, text or json.dumps(value))
    return Delta(base, revision, full, (row,))


def routes_text(count, changed=0):
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

    def merge_new(self, bundle, new_delta):
        """Merge a delta that is new to the bundle; return what it forwards."""
        forwarded = bundle.merge(new_delta)
        assert forwarded is not None
        return forwarded

    def in_force(self):
        return list(self.ctx.board.snapshot.documents)

    def test_older_revision_changes_nothing(self):
        """Guards against a rollback by stale reads or reordered updates (G1)."""
        self.assertIsNotNone(self.bundle.merge(make_delta(8, "new")))
        self.assertIsNone(self.bundle.merge(make_delta(5, "old", full=True)))
        self.assertEqual(self.in_force(), ["new"])
        self.assertEqual(self.bundle.complete_as_of, 8)

    def test_outdated_text_and_patch_are_ignored(self):
        """Guards against an older version that replaces a newer one (G1)."""
        old, new, other = (routes_text(50, changed=n) for n in range(3))
        self.bundle.merge(make_delta(11, text=old))
        self.bundle.merge(make_delta(12, text=new))
        hash_ = make_patch(new.split("\n"), old.split("\n")).text_hash
        for version, base in ((11, 12), (12, 12), (14, 13)):
            rows = (("main", version, base, hash_, (old,)),)
            delta = Delta(version, version, False, (), patches=rows)
            self.assertIsNone(self.bundle.merge(delta))
        for version, text in ((11, other), (12, other)):
            self.assertIsNone(self.bundle.merge(make_delta(version, text=text)))
        self.assertEqual(self.bundle.bundle_version, 12)
        self.assertEqual(self.bundle.delta_since(0).rows[0][3], new)

    def test_invalid_bundle_leaves_the_older_one_in_force(self):
        """Guards against an invalid version that takes a node out of service (G3)."""
        self.bundle.merge(make_delta(8, "good"))
        self.assertIsNotNone(self.bundle.merge(make_delta(9, text='{"version": 9}')))
        self.assertEqual(self.in_force(), ["good"])

    def test_deletion_leaves_the_last_bundle_in_force(self):
        """Guards against a fleet without routes after an accidental deletion."""
        self.bundle.merge(make_delta(8, "good"))
        self.bundle.merge(Delta(8, 9, False, (("main", 9, True, ""),)))
        self.assertEqual(self.in_force(), ["good"])

    def test_change_is_forwarded_as_a_patch(self):
        """Guards against updates whose size grows with the configuration."""
        self.bundle.merge(make_delta(8, text=routes_text(50)))
        forwarded = self.merge_new(
            self.bundle, make_delta(9, text=routes_text(50, changed=7))
        )
        self.assertEqual(forwarded.rows, ())
        [(name, version, base, _, parts)] = forwarded.patches
        self.assertEqual((name, version, base), ("main", 9, 8))
        self.assertLess(sum(len(p) for p in parts if isinstance(p, str)), 400)

    def test_patched_bundle_equals_that_of_the_sender(self):
        """Guards against nodes whose documents differ after a patch (G2, G3)."""
        other = BundleController(self.ctx)
        for bundle in (self.bundle, other):
            bundle.merge(make_delta(8, text=routes_text(50)))
        patch = self.merge_new(other, make_delta(9, text=routes_text(50, changed=7)))
        self.assertIsNotNone(self.bundle.merge(patch))
        self.assertEqual(self.bundle.in_force, other.in_force)
        self.assertEqual(self.bundle.complete_as_of, 9)

    def test_patch_without_its_base_changes_nothing_and_is_detected(self):
        """Guards against a node that lacks a version but counts as complete (G9)."""
        other = BundleController(self.ctx)
        for revision in (7, 8):
            other.merge(make_delta(revision, text=routes_text(50, changed=revision)))
        patch = self.merge_new(other, make_delta(9, text=routes_text(50, changed=9)))
        self.bundle.merge(make_delta(7, text=routes_text(50, changed=7)))
        self.assertIsNone(self.bundle.merge(patch))
        self.assertEqual(self.bundle.complete_as_of, 7)
        self.assertTrue(self.bundle.lacks_patch_base(patch))
        repair = other.delta_since(7, self.bundle.bundle_version)
        self.assertTrue(repair.patches)
        self.assertIsNotNone(self.bundle.merge(repair))
        self.assertEqual(self.bundle.in_force, other.in_force)

    def test_text_that_differs_from_that_of_peers_is_replaced(self):
        """Guards against a node that rejects all patches after an upgrade of peers.

        Releases may translate one version of the platform into different texts.
        """
        other = BundleController(self.ctx)
        other.merge(make_delta(8, text=routes_text(50)))
        own_text = routes_text(50).replace(":100", ":90", 1)
        self.bundle.merge(make_delta(8, text=own_text))
        patch = self.merge_new(other, make_delta(9, text=routes_text(50, changed=7)))
        self.assertIsNone(self.bundle.merge(patch))
        self.assertTrue(self.bundle.lacks_patch_base(patch))
        held = self.bundle.patch_base
        self.bundle.merge(other.delta_since(self.bundle.complete_as_of, held))
        self.assertEqual(self.bundle.in_force, other.in_force)
        patch = self.merge_new(other, make_delta(10, text=routes_text(50, changed=8)))
        self.assertIsNotNone(self.bundle.merge(patch))

    def test_damaged_patch_changes_nothing(self):
        """Guards against a corrupt configuration that no operator wrote (G3)."""
        other = BundleController(self.ctx)
        for bundle in (self.bundle, other):
            bundle.merge(make_delta(8, text=routes_text(50)))
        patch = self.merge_new(other, make_delta(9, text=routes_text(50, changed=7)))
        [(*head, text_hash, parts)] = patch.patches
        damaged = replace(patch, patches=((*head, text_hash ^ 1, parts),))
        self.assertIsNone(self.bundle.merge(damaged))
        self.assertEqual(self.bundle.bundle_version, 8)

    def test_peer_that_is_behind_gets_the_bundle(self):
        """Guards against an old bundle at a node cut off from the platform (G9)."""
        self.bundle.merge(make_delta(8))
        self.assertEqual(len(self.bundle.delta_since(3).rows), 1)
        self.assertEqual(self.bundle.delta_since(8).rows, ())
