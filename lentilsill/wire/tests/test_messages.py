"""Messages keep their fields, and errors name the invalid element of bad input."""

import unittest

import msgpack

from lentilsill.wire import WireError, decode, encode
from lentilsill.wire.messages import Answer, Delta


class MessageTests(unittest.TestCase):
    def test_round_trip_keeps_every_field(self):
        """Guards against losing or reordering a field on the wire."""
        answer = Answer(7, 200, (("a", "b"),), b"\x00\xff", 2, 3)
        self.assertEqual(decode(msgpack.unpackb(encode(answer))), answer)

    def test_bad_field_is_named(self):
        """Guards against applying a peer's message that has a field of a wrong type."""
        with self.assertRaisesRegex(WireError, r"\$\[1\]"):
            decode([7, "x", 1, False, []])

    def test_unknown_message_number_is_refused(self):
        """Guards against mistaking a newer peer's message for another one."""
        with self.assertRaises(WireError):
            decode([9999])

    def test_missing_field_is_refused(self):
        """Guards against accepting a truncated message."""
        obj = msgpack.unpackb(encode(Delta(0, 5, True, ())))
        with self.assertRaises(WireError):
            decode(obj[:2])
