"""Tables converge, keep dead nodes long enough, and refute wrong verdicts."""

import unittest

from hypothesis import given, strategies as st

from lentilsill.membership import Liveness, MemberTable, RowError
from lentilsill.membership.rows import record_from_row, record_to_row

from .builders import make_record, make_upstream

rows = st.lists(
    st.builds(
        lambda node, gen, seq, live: (make_record(node, gen, seq), live),
        st.sampled_from("abc"),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(Liveness),
    ),
    max_size=12,
)


def make_table():
    return MemberTable(make_record("me"), dead_retention_s=60.0)


class MemberTableTests(unittest.TestCase):
    @given(rows, st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(self, updates, rng):
        """Guards against tables that stay different after the same updates."""
        one, two = make_table(), make_table()
        shuffled = updates + updates[: len(updates) // 2]
        rng.shuffle(shuffled)
        one.merge(updates, 1.0)
        for update in shuffled:
            two.merge([update], 1.0)
        self.assertEqual(one.records_hash, two.records_hash)
        seen = [
            {(e.record, e.liveness) for e in t.entries() if e.record.node != "me"}
            for t in (one, two)
        ]
        self.assertEqual(seen[0], seen[1])

    def test_outdated_record_does_not_restore_a_dead_node(self):
        """Guards against calls to a dead node that an outdated peer still lists."""
        table = make_table()
        record = make_record("a", 5, 1, [make_upstream()])
        table.merge([(record, Liveness.ALIVE)], 0.0)
        table.apply_verdict("a", (5, 1), Liveness.DEAD, 1.0)
        table.expire(60.0)
        self.assertEqual(table.merge([(record, Liveness.ALIVE)], 60.0), [])
        self.assertEqual([e.record.node for e in table.live()], ["me"])
        table.expire(61.0)
        self.assertIsNone(table.get("a"))

    def test_restarted_node_replaces_its_dead_record(self):
        """Guards against refusing a restarted node because its old record is dead."""
        table = make_table()
        table.merge([(make_record("a", 5, 9), Liveness.DEAD)], 0.0)
        table.merge([(make_record("a", 6, 0, instance="j"), Liveness.ALIVE)], 1.0)
        self.assertEqual([e.record.node for e in table.live()], ["me", "a"])

    def test_verdict_on_a_replaced_record_is_ignored(self):
        """Guards against a verdict that takes effect after the node has refuted it."""
        table = make_table()
        table.merge([(make_record("a", 5, 2), Liveness.ALIVE)], 0.0)
        self.assertIsNone(table.apply_verdict("a", (5, 1), Liveness.DEAD, 1.0))

    def test_own_record_supersedes_verdicts_and_earlier_processes(self):
        """Guards against a live node that its peers still consider dead."""
        cases = (
            (make_record("me", 1, 0), Liveness.SUSPECT, (1, 1)),
            (make_record("me", 1, 7), Liveness.DEAD, (1, 8)),
            (make_record("me", 9, 3, instance="old"), Liveness.ALIVE, (10, 0)),
            (make_record("me", 1, 0, instance="old"), Liveness.ALIVE, (2, 0)),
        )
        for record, liveness, expected in cases:
            table = make_table()
            self.assertTrue(table.merge([(record, liveness)], 1.0), record)
            self.assertEqual(table.own.order, expected, record)
            self.assertEqual(table.own.instance, "i")

    def test_size_is_bounded(self):
        """Guards against unbounded growth from invented records of a faulty peer."""
        table = MemberTable(make_record("me"), max_members=3)
        updates = [(make_record(n), Liveness.ALIVE) for n in "abcd"]
        self.assertEqual(len(table.merge(updates, 0.0)), 2)

    def test_recent_changes_are_sent_a_bounded_number_of_times(self):
        """Guards against old changes that take up the space in every probe."""
        table = make_table()
        table.merge([(make_record("a"), Liveness.ALIVE)], 0.0)
        sent = sum(len(table.take_recent(4)) for _ in range(50))
        self.assertTrue(6 <= sent <= 14, sent)


class RowTests(unittest.TestCase):
    def test_round_trip(self):
        """Guards against a field that the conversion to a row and back loses."""
        record = make_record("a", 3, 4, [make_upstream()])
        row = record_to_row(record, Liveness.SUSPECT)
        self.assertEqual(record_from_row(row), (record, Liveness.SUSPECT))

    def test_unknown_state_is_refused(self):
        """Guards against a record in a state that no code handles."""
        row = record_to_row(make_record("a"))
        with self.assertRaisesRegex(RowError, "'a'"):
            record_from_row((*row[:7], 9, *row[8:]))
