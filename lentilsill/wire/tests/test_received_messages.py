"""Tests of the unpackers that the links of a node share."""

import unittest

import msgpack

from lentilsill.wire.received_messages import ReceivedMessages


class SharedUnpackerTests(unittest.TestCase):
    """Guards against memory that grows with the number of idle links."""

    def test_idle_link_holds_no_unpacker(self):
        received = ReceivedMessages(None)
        received.feed(msgpack.packb([1, "a"]))
        self.assertEqual(list(received), [[1, "a"]])
        self.assertIsNone(received._unpacker)

    def test_partial_messages_of_two_links_are_not_mixed(self):
        # A spare unpacker that still held bytes would put them into another link.
        first, second = ReceivedMessages(None), ReceivedMessages(None)
        text = msgpack.packb([1, b"x" * 100]), msgpack.packb([2, b"y" * 100])
        for size in range(1, 103):
            first.feed(text[0] + text[0][:size])
            second.feed(text[1] + text[1][:size])
            self.assertEqual(list(first), [[1, b"x" * 100]])
            self.assertEqual(list(second), [[2, b"y" * 100]])
            first.feed(text[0][size:])
            second.feed(text[1][size:])
            self.assertEqual(list(first), [[1, b"x" * 100]])
            self.assertEqual(list(second), [[2, b"y" * 100]])

    def test_dropped_link_leaves_no_bytes_to_others(self):
        dropped = ReceivedMessages(None)
        dropped.feed(msgpack.packb([1, 2])[:2])
        self.assertEqual(list(dropped), [])
        dropped.clear()
        other = ReceivedMessages(None)
        other.feed(msgpack.packb([3]))
        self.assertEqual(list(other), [[3]])
