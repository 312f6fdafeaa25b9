"""Tests of addresses that other processes write."""

import unittest

from lentilsill.wire import PeerLinks
from lentilsill.wire.addresses import AddressError, check_address, split_address
from lentilsill.wire.links import Identity, LinkError

BAD_PORTS = ("127.0.0.1:70000", "127.0.0.1:x", "127.0.0.1:-1", "127.0.0.1:", "x", "")


class AddressTests(unittest.IsolatedAsyncioTestCase):
    async def test_bad_address_of_a_peer_is_no_error_that_ends_a_task(self):
        """Guards against a contact loop that ends at one entry of another writer."""
        links = PeerLinks(Identity("a", "i-a", "d", "127.0.0.1:1"), "127.0.0.1")
        self.addCleanup(links.close)
        for address in (*BAD_PORTS, "999.1.1.1:80"):
            with self.assertRaises(LinkError, msg=address):
                await links.connect(address, "control")

    def test_bad_port_is_an_os_error(self):
        """Guards against `OverflowError` and `ValueError` where callers connect."""
        for address in BAD_PORTS:
            with self.assertRaises(AddressError, msg=address):
                split_address(address)

    def test_address_that_nobody_can_have_is_refused(self):
        """Guards against an address that is accepted and fails at each call."""
        for address in (*BAD_PORTS, "999.1.1.1:80", "127.0.0.1:0", "host:80"):
            with self.assertRaises(ValueError, msg=address):
                check_address(address)
