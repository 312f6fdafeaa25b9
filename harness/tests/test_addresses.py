"""A run uses addresses that no other process listens on."""

import random
import socket
import unittest

from harness import addresses
from harness.addresses import reserved_second_octet
from harness.layout import PLATFORM_PORT


class ReservedBaseTests(unittest.TestCase):
    def test_base_of_a_killed_run_is_left_out(self):
        """Guards against a run that uses the platform stand-in of another run.

        In CI, two scenarios wrote their documents to a stand-in that was left over
        from a run killed an hour before.
        """
        random.seed(7)
        with reserved_second_octet() as first_run_octet:
            pass
        with socket.socket() as leftover_listener:
            leftover_listener.bind((f"127.{first_run_octet}.0.1", PLATFORM_PORT))
            leftover_listener.listen()
            random.seed(7)
            with reserved_second_octet() as second_run_octet:
                self.assertNotEqual(first_run_octet, second_run_octet)
        self.assertIn(
            second_run_octet,
            range(addresses.SECOND_OCTET_START, addresses.SECOND_OCTET_END),
        )
