"""Tests of the exchange and aggregation of host reports."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.fleet import FleetView, HostReport, ServerUse
from oleanderpier.fleet.view import PACED_HOSTS
from oleanderpier.membership import HostEndpoint, Members
from oleanderpier.utils import ManualTimers

# Time limit within which a silent host has to leave the list of ready hosts.
REMOVAL_TIMEOUT_S = 1.2
# Time limit within which it has to leave the address list, however large the fleet is.
MAX_LISTED_AGE_S = 6.5


class FakeFleet:
    """Hosts whose reports are delivered immediately, on manual time.

    Args:
        hosts: The number of hosts, which alternate between two failure domains.
        is_paced: Whether reports are sent to a few hosts at a time.

    Attributes:
        silent: The hosts whose reports are lost.
        sent: The number of messages sent, by host.
        uses: The values of ``servers`` for the next reports, by host.
        received: The responses and placements received, by host.
        views: The view under test of each host.
    """

    def __init__(self, hosts: int, is_paced: bool = False) -> None:
        self.timers = ManualTimers()
        self._is_paced = is_paced
        self.silent: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.uses: dict[str, list[dict[str, ServerUse]]] = {}
        self.received: dict[str, Counter[str]] = {}
        self.views: dict[str, FleetView] = {}
        # Sender, time, number of receivers, and what the report says of readiness.
        self.bursts: list[tuple[str, float, int, bool]] = []
        self.draining: set[str] = set()
        endpoints = [
            HostEndpoint(f"h{n}", f"domain-{n % 2}", f"10.0.0.{n}", 1)
            for n in range(hosts)
        ]
        for endpoint in endpoints:
            self._add(endpoint, endpoints)
        for view in self.views.values():
            view.start()

    def run(self, seconds: float) -> None:
        """Advance time in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.timers.advance(0.05)

    def _add(self, endpoint: HostEndpoint, endpoints: list[HostEndpoint]) -> None:
        host = endpoint.host
        others = [other for other in endpoints if other != endpoint]
        outbox = _Outbox(self, host)
        rng = random.Random(host)
        members = Members(endpoint, self.timers, rng, outbox, others)
        self.uses[host] = []
        self.received[host] = Counter()
        self.views[host] = FleetView(
            host,
            endpoint.failure_domain,
            members,
            self.timers,
            rng,
            outbox,
            lambda: self._make_report(host),
            lambda sender, report: self._count_received(host, report),
            is_paced=lambda: self._is_paced,
        )

    def _make_report(self, host: str) -> HostReport:
        servers = self.uses[host].pop(0) if self.uses[host] else {}
        placements = [("k", name) for name in servers]
        ready = host not in self.draining
        return HostReport(host, ready, True, {}, servers, placements)

    def _count_received(self, host: str, report: HostReport) -> None:
        for use in report.servers.values():
            self.received[host]["responses"] += use.responses
        self.received[host]["placements"] += len(report.placements)


