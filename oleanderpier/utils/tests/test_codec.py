"""Tests of typed messages on the wire."""

from typing import NamedTuple

import msgpack
from testtools import TestCase

from oleanderpier.exception import MessageError
from oleanderpier.utils import decode_message, encode_message, register_message


@register_message(9001)
class Ping(NamedTuple):
    """A message for these tests."""

    sequence: int
    note: str


class CodecTest(TestCase):
    """A message survives the wire; anything else is refused."""

    def test_round_trip(self):
        """What is encoded is decoded to an equal message."""
        self.assertEqual(Ping(7, "é"), decode_message(encode_message(Ping(7, "é"))))

    def test_refusals(self):
        """Unknown kinds and malformed fields raise ``MessageError``."""
        cases = [
            b"\xc1",
            msgpack.packb("text"),
            msgpack.packb([]),
            msgpack.packb([9999, 1, "x"]),
            msgpack.packb([9001, "not a number", "x"]),
            msgpack.packb([9001, 1]),
            msgpack.packb([9001, 1, "x", 3]),
        ]
        for data in cases:
            with self.subTest(data=data):
                self.assertRaises(MessageError, decode_message, data)

    def test_number_taken(self):
        """A wire number belongs to one class."""
        self.assertRaises(ValueError, register_message(9001), int)
