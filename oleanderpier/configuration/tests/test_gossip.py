"""Fault cases of the spread from the platform to all hosts."""

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
    add_naive,
    list_versions,
    make_value,
    start_fleet,
)
from oleanderpier.membership.tests.fakes import FakeNetwork, make_cards

IN_FORCE_S = 5.0
IN_FORCE_LARGE_S = 13.0
STEP_S = 0.25


class Fleet:
    """Hosts before a platform; what is in force must never fall."""

    def __init__(self, hosts: int = 8, domains: int = 3, add: Callable = add_host):
        self.network = FakeNetwork(1, loss=0.05)
        self.cards = make_cards(hosts, domains)
        self.add = add
        self.platform = start_fleet(self.network, self.cards, add=add)
        self.seen: dict[str, Any] = {}
        self.fell = False
        self.advance(60.0)

    def advance(self, seconds: float) -> None:
        """Let time pass, watching every host that serves."""
        for _ in range(int(seconds / STEP_S)):
            self.network.timers.advance(STEP_S)
            for host, order in list_versions(self.network, "configuration").items():
                if not self.network.hosts[host].parts["gossip"].is_ready():
                    continue
                self.fell = self.fell or order < self.seen.get(host, order)
                self.seen[host] = order

    def time_until(self, order: Any, limit_s: float) -> float:
        """Return how long it takes until all hosts have an order in force."""
        began_s = self.network.timers.now()
        while self.network.timers.now() - began_s <= limit_s:
            if set(list_versions(self.network, "configuration").values()) == {order}:
                break
            self.advance(STEP_S)
        return self.network.timers.now() - began_s

    def publish(self, value: Any) -> Any:
        """Publish a configuration and return its order."""
        self.platform.publish("configuration", value)
        return check_document("configuration", value).version_key


def publish_one(fleet: Fleet) -> Any:
    """All is well but for 5% loss."""
    return fleet.publish(make_value(2))


def cut_domain_off_platform(fleet: Fleet) -> Any:
    """A whole failure domain cannot reach the platform."""
    fleet.platform.unreachable |= {
        c.host for c in fleet.cards if c.failure_domain == "domain-1"
    }
    fleet.advance(30.0)
    return fleet.publish(make_value(2))


def one_host_reaches_platform(fleet: Fleet) -> Any:
    """Only one host, no chosen watcher, reaches the platform."""
    hosts = fleet.network.hosts
    watchers = {h for h in hosts if hosts[h].parts["watcher_selection"].is_watching()}
    spare = min(set(hosts) - watchers, default="h7")
    fleet.platform.unreachable |= set(hosts) - {spare}
    fleet.publish(make_value(2))
    fleet.advance(180.0)
    return fleet.publish(make_value(3))


def race_operators(fleet: Fleet) -> Any:
    """Two values of one version, read by different hosts."""
    values = [make_value(2), make_value(2, workspaces=3)]
    published = [check_document("configuration", value) for value in values]
    for host, document in zip(("h0", "h5"), published, strict=True):
        fleet.network.hosts[host].parts["documents"].apply(document)
    return max(document.version_key for document in published)


def lag_platform(fleet: Fleet) -> Any:
    """The platform falls back to an old value for an hour."""
    order = fleet.publish(make_value(7))
    fleet.advance(10.0)
    fleet.publish(make_value(3))
    fleet.advance(60.0)
    return order


def publish_bad(fleet: Fleet) -> Any:
    """A bad value is refused by all, and all can say so."""
    before = fleet.seen["h0"]
    fleet.platform.publish("configuration", {"version": 2, "classes": 7})
    fleet.advance(5.0)
    parts = [host.parts["documents"] for host in fleet.network.hosts.values()]
    told = all([r.version for r in p.list_refusals()] == [2] for p in parts)
    return before if told else None


def restart_while_stale(fleet: Fleet) -> Any:
    """All hosts are replaced one by one while the platform is stale."""
    order = fleet.publish(make_value(9))
    fleet.advance(10.0)
    fleet.platform.publish("configuration", make_value(4))
    for card in fleet.cards:
        fleet.add(fleet.network, fleet.platform, card, fleet.cards)
        fleet.advance(20.0)
    return order


def restart_while_down(fleet: Fleet) -> Any:
    """A host starts anew while the platform is down; peers have it all."""
    order = fleet.publish(make_value(2))
    fleet.advance(10.0)
    fleet.platform.down = True
    fleet.add(fleet.network, fleet.platform, fleet.cards[3], fleet.cards)
    return order


def pause_host(fleet: Fleet) -> Any:
    """A host misses eight changes and wakes."""
    fleet.network.pause("h4")
    for version in range(2, 12):
        order = fleet.publish(make_value(version))
        fleet.advance(3.0)
    fleet.network.resume("h4")
    return order


def split_fleet(fleet: Fleet) -> Any:
    """Half of the fleet, cut off from the rest and the platform, heals."""
    one, two = ["h0", "h1", "h2", "h3"], ["h4", "h5", "h6", "h7"]
    fleet.network.cut(one, two)
    fleet.network.cut(two, one)
    fleet.platform.unreachable |= set(two)
    order = fleet.publish(make_value(2))
    fleet.advance(60.0)
    fleet.network.cuts.clear()
    fleet.advance(10.0)
    return order


FAULTS = [
    publish_one,
    cut_domain_off_platform,
    one_host_reaches_platform,
    race_operators,
    lag_platform,
    publish_bad,
    restart_while_stale,
    restart_while_down,
    pause_host,
    split_fleet,
]


NAIVE_FAILS = {
    "cut_domain_off_platform",
    "one_host_reaches_platform",
    "race_operators",
    "lag_platform",
    "publish_bad",
    "restart_while_stale",
    "restart_while_down",
    "split_fleet",
}


