"""The encoding in which hosts store and exchange published values."""

import zlib
from functools import lru_cache
from typing import Any

import msgspec

from oleanderpier.routing import RoutingTable, ServerEntry

__all__ = [
    "decode_server",
    "decode_table",
    "encode_server",
    "encode_table",
    "outlasts_server",
    "outlasts_table",
]


def encode_table(table: RoutingTable) -> bytes:
    """Encode a routing table.

    The encoding is compressed, since a watcher sends a table of hundreds of
    routes to two dozen hosts at once over a link of 5 Mbit/s.
    """
    credentials = table.credentials
    return zlib.compress(
        msgspec.msgpack.encode(
            _omit_defaults(
                table._replace(
                    routes=[_omit_defaults(route) for route in table.routes],
                    credentials=None
                    if credentials is None
                    else {
                        key: _omit_defaults(entry) for key, entry in credentials.items()
                    },
                )
            )
        )
    )


@lru_cache(maxsize=4)
def decode_table(value: bytes) -> RoutingTable:
    """Decode a routing table encoded by ``encode_table``.

    The last tables are cached, since versions are compared at each change.
    """
    return msgspec.msgpack.decode(zlib.decompress(value), type=RoutingTable)


def encode_server(entry: ServerEntry) -> bytes:
    """Encode a server entry."""
    return msgspec.msgpack.encode(_omit_defaults(entry))


def _omit_defaults(record: Any) -> tuple:
    """Return a record without the trailing fields that have their default value.

    Earlier builds cannot decode a record that has more fields than theirs.
    """
    length = len(record)
    for field in reversed(record._fields):
        if field not in record._field_defaults:
            break
        if getattr(record, field) != record._field_defaults[field]:
            break
        length -= 1
    return tuple(record)[:length]


def decode_server(value: bytes) -> ServerEntry:
    """Decode a server entry encoded by ``encode_server``.

    Examples:
        >>> entry = ServerEntry("i-1", "s", "10.0.0.7:80", "duluth", False, 0)
        >>> decode_server(encode_server(entry)) == entry
        True
    """
    return msgspec.msgpack.decode(value, type=ServerEntry)


def outlasts_table(current: bytes, other: bytes | None, era_changed: bool) -> bool:
    """Return whether a routing table stays in force although the store has another.

    Versions only rise: an older one comes from an old copy of the store.

    Args:
        current: The encoded table; empty if it could not be decoded.
        other: The store's table; empty or None if it has none that can be decoded.
        era_changed: Not used, since it holds within an era as well.
    """
    if not current:
        return False
    return not other or decode_table(current).version > decode_table(other).version


def outlasts_server(current: bytes, other: bytes | None, era_changed: bool) -> bool:
    """Return whether a known entry is retained although the store has another one.

    A server that has announced that it leaves does not return before it starts again,
    so that another state of the same run is from an old copy of the store.

    Args:
        current: The encoded entry; empty if it could not be decoded.
        other: The store's entry; empty or None if it has none that can be decoded.
        era_changed: Whether the store's entry is of a later era.
    """
    if not era_changed or not current or not other:
        return False
    known, found = decode_server(current), decode_server(other)
    return known.leaving and not found.leaving and known.born_ms == found.born_ms
