"""Runs use addresses that nothing else listens on."""

import random
import socket
import unittest

from harness import scenario
from harness.layout import PLATFORM_PORT
from harness.scenario import reserved_second_octet


class ReservedBaseTests(unittest.TestCase):
    def test_base_of_a_killed_run_is_left_out(self):
        """Guards against a run that writes to the platform of another one: a CI run
        had two scenarios whose documents went to a stand-in left over by a run
        that had been killed an hour before."""
        random.seed(7)
        with reserved_second_octet() as first:
            pass
        with socket.socket() as left_over:
            left_over.bind((f"127.{first}.0.1", PLATFORM_PORT))
            left_over.listen()
            random.seed(7)
            with reserved_second_octet() as second:
                self.assertNotEqual(first, second)
        self.assertIn(second, range(scenario.FIRST_OCTET, scenario.LAST_OCTET))