def passes(add: Callable, fault: Callable[[Fleet], Any]) -> bool:
    """Return whether after a fault all have the newest, and none ever fell."""
    fleet = Fleet(add=add)
    order = fault(fleet)
    return fleet.time_until(order, IN_FORCE_S) <= IN_FORCE_S and not fleet.fell


class SpreadTest(TestCase):
    """In force on all within seconds, and never back."""

    def test_baseline_fails(self):
        """A watch on each host fails just the faults it is known to fail."""
        failed = {fault.__name__ for fault in FAULTS if not passes(add_naive, fault)}
        self.assertEqual(NAIVE_FAILS, failed)

    def test_faults(self):
        """The real one passes every fault."""
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.assertTrue(passes(add_host, fault))

    def test_large_fleet(self):
        """200 hosts in 8 failure domains have a change in time."""
        fleet = Fleet(hosts=200, domains=8)
        fleet.network.sent_bytes.clear()
        order = fleet.publish(make_value(2))
        spent_s = fleet.time_until(order, IN_FORCE_LARGE_S)
        self.assertLessEqual(spent_s, IN_FORCE_LARGE_S)
        copies = fleet.network.sent_bytes["DocumentDelta"] / 200
        self.assertLess(copies, 10_000)

    def test_calls_grow_less_than_hosts(self):
        """With eight times the hosts a second, calls stay below twice."""
        growth = {}
        for add in (add_host, add_naive):
            calls = []
            for hosts in (8, 64):
                fleet = Fleet(hosts=hosts, add=add)
                fleet.platform.calls = 0
                fleet.advance(120.0)
                calls.append(fleet.platform.calls)
            growth[add] = calls[1] / calls[0]
        self.assertLessEqual(growth[add_host], 2.0)
        self.assertGreaterEqual(growth[add_naive], 7.0)

    def test_calls_are_bounded_when_down(self):
        """While nobody reaches the platform, calls stay within a bound."""
        rates = []
        for hosts in (8, 64):
            fleet = Fleet(hosts=hosts)
            fleet.platform.down = True
            fleet.advance(120.0)
            fleet.platform.calls = 0
            fleet.advance(240.0)
            rates.append(fleet.platform.calls / 240.0)
        self.assertLess(rates[1], 3 * rates[0])

    def test_calls_are_bounded_when_watchers_flap(self):
        """While watchers are replaced every 8 s, calls stay within twice."""
        fleet = Fleet(hosts=64)
        fleet.platform.calls = 0
        fleet.advance(120.0)
        calm, fleet.platform.calls = fleet.platform.calls, 0
        for _ in range(15):
            parts = {name: h.parts for name, h in fleet.network.hosts.items()}
            name = min(n for n in parts if parts[n]["watcher_selection"].is_watching())
            card = parts[name]["members"].find_card(name)
            add_host(fleet.network, fleet.platform, card, fleet.cards)
            fleet.advance(8.0)
        self.assertLessEqual(fleet.platform.calls, 2 * calm)

    def test_newcomer_waits(self):
        """An isolated newcomer does not serve by a stale platform at once."""
        fleet = Fleet()
        names = [card.host for card in fleet.cards]
        fleet.network.cut(["h2"], names)
        fleet.network.cut(names, ["h2"])
        host = add_host(fleet.network, fleet.platform, fleet.cards[2], fleet.cards)
        fleet.advance(20.0)
        self.assertFalse(host.parts["gossip"].is_ready())
        fleet.network.cuts.clear()
        fleet.advance(5.0)
        self.assertTrue(host.parts["gossip"].is_ready())

    def test_newcomer_outlives_the_only_holder(self):
        """What only a host that is gone had does not hold up a newcomer."""
        fleet = Fleet()
        host = add_host(fleet.network, fleet.platform, fleet.cards[2], fleet.cards)
        told = DocumentVersions(True, False, [DocumentVersion("configuration", 9, "a")])
        host.parts["gossip"].handle("h1", told)
        fleet.network.stop("h1")
        fleet.advance(2.0)
        self.assertFalse(host.parts["gossip"].is_ready())
        fleet.advance(30.0)
        self.assertTrue(host.parts["gossip"].is_ready())

    def test_wrong_difference(self):
        """A difference that leads elsewhere is not taken; the whole is asked."""
        network = FakeNetwork(1)
        cards = make_cards(3, 3)
        start_fleet(network, cards)
        network.timers.advance(20.0)
        one, two = (network.hosts[name].parts for name in ("h0", "h1"))
        network.cut(["h0", "h2"], ["h1"])
        one["documents"].apply_value("configuration", make_value(2))
        network.timers.advance(1.0)
        network.cuts.clear()
        base, target = one["documents"].list_retained("configuration")
        wrong = make_delta(base, target)._replace(digest="f" * 16)
        two["gossip"].handle("h0", wrong)
        self.assertEqual(
            base.version_key, two["documents"].get("configuration").version_key
        )
        sent = network.sent_counts["DocumentPart"]
        network.timers.advance(0.1)
        self.assertEqual(
            target.version_key, two["documents"].get("configuration").version_key
        )
        self.assertEqual(sent + 1, network.sent_counts["DocumentPart"])

    def test_large_document(self):
        """A document that is too large for one message arrives whole."""
        network = FakeNetwork(1, loss=0.05)
        cards = make_cards(3, 3)
        start_fleet(network, cards, servers=4000)
        network.timers.advance(20.0)
        late = add_host(network, FakePlatform(network), cards[1], cards)
        network.timers.advance(10.0)
        order = (
            network.hosts["h0"].parts["documents"].get("backend_servers").version_key
        )
        got = late.parts["documents"].get("backend_servers")
        self.assertEqual(order, got.version_key)
