"""Tests of the distribution of documents from the platform to all hosts."""

from collections.abc import Callable
from typing import Any

from testtools import TestCase

from oleanderpier.configuration import (
    DocumentVersion,
    DocumentVersions,
    check_document,
    make_delta,
)
from oleanderpier.configuration.tests.fakes import (
    FakePlatform,
    add_host,
    add_naive_host,
    list_version_keys,
    make_configuration_value,
    start_fleet,
)
from oleanderpier.membership.tests.fakes import FakeNetwork, make_endpoints

MAX_CONVERGENCE_S = 5.0
MAX_LARGE_FLEET_CONVERGENCE_S = 13.0
STEP_S = 0.25


class Fleet:
    """Hosts that watch a fake platform, over a network that loses 5% of messages.

    Attributes:
        version_keys: Last version key of the configuration on each ready host.
        version_decreased: Whether the version on any ready host has decreased.
    """

    def __init__(self, hosts: int = 8, domains: int = 3, add: Callable = add_host):
        self.network = FakeNetwork(1, loss_ratio=0.05)
        self.endpoints = make_endpoints(hosts, domains)
        self.add_host = add
        self.platform = start_fleet(self.network, self.endpoints, add=add)
        self.version_keys: dict[str, Any] = {}
        self.version_decreased = False
        self.advance(60.0)

    def advance(self, seconds: float) -> None:
        """Advance the time, checking the versions on all ready hosts."""
        for _ in range(int(seconds / STEP_S)):
            self.network.timers.advance(STEP_S)
            for host, version_key in list_version_keys(
                self.network, "configuration"
            ).items():
                if not self.network.hosts[host].components["gossip"].is_ready():
                    continue
                self.version_decreased = (
                    self.version_decreased
                    or version_key < self.version_keys.get(host, version_key)
                )
                self.version_keys[host] = version_key

    def measure_convergence(self, version_key: Any, limit_s: float) -> float:
        """Return the seconds until a version is in force on all hosts."""
        started_s = self.network.timers.now()
        while self.network.timers.now() - started_s <= limit_s:
            if set(list_version_keys(self.network, "configuration").values()) == {
                version_key
            }:
                break
            self.advance(STEP_S)
        return self.network.timers.now() - started_s

    def publish(self, value: Any) -> Any:
        """Publish a configuration and return its version key."""
        self.platform.publish("configuration", value)
        return check_document("configuration", value).version_key


def publish_change(fleet: Fleet) -> Any:
    """Publish a change without a fault other than 5% message loss."""
    return fleet.publish(make_configuration_value(2))


def cut_domain_off_platform(fleet: Fleet) -> Any:
    """Cut a whole failure domain off the platform, then publish a change."""
    fleet.platform.unreachable_hosts |= {
        c.host for c in fleet.endpoints if c.failure_domain == "domain-1"
    }
    fleet.advance(30.0)
    return fleet.publish(make_configuration_value(2))


def one_host_reaches_platform(fleet: Fleet) -> Any:
    """Cut all hosts off the platform but one, which is no selected watcher."""
    hosts = fleet.network.hosts
    watchers = {
        h for h in hosts if hosts[h].components["watcher_selection"].is_watching()
    }
    spare = min(set(hosts) - watchers, default="h7")
    fleet.platform.unreachable_hosts |= set(hosts) - {spare}
    fleet.publish(make_configuration_value(2))
    fleet.advance(180.0)
    return fleet.publish(make_configuration_value(3))


def publish_two_values_of_one_version(fleet: Fleet) -> Any:
    """Put two values of one version in force on different hosts."""
    values = [make_configuration_value(2), make_configuration_value(2, workspaces=3)]
    published = [check_document("configuration", value) for value in values]
    for host, document in zip(("h0", "h5"), published, strict=True):
        fleet.network.hosts[host].components["documents"].apply(document)
    return max(document.version_key for document in published)


def revert_platform(fleet: Fleet) -> Any:
    """Let the platform revert to an older value for a minute."""
    version_key = fleet.publish(make_configuration_value(7))
    fleet.advance(10.0)
    fleet.publish(make_configuration_value(3))
    fleet.advance(60.0)
    return version_key


def publish_invalid_value(fleet: Fleet) -> Any:
    """Publish an invalid value, which all hosts have to refuse and list."""
    before = fleet.version_keys["h0"]
    fleet.platform.publish("configuration", {"version": 2, "classes": 7})
    fleet.advance(5.0)
    parts = [host.components["documents"] for host in fleet.network.hosts.values()]
    all_refused = all([r.version for r in p.list_refusals()] == [2] for p in parts)
    return before if all_refused else None


