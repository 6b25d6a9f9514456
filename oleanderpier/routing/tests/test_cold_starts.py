"""Tests of which servers are cold, by load pattern."""

from testtools import TestCase

from oleanderpier.routing import ColdRate, ColdServers, Evacuations, ServiceEntry
from oleanderpier.routing.tests.fakes import ENGINE, make_server
from oleanderpier.utils import ManualTimers

COLD_START_S = 20.0
COLD_PER_S = 11.0


class ColdServersTest(TestCase):
    """Servers that would crash under their usual share of the requests are cold."""

    def setUp(self):
        """Create a service with cold servers."""
        super().setUp()
        self.timers = ManualTimers()
        self.evacuations = Evacuations(self.timers)
        self.cold = ColdServers(self.evacuations, self.timers)
        self.cold.update_services((ServiceEntry(ENGINE, COLD_START_S, COLD_PER_S),))

    def register(self, identity: str = "s1", **changes):
        """Register a server, and return its entry."""
        server = make_server(identity, **changes)
        self.cold.update_entry(identity, server)
        return server

    def test_entry_counts_from_when_it_was_learnt(self):
        """The stated time passes on this host's clock, not again with each look."""
        server = self.register(cold_remaining_s=6.0)
        self.timers.advance(5.0)
        self.assertEqual(ColdRate(COLD_PER_S), self.cold.get_rate(server))
        self.assertEqual(1.0, self.cold.get_remaining_s(server))
        self.timers.advance(1.0)
        self.assertIsNone(self.cold.get_rate(server))

    def test_running_server_becomes_cold_again(self):
        """A later entry of the same run says so, after long traffic."""
        server = self.register()
        self.cold.begin_traffic()
        self.timers.advance(100.0)
        self.assertEqual(0.0, self.cold.get_remaining_s(server))
        server = self.register(cold_remaining_s=3.0)
        self.assertEqual(3.0, self.cold.get_remaining_s(server))

    def test_servers_from_before_the_traffic_are_warm(self):
        """At the start of a deployment no server is held back."""
        server = self.register()
        self.assertIsNone(self.cold.get_rate(server))

    def test_new_server_is_cold_though_its_entry_does_not_say_so(self):
        """It registered, or restarted under its id, during traffic."""
        self.register("s1")
        self.cold.begin_traffic()
        restarted = self.register("s1", born_ms=2)
        joined = self.register("s2")
        self.timers.advance(COLD_START_S - 1.0)
        for server in (restarted, joined):
            self.assertEqual(1.0, self.cold.get_remaining_s(server))
        # Later heartbeats of the same run neither end nor prolong it.
        self.register("s2")
        self.assertEqual(1.0, self.cold.get_remaining_s(joined))

    def test_registration_that_lapsed_in_an_outage_is_no_start(self):
        """Otherwise all servers would be cold at once after each outage."""
        servers = [self.register(f"s{born}", born_ms=born) for born in (0, 7)]
        self.cold.begin_traffic()
        for server in servers:
            self.cold.update_entry(server.identity, None)
            self.timers.advance(4.0)
            self.cold.update_entry(server.identity, server)
            self.assertIsNone(self.cold.get_rate(server))

    def test_domain_is_cold_after_its_evacuation(self):
        """Entries from before the evacuation say that its servers are warm."""
        server = self.register(failure_domain="alpena")
        other = self.register("s2")
        self.evacuations.update("alpena", True)
        self.timers.advance(60.0)
        self.evacuations.update("alpena", False)
        self.timers.advance(1.0)
        self.assertEqual(COLD_START_S - 1.0, self.cold.get_remaining_s(server))
        self.assertIsNone(self.cold.get_rate(other))

    def test_service_without_cold_rate_is_never_cold(self):
        """A limit that the configuration does not name is not applied."""
        self.cold.begin_traffic()
        server = self.register(cold_remaining_s=6.0)
        for cold_start_s, cold_per_s in ((0.0, 11.0), (20.0, 0.0)):
            service = ServiceEntry(ENGINE, cold_start_s, cold_per_s)
            self.cold.update_services((service,))
            self.assertIsNone(self.cold.get_rate(server))
