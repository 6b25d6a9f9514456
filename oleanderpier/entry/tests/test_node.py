"""Tests of the entry host, without other processes."""

import math

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
from oleanderpier.replication import PLATFORM, Item, ItemsUpdate, make_position
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


class EvacuationTest(TestCase):
    """Evacuations are part of the configuration's key space."""

    def make_node(self) -> EntryNode:
        """Return a host that knows routes, no servers and an evacuation."""
        node = EntryNode(SETTINGS._replace(evacuate_s=5.0), None, None)
        node.view.report_now = lambda: None
        self.apply(node, 7, [("routes", encode_table(TABLE)), ("evacuate/alpena", b"")])
        return node

    def apply(
        self, node: EntryNode, as_of: int, values: list, is_snapshot: bool = True
    ) -> None:
        """Apply an update of the configuration."""
        items = [Item(key, as_of, value) for key, value in values]
        after = 0 if is_snapshot else as_of - 1
        update = ItemsUpdate(CONFIGURATION, after, as_of, is_snapshot, items)
        node.replicas[CONFIGURATION].apply(update, PLATFORM)

    def test_key_is_deleted(self):
        """The evacuation ends at once, by a deletion or by a snapshot without it."""

        async def check() -> list[list[str]]:
            node = self.make_node()
            found = [node.evacuations.list_domains()]
            self.apply(node, 8, [("evacuate/alpena", None)], is_snapshot=False)
            found.append(node.evacuations.list_domains())
            self.apply(node, 9, [("evacuate/ghent", b"")], is_snapshot=False)
            found.append(node.evacuations.list_domains())
            self.apply(node, 10, [("routes", encode_table(TABLE))])
            return [*found, node.evacuations.list_domains()]

        self.assertEqual([["alpena"], [], ["ghent"], []], run_coroutine(check()))

    def test_store_returns_from_copy_without_the_key(self):
        """The evacuation stays in force, and other hosts are told so."""

        async def check() -> None:
            node, newcomer = self.make_node(), self.make_node()
            copy = [("routes", encode_table(TABLE))]
            self.apply(node, make_position(1, 2), copy)
            self.assertEqual(["alpena"], node.evacuations.list_domains())
            self.assertIn("alpena", node.evacuations.list_retained())
            newcomer.evacuations.update("alpena", False)
            newcomer.values.receive_summaries("h2", node.values.summarize())
            self.assertEqual(["alpena"], newcomer.evacuations.list_domains())
            self.apply(node, make_position(1, 3), [("evacuate/alpena", b"")], False)
            self.assertEqual({}, node.values.summarize())

        run_coroutine(check())

    def test_no_copies_by_an_evacuation_of_a_returned_store(self):
        """The copy may have been made long after the evacuation began."""

        async def check() -> list[bool]:
            allowed = []
            for position in (9, make_position(1, 2)):
                node = self.make_node()
                windows = node.evacuations._copy_windows
                windows._learns_promptly = lambda: True
                self.apply(node, position, [("evacuate/ghent", b"")])
                self.assertTrue(node.evacuations.is_evacuated("ghent"))
                allowed.append(node.evacuations.allows_copies("ghent"))
            return allowed

        self.assertEqual([True, False], run_coroutine(check()))

    def test_single_change_makes_no_host_ready(self):
        """A host that knows routes but not the key space may lack an evacuation."""

        async def check() -> list[str]:
            node = EntryNode(SETTINGS, None, None)
            node.view.report_now = lambda: None
            node.replicas[SERVERS].apply(ItemsUpdate(SERVERS, 0, 7, True, []), PLATFORM)
            self.apply(node, 8, [("routes", encode_table(TABLE))], is_snapshot=False)
            states = [node.state]
            self.apply(node, 9, [("routes", encode_table(TABLE))])
            node._check_ready()
            return [*states, node.state]

        self.assertEqual(["starting", "ready"], run_coroutine(check()))


class AddressListTest(TestCase):
    """The address list names no host that is long out of contact."""

    def test_reports_may_not_be_older_than_the_bound(self):
        """With the bound of the users, the age of reports is limited by it."""

        async def check(contact_s: float | None) -> list[float]:
            node = EntryNode(SETTINGS._replace(contact_s=contact_s), None, None)
            ages_s: list[float] = []
            node.view.list_ready = lambda max_age_s: ages_s.append(max_age_s) or []
            node.list_addresses()
            return ages_s

        self.assertEqual([6.5, 6.5], run_coroutine(check(4.0)))
        self.assertEqual([math.inf] * 2, run_coroutine(check(None)))
