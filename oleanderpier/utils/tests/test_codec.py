"""Tests of the encoding of typed messages."""

from typing import NamedTuple

import msgpack
from testtools import TestCase

from oleanderpier.exception import MessageError
from oleanderpier.utils import decode_message, encode_message, register_message


@register_message(9001)
class ExampleMessage(NamedTuple):
    """A message for these tests."""

    sequence: int
    text: str


class CodecTest(TestCase):
    """Messages are decoded as they were encoded; other data raises errors."""

    def test_round_trip(self):
        """A decoded message equals the encoded one."""
        self.assertEqual(
            ExampleMessage(7, "é"),
            decode_message(encode_message(ExampleMessage(7, "é"))),
        )

    def test_malformed_message_raises_message_error(self):
        """Unknown numbers and malformed fields raise ``MessageError``."""
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

    def test_duplicate_number_raises_value_error(self):
        """A number cannot be registered for two classes."""
        self.assertRaises(ValueError, register_message(9001), int)
