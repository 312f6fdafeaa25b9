"""The ledger never lets a call run twice."""

import unittest

from lentilsill.outcomes import Answer, Begin, CallLedger, CallState, Outcome, Refused

DONE = Answer(200, (), b"abc")


class LedgerTests(unittest.TestCase):
    def setUp(self):
        self.ledger = CallLedger(60.0, max_records=2, max_kept_bytes=4)

    def begin(self, call_id, settled=-1, now=0.0):
        return self.ledger.begin("i", call_id, settled, now)

    def test_query_fences_an_unknown_call(self):
        """Guards against a call that runs after the answer ``never_seen``."""
        self.assertIs(self.ledger.query("i", 1, 0.0), CallState.NEVER_SEEN)
        self.assertIs(self.begin(1), Begin.FENCED)
        self.assertIs(self.ledger.query("i", 1, 0.0), CallState.NEVER_SEEN)

    def test_duplicate_call_does_not_run(self):
        """Guards against a second run of a repeated `Call`."""
        self.assertIs(self.begin(1), Begin.RUN)
        self.assertIs(self.begin(1), Begin.DUPLICATE)
        self.assertIs(self.ledger.query("i", 1, 0.0), CallState.RUNNING)
        self.ledger.finish("i", 1, DONE, 0.0)
        self.assertIs(self.begin(1), Begin.DUPLICATE)
        self.assertEqual(self.ledger.query("i", 1, 0.0), DONE)

    def test_expired_and_settled_calls_stay_refused(self):
        """Guards against a second run of a call whose record was dropped."""
        self.begin(1)
        self.ledger.finish("i", 1, DONE, 0.0)
        self.ledger.expire(61.0)
        self.assertEqual(len(self.ledger), 0)
        self.assertIs(self.begin(1, now=61.0), Begin.FENCED)
        self.assertIs(self.ledger.query("i", 1, 61.0), CallState.FORGOTTEN)
        self.assertIs(self.begin(3, settled=2, now=61.0), Begin.RUN)
        self.assertIs(self.begin(2, now=61.0), Begin.FENCED)

    def test_full_table_refuses_and_still_fences(self):
        """Guards against a full table that drops records or fences no unknown calls."""
        self.begin(1)
        self.begin(2)
        self.assertIs(self.begin(3), Begin.FULL)
        self.assertIs(self.ledger.query("i", 4, 0.0), CallState.NEVER_SEEN)
        self.assertIs(self.begin(4, settled=2), Begin.FENCED)
        self.assertIs(self.begin(5, settled=2), Begin.RUN)

    def test_answer_beyond_the_byte_limit_is_reported_as_lost(self):
        """Guards against answers that fill the memory, and runs without a record."""
        for call_id in (1, 2):
            self.begin(call_id)
            self.ledger.finish("i", call_id, DONE, 0.0)
        lost = self.ledger.query("i", 2, 0.0)
        self.assertEqual(lost, Refused(Outcome.RUN_ANSWER_LOST, "answer was not kept"))

    def test_settled_records_are_removed_from_the_expiry_queue(self):
        """Guards against an expiry queue that grows with the rate of calls."""
        for call_id in range(10_000):
            self.begin(call_id, settled=call_id - 1)
            self.ledger.finish("i", call_id, DONE, 0.0)
        self.assertLessEqual(len(self.ledger._expiry), 2000)
