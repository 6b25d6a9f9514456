"""Fault cases of backend servers, on a naive baseline and on the real one."""

from collections.abc import Callable
from typing import Any

from testtools import TestCase

from oleanderpier.configuration import check_document
from oleanderpier.configuration.tests.fakes import make_server_entry
from oleanderpier.membership import Outcome, ServerFact, ServerFacts, ServerState
from oleanderpier.membership.tests.fakes import (
    FakeHost,
    FakeNetwork,
    FakeServers,
    add_members,
    make_cards,
)

SERVERS = 12
LEAVING_S = 3.0
DETECTION_S = 15.0


def make_list(version: int, servers: int = SERVERS) -> Any:
    """Return a checked document of backend servers."""
    entries = [make_server_entry(i) for i in range(servers)]
    value = {"version": version, "backend_servers": entries}
    return check_document("backend_servers", value)


class NaiveServers:
    """Each host probes all servers itself and believes its last probe."""

    def __init__(self, host: FakeHost, servers: FakeServers):
        self.host = host
        self.servers = servers
        self.states: dict[str, ServerState] = {}
        self.callbacks: list[Callable[[str, ServerState], None]] = []
        host.timers.subscribe(2.0, self.tick)

    def adopt_list(self, published: Any) -> None:
        """Take in a list of servers."""
        entries = published.body["backend_servers"]
        self.states = {entry["name"]: ServerState.LIVE for entry in entries}

    def subscribe(self, callback: Callable[[str, ServerState], None]) -> None:
        """Call back when a server's state changes."""
        self.callbacks.append(callback)

    def find_state(self, server: str) -> ServerState:
        """Return what the last probe said."""
        return self.states[server]

    def report(self, server: str, outcome: Outcome) -> None:
        """Take the outcome of a probe or request for the server's state."""
        state = {
            Outcome.ANSWERED: ServerState.LIVE,
            Outcome.LEAVING: ServerState.LEAVING,
        }.get(outcome, ServerState.FAILED)
        if state is not self.states[server]:
            self.states[server] = state
            for callback in self.callbacks:
                callback(server, state)

    def tick(self) -> None:
        """Probe every server."""
        for server in self.states:
            self.servers.probes[server] += 1
            _, outcome = self.servers.find_outcome(self.host.name, server)
            self.report(server, outcome)


def add_naive(servers: FakeServers, host: FakeHost) -> NaiveServers:
    """Give a host the naive baseline."""
    return NaiveServers(host, servers)


class Fleet:
    """Hosts with their view of the backend servers."""

    def __init__(self, add: Callable, hosts: int = 8, loss: float = 0.05):
        self.network = FakeNetwork(1, loss=loss)
        self.servers = FakeServers(self.network)
        self.views = {}
        self.changes: list[tuple[str, ServerState]] = []
        cards = make_cards(hosts, 3)
        for card in cards:
            add_members(self.network, card, cards)
            view = add(self.servers, self.network.hosts[card.host])
            view.adopt_list(make_list(1))
            view.subscribe(lambda *change: self.changes.append(change))
            self.views[card.host] = view
        self.network.timers.advance(10.0)

    def list_states(self, server: str) -> set[ServerState]:
        """Return the states that the hosts see."""
        return {view.find_state(server) for view in self.views.values()}

    def count_changes(self, state: ServerState) -> int:
        """Return how often a host saw a server come into a state."""
        return sum(change[1] is state for change in self.changes)


def leave_known_to_one(fleet: Fleet) -> bool:
    """One host is told by a server that it leaves; all know in 3 s."""
    fleet.views["h0"].report("engine-1", Outcome.LEAVING)
    fleet.network.timers.advance(LEAVING_S)
    return fleet.list_states("engine-1") == {ServerState.LEAVING}


def refuse(fleet: Fleet) -> bool:
    """A server's process is gone; all know soon."""
    fleet.servers.down.add("engine-2")
    fleet.network.timers.advance(DETECTION_S)
    return fleet.list_states("engine-2") == {ServerState.FAILED}


def fall_silent(fleet: Fleet) -> bool:
    """A server answers nothing more; all know soon."""
    fleet.servers.silent.add("engine-2")
    fleet.network.timers.advance(DETECTION_S)
    return fleet.list_states("engine-2") == {ServerState.FAILED}


