"""Admission refuses in time and loses no call."""

import unittest

from lentilsill.admission import AdmissionQueue, Refuse, Start


class AdmissionTests(unittest.TestCase):
    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        """Guards against calls that wait only to miss their deadline."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 9.0)
        queue.finished("a", 1.0)
        self.assertIsInstance(queue.offer("c", 1.0, 1.5)[0], Refuse)
        self.assertEqual(queue.offer("d", 1.0, 9.0), [])

    def test_expired_waiting_call_does_not_take_a_slot(self):
        """Guards against work for a caller that has given up."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 1.0)
        queue.offer("c", 0.0, 9.0)
        actions = queue.finished("a", 2.0)
        self.assertEqual(actions, [Refuse("b", "deadline passed"), Start("c")])

    def test_drain_refuses_new_and_waiting_and_keeps_running(self):
        """Guards against new work for a leaving upstream."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 9.0)
        self.assertEqual([action.call for action in queue.drain()], ["b"])
        self.assertIsInstance(queue.offer("c", 0.0, 9.0)[0], Refuse)
        self.assertEqual(queue.work, 1)

    def test_call_that_runs_alone_neither_starves_nor_stops_the_queue(self):
        """Guards against a suspect that later calls overtake for ever, and against
        calls behind it that never start."""
        queue = AdmissionQueue(2, 5, lambda call, running: not running)
        queue.offer("a", 0.0, 9.0)
        self.assertEqual(queue.offer("alone", 0.0, 9.0), [])
        self.assertEqual(queue.offer("b", 0.0, 9.0), [])
        self.assertEqual(queue.finished("a", 1.0), [Start("alone")])
        self.assertEqual(queue.finished("alone", 2.0), [Start("b")])
