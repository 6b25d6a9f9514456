"""Tests of lookups of routes and workspaces."""

from testtools import TestCase

from oleanderpier.results import Code
from oleanderpier.routing import (
    CallerLimits,
    RouteIndex,
    RoutingTable,
    WorkspaceEntry,
)
from oleanderpier.routing.tests.fakes import make_route


def make_index(credentials=None) -> RouteIndex:
    """Return an index of nested routes and a second host name."""
    routes = (
        make_route(name="wide", prefix="/a/"),
        make_route(name="narrow", prefix="/a/b/", public=True),
        make_route(name="other", host_name="b.example", prefix="/"),
    )
    limits = CallerLimits(1024)
    return RouteIndex(RoutingTable(1, routes, credentials, limits))


class RouteIndexTest(TestCase):
    """The route with the longest prefix of the path is found."""

    def test_longest_prefix(self):
        """Prefixes end at slashes, and routes apply to one host name only."""
        index = make_index()
        cases = {
            ("a.example", "/a/x"): "wide",
            ("a.example", "/a/b"): "wide",
            ("a.example", "/a/b/"): "narrow",
            ("a.example", "/a/b/c/d"): "narrow",
            ("b.example", "/anything"): "other",
        }
        for (host_name, path), name in cases.items():
            self.assertEqual(name, index.find_route(host_name, path).ok.name, path)

    def test_unknown_route(self):
        """A path or host name without a route gives ROUTE_UNKNOWN."""
        for host_name, path in (("a.example", "/b/"), ("c.example", "/a/x")):
            error = make_index().find_route(host_name, path).error
            self.assertEqual(Code.ROUTE_UNKNOWN, error.code)

    def test_workspace_of_credential(self):
        """A known credential is required if there are workspaces."""
        workspace = WorkspaceEntry("w", None)
        index = make_index({"key": workspace})
        wide, narrow, _ = index.table.routes
        self.assertEqual(workspace, index.find_workspace(wide, "key").ok)
        self.assertIsNone(index.find_workspace(narrow, None).ok)
        for credential in (None, "", "other"):
            error = index.find_workspace(wide, credential).error
            self.assertEqual(Code.CREDENTIAL_UNKNOWN, error.code)
        self.assertIsNone(make_index().find_workspace(wide, None).ok)
