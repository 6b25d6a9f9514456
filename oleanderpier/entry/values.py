"""The bytes in which hosts pass published values on."""

import zlib

import msgspec

from oleanderpier.routing import RoutingTable, ServerEntry

__all__ = ["decode_server", "decode_table", "encode_server", "encode_table"]


def encode_table(table: RoutingTable) -> bytes:
    """Return a routing table's bytes.

    They are compressed: a watcher passes hundreds of routes on to two dozen
    hosts at once, over a link of 5 Mbit/s.
    """
    return zlib.compress(msgspec.msgpack.encode(table))


def decode_table(value: bytes) -> RoutingTable:
    """Return the routing table that ``encode_table`` made the bytes of."""
    return msgspec.msgpack.decode(zlib.decompress(value), type=RoutingTable)


def encode_server(entry: ServerEntry) -> bytes:
    """Return a server entry's bytes."""
    return msgspec.msgpack.encode(entry)


def decode_server(value: bytes) -> ServerEntry:
    """Return the server entry that ``encode_server`` made the bytes of.

    Examples:
        >>> entry = ServerEntry("i-1", "s", "10.0.0.7:80", "duluth", False, 0)
        >>> decode_server(encode_server(entry)) == entry
        True
    """
    return msgspec.msgpack.decode(value, type=ServerEntry)
