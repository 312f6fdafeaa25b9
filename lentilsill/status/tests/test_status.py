"""Tests of the merge of statuses and of the aggregation of reports."""

import unittest

from hypothesis import given, strategies as st

from lentilsill.status import (
    DomainStatus,
    Held,
    ServiceStatus,
    StatusAggregator,
    merge_status,
    status_from_value,
    status_to_value,
)
from lentilsill.versioning import DocumentRecord, DocumentStore
from lentilsill.versioning.tests.builders import changes, record

numbers = st.integers(0, 4)
entries = st.builds(
    ServiceStatus,
    as_of=numbers,
    newest=numbers,
    accepted=numbers,
    in_force=numbers,
    nodes=numbers,
    nodes_heard=numbers,
    # Every writer has the same findings for a version.
    rejected=numbers.map(lambda version: {version: (f"finding {version}",)}),
    counted_as_of=numbers,
    counted_at_ms=numbers,
    held=st.none() | st.builds(Held, numbers, st.booleans(), st.just(("why",))),
)
statuses = st.builds(
    DomainStatus,
    domain=st.just("d"),
    as_of=numbers,
    services=st.dictionaries(st.sampled_from("ab"), entries),
    updated_at_ms=numbers,
)


class MergeStatusTests(unittest.TestCase):
    @given(statuses, statuses)
    def test_order_and_repetition_do_not_matter(self, one, two):
        """Guards against two writers that overwrite each other forever."""
        merged = merge_status(one, two)
        self.assertEqual(merged, merge_status(two, one))
        self.assertEqual(merge_status(merged, one).services, merged.services)

    @given(statuses, statuses)
    def test_merge_lowers_nothing(self, one, two):
        """Guards against a stale writer that stores an older version."""
        merged = merge_status(one, two)
        for name in one.services.keys() & two.services.keys():
            old, new = one.services[name], merged.services[name]
            self.assertGreaterEqual(new.accepted, old.accepted)
            self.assertGreaterEqual(new.in_force, old.in_force)
            is_stale = two.services[name].counted_as_of < old.counted_as_of
            is_unsettled = not two.services[name].counted_at_ms
            is_counted = new.in_force == old.in_force and old.counted_at_ms > 0
            if is_counted and (is_stale or is_unsettled):
                self.assertEqual(new.nodes, old.nodes)

    def test_count_falls_when_members_leave(self):
        """Guards against counts that stay at their maximum after nodes die."""
        old = ServiceStatus(9, 9, 9, 9, 3, 3, counted_as_of=9, counted_at_ms=50)
        new = ServiceStatus(9, 9, 9, 9, 2, 2, counted_as_of=9, counted_at_ms=60)
        merged = merge_status(
            DomainStatus("d", 9, {"a": old}, 50), DomainStatus("d", 9, {"a": new}, 60)
        )
        self.assertEqual(merged, DomainStatus("d", 9, {"a": new}, 60))

    def test_deleted_service_is_dropped_and_not_restored(self):
        """Guards against a stale writer that restores a deleted service."""
        old = DomainStatus("d", 5, {"a": ServiceStatus(5, 3, 3, 3, 2, 2)})
        new = DomainStatus("d", 9)
        merged = merge_status(old, new)
        self.assertEqual(merged, new)
        self.assertEqual(merge_status(merged, old), new)

    @given(statuses)
    def test_json_value_preserves_all_fields(self, status):
        """Guards against a field that is lost when a writer reads a stored status."""
        self.assertEqual(status_from_value(status_to_value(status)).unwrap(), status)

    def test_invalid_value_is_rejected(self):
        """Guards against invalid counts in an object that was edited by hand."""
        value = status_to_value(DomainStatus("d", 1, {"a": ServiceStatus(1, 1)}))
        value["services"]["a"]["nodes"] = -1
        findings = status_from_value(value).unwrap_err()
        self.assertEqual([f.place for f in findings], ["services.a.nodes"])


class AggregatorTests(unittest.TestCase):
    def test_counts_follow_reports(self):
        """Guards against counting nodes that left, restarted or dropped the version."""
        store = DocumentStore()
        store.merge(changes(0, 4, record("a", 3), record("b", 4)))
        store.merge(changes(4, 6, DocumentRecord("b", 6, False, "{")))
        reports = StatusAggregator()
        for node in ("n1", "n2", "n3"):
            reports.report(node, "1", [("a", 3), ("b", 4)])
        reports.report("n2", "1", [("a", 0)])
        reports.report("n3", "2", [("b", 4)])
        status = reports.status("d", store)
        a, b = status.services["a"], status.services["b"]
        self.assertEqual((a.in_force, a.nodes, a.nodes_heard), (3, 1, 3))
        self.assertEqual((b.newest, b.accepted, b.in_force, b.nodes), (6, 4, 4, 3))
        self.assertEqual(list(b.rejected), [6])
        reports.keep_only({"n1"})
        self.assertEqual(reports.count("b"), (4, 1))
