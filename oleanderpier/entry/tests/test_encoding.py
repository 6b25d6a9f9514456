"""Tests of which known values outlast those of a store that went back."""

import zlib

import msgspec
from testtools import TestCase

from oleanderpier.entry.encoding import (
    decode_server,
    decode_table,
    encode_server,
    encode_table,
    outlasts_server,
    outlasts_table,
)
from oleanderpier.routing import (
    CallerLimits,
    RoutingTable,
    ServiceEntry,
    WorkspaceEntry,
)
from oleanderpier.routing.tests.fakes import make_route, make_server

# The fields of the records before any of them got a default value.
EARLIER_ROUTE_LENGTH = 13
EARLIER_SERVER_LENGTH = 6


def make_table(version: int) -> bytes:
    """Return an encoded routing table of a version."""
    return encode_table(
        RoutingTable(version, (make_route(),), None, CallerLimits(1 << 20))
    )


class OutlastsTest(TestCase):
    """Versions of tables only rise, and servers that leave do not return."""

    def test_newer_table_outlasts_older(self):
        """A table stays in force unless the other has at least its version."""
        for other, expected in (
            (make_table(6), True),
            (make_table(7), False),
            (make_table(8), False),
            (b"", True),
            (None, True),
        ):
            for era_changed in (True, False):
                outlasts = outlasts_table(make_table(7), other, era_changed)
                self.assertEqual(expected, outlasts)
        self.assertFalse(outlasts_table(b"", make_table(1), True))

    def test_leaving_server_outlasts_ready_one_of_same_run(self):
        """A leaving server stays so until it starts again or writes again."""
        leaving = encode_server(make_server("s1", leaving=True))
        ready = encode_server(make_server("s1"))
        restarted = encode_server(make_server("s1", born_ms=2))
        self.assertTrue(outlasts_server(leaving, ready, True))
        self.assertFalse(outlasts_server(leaving, ready, False))
        self.assertFalse(outlasts_server(leaving, restarted, True))
        self.assertFalse(outlasts_server(leaving, None, True))
        self.assertFalse(outlasts_server(leaving, b"", True))
        self.assertFalse(outlasts_server(ready, leaving, True))


class EncodingTest(TestCase):
    """Earlier builds decode what does not use the fields that were added since."""

    def test_defaults_are_omitted(self):
        """A record that uses no added field has the bytes of an earlier build."""
        route, server = make_route(), make_server("s1")
        table = RoutingTable(
            7, (route,), {"k": WorkspaceEntry("w1", 3)}, CallerLimits(1 << 20)
        )
        earlier = (
            7,
            [tuple(route)[:EARLIER_ROUTE_LENGTH]],
            {"k": ("w1", 3)},
            CallerLimits(1 << 20),
        )
        self.assertEqual(
            msgspec.msgpack.encode(earlier), zlib.decompress(encode_table(table))
        )
        self.assertEqual(
            msgspec.msgpack.encode(tuple(server)[:EARLIER_SERVER_LENGTH]),
            encode_server(server),
        )
        self.assertEqual(table, decode_table(encode_table(table)))

    def test_added_fields_are_kept(self):
        """Whatever a deployment uses reaches the other hosts."""
        table = RoutingTable(
            7,
            (make_route(allowed_regions=("eu",)), make_route()),
            {
                "k": WorkspaceEntry("w1", None, ("us", "eu")),
                "m": WorkspaceEntry("w", 1),
            },
            CallerLimits(1 << 20),
            (
                ServiceEntry("engine", 20.0, 11.0),
                ServiceEntry("other", 20.0, 11.0, 160_000.0, 100_000.0),
            ),
        )
        server = make_server("s1", cold_remaining_s=2.5)
        self.assertEqual(table, decode_table(encode_table(table)))
        self.assertEqual(server, decode_server(encode_server(server)))
