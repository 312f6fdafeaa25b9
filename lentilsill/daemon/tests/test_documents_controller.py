"""The documents controller updates the blackboard and notifies subscribers."""

import unittest
from functools import partial

from lentilsill.daemon.blackboard import Topic
from lentilsill.daemon.controllers.documents import (
    DocumentsController,
    delta_from_batch,
    delta_from_listing,
)
from lentilsill.daemon.node import make_context
from lentilsill.daemon.tests.builders import node_settings
from lentilsill.platform import Listing, StoredObject, WatchBatch
from lentilsill.versioning.tests.builders import value


def _object(service, version, content=None):
    return StoredObject("service", service, version, content or value(service))


class DocumentsControllerTests(unittest.TestCase):
    def setUp(self):
        self.ctx = make_context(node_settings("n1"))
        self.documents = DocumentsController(self.ctx)
        self.notified: list[Topic] = []
        for topic in (Topic.DOCUMENTS, Topic.IN_FORCE):
            self.ctx.board.subscribe(topic, partial(self.notified.append, topic))

    def test_subscribers_are_notified_only_of_changes_and_see_the_new_snapshot(self):
        """Guards against notifications that are too early or without a change."""
        listing = Listing(5, (_object("a", 3),))
        seen = []
        self.ctx.board.subscribe(
            Topic.IN_FORCE, lambda: seen.append(set(self.ctx.board.snapshot.documents))
        )
        self.assertIsNotNone(self.documents.merge(delta_from_listing(listing)))
        self.assertEqual(seen, [{"a"}])
        self.assertEqual(self.notified, [Topic.DOCUMENTS, Topic.IN_FORCE])
        self.assertIsNone(self.documents.merge(delta_from_listing(listing)))
        self.assertEqual(len(self.notified), 2)
        self.assertIs(self.ctx.board.snapshot, self.documents.store.snapshot)

    def test_rejected_version_notifies_only_subscribers_of_documents(self):
        """Guards against a notification that a rejected version is in force."""
        self.documents.merge(delta_from_listing(Listing(5, (_object("a", 3),))))
        self.notified.clear()
        batch = WatchBatch(7, (_object("a", 6, {"service": "b"}),))
        self.documents.merge(delta_from_batch(5, batch))
        self.assertEqual(self.notified, [Topic.DOCUMENTS])
        dump = self.documents.dump()
        self.assertEqual(dump["in_force"], {"a": 3})
        self.assertEqual(dump["rejected"]["a"]["version"], 6)

    def test_delta_brings_a_peer_to_the_same_hash(self):
        """Guards against digests of two nodes that never become equal."""
        self.documents.merge(delta_from_listing(Listing(5, (_object("a", 3),))))
        deletion = StoredObject("service", "a", 8, None, deleted=True)
        peer = DocumentsController(make_context(node_settings("n2")))
        peer.merge(self.documents.delta_since(peer.complete_as_of))
        batch = WatchBatch(9, (deletion, _object("c", 9)))
        forwarded = self.documents.merge(delta_from_batch(5, batch))
        assert forwarded is not None
        peer.merge(forwarded)
        self.assertEqual(peer.content_hash, self.documents.content_hash)
        self.assertEqual(peer.complete_as_of, 9)
        self.assertEqual(set(peer.store.snapshot.documents), {"c"})
