"""Tests of what hosts know of each other from their reports."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.fleet import FleetView, HostReport, ServerUse
from oleanderpier.membership import HostEndpoint, Members
from oleanderpier.utils import ManualTimers

# A host that is gone is out of the directory after so long, in seconds.
GONE_S = 1.2


class Fleet:
    """Hosts whose reports arrive at once, by hand.

    Args:
        hosts: How many there are, in turn of two failure domains.
    """

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.silent: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.uses: dict[str, list[dict[str, ServerUse]]] = {}
        self.heard: dict[str, Counter[str]] = {}
        self.views: dict[str, FleetView] = {}
        cards = [
            HostEndpoint(f"h{n}", f"domain-{n % 2}", f"10.0.0.{n}", 1)
            for n in range(hosts)
        ]
        for card in cards:
            self._add(card, cards)
        for view in self.views.values():
            view.start()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.05)):
            self.timers.advance(0.05)

    def _add(self, card: HostEndpoint, cards: list[HostEndpoint]) -> None:
        host = card.host
        others = [other for other in cards if other != card]
        outbox = _Outbox(self, host)
        rng = random.Random(host)
        members = Members(card, self.timers, rng, outbox, others)
        self.uses[host] = []
        self.heard[host] = Counter()
        self.views[host] = FleetView(
            host,
            card.failure_domain,
            members,
            self.timers,
            rng,
            outbox,
            lambda: self._make_report(host),
            lambda sender, report: self._note(host, report),
        )

    def _make_report(self, host: str) -> HostReport:
        servers = self.uses[host].pop(0) if self.uses[host] else {}
        placements = [("k", name) for name in servers]
        return HostReport(host, True, True, {}, servers, placements)

    def _note(self, host: str, report: HostReport) -> None:
        for use in report.servers.values():
            self.heard[host]["answers"] += use.answers
        self.heard[host]["placements"] += len(report.placements)


class _Outbox:
    def __init__(self, fleet: Fleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def send(self, host: str, message) -> bool:
        return False

    def send_to_all(self, hosts, message) -> None:
        for host in hosts:
            self._fleet.sent[self._host] += 1
            if self._host not in self._fleet.silent:
                self._fleet.views[host].handle(self._host, message)


class ViewTest(TestCase):
    """Reports tell who is there, and what all do together."""

    def test_present(self):
        """Each host knows the others; a silent one is gone in time."""
        fleet = Fleet(8)
        fleet.run(2.0)
        for view in fleet.views.values():
            self.assertEqual(7, len(view.list_ready()))
        fleet.silent.add("h3")
        fleet.run(GONE_S)
        for host, view in fleet.views.items():
            self.assertNotIn("h3", view.list_ready(), host)

    def test_closed_stream(self):
        """A host whose stream ends is gone soon, unless it reports again."""
        fleet = Fleet(60)
        fleet.run(8.0)
        view = fleet.views["h0"]
        fleet.silent.add("h2")
        for host in ("h2", "h4"):
            view.note_closed(host)
        fleet.run(2.5)
        self.assertNotIn("h2", view.list_ready_nearby())
        self.assertIn("h4", view.list_ready_nearby())

    def test_loads(self):
        """Requests in flight are summed over the other hosts that are there."""
        fleet = Fleet(3)
        fleet.uses["h1"] = [{"s1": ServerUse(4, 0, 0)}] * 40
        fleet.uses["h2"] = [{"s1": ServerUse(3, 0, 0)}] * 40
        fleet.run(1.0)
        self.assertEqual(7, fleet.views["h0"].count_load("s1"))
        self.assertLess(fleet.views["h0"].get_load_age_s(), 0.6)
        fleet.silent.add("h1")
        fleet.run(0.7)
        self.assertGreater(fleet.views["h0"].get_load_age_s(), 0.6)
        fleet.run(GONE_S - 0.7)
        self.assertEqual(3, fleet.views["h0"].count_load("s1"))

    def test_nothing_is_lost_between_groups(self):
        """Hosts that are told less often are told of everything all the same."""
        fleet = Fleet(60)
        fleet.uses["h0"] = [{"s1": ServerUse(1, 1, 0)}] * 20
        fleet.run(12.0)
        for host in ("h1", "h2"):
            self.assertEqual(20, fleet.heard[host]["answers"], host)
            self.assertEqual(20, fleet.heard[host]["placements"], host)

    def test_cost_stays_flat(self):
        """No host sends more reports a second than it may, however many there are."""
        for hosts in (8, 60, 120):
            fleet = Fleet(hosts)
            fleet.run(5.0)
            fleet.sent.clear()
            fleet.run(10.0)
            # A report more a second may fall into the interval.
            self.assertLess(max(fleet.sent.values()) / 10.0, 55, hosts)