def slow_down(fleet: Fleet) -> bool:
    """A server that answers late is not gone."""
    fleet.servers.slow.add("engine-3")
    fleet.network.timers.advance(60.0)
    return not fleet.changes


def cut_from_one(fleet: Fleet) -> bool:
    """One host cannot reach a server that the others reach."""
    for host in list(fleet.views)[:1]:
        fleet.servers.cuts |= {(host, f"engine-{i}") for i in range(SERVERS)}
    fleet.network.timers.advance(120.0)
    return fleet.count_changes(ServerState.FAILED) == 0


def flap(fleet: Fleet) -> bool:
    """A server that comes and goes is used less and less often."""
    for _ in range(20):
        fleet.servers.down.add("engine-7")
        fleet.network.timers.advance(4.0)
        fleet.servers.down.clear()
        fleet.network.timers.advance(6.0)
    returns = fleet.count_changes(ServerState.LIVE) / len(fleet.views)
    fleet.network.timers.advance(100.0)
    return returns <= 5 and fleet.list_states("engine-7") == {ServerState.LIVE}


def pause_probers(fleet: Fleet) -> bool:
    """Two hosts stand still for half a minute; no server fails by that."""
    for host in ("h1", "h2"):
        fleet.network.pause(host)
    fleet.network.timers.advance(30.0)
    for host in ("h1", "h2"):
        fleet.network.resume(host)
    fleet.network.timers.advance(30.0)
    return not fleet.changes


def share_probes(fleet: Fleet) -> bool:
    """Each server is probed at the rate of two hosts, whatever the fleet."""
    fleet.servers.probes.clear()
    fleet.network.timers.advance(60.0)
    return max(fleet.servers.probes.values()) <= 60.0 / 2.0 * 2 + 2


FAULTS = {
    leave_known_to_one: False,
    refuse: True,
    fall_silent: True,
    slow_down: False,
    cut_from_one: False,
    flap: False,
    pause_probers: True,
    share_probes: False,
}
"""Each fault case, and whether the naive baseline passes it."""


class FaultTest(TestCase):
    """Gone is told from slow, and what one host knows all soon know."""

    def test_baseline_fails(self):
        """The naive baseline fails just the cases it is known to fail."""
        for fault, passes in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertEqual(passes, fault(Fleet(add_naive)))

    def test_backend_servers_pass(self):
        """The real one passes each case."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertTrue(fault(Fleet(FakeServers.add)))

    def test_large_fleet(self):
        """Leaving reaches 200 hosts in time, and probes stay shared."""
        fleet = Fleet(FakeServers.add, hosts=200)
        for fault in (share_probes, leave_known_to_one):
            self.assertTrue(fault(fleet))


class BackendServersTest(TestCase):
    """The rules of one host's view."""

    def test_facts_only_rise(self):
        """A fact of a lower order changes nothing."""
        view = Fleet(FakeServers.add, hosts=2).views["h0"]
        facts = [
            ServerFact("engine-1", ServerState.LEAVING, 3, 0, "h1"),
            ServerFact("engine-1", ServerState.LIVE, 2, 0, "h1"),
            ServerFact("engine-1", ServerState.FAILED, 3, 0, "h1"),
        ]
        for fact in facts:
            view.handle("h1", ServerFacts([fact]))
            self.assertEqual(ServerState.LEAVING, view.find_state("engine-1"))

    def test_joined_time(self):
        """Servers of the first list are old, later ones new."""
        fleet = Fleet(FakeServers.add, hosts=2)
        view = fleet.views["h0"]
        view.adopt_list(make_list(2, SERVERS + 1))
        usable = {u.server["name"]: u for u in view.list_usable("model-2")}
        self.assertEqual(fleet.network.timers.now(), usable["engine-12"].joined_s)
        self.assertEqual(float("-inf"), usable["engine-2"].joined_s)

    def test_own_path(self):
        """A host avoids what it cannot reach itself; others do not."""
        fleet = Fleet(FakeServers.add, hosts=8)
        for _ in range(3):
            fleet.views["h0"].report("engine-2", Outcome.TIMED_OUT)
        named = {
            host: [u.server["name"] for u in view.list_usable("model-2")]
            for host, view in fleet.views.items()
        }
        self.assertEqual(["engine-7"], named["h0"])
        self.assertEqual(["engine-2", "engine-7"], named["h1"])
