"""Tests of the merge of versions and of the choice of those in force."""

import unittest

from lentilsill.documents import MAX_TEXT_BYTES
from lentilsill.versioning import DocumentRecord, DocumentStore, resolve
from lentilsill.versioning.tests.builders import changes, deleted, document, record

INVALID = '{"service": 1}'


def _in_force(store):
    return {name: doc.version for name, doc in store.snapshot.documents.items()}


class MergeTests(unittest.TestCase):
    def setUp(self):
        self.store = DocumentStore()

    def test_stale_record_of_a_deleted_service_is_ignored(self):
        """Guards against a lagging peer whose old record restores a deleted service."""
        self.store.merge(changes(0, 9, record("a", 3), full=True))
        merged = self.store.merge(changes(0, 5, record("b", 4)))
        self.assertIsNone(merged.changes)
        self.assertEqual(_in_force(self.store), {"a": 3})

    def test_record_after_a_gap_does_not_advance_complete_as_of(self):
        """Guards against lost changes.

        Changes within a gap are never requested once `complete_as_of` is above it.
        """
        self.store.merge(changes(0, 2, record("a", 2)))
        merged = self.store.merge(changes(5, 8, record("b", 8)))
        self.assertEqual(self.store.complete_as_of, 2)
        self.assertEqual(_in_force(self.store), {"a": 2, "b": 8})
        assert merged.changes is not None
        self.assertEqual((merged.changes.base, merged.changes.complete_as_of), (2, 2))

    def test_listing_deletes_absent_services_but_not_newer_ones(self):
        """Guards against a deletion missed because the watch history was compacted."""
        self.store.merge(changes(0, 2, record("a", 2), record("b", 1)))
        self.store.merge(changes(9, 12, record("c", 12)))
        self.store.merge(changes(0, 10, record("a", 2), full=True))
        self.assertEqual(_in_force(self.store), {"a": 2, "c": 12})

    def test_delta_after_listing_covers_deletions_before_it(self):
        """Guards against a peer that keeps a deleted service.

        The store lists the platform after the deletion, so it has no tombstone.
        """
        behind = DocumentStore()
        behind.merge(changes(0, 1, record("a", 1)))
        self.store.merge(changes(0, 2, full=True))
        behind.merge(self.store.changes_since(behind.complete_as_of))
        self.assertEqual(_in_force(behind), {})

    def test_dropped_tombstones_lead_to_a_full_listing(self):
        """Guards against a delta without a deletion whose tombstone was dropped."""
        store = DocumentStore(max_tombstones=1)
        for service, version in (("a", 1), ("b", 2), ("c", 3)):
            store.merge(changes(version - 1, version, record(service, version)))
        for service, version in (("a", 4), ("b", 5)):
            store.merge(changes(version - 1, version, deleted(service, version)))
        self.assertTrue(store.changes_since(3).full)
        self.assertFalse(store.changes_since(4).full)
        self.assertNotIn("a", store.newest_versions())
        self.assertEqual(store.merge(changes(0, 1, record("a", 1))).changes, None)

    def test_forwarded_changes_leave_no_gap_for_other_revisions(self):
        """Guards against receivers that see a gap at revisions of other objects."""
        self.store.merge(changes(0, 3, record("a", 3)))
        self.store.merge(changes(3, 7))
        merged = self.store.merge(changes(7, 8, record("b", 8)))
        assert merged.changes is not None
        self.assertEqual(merged.changes.base, 3)

    def test_rejected_version_changes_nothing(self):
        """Guards against an invalid document that replaces the one in force (G3)."""
        self.store.merge(changes(0, 3, record("a", 3)))
        before = self.store.snapshot.documents
        self.store.merge(changes(3, 4, DocumentRecord("a", 4, False, INVALID)))
        self.assertIs(self.store.snapshot.documents, before)
        rejected = self.store.rejected_versions()["a"]
        self.assertEqual(rejected.version, 4)
        self.assertEqual(next(iter(rejected.findings)).place, "service")

    def test_new_node_gets_the_accepted_version_behind_a_rejected_one(self):
        """Guards against a new node that lacks a service all others have (G9).

        The newest version is rejected, and a listing shows only that version.
        """
        self.store.merge(changes(0, 3, record("a", 3)))
        bad = DocumentRecord("a", 4, False, INVALID)
        self.store.merge(changes(3, 4, bad))
        listed = DocumentStore()
        listed.merge(changes(0, 4, bad, full=True))
        self.assertNotEqual(listed.content_hash, self.store.content_hash)
        listed.merge(self.store.changes_since(4))
        self.assertEqual(_in_force(listed), {"a": 3})
        self.assertEqual(listed.content_hash, self.store.content_hash)

    def test_new_node_gets_the_set_in_force_behind_a_held_version(self):
        """Guards against a new node that lacks a referrer that others serve (G9).

        The newest version of the target is held, because the referrer needs an
        upstream set that only an older version has.
        """
        self.store.merge(
            changes(0, 2, record("b", 1), record("a", 2, targets=[("b", "a")]))
        )
        self.store.merge(changes(2, 3, record("b", 3, sets=("z",))))
        fresh = DocumentStore()
        fresh.merge(self.store.changes_since(0))
        self.assertEqual(_in_force(fresh), {"a": 2, "b": 1})
        self.assertEqual(fresh.held_versions(), self.store.held_versions())

    def test_new_node_gets_a_deleted_service_that_is_still_referred_to(self):
        """Guards against a new node that serves less than its domain (G9).

        The peers hold the deletion, and the platform no longer has the document,
        so only a peer can send it.
        """
        referrer = record("a", 2, targets=[("b", "a")])
        self.store.merge(changes(0, 2, record("b", 1), referrer))
        self.store.merge(changes(2, 3, deleted("b", 3)))
        self.assertEqual(_in_force(self.store), {"a": 2, "b": 1})
        listed = DocumentStore()
        listed.merge(changes(0, 3, referrer, full=True))
        self.assertNotEqual(listed.content_hash, self.store.content_hash)
        for fresh in (listed, DocumentStore()):
            fresh.merge(self.store.changes_since(fresh.complete_as_of))
            self.assertEqual(_in_force(fresh), {"a": 2, "b": 1})
            self.assertEqual(fresh.held_versions(), self.store.held_versions())
            self.assertEqual(fresh.content_hash, self.store.content_hash)

    def test_held_document_does_not_restore_a_deleted_service(self):
        """Guards against an old message that undoes a deletion in force (G1)."""
        referrer = record("a", 2, targets=[("b", "a")])
        self.store.merge(changes(0, 2, record("b", 1), referrer))
        self.store.merge(changes(2, 3, deleted("b", 3)))
        old = self.store.changes_since(0)
        self.store.merge(changes(3, 4, record("a", 4)))
        newest = changes(0, 5, record("a", 5, targets=[("b", "a")]), full=True)
        for store, in_force in ((self.store, {"a": 4}), (DocumentStore(), {})):
            store.merge(newest)
            self.assertIsNone(store.merge(old).changes)
            self.assertEqual(_in_force(store), in_force)

    def test_oversized_value_is_cut_and_rejected(self):
        """Guards against a huge value that every node would have to keep and send."""
        huge = {"service": "a", "pad": "x" * (2 * MAX_TEXT_BYTES)}
        rec = DocumentRecord.from_value("a", 1, huge)
        self.assertLessEqual(len(rec.text), MAX_TEXT_BYTES + 1)
        self.store.merge(changes(0, 1, rec))
        self.assertIn("limit", str(self.store.rejected_versions()["a"].findings))


