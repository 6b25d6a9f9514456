"""Typed messages between hosts, encoded as msgpack arrays.

A message class is a ``NamedTuple`` with a number that ``register_message``
assigns. Its encoding is the array ``[number, field, field, ...]``.
"""

from typing import Any

import msgpack
import msgspec

from oleanderpier.exception import MessageError, UnknownMessageError

__all__ = [
    "decode_message",
    "encode_message",
    "list_message_classes",
    "make_unpacker",
    "register_message",
    "unpack_message",
]

# Limit of the unpacker's buffer, and so of a message's size.
MAX_MESSAGE_BYTES = 1 << 20
INITIAL_BUFFER_BYTES = 4096
_NUMBERS: dict[type, int] = {}
_CLASSES: dict[int, type] = {}


def register_message(number: int):
    """Return a class decorator that registers a message class.

    Args:
        number: The class's number on the wire, which is unique and must not
            change between versions.

    Raises:
        ValueError: The number is registered for another class.
    """

    def register(message_class: type) -> type:
        if _CLASSES.get(number, message_class) is not message_class:
            raise ValueError(f"message number {number} is already registered")
        _CLASSES[number] = message_class
        _NUMBERS[message_class] = number
        return message_class

    return register


def list_message_classes(numbers: range) -> list[type]:
    """Return the message classes whose numbers are in a range, by number."""
    return [_CLASSES[number] for number in sorted(_CLASSES) if number in numbers]


def encode_message(message: Any) -> bytes:
    """Encode a message.

    Args:
        message: An instance of a registered message class.

    Returns:
        The bytes of one msgpack array.

    Raises:
        KeyError: The class is not registered.
    """
    return msgpack.packb([_NUMBERS[type(message)], *message])


def unpack_message(items: Any) -> Any:
    """Convert an unpacked array to a typed message.

    Args:
        items: An object unpacked from a msgpack stream.

    Returns:
        An instance of a registered message class.

    Raises:
        UnknownMessageError: No message class has the number.
        MessageError: The object is no message, or a field has the wrong type.
    """
    if not isinstance(items, list) or not items or not isinstance(items[0], int):
        raise MessageError("not an array that starts with a message number")
    message_class = _CLASSES.get(items[0])
    if message_class is None:
        raise UnknownMessageError(f"unknown message number {items[0]}")
    try:
        return msgspec.convert(items[1:], message_class)
    except msgspec.ValidationError as error:
        raise MessageError(f"{message_class.__name__}: {error}") from error


def decode_message(data: bytes) -> Any:
    """Decode the bytes that ``encode_message`` returned.

    Returns:
        An instance of a registered message class.

    Raises:
        MessageError: The bytes are not the encoding of a registered message.
    """
    try:
        items = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"not msgpack: {error}") from error
    return unpack_message(items)


def make_unpacker() -> msgpack.Unpacker:
    """Return an unpacker for a stream of messages, with a bounded buffer."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES, read_size=INITIAL_BUFFER_BYTES
    )
