"""Tests of the entry host, without other processes."""

from testtools import TestCase

from oleanderpier.entry import (
    CONFIGURATION,
    CONFIGURATION_KEY,
    SERVERS,
    EntryNode,
    EntrySettings,
    encode_server,
    encode_table,
)
from oleanderpier.replication import PLATFORM, Item, ItemsUpdate
from oleanderpier.results import Code
from oleanderpier.routing import BudgetLimits, CallerLimits, RoutingTable
from oleanderpier.routing.tests.fakes import make_route, make_server
from oleanderpier.utils import run_coroutine

SETTINGS = EntrySettings(
    host="edge-1",
    failure_domain="duluth",
    caller_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
    directory_address="127.0.0.1:4",
    metrics_address=None,
    platform_address="127.0.0.1:5",
    seeds=(),
    grace_s=8.0,
    budget=BudgetLimits(0.2, 50.0, 10.0),
    longest_keep_s=5.0,
)
TABLE = RoutingTable(3, (make_route(),), None, CallerLimits(1 << 20))


class StartTest(TestCase):
    """A host that has just started refuses requests that it cannot route yet."""

    def test_host_is_ready_once_routes_and_servers_are_known(self):
        """The last value that is needed makes it ready, without a wait."""

        async def check() -> list[str]:
            node = EntryNode(SETTINGS, None, None)
            node.view.report_now = lambda: None
            updates = [
                (SERVERS, Item("s1", 5, encode_server(make_server("s1")))),
                (CONFIGURATION, Item(CONFIGURATION_KEY, 7, encode_table(TABLE))),
            ]
            states = []
            for space, item in updates:
                update = ItemsUpdate(space, 0, 7, True, [item])
                node.replicas[space].apply(update, PLATFORM)
                states.append(node.state)
            return states

        self.assertEqual(["starting", "ready"], run_coroutine(check()))

    def test_invalid_configuration_leaves_the_one_in_force(self):
        """A value that cannot be decoded is empty in the replica."""

        async def check() -> tuple[int, bool]:
            node = EntryNode(SETTINGS, None, None)
            node.view.report_now = lambda: None
            for revision, value in ((7, encode_table(TABLE)), (8, b"")):
                item = Item(CONFIGURATION_KEY, revision, value)
                update = ItemsUpdate(CONFIGURATION, 0, revision, True, [item])
                node.replicas[CONFIGURATION].apply(update, PLATFORM)
            node.replicas[SERVERS].apply(ItemsUpdate(SERVERS, 0, 8, True, []), PLATFORM)
            routed = node.find_route("a.example", "/chat/x").is_ok()
            return node.route_index.table.version, routed

        self.assertEqual((TABLE.version, True), run_coroutine(check()))

    def test_request_is_refused_until_servers_are_replicated(self):
        """With routes but without servers, ``HOST_NOT_READY`` names what is missing."""

        async def check() -> None:
            node = EntryNode(SETTINGS, None, None)
            node.view.report_now = lambda: None
            configuration = Item(CONFIGURATION_KEY, 7, encode_table(TABLE))
            node.replicas[CONFIGURATION].apply(
                ItemsUpdate(CONFIGURATION, 0, 7, True, [configuration]), PLATFORM
            )
            refused = node.find_route("a.example", "/chat/x").error
            self.assertEqual(Code.HOST_NOT_READY, refused.code)
            self.assertIn(SERVERS, refused.text)
            node.replicas[SERVERS].apply(ItemsUpdate(SERVERS, 0, 7, True, []), PLATFORM)
            self.assertTrue(node.find_route("a.example", "/chat/x").is_ok())

        run_coroutine(check())

    def test_request_is_refused_while_the_store_has_no_configuration(self):
        """The copy is complete but has no configuration, as in an empty store."""

        async def check() -> tuple[Code, str]:
            node = EntryNode(SETTINGS, None, None)
            node.view.report_now = lambda: None
            for space in (CONFIGURATION, SERVERS):
                update = ItemsUpdate(space, 0, 7, True, [])
                node.replicas[space].apply(update, PLATFORM)
            refused = node.find_route("a.example", "/chat/x").error
            return refused.code, node.state

        self.assertEqual((Code.HOST_NOT_READY, "starting"), run_coroutine(check()))
