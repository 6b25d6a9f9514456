"""The encoding in which hosts store and exchange published values."""

import zlib

import msgspec

from oleanderpier.routing import RoutingTable, ServerEntry

__all__ = ["decode_server", "decode_table", "encode_server", "encode_table"]


def encode_table(table: RoutingTable) -> bytes:
    """Encode a routing table.

    The encoding is compressed, since a watcher sends a table of hundreds of
    routes to two dozen hosts at once over a link of 5 Mbit/s.
    """
    return zlib.compress(msgspec.msgpack.encode(table))


def decode_table(value: bytes) -> RoutingTable:
    """Decode a routing table encoded by ``encode_table``."""
    return msgspec.msgpack.decode(zlib.decompress(value), type=RoutingTable)


def encode_server(entry: ServerEntry) -> bytes:
    """Encode a server entry."""
    return msgspec.msgpack.encode(entry)


def decode_server(value: bytes) -> ServerEntry:
    """Decode a server entry encoded by ``encode_server``.

    Examples:
        >>> entry = ServerEntry("i-1", "s", "10.0.0.7:80", "duluth", False, 0)
        >>> decode_server(encode_server(entry)) == entry
        True
    """
    return msgspec.msgpack.decode(value, type=ServerEntry)