class ResolveTests(unittest.TestCase):
    def test_referrer_waits_for_its_target(self):
        """Guards against a route to an upstream set that is not known yet (G2)."""
        old = document("a", 1)
        new = document("a", 3, targets=[("b", "x")])
        result = resolve({"a": new}, {"a": old})
        self.assertEqual(result.documents, {"a": old})
        self.assertIn("b/x", result.held["a"][0])

    def test_mutually_dependent_edits_come_into_force_together(self):
        """Guards against two edits that wait for each other forever."""
        previous = {"a": document("a", 1, targets=[("b", "x")])}
        previous["b"] = document("b", 2, sets=("x",))
        newest = {"b": document("b", 3, sets=("y",)), "a": previous["a"]}
        held = resolve(newest, previous)
        self.assertEqual(held.documents["b"].version, 2)
        self.assertIn("version 1 of a", held.held["b"][0])
        newest["a"] = document("a", 4, targets=[("b", "y")])
        both = resolve(newest, previous)
        self.assertEqual((both.documents, dict(both.held)), (newest, {}))

    def test_deletion_is_held_while_referred_to(self):
        """Guards against deleting a service that a document in force refers to."""
        previous = {"a": document("a", 1, requires=["b"]), "b": document("b", 2)}
        result = resolve({"a": previous["a"]}, previous)
        self.assertEqual(result.documents, previous)
        self.assertEqual(set(result.held), {"b"})

    def test_unrelated_services_are_not_held(self):
        """Guards against one team's broken document that blocks all other teams."""
        newest = {"a": document("a", 1, targets=[("q", "x")]), "b": document("b", 2)}
        self.assertEqual(set(resolve(newest, {}).documents), {"b"})


class RecreatedServiceTests(unittest.TestCase):
    def test_version_from_before_a_deletion_is_ignored(self):
        """Guards against a recreated service whose old version comes into force (G1).

        The version was written before the service was deleted. The version that was
        written after the deletion is rejected.
        """
        store = DocumentStore()
        store.merge(changes(0, 5, full=True))
        store.merge(changes(5, 6, DocumentRecord("a", 6, False, INVALID)))
        self.assertIsNone(store.merge(changes(0, 3, record("a", 3))).changes)
        self.assertEqual(_in_force(store), {})
