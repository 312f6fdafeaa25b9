"""Messages keep their fields, and errors name the invalid element of bad input."""

import unittest

import msgpack

from lentilsill.wire import WireError, decode, encode
from lentilsill.wire.messages import (
    Answer,
    Delta,
    PlainAnswer,
    PlainRefusal,
    Refusal,
)


class MessageTests(unittest.TestCase):
    def test_round_trip_keeps_every_field(self):
        """Guards against losing or reordering a field on the wire."""
        answer = Answer(7, 200, (("a", "b"),), b"\x00\xff", 2, 3)
        self.assertEqual(decode(msgpack.unpackb(encode(answer))), answer)

    def test_nodes_of_the_release_before_are_understood_and_understand(self):
        """Guards against a link that is closed during an upgrade, and against other
        bytes than those of the release before without the setting `even_load`."""
        old_answer = [21, 7, 200, [["a", "b"]], b"x", 1, 3, None]
        old_refusal = [22, 7, "not_run", "busy", 3, 0.5, False, None]
        plain_answer = PlainAnswer(7, 200, (("a", "b"),), b"x", 1, 3)
        plain_refusal = PlainRefusal(7, "not_run", "busy", 3, 0.5)
        answer = Answer(7, 200, (("a", "b"),), b"x", 1, 3, None, 50)
        refusal = Refusal(7, "not_run", "busy", 3, 0.5, False, None, 50)
        for old, plain, new in (
            (old_answer, plain_answer, answer),
            (old_refusal, plain_refusal, refusal),
        ):
            with self.subTest(type=type(new)):
                self.assertEqual(msgpack.unpackb(encode(plain)), old)
                self.assertEqual(msgpack.unpackb(encode(new)), [*old, 50])
                received = decode(old)
                self.assertIs(type(received), type(new))
                assert isinstance(received, (Answer, Refusal))
                self.assertEqual(received.busy_percent, -1)
                self.assertEqual(decode([*old, 50]), new)

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
