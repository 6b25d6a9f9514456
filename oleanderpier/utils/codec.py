"""Typed messages between hosts, carried as msgpack arrays.

A message class is a ``NamedTuple`` which ``register_message`` gives a number.
On the wire a message is the array ``[number, field, field, ...]``.
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

MAX_MESSAGE_BYTES = 1 << 20
FIRST_BUFFER_BYTES = 4096
_NUMBERS: dict[type, int] = {}
_CLASSES: dict[int, type] = {}


def register_message(number: int):
    """Return a class decorator that gives a message class its wire number.

    Args:
        number: The number on the wire, unique and stable.

    Raises:
        ValueError: Another class has the number.
    """

    def register(message_class: type) -> type:
        if _CLASSES.get(number, message_class) is not message_class:
            raise ValueError(f"message number {number} is taken")
        _CLASSES[number] = message_class
        _NUMBERS[message_class] = number
        return message_class

    return register


def list_message_classes(numbers: range) -> list[type]:
    """Return the message classes whose numbers lie in a range."""
    return [_CLASSES[number] for number in sorted(_CLASSES) if number in numbers]


def encode_message(message: Any) -> bytes:
    """Return a message's bytes for the wire.

    Args:
        message: An instance of a registered message class.

    Returns:
        One msgpack array.

    Raises:
        KeyError: The class is not registered.
    """
    return msgpack.packb([_NUMBERS[type(message)], *message])


def unpack_message(items: Any) -> Any:
    """Check an array that came off the wire and return its typed message.

    Args:
        items: What the msgpack stream yielded.

    Returns:
        An instance of a registered message class.

    Raises:
        MessageError: The kind is unknown, or a field has the wrong type.
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
    """Return the typed message that ``encode_message`` made the bytes of.

    Raises:
        MessageError: The bytes are no msgpack array of a registered message.
    """
    try:
        items = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"not msgpack: {error}") from error
    return unpack_message(items)


def make_unpacker() -> msgpack.Unpacker:
    """Return an unpacker for a stream of messages, bounded in memory."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES, read_size=FIRST_BUFFER_BYTES
    )
