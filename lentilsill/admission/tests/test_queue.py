"""The admission queue refuses calls early and loses none."""

import heapq
import random
import unittest

from lentilsill.admission import AdmissionQueue, Refuse, Start


class AdmissionTests(unittest.TestCase):
    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        """Guards against calls that wait although they will miss their deadline."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 9.0)
        queue.finished("a", 1.0)
        self.assertIsInstance(queue.offer("c", 1.0, 1.5)[0], Refuse)
        self.assertEqual(queue.offer("d", 1.0, 9.0), [])

    def test_expired_waiting_call_does_not_take_a_slot(self):
        """Guards against running a call whose caller has given up."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 1.0)
        queue.offer("c", 0.0, 9.0)
        actions = queue.finished("a", 2.0)
        self.assertEqual(actions, [Refuse("b", "deadline passed"), Start("c")])

    def test_drain_refuses_new_and_waiting_and_keeps_running(self):
        """Guards against new calls on an upstream that is leaving."""
        queue = AdmissionQueue(1, 5)
        queue.offer("a", 0.0, 9.0)
        queue.offer("b", 0.0, 9.0)
        self.assertEqual([action.call for action in queue.drain()], ["b"])
        self.assertIsInstance(queue.offer("c", 0.0, 9.0)[0], Refuse)
        self.assertEqual(queue.call_count, 1)

    def test_call_that_must_run_alone_neither_starves_nor_blocks_the_queue(self):
        """Guards against a suspect that never starts because later calls overtake it,
        and against calls behind it that never start."""
        queue = AdmissionQueue(2, 5, lambda call, running: not running)
        queue.offer("a", 0.0, 9.0)
        self.assertEqual(queue.offer("alone", 0.0, 9.0), [])
        self.assertEqual(queue.offer("b", 0.0, 9.0), [])
        self.assertEqual(queue.finished("a", 1.0), [Start("alone")])
        self.assertEqual(queue.finished("alone", 2.0), [Start("b")])

    def simulate(
        self, queue, per_s, service_time_s, objective_s, duration_s=60.0, share=0.3
    ):
        """Simulate Poisson arrivals. Return the numbers of calls on time, late and
        refused, and the longest wait in seconds of a refused call.

        A `share` of the calls has priority 0, the others 1. All take `service_time_s`.
        """
        rng = random.Random(1)
        begun: dict = {}
        ends: list = []
        refused_waits = []
        on_time = late = 0
        now, number = 0.0, 0

        def apply(actions, now):
            for action in actions:
                if isinstance(action, Start):
                    heapq.heappush(ends, (now + service_time_s, action.call))
                else:
                    refused_waits.append(now - begun[action.call])

        while now < duration_s:
            now += rng.expovariate(per_s)
            while ends and ends[0][0] <= now:
                at, call = heapq.heappop(ends)
                if at - begun[call] <= objective_s:
                    on_time += 1
                else:
                    late += 1
                apply(queue.finished(call, at), at)
            number += 1
            begun[number] = now
            priority = 0 if rng.random() < share else 1
            apply(queue.offer(number, now, now + 1.2, priority, now + objective_s), now)
        return on_time, late, len(refused_waits), max(refused_waits, default=0.0)

    def test_overloaded_queue_serves_most_of_its_capacity_on_time(self):
        """Guards against a queue that makes all calls late under overload. The load is
        twice what six slots can serve with calls of 100 ms, an objective of 250 ms
        and a deadline of 1.2 s."""
        queue = AdmissionQueue(6, 48)
        on_time, late, refused, _ = self.simulate(queue, 120.0, 0.1, 0.25)
        capacity = 60 * 60
        self.assertGreater(on_time, 0.8 * capacity)
        self.assertLess(late, 0.2 * capacity)
        self.assertGreater(refused, 0.8 * capacity)

    def test_light_load_is_served_on_time(self):
        """Guards against refusals at seven tenths of the capacity."""
        queue = AdmissionQueue(6, 48)
        on_time, late, refused, _ = self.simulate(queue, 42.0, 0.1, 0.25)
        self.assertEqual(refused, 0)
        self.assertLess(late, 0.02 * on_time)

    def test_urgent_calls_overtake_others(self):
        """Guards against urgent calls that wait behind less urgent ones."""
        queue = AdmissionQueue(1, 8)
        queue.offer("running", 0.0, 9.0)
        queue.offer("usual", 0.0, 9.0, priority=1)
        queue.offer("urgent", 0.0, 9.0, priority=0)
        self.assertEqual(queue.finished("running", 0.1), [Start("urgent")])

    def test_full_queue_reports_a_retry_time_before_any_call_has_ended(self):
        """Guards against callers that all retry at once after all nodes restart."""
        queue = AdmissionQueue(1, 0)
        queue.offer("running", 0.0, 9.0)
        (refused,) = queue.offer("next", 0.0, 9.0)
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)

    def test_full_queue_refuses_the_least_urgent_and_reports_a_retry_time(self):
        """Guards against refusing an urgent call while a less urgent one waits."""
        queue = AdmissionQueue(1, 1)
        queue.offer("running", 0.0, 9.0)
        queue.finished("running", 0.5)
        queue.offer("running", 1.0, 9.0)
        queue.offer("usual", 1.0, 9.0, priority=1)
        (refused,) = queue.offer("urgent", 1.0, 9.0, priority=0)
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.call, "usual")
        self.assertGreater(getattr(refused, "retry_after_s", 0.0), 0.0)
