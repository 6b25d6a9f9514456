"""Fault cases of backend servers, run on a naive baseline and ``BackendServers``."""

from collections.abc import Callable
from typing import Any

from testtools import TestCase

from oleanderpier.configuration import check_document
from oleanderpier.configuration.tests.fakes import make_server_entry
from oleanderpier.membership import Outcome, ServerRecord, ServerRecords, ServerState
from oleanderpier.membership.tests.fakes import (
    FakeHost,
    FakeNetwork,
    FakeServers,
    add_members,
    make_endpoints,
)

SERVERS = 12
MAX_DISSEMINATION_S = 3.0
MAX_DETECTION_S = 15.0


def make_servers_document(version: int, servers: int = SERVERS) -> Any:
    """Return a checked ``backend_servers`` document."""
    entries = [make_server_entry(i) for i in range(servers)]
    value = {"version": version, "backend_servers": entries}
    return check_document("backend_servers", value)


class NaiveServers:
    """Baseline: each host probes all servers and trusts its last probe only."""

    def __init__(self, host: FakeHost, servers: FakeServers):
        self.host = host
        self.servers = servers
        self.states: dict[str, ServerState] = {}
        self.callbacks: list[Callable[[str, ServerState], None]] = []
        host.timers.subscribe(2.0, self.tick)

    def apply_list(self, published: Any) -> None:
        """Apply a ``backend_servers`` document."""
        entries = published.body["backend_servers"]
        self.states = {entry["name"]: ServerState.LIVE for entry in entries}

    def subscribe(self, callback: Callable[[str, ServerState], None]) -> None:
        """Call back when a server's state changes."""
        self.callbacks.append(callback)

    def find_state(self, server: str) -> ServerState:
        """Return a server's state by its last probe."""
        return self.states[server]

    def record_outcome(self, server: str, outcome: Outcome) -> None:
        """Set a server's state by the outcome of a probe or request."""
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
            self.servers.probe_counts[server] += 1
            _, outcome = self.servers.find_outcome(self.host.name, server)
            self.record_outcome(server, outcome)


def add_naive_servers(servers: FakeServers, host: FakeHost) -> NaiveServers:
    """Start the naive baseline on a host."""
    return NaiveServers(host, servers)


class Fleet:
    """Hosts under test, each with its view of the backend servers."""

    def __init__(self, add: Callable, hosts: int = 8, loss_ratio: float = 0.05):
        self.network = FakeNetwork(1, loss_ratio=loss_ratio)
        self.servers = FakeServers(self.network)
        self.views = {}
        self.changes: list[tuple[str, ServerState]] = []
        endpoints = make_endpoints(hosts, 3)
        for endpoint in endpoints:
            add_members(self.network, endpoint, endpoints)
            view = add(self.servers, self.network.hosts[endpoint.host])
            view.apply_list(make_servers_document(1))
            view.subscribe(lambda *change: self.changes.append(change))
            self.views[endpoint.host] = view
        self.network.timers.advance(10.0)

    def list_states(self, server: str) -> set[ServerState]:
        """Return the states that a server has in the views of all hosts."""
        return {view.find_state(server) for view in self.views.values()}

    def count_changes(self, state: ServerState) -> int:
        """Return the number of changes into a state, over all views and servers."""
        return sum(change[1] is state for change in self.changes)


def report_leaving_to_one_host(fleet: Fleet) -> bool:
    """A server announces its leave to one host; all hosts know within 3 s."""
    fleet.views["h0"].record_outcome("engine-1", Outcome.LEAVING)
    fleet.network.timers.advance(MAX_DISSEMINATION_S)
    return fleet.list_states("engine-1") == {ServerState.LEAVING}


def refuse_connections(fleet: Fleet) -> bool:
    """A server refuses connections; all hosts see it as failed."""
    fleet.servers.down.add("engine-2")
    fleet.network.timers.advance(MAX_DETECTION_S)
    return fleet.list_states("engine-2") == {ServerState.FAILED}


def stop_responding(fleet: Fleet) -> bool:
    """A server stops responding; all hosts see it as failed."""
    fleet.servers.silent.add("engine-2")
    fleet.network.timers.advance(MAX_DETECTION_S)
    return fleet.list_states("engine-2") == {ServerState.FAILED}


def respond_slowly(fleet: Fleet) -> bool:
    """A server that responds slowly does not change its state."""
    fleet.servers.slow.add("engine-3")
    fleet.network.timers.advance(60.0)
    return not fleet.changes


