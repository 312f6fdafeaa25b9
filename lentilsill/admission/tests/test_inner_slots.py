"""Services that call each other reserve slots for calls that running calls wait for."""

import unittest

from lentilsill.admission import AdmissionQueue, Start

from .inner_simulation import InnerCallSimulation, Nesting

SLOTS = 9


class LoadTests(unittest.TestCase):
    """Callers' calls of two services at 1.5 times the capacity of their slots."""

    def check(self, nesting: Nesting, served: float) -> None:
        callers, inner = InnerCallSimulation(nesting, 1.5, True).run(2.0)
        self.assertGreater(callers, served)
        self.assertGreater(inner, 0.99)

    def test_callers_are_served_although_their_calls_are_nested(self):
        """Guards against slots that are all held by calls which wait for a slot."""
        self.check(Nesting(3, 0.1, 0.05), 0.85)
        self.check(Nesting(8, 0.1, 0.02), 0.7)

    def test_slots_of_single_inner_calls_cost_callers_nothing(self):
        """Guards against slots that are reserved without need."""
        nesting = Nesting(1, 0.1, 0.05)
        off, _ = InnerCallSimulation(nesting, 1.5, False).run(2.0)
        self.check(nesting, off - 0.01)

    def test_nested_calls_fail_without_the_feature(self):
        """Guards against a load that shows nothing about the feature."""
        for nesting, served in (
            (Nesting(3, 0.1, 0.05), 0.6),
            (Nesting(8, 0.1, 0.02), 0.1),
        ):
            callers, inner = InnerCallSimulation(nesting, 1.5, False).run(2.0)
            self.assertLess(callers, served)
            self.assertLess(inner, 0.8)


class QueueTests(unittest.TestCase):
    """An upstream of 9 slots at which four inner calls were there for five seconds."""

    def setUp(self):
        self.queue = AdmissionQueue(SLOTS, 2 * SLOTS)
        for number in range(4):
            self.offer(f"i{number}", 0.0, is_inner=True)
        self.now = 5.0

    def offer(self, call, now, is_inner=False):
        return self.queue.offer(call, now, now + 60.0, is_inner=is_inner)

    def test_callers_calls_leave_reserved_slots_to_inner_calls(self):
        """Guards against a reserved slot that a caller's call gets."""
        started = [bool(self.offer(n, self.now)) for n in range(SLOTS)]
        self.assertEqual(sum(started), 3)
        self.assertFalse(self.queue.has_room)
        self.assertEqual(self.offer("i", self.now, is_inner=True), [Start("i")])

    def test_slots_are_used_again_a_second_after_inner_calls(self):
        """Guards against slots that stay unused where there are no inner calls."""
        for number in range(SLOTS):
            self.offer(number, self.now)
        for number in range(4):
            self.queue.finished(f"i{number}", self.now)
        self.queue.advance(self.now + 1.0)
        self.assertEqual(len(self.queue._running), SLOTS)

    def test_refused_inner_calls_reserve_slots(self):
        """Guards against no reserved slots where all inner calls are refused."""
        queue = AdmissionQueue(1, 0)
        queue.offer("outer", 0.0, 9.0)
        queue.offer("i", 0.0, 9.0, is_inner=True)
        self.assertEqual(
            (queue.inner_slots.reserved(0.0, 1), queue.inner_slots.refused), (1, 1)
        )
        self.assertEqual(queue.finished("outer", 0.1), [])
        self.assertFalse(queue.has_slot(0.1))

    def test_cancelled_and_drained_calls_keep_no_slots(self):
        """Guards against a count that grows with each call that leaves the queue."""
        for number in range(SLOTS):
            self.offer(f"w{number}", self.now, is_inner=True)
        self.queue.cancel("w8")
        self.queue.drain()
        for call in tuple(self.queue._running):
            self.queue.release(call, self.now)
        self.assertEqual(self.queue.inner_slots.reserved(self.now + 3.0, SLOTS), 0)
        self.assertEqual(self.queue.inner_slots.running, 0)