def replace_hosts_while_platform_is_stale(fleet: Fleet) -> Any:
    """Replace all hosts one by one while the platform has an older value."""
    version_key = fleet.publish(make_configuration_value(9))
    fleet.advance(10.0)
    fleet.platform.publish("configuration", make_configuration_value(4))
    for endpoint in fleet.endpoints:
        fleet.add_host(fleet.network, fleet.platform, endpoint, fleet.endpoints)
        fleet.advance(20.0)
    return version_key


def replace_host_while_platform_is_down(fleet: Fleet) -> Any:
    """Replace a host while the platform is down; its peers have the documents."""
    version_key = fleet.publish(make_configuration_value(2))
    fleet.advance(10.0)
    fleet.platform.is_down = True
    fleet.add_host(fleet.network, fleet.platform, fleet.endpoints[3], fleet.endpoints)
    return version_key


def suspend_host(fleet: Fleet) -> Any:
    """Suspend a host during ten changes, more than the retained versions."""
    fleet.network.pause("h4")
    for version in range(2, 12):
        version_key = fleet.publish(make_configuration_value(version))
        fleet.advance(3.0)
    fleet.network.resume("h4")
    return version_key


def partition_fleet(fleet: Fleet) -> Any:
    """Cut half of the fleet off the rest and the platform, then reconnect them."""
    one, two = ["h0", "h1", "h2", "h3"], ["h4", "h5", "h6", "h7"]
    fleet.network.block(one, two)
    fleet.network.block(two, one)
    fleet.platform.unreachable_hosts |= set(two)
    version_key = fleet.publish(make_configuration_value(2))
    fleet.advance(60.0)
    fleet.network.blocked.clear()
    fleet.advance(10.0)
    return version_key


FAULTS = [
    publish_change,
    cut_domain_off_platform,
    one_host_reaches_platform,
    publish_two_values_of_one_version,
    revert_platform,
    publish_invalid_value,
    replace_hosts_while_platform_is_stale,
    replace_host_while_platform_is_down,
    suspend_host,
    partition_fleet,
]


FAULTS_THAT_FAIL_NAIVE = {
    "cut_domain_off_platform",
    "one_host_reaches_platform",
    "publish_two_values_of_one_version",
    "revert_platform",
    "publish_invalid_value",
    "replace_hosts_while_platform_is_stale",
    "replace_host_while_platform_is_down",
    "partition_fleet",
}


def converges_after(add: Callable, fault: Callable[[Fleet], Any]) -> bool:
    """Return whether all hosts converge after a fault and no version decreased."""
    fleet = Fleet(add=add)
    version_key = fault(fleet)
    return (
        fleet.measure_convergence(version_key, MAX_CONVERGENCE_S) <= MAX_CONVERGENCE_S
        and not fleet.version_decreased
    )