class _Outbox:
    def __init__(self, fleet: FakeFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def send(self, host: str, message) -> bool:
        return False

    def send_to_all(self, hosts, message) -> None:
        self._fleet.bursts.append(
            (self._host, self._fleet.timers.now(), len(hosts), message.ready)
        )
        for host in hosts:
            self._fleet.sent[self._host] += 1
            if self._host not in self._fleet.silent:
                self._fleet.views[host].receive_report(self._host, message)


class ViewTest(TestCase):
    """Views follow which hosts are present and sum up their use of servers."""

    def test_silent_host_is_removed(self):
        """Each host lists all others as ready until one of them is silent."""
        fleet = FakeFleet(8)
        fleet.run(2.0)
        for view in fleet.views.values():
            self.assertEqual(7, len(view.list_ready()))
        fleet.silent.add("h3")
        fleet.run(REMOVAL_TIMEOUT_S)
        for host, view in fleet.views.items():
            self.assertNotIn("h3", view.list_ready(), host)

    def test_host_is_removed_after_stream_closed(self):
        """A host whose stream closes is removed early, unless it reports again."""
        fleet = FakeFleet(60)
        fleet.run(8.0)
        view = fleet.views["h0"]
        fleet.silent.add("h2")
        for host in ("h2", "h4"):
            view.handle_stream_closed(host)
        fleet.run(2.5)
        self.assertNotIn("h2", view.list_ready_in_domain())
        self.assertIn("h4", view.list_ready_in_domain())

    def test_large_fleet_lists_only_recent_reports(self):
        """A lost host leaves the address list in time, though its report is valid.

        In a fleet of this size a host of another failure domain reports every 3 s, and
        its last report is valid for 10 s.
        """
        fleet = FakeFleet(131)
        fleet.run(12.0)
        view = fleet.views["h0"]
        self.assertIn("h3", view.list_ready(MAX_LISTED_AGE_S))
        fleet.silent.add("h3")
        fleet.run(MAX_LISTED_AGE_S)
        self.assertIn("h3", view.list_ready())
        self.assertNotIn("h3", view.list_ready(MAX_LISTED_AGE_S))
        self.assertIn("h5", view.list_ready(MAX_LISTED_AGE_S))

    def test_silent_host_is_announced_once(self):
        """Subscribers are told once of a host that becomes silent."""
        fleet = FakeFleet(3)
        silent: list[str] = []
        fleet.views["h0"].subscribe_silent(silent.append)
        fleet.run(1.0)
        fleet.silent.add("h1")
        fleet.run(2 * REMOVAL_TIMEOUT_S)
        self.assertEqual(["h1"], silent)

    def test_rarer_reports_contain_all_counts(self):
        """Hosts of the other domain get fewer reports but the same total counts."""
        fleet = FakeFleet(60)
        fleet.uses["h0"] = [{"s1": ServerUse(1, 1, 0)}] * 20
        fleet.run(12.0)
        for host in ("h1", "h2"):
            self.assertEqual(20, fleet.received[host]["responses"], host)
            self.assertEqual(20, fleet.received[host]["placements"], host)

    def test_report_rate_is_bounded(self):
        """The messages per second of a host stay bounded as the fleet grows."""
        for hosts in (8, 60, 120):
            fleet = FakeFleet(hosts)
            fleet.run(5.0)
            fleet.sent.clear()
            fleet.run(10.0)
            # 30 + 20 per second are allowed; one more report to each group may fall
            # into the interval.
            self.assertLess(max(fleet.sent.values()) / 10.0, 55, hosts)


class PacingTest(TestCase):
    """Reports to many hosts at once delay the streams on a slow link."""

    def test_paced_report_is_sent_to_few_hosts_at_a_time(self):
        """All hosts get it nevertheless."""
        fleet = FakeFleet(90, is_paced=True)
        fleet.run(12.0)
        sent = Counter()
        for host, at_s, count, _ in fleet.bursts:
            sent[host, at_s] += count
        self.assertLessEqual(max(sent.values()), 2 * PACED_HOSTS)
        for view in fleet.views.values():
            self.assertEqual(89, len(view.list_ready()))

    def test_paced_report_of_a_large_fleet_has_few_parts(self):
        """The ages in it count from the first part."""
        fleet = FakeFleet(260, is_paced=True)
        fleet.run(1.0)
        fleet.bursts.clear()
        fleet.run(4.0)
        parts = [count for host, _, count, _ in fleet.bursts if host == "h0"]
        self.assertGreater(min(parts), PACED_HOSTS)

    def test_later_report_is_not_overtaken(self):
        """A host that drains would count as ready again."""
        fleet = FakeFleet(90, is_paced=True)
        fleet.run(12.0)
        view = fleet.views["h0"]
        fleet.bursts.clear()
        while len([each for each in fleet.bursts if each[0] == "h0"]) != 1:
            fleet.timers.advance(0.005)
        fleet.draining.add("h0")
        view.report_now()
        fleet.run(1.0)
        states = [ready for host, *_, ready in fleet.bursts if host == "h0"]
        self.assertEqual(sorted(states, reverse=True), states)
        for host, other in fleet.views.items():
            self.assertNotIn("h0", other.list_ready(), host)

    def test_reports_are_not_paced_without_need(self):
        """Other deployments are served as before."""
        fleet = FakeFleet(90)
        fleet.run(6.0)
        self.assertIn(45, {count for _, _, count, _ in fleet.bursts})