def block_from_one_host(fleet: Fleet) -> bool:
    """A server that only one host cannot reach is never seen as failed."""
    for host in list(fleet.views)[:1]:
        fleet.servers.blocked |= {(host, f"engine-{i}") for i in range(SERVERS)}
    fleet.network.timers.advance(120.0)
    return fleet.count_changes(ServerState.FAILED) == 0


def flap_server(fleet: Fleet) -> bool:
    """A flapping server is used again less and less often."""
    for _ in range(20):
        fleet.servers.down.add("engine-7")
        fleet.network.timers.advance(4.0)
        fleet.servers.down.clear()
        fleet.network.timers.advance(6.0)
    recoveries = fleet.count_changes(ServerState.LIVE) / len(fleet.views)
    fleet.network.timers.advance(100.0)
    return recoveries <= 5 and fleet.list_states("engine-7") == {ServerState.LIVE}


def pause_probers(fleet: Fleet) -> bool:
    """A pause of two hosts for 30 s changes no server's state."""
    for host in ("h1", "h2"):
        fleet.network.pause(host)
    fleet.network.timers.advance(30.0)
    for host in ("h1", "h2"):
        fleet.network.resume(host)
    fleet.network.timers.advance(30.0)
    return not fleet.changes


def count_probes_per_server(fleet: Fleet) -> bool:
    """Each server is probed at the rate of two hosts, whatever the fleet's size."""
    fleet.servers.probe_counts.clear()
    fleet.network.timers.advance(60.0)
    return max(fleet.servers.probe_counts.values()) <= 60.0 / 2.0 * 2 + 2


FAULTS = {
    report_leaving_to_one_host: False,
    refuse_connections: True,
    stop_responding: True,
    respond_slowly: False,
    block_from_one_host: False,
    flap_server: False,
    pause_probers: True,
    count_probes_per_server: False,
}
"""The fault cases, and whether the naive baseline passes each."""


class FaultTest(TestCase):
    """Failed servers are distinguished from slow ones, and all views agree."""

    def test_naive_baseline_fails_only_known_cases(self):
        """The naive baseline fails exactly the cases it is known to fail."""
        for fault, passes in FAULTS.items():
            with self.subTest(fault=fault.__name__):
                self.assertEqual(passes, fault(Fleet(add_naive_servers)))

    def test_backend_servers_pass_every_case(self):
        """``BackendServers`` passes every case."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertTrue(fault(Fleet(FakeServers.add)))

    def test_leaving_and_probe_rate_with_200_hosts(self):
        """With 200 hosts a leave reaches all in 3 s, and the probe rate is the same."""
        fleet = Fleet(FakeServers.add, hosts=200)
        for fault in (count_probes_per_server, report_leaving_to_one_host):
            self.assertTrue(fault(fleet))


class BackendServersTest(TestCase):
    """Rules of a single host's view."""

    def test_record_of_lower_precedence_is_ignored(self):
        """A record of lower precedence does not replace the known one."""
        view = Fleet(FakeServers.add, hosts=2).views["h0"]
        records = [
            ServerRecord("engine-1", ServerState.LEAVING, 3, 0, "h1"),
            ServerRecord("engine-1", ServerState.LIVE, 2, 0, "h1"),
            ServerRecord("engine-1", ServerState.FAILED, 3, 0, "h1"),
        ]
        for record in records:
            view.handle("h1", ServerRecords([record]))
            self.assertEqual(ServerState.LEAVING, view.find_state("engine-1"))

    def test_joined_time_of_first_and_later_lists(self):
        """Servers of the first list have joined before the start, others now."""
        fleet = Fleet(FakeServers.add, hosts=2)
        view = fleet.views["h0"]
        view.apply_list(make_servers_document(2, SERVERS + 1))
        usable = {u.server["name"]: u for u in view.list_usable("model-2")}
        self.assertEqual(fleet.network.timers.now(), usable["engine-12"].joined_s)
        self.assertEqual(float("-inf"), usable["engine-2"].joined_s)

    def test_unreachable_server_is_avoided_by_one_host_only(self):
        """A host avoids a server after its own failed requests; others do not."""
        fleet = Fleet(FakeServers.add, hosts=8)
        for _ in range(3):
            fleet.views["h0"].record_outcome("engine-2", Outcome.TIMED_OUT)
        usable = {
            host: [u.server["name"] for u in view.list_usable("model-2")]
            for host, view in fleet.views.items()
        }
        self.assertEqual(["engine-7"], usable["h0"])
        self.assertEqual(["engine-2", "engine-7"], usable["h1"])