class DocumentGossipTest(TestCase):
    """Changes are in force on all hosts within seconds; no version decreases."""

    def test_naive_watch_fails_known_faults(self):
        """Hosts that each watch the platform and do not gossip fail known faults."""
        failed = {
            fault.__name__
            for fault in FAULTS
            if not converges_after(add_naive_host, fault)
        }
        self.assertEqual(FAULTS_THAT_FAIL_NAIVE, failed)

    def test_hosts_converge_after_each_fault(self):
        """Selected watchers with gossip pass every fault."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertTrue(converges_after(add_host, fault))

    def test_large_fleet_converges_in_time(self):
        """A change is in force on 200 hosts in 8 failure domains in time."""
        fleet = Fleet(hosts=200, domains=8)
        fleet.network.sent_bytes.clear()
        version_key = fleet.publish(make_configuration_value(2))
        convergence_s = fleet.measure_convergence(
            version_key, MAX_LARGE_FLEET_CONVERGENCE_S
        )
        self.assertLessEqual(convergence_s, MAX_LARGE_FLEET_CONVERGENCE_S)
        bytes_per_host = fleet.network.sent_bytes["DocumentDelta"] / 200
        self.assertLess(bytes_per_host, 10_000)

    def test_platform_calls_grow_less_than_hosts(self):
        """Eight times the hosts make at most twice the calls per second."""
        growth = {}
        for add in (add_host, add_naive_host):
            calls = []
            for hosts in (8, 64):
                fleet = Fleet(hosts=hosts, add=add)
                fleet.platform.call_count = 0
                fleet.advance(120.0)
                calls.append(fleet.platform.call_count)
            growth[add] = calls[1] / calls[0]
        self.assertLessEqual(growth[add_host], 2.0)
        self.assertGreaterEqual(growth[add_naive_host], 7.0)

    def test_platform_calls_are_bounded_while_down(self):
        """With the platform down, eight times the hosts make under thrice the calls."""
        rates = []
        for hosts in (8, 64):
            fleet = Fleet(hosts=hosts)
            fleet.platform.is_down = True
            fleet.advance(120.0)
            fleet.platform.call_count = 0
            fleet.advance(240.0)
            rates.append(fleet.platform.call_count / 240.0)
        self.assertLess(rates[1], 3 * rates[0])

    def test_platform_calls_are_bounded_while_watchers_restart(self):
        """Replacing a watcher every 8 s at most doubles the calls."""
        fleet = Fleet(hosts=64)
        fleet.platform.call_count = 0
        fleet.advance(120.0)
        calls_without_restarts, fleet.platform.call_count = (
            fleet.platform.call_count,
            0,
        )
        for _ in range(15):
            parts = {name: h.components for name, h in fleet.network.hosts.items()}
            name = min(n for n in parts if parts[n]["watcher_selection"].is_watching())
            endpoint = parts[name]["members"].find_endpoint(name)
            add_host(fleet.network, fleet.platform, endpoint, fleet.endpoints)
            fleet.advance(8.0)
        self.assertLessEqual(fleet.platform.call_count, 2 * calls_without_restarts)

    def test_isolated_new_host_is_not_ready_until_connected(self):
        """A new host cut off from its peers is not ready after 20 s.

        The platform may have an older version than the fleet.
        """
        fleet = Fleet()
        names = [endpoint.host for endpoint in fleet.endpoints]
        fleet.network.block(["h2"], names)
        fleet.network.block(names, ["h2"])
        host = add_host(
            fleet.network, fleet.platform, fleet.endpoints[2], fleet.endpoints
        )
        fleet.advance(20.0)
        self.assertFalse(host.components["gossip"].is_ready())
        fleet.network.blocked.clear()
        fleet.advance(5.0)
        self.assertTrue(host.components["gossip"].is_ready())

    def test_new_host_ignores_version_of_dead_peer(self):
        """A version that only a dead peer had does not keep a new host unready."""
        fleet = Fleet()
        host = add_host(
            fleet.network, fleet.platform, fleet.endpoints[2], fleet.endpoints
        )
        message = DocumentVersions(
            True, False, [DocumentVersion("configuration", 9, "a")]
        )
        host.components["gossip"].handle("h1", message)
        fleet.network.stop("h1")
        fleet.advance(2.0)
        self.assertFalse(host.components["gossip"].is_ready())
        fleet.advance(30.0)
        self.assertTrue(host.components["gossip"].is_ready())

    def test_whole_document_is_fetched_after_wrong_delta(self):
        """After a difference with a wrong digest the whole document is fetched."""
        network = FakeNetwork(1)
        endpoints = make_endpoints(3, 3)
        start_fleet(network, endpoints)
        network.timers.advance(20.0)
        one, two = (network.hosts[name].components for name in ("h0", "h1"))
        network.block(["h0", "h2"], ["h1"])
        one["documents"].apply_value("configuration", make_configuration_value(2))
        network.timers.advance(1.0)
        network.blocked.clear()
        base, target = one["documents"].list_retained("configuration")
        wrong_delta = make_delta(base, target)._replace(digest="f" * 16)
        two["gossip"].handle("h0", wrong_delta)
        self.assertEqual(
            base.version_key, two["documents"].get("configuration").version_key
        )
        sent = network.sent_counts["DocumentPart"]
        network.timers.advance(0.1)
        self.assertEqual(
            target.version_key, two["documents"].get("configuration").version_key
        )
        self.assertEqual(sent + 1, network.sent_counts["DocumentPart"])

    def test_document_of_many_parts_arrives_whole(self):
        """A document that is too large for one message arrives in parts."""
        network = FakeNetwork(1, loss_ratio=0.05)
        endpoints = make_endpoints(3, 3)
        start_fleet(network, endpoints, servers=4000)
        network.timers.advance(20.0)
        new_host = add_host(network, FakePlatform(network), endpoints[1], endpoints)
        network.timers.advance(10.0)
        version_key = (
            network.hosts["h0"]
            .components["documents"]
            .get("backend_servers")
            .version_key
        )
        received = new_host.components["documents"].get("backend_servers")
        self.assertEqual(version_key, received.version_key)
