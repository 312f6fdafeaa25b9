"""Admission refuses in time and loses no call."""

import heapq
import random
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

    def play(self, queue, per_s, cost_s, objective_s, seconds=60.0, share=0.3):
        """Offer calls at a steady rate; give calls in time, late and refused, and the
        longest wait of a refused one.

        A `share` of them has priority 0, the others 1. Every call takes `cost_s`.
        """
        rng = random.Random(1)
        begun: dict = {}
        ends: list = []
        refused_waits = []
        in_time = late = 0
        now, number = 0.0, 0

        def apply(actions, now):
            for action in actions:
                if isinstance(action, Start):
                    heapq.heappush(ends, (now + cost_s, action.call))
                else:
                    refused_waits.append(now - begun[action.call])

        while now < seconds:
            now += rng.expovariate(per_s)
            while ends and ends[0][0] <= now:
                at, call = heapq.heappop(ends)
                if at - begun[call] <= objective_s:
                    in_time += 1
                else:
                    late += 1
                apply(queue.finished(call, at), at)
            number += 1
            begun[number] = now
            priority = 0 if rng.random() < share else 1
            apply(queue.offer(number, now, now + 1.2, priority, now + objective_s), now)
        return in_time, late, len(refused_waits), max(refused_waits, default=0.0)

    def test_overload_serves_most_of_the_capacity_in_time(self):
        """Guards against a queue that makes all calls late: twice the load that six
        slots of 100 ms carry, objective 250 ms, deadline 1.2 s."""
        queue = AdmissionQueue(6, 48)
        in_time, late, refused, _ = self.play(queue, 120.0, 0.1, 0.25)
        capacity = 60 * 60
        self.assertGreater(in_time, 0.8 * capacity)
        self.assertLess(late, 0.2 * capacity)
        self.assertGreater(refused, 0.8 * capacity)

    def test_light_load_is_served_in_time(self):
        """Guards against refusals while there is room: seven tenths of the load."""
        queue = AdmissionQueue(6, 48)
        in_time, late, refused, _ = self.play(queue, 42.0, 0.1, 0.25)
        self.assertEqual(refused, 0)
        self.assertLess(late, 0.02 * in_time)

    def test_urgent_calls_pass_others(self):
        """Guards against urgent calls that wait behind others under overload."""
        queue = AdmissionQueue(1, 8)
        queue.offer("running", 0.0, 9.0)
        queue.offer("usual", 0.0, 9.0, priority=1)
        queue.offer("urgent", 0.0, 9.0, priority=0)
        self.assertEqual(queue.finished("running", 0.1), [Start("urgent")])

    def test_full_queue_says_when_to_return_before_any_call_has_ended(self):
        """Guards against callers that come back at once after a restart of all."""
        queue = AdmissionQueue(1, 0)
        queue.offer("running", 0.0, 9.0)
        (refused,) = queue.offer("next", 0.0, 9.0)
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)

    def test_full_queue_refuses_the_least_urgent_and_says_when_to_return(self):
        """Guards against an urgent call that is refused for a usual one."""
        queue = AdmissionQueue(1, 1)
        queue.offer("running", 0.0, 9.0)
        queue.finished("running", 0.5)
        queue.offer("running", 1.0, 9.0)
        queue.offer("usual", 1.0, 9.0, priority=1)
        (refused,) = queue.offer("urgent", 1.0, 9.0, priority=0)
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.call, "usual")
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)
