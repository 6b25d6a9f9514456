"""Tests of decoding configurations and server entries."""

import msgspec
from testtools import TestCase

from oleanderpier.exception import SettingsError
from oleanderpier.platform.documents import decode_configuration, decode_server
from oleanderpier.routing import (
    RequestKind,
    ServiceEntry,
    ServiceShare,
    WorkspaceEntry,
)

ROUTE = {
    "Name": "r-1",
    "Host": "A.example",
    "Prefix": "/x/",
    "RouteKind": "streaming",
    "TimeoutMs": 15000,
    "TargetLatencyMs": 1000,
    "Priority": 0,
    "TrafficSplit": [
        {"Service": "one", "Weight": 90},
        {"Service": "two", "Weight": 10},
    ],
    "MaxAttempts": 2,
    "Public": False,
    "Sticky": True,
    "Resumable": True,
    "TargetGapMs": 400,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {
            "Name": "one",
            "MaxConnections": 360,
            "Engine": {"Slots": 64, "KvCapacityTokens": 525165, "Moves": True},
        },
        {"Name": "two", "MaxConnections": 100, "Tls": False},
    ],
    "Limits": {"MaxBodyBytes": 4194304, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "w", "ApiKeys": ["k1", "k2"], "Priority": 1}],
}
SERVER = {
    "Service": "one",
    "Address": "10.0.0.9:80",
    "Zone": "duluth",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
    "born": 1700000000000,
}


def encode(document: dict, **changes) -> bytes:
    """Return a document's JSON with some fields changed, or omitted if ``...``."""
    changed = {**document, **changes}
    return msgspec.json.encode({k: v for k, v in changed.items() if v is not ...})


class ConfigurationTest(TestCase):
    """A configuration is decoded into a routing table."""

    def test_services_with_cold_rate_are_listed(self):
        """Those without one need no limit while their servers are cold."""
        self.assertEqual((), decode_configuration(encode(CONFIGURATION)).services)
        services = [
            {"Name": "one", "ColdStartS": 20, "ColdPerS": 11},
            {"Name": "two", "ColdStartS": 20, "ColdPerS": 0},
            {"Name": "three", "ColdPerS": None},
        ]
        table = decode_configuration(encode(CONFIGURATION, Services=services))
        self.assertEqual((ServiceEntry("one", 20.0, 11.0),), table.services)

    def test_costs_of_copies(self):
        """They are read only of services with limits for cold servers.

        Otherwise the tables of other deployments change, which earlier builds cannot
        decode, and another form of ``Engine`` is an error there.
        """
        engine = {"Slots": 16, "KvTokenBytes": 160_000, "LinkMbps": 100_000}
        service = {"Name": "one", "ColdPerS": 11, "Engine": engine}
        table = decode_configuration(encode(CONFIGURATION, Services=[service]))
        copied = ServiceEntry("one", 0.0, 11.0, 160_000.0, 100_000.0)
        self.assertEqual((copied,), table.services)
        unlimited = [{**service, "ColdPerS": 0}, {"Name": "two", "Engine": "x"}]
        table = decode_configuration(encode(CONFIGURATION, Services=unlimited))
        self.assertEqual((), table.services)

    def test_allowed_regions(self):
        """Routes and workspaces may restrict the regions; most do not."""
        table = decode_configuration(encode(CONFIGURATION))
        self.assertEqual((), table.routes[0].allowed_regions)
        self.assertEqual((), table.credentials["k1"].allowed_regions)
        tenant = {"Name": "w", "ApiKeys": ["k1"], "AllowedRegions": ["eu", "us"]}
        route = {**ROUTE, "AllowedRegions": ["eu"]}
        table = decode_configuration(
            encode(CONFIGURATION, Routes=[route], Tenants=[tenant])
        )
        self.assertEqual(("eu",), table.routes[0].allowed_regions)
        self.assertEqual(("eu", "us"), table.credentials["k1"].allowed_regions)

    def test_fields_are_translated(self):
        """Each field of the document sets a field of the table."""
        table = decode_configuration(encode(CONFIGURATION))
        route = table.routes[0]
        self.assertEqual(
            ("a.example", 15.0, 1.0, 0.4),
            (route.host_name, route.timeout_s, route.target_s, route.gap_target_s),
        )
        self.assertEqual((RequestKind.STREAM, True), (route.kind, route.repeatable))
        self.assertEqual(
            (ServiceShare("one", 90), ServiceShare("two", 10)), route.shares
        )
        self.assertEqual({"k1", "k2"}, set(table.credentials))
        self.assertEqual(WorkspaceEntry("w", 1), table.credentials["k2"])
        self.assertEqual(4 << 20, table.limits.max_body_bytes)

    def test_single_service_gets_full_weight(self):
        """A route with a single service needs no weights."""
        route = {**ROUTE, "Service": "one", "TrafficSplit": None}
        table = decode_configuration(encode(CONFIGURATION, Routes=[route]))
        self.assertEqual((ServiceShare("one", 1.0),), table.routes[0].shares)

    def test_no_credentials_without_workspaces(self):
        """Without workspaces no request needs a credential."""
        table = decode_configuration(encode(CONFIGURATION, Tenants=...))
        self.assertIsNone(table.credentials)

    def test_error_names_malformed_field(self):
        """The error of a malformed document names the path of the field."""
        cases = {
            "$.Version": encode(CONFIGURATION, Version="7"),
            "$.Limits": encode(CONFIGURATION, Limits=...),
            "$.Routes.RouteKind": encode(
                CONFIGURATION, Routes=[{**ROUTE, "RouteKind": "x"}]
            ),
            "$": b"\xff{",
        }
        for path, data in cases.items():
            error = self.assertRaises(SettingsError, decode_configuration, data)
            self.assertEqual(path, error.path)


