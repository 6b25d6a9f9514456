"""Tests of which known values outlast those of a store that went back."""

from testtools import TestCase

from oleanderpier.entry.encoding import (
    encode_server,
    encode_table,
    outlasts_server,
    outlasts_table,
)
from oleanderpier.routing import CallerLimits, RoutingTable
from oleanderpier.routing.tests.fakes import make_route, make_server


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
