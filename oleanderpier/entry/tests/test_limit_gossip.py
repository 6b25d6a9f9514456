"""Tests of how hosts tell each other of the limits that servers name."""

import math
import random
from collections import Counter

from testtools import TestCase

from bench.emulator.outboxes import NETWORK_LATENCY_S, DelayedOutbox
from oleanderpier.entry.limit_gossip import MAX_DELAY_S, LimitGossip
from oleanderpier.fleet import LimitedServers
from oleanderpier.routing import LimitStatement, ServerStatements
from oleanderpier.routing.tests.fakes import make_server
from oleanderpier.utils import ManualTimers

SERVER = make_server("s1", born_ms=5)
SPREAD_S = MAX_DELAY_S + 2 * NETWORK_LATENCY_S


class _Fleet:
    """Hosts that exchange messages.

    Attributes:
        received: The number of messages that each host has got.
    """

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.received: Counter[str] = Counter()
        self.statements: dict[str, ServerStatements] = {}
        self.gossips: dict[str, LimitGossip] = {}
        for number in range(hosts):
            self.add_host(f"h{number}")

    def add_host(self, name: str) -> None:
        """Add a host that knows nothing."""
        self.statements[name] = ServerStatements()
        self.gossips[name] = LimitGossip(
            self.statements[name],
            lambda: [host for host in self.gossips if host != name],
            self.timers,
            random.Random(name),
            DelayedOutbox(self.timers, name, self._deliver),
        )

    def _deliver(self, sender: str, receiver: str, message: LimitedServers) -> None:
        self.received[receiver] += 1
        self.gossips[receiver].receive(sender, message)

    def hear(self, host: str, per_s: float) -> None:
        """Let a server name its limit to a host, infinite for none."""
        limit = LimitStatement(SERVER.born_ms, per_s, self.timers.now(), "")
        if self.statements[host].record_limit(SERVER.identity, limit):
            self.gossips[host].announce(SERVER, limit)

    def list_limits(self) -> set[float | None]:
        """Return the limits that the hosts know."""
        limits = [each.get_limit(SERVER) for each in self.statements.values()]
        return {limit and limit.per_s for limit in limits}


class LimitGossipTest(TestCase):
    """All hosts learn the limit of a server, whoever has heard it."""

    def test_every_host_learns_of_it(self):
        """Of the limit, of another one, and of its end."""
        fleet = _Fleet(5)
        for host, per_s, known in (
            ("h2", 3.0, 3.0),
            ("h4", 2.0, 2.0),
            ("h1", math.inf, None),
            ("h0", 2.0, 2.0),
        ):
            fleet.hear(host, per_s)
            fleet.timers.advance(SPREAD_S)
            self.assertEqual({known}, fleet.list_limits())

    def test_only_the_first_of_many_hosts_tells_the_others(self):
        """The messages do not grow with the square of the hosts."""
        fleet = _Fleet(60)
        for host in fleet.gossips:
            fleet.hear(host, 3.0)
        fleet.timers.advance(2 * SPREAD_S)
        # A second one may send before it has got the first message.
        self.assertLessEqual(max(fleet.received.values()), 2)

    def test_small_changes_are_not_told(self):
        """A server may name a slightly different limit in each response."""
        fleet = _Fleet(5)
        for number in range(200):
            fleet.hear("h2", 10.0 + 0.02 * (number % 7))
            fleet.timers.advance(0.1)
        self.assertEqual({1}, set(fleet.received.values()))

    def test_end_that_was_told_is_not_undone_by_an_older_statement(self):
        """It may have been on its way for long."""
        fleet = _Fleet(2)
        fleet.hear("h0", 3.0)
        fleet.timers.advance(SPREAD_S)
        message = fleet.gossips["h0"]._make_message(
            fleet.statements["h0"].list_limits()
        )
        fleet.timers.advance(1.0)
        fleet.hear("h0", math.inf)
        fleet.timers.advance(SPREAD_S)
        late = [limit._replace(age_s=1.0 + SPREAD_S) for limit in message.limits]
        fleet.gossips["h1"].receive("h0", LimitedServers(late))
        self.assertEqual({None}, fleet.list_limits())

    def test_newcomer_gets_all(self):
        """A host that has just started knows nothing."""
        fleet = _Fleet(2)
        fleet.hear("h0", 3.0)
        fleet.timers.advance(SPREAD_S)
        fleet.add_host("new")
        fleet.gossips["h0"].send_all("new")
        fleet.timers.advance(NETWORK_LATENCY_S)
        self.assertEqual({3.0}, fleet.list_limits())