class ServerTest(TestCase):
    """An entry is decoded into a server or rejected."""

    def test_fields_are_translated(self):
        """Each known field sets a field of the entry; unknown ones are ignored."""
        entry = decode_server("i-1", encode(SERVER))
        self.assertEqual(("i-1", "one", "10.0.0.9:80"), entry[:3])
        self.assertEqual((False, 1700000000000), (entry.leaving, entry.born_ms))
        self.assertTrue(decode_server("i", encode(SERVER, State="draining")).leaving)

    def test_malformed_entry_is_rejected(self):
        """An entry with missing or mistyped fields, or no JSON, is rejected."""
        cases = [
            encode(SERVER, Address=...),
            encode(SERVER, Address="10.0.0.9"),
            encode(SERVER, Address=":80"),
            encode(SERVER, Address=7),
            encode(SERVER, State="resting"),
            encode(SERVER, Service=None),
            b"null",
            b"[1]",
            b"\x00\xff",
            b"",
        ]
        for data in cases:
            self.assertRaises(SettingsError, decode_server, "i", data)

    def test_entry_that_lacks_a_field_names_no_server(self):
        """So does one with a field of another type; the error names the field."""
        odd_values = {
            "Service": (7, None),
            "Address": (7, None),
            "Zone": (7, None),
            "Version": (None, [], True),
            "Slots": ("64", None, 1.5, -1),
            "State": (7, None),
            "ColdRemainingMs": ("0", None, [], -1),
            "Sequence": ("4", None, 1.5, -1),
        }
        for name, values in odd_values.items():
            for value in (..., *values):
                error = self.assertRaises(
                    SettingsError,
                    decode_server,
                    "i",
                    encode(SERVER, **{name: value}),
                )
                found = f"{error.path} {error}"
                self.assertIn(name, found, (name, value))

    def test_odd_entry_is_rejected(self):
        """Another writer's nesting, numbers and addresses raise no other error."""
        addresses = (
            "10.0.0.9:0",
            "::1:8080",
            "[10.0.0.9]:80",
            "[::1:80",
            "[fe80::1%eth0]:80",
            "10.0.0.9:65536",
            "10.0.0.9:" + "9" * 5000,
            "10.0.0.9:\u0668\u0660",
            "10.0.0.9/x?:80",
            "localhost:80",
        )
        nested = b"[" * 5000 + b"]" * 5000
        cases = [
            *(encode(SERVER, Address=address) for address in addresses),
            encode(SERVER)[:-1] + b',"born":1' + b"0" * 30 + b"}",
            encode(SERVER)[:-1] + b',"born":-1' + b"0" * 30 + b"}",
            encode(SERVER)[:-1] + b',"born":1' + b"0" * 5000 + b"}",
            encode(SERVER)[:-1] + b',"Further":' + nested + b"}",
            nested,
        ]
        for data in cases:
            self.assertRaises(SettingsError, decode_server, "i", data)
        for identity in ("", " ", "a\nb", "\xe4"):
            self.assertRaises(SettingsError, decode_server, identity, encode(SERVER))
        self.assertEqual(
            "[::1]:80", decode_server("i", encode(SERVER, Address="[::1]:80")).address
        )
