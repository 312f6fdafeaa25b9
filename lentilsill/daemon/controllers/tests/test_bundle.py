"""A bundle comes into force as a whole and never goes back."""

import json
import random
import unittest

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.bundle import BundleController
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Delta


def delta(revision, service="a", base=0, text=None, full=False):
    value = {"version": revision, "documents": [{"service": service}]}
    row = ("main", revision, False, text or json.dumps(value))
    return Delta(base, revision, full, (row,))


class BundleTests(unittest.TestCase):
    def setUp(self):
        links = PeerLinks(Identity("n1", "i-1", "d", "127.0.0.1:1"), "127.0.0.1")
        board = Blackboard(EMPTY_SNAPSHOT)
        cfg = node_settings("n1", documents="bundle")
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        self.bundle = BundleController(self.ctx)

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

    def test_peer_that_is_behind_gets_the_bundle(self):
        """Guards against a node cut from the platform that stays behind (G9)."""
        self.bundle.merge(delta(8))
        self.assertEqual(len(self.bundle.delta_since(3).rows), 1)
        self.assertEqual(self.bundle.delta_since(8).rows, ())
