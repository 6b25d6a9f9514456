"""Tests of how hosts tell each other of servers that leave."""

import random

from testtools import TestCase

from oleanderpier.entry.leaving import MAX_DELAY_S, LeavingGossip
from oleanderpier.fleet import LeavingServers
from oleanderpier.routing import ServerStatements
from oleanderpier.routing.tests.fakes import make_server
from oleanderpier.utils import ManualTimers

SERVER = make_server("s1", born_ms=5)


class _Fleet:
    """Hosts that exchange messages without delay.

    Attributes:
        sent: The sender of each message.
    """

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.sent: list[str] = []
        self.statements: dict[str, ServerStatements] = {}
        self.gossips: dict[str, LeavingGossip] = {}
        for number in range(hosts):
            self._add_host(f"h{number}")

    def _add_host(self, name: str) -> None:
        self.statements[name] = ServerStatements()
        self.gossips[name] = LeavingGossip(
            self.statements[name],
            lambda: [host for host in self.gossips if host != name],
            self.timers,
            random.Random(name),
            _Outbox(self, name),
        )

    def hear(self, host: str, server=SERVER) -> None:
        """Let a server say to a host that it leaves."""
        if self.statements[host].record_leaving(
            server.identity, server.born_ms, self.timers.now()
        ):
            self.gossips[host].announce(server)


class _Outbox:
    def __init__(self, fleet: _Fleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    def send(self, host: str, message: LeavingServers) -> bool:
        self._fleet.sent.append(self._sender)
        self._fleet.gossips[host].receive(self._sender, message)
        return True

    def send_to_all(self, hosts: list[str], message: LeavingServers) -> None:
        for host in hosts:
            self.send(host, message)


class LeavingGossipTest(TestCase):
    """All hosts learn that a server leaves, whoever has heard it."""

    def test_every_host_learns_of_it(self):
        """Within the delay of the sender."""
        fleet = _Fleet(5)
        fleet.hear("h2")
        fleet.timers.advance(MAX_DELAY_S)
        for host, statements in fleet.statements.items():
            self.assertTrue(statements.is_leaving(SERVER), host)

    def test_only_the_first_of_many_hosts_tells_the_others(self):
        """The messages do not grow with the square of the hosts."""
        fleet = _Fleet(30)
        for host in fleet.gossips:
            fleet.hear(host)
        fleet.timers.advance(2 * MAX_DELAY_S)
        self.assertEqual(1, len(set(fleet.sent)))
        self.assertEqual(29, len(fleet.sent))

    def test_later_run_is_told_as_well(self):
        """A statement of an earlier run does not hold it back."""
        fleet = _Fleet(3)
        fleet.hear("h0", SERVER._replace(born_ms=9))
        fleet.gossips["h0"].receive("h1", LeavingServers([("s1", 5)]))
        fleet.timers.advance(MAX_DELAY_S)
        self.assertTrue(fleet.statements["h2"].is_leaving(SERVER._replace(born_ms=9)))

    def test_newcomer_gets_all(self):
        """A host that has just started knows nothing."""
        fleet = _Fleet(2)
        fleet.hear("h0")
        fleet.timers.advance(MAX_DELAY_S)
        fleet._add_host("new")
        fleet.gossips["h0"].send_all("new")
        self.assertTrue(fleet.statements["new"].is_leaving(SERVER))
