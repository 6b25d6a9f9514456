"""Fault cases of failure detection, run on a naive baseline and on ``Members``."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from testtools import TestCase

from oleanderpier.configuration import check_document
from oleanderpier.membership import HostEndpoint, MemberState
from oleanderpier.membership.tests.fakes import (
    FakeNetwork,
    add_members,
    make_endpoints,
    make_hosts_document,
)
from oleanderpier.membership.tests.naive import NaiveMembers

MAX_DETECTION_S = 15.0
MAX_HEALING_S = 30.0


class FalseDeath(NamedTuple):
    """A host declared another one dead that was running."""

    at_s: float
    observer: str
    subject: str


def add_naive_members(
    network: FakeNetwork, endpoint: HostEndpoint, seeds: list[HostEndpoint]
):
    """Start a host that runs the naive baseline."""
    return NaiveMembers(endpoint, network.add(endpoint.host), seeds)


class Fleet:
    """Hosts under test, and all false declarations of death by them.

    Attributes:
        unavailable: Hosts that may be declared dead: stopped, paused or cut off.
        false_deaths: Declarations of death of any other host.
    """

    def __init__(self, add: Callable, hosts: int, seed: int, loss_ratio: float = 0.0):
        self.network = FakeNetwork(seed, loss_ratio=loss_ratio)
        self.endpoints = make_endpoints(hosts, 3)
        self.add = add
        self.unavailable: set[str] = set()
        self.false_deaths: list[FalseDeath] = []
        self.members = {}
        for endpoint in self.endpoints:
            self.start(endpoint, self.endpoints)

    def start(self, endpoint: HostEndpoint, seeds: list[HostEndpoint]) -> None:
        """Start or restart a host."""
        members = self.add(self.network, endpoint, seeds)
        members.subscribe(
            lambda host, state: self.record_death(endpoint.host, host, state)
        )
        self.members[endpoint.host] = members
        self.unavailable.discard(endpoint.host)

    def record_death(self, observer: str, subject: str, state: MemberState) -> None:
        """Record a declaration of death of a host that is available."""
        if state is MemberState.DEAD and subject not in self.unavailable:
            self.false_deaths.append(
                FalseDeath(self.network.timers.now(), observer, subject)
            )

    def stop(self, host: str) -> None:
        """Stop a host's process without a leave."""
        self.unavailable.add(host)
        self.network.stop(host)

    def views_agree(self) -> bool:
        """Return whether every available host lists exactly the available ones."""
        running = {endpoint.host for endpoint in self.endpoints} - self.unavailable
        return all(set(self.members[h].list_alive()) == running for h in running)


def lose_messages(fleet: Fleet) -> None:
    """Lose 5% of all messages for five minutes."""
    fleet.network.loss_ratio = 0.05
    fleet.network.timers.advance(300.0)


def pause_host(fleet: Fleet) -> None:
    """Pause a process for 30 s, so that it resumes with an outdated view."""
    fleet.network.pause("h3")
    fleet.unavailable.add("h3")
    fleet.network.timers.advance(30.0)
    fleet.network.resume("h3")
    fleet.network.timers.advance(5.0)
    fleet.unavailable.discard("h3")
    fleet.network.timers.advance(MAX_HEALING_S)


def block_one_way(fleet: Fleet) -> None:
    """Lose all messages from one host to another, in one direction only."""
    fleet.network.block(["h1"], ["h2"])
    fleet.network.timers.advance(120.0)


def slow_host(fleet: Fleet) -> None:
    """Delay each message to one host by 0.6 s."""
    fleet.network.receive_delays_s["h2"] = 0.6
    fleet.network.timers.advance(120.0)


def restart_host_repeatedly(fleet: Fleet) -> None:
    """Restart a host six times in a row."""
    for _ in range(6):
        fleet.stop("h4")
        fleet.network.timers.advance(3.0)
        fleet.start(fleet.endpoints[4], fleet.endpoints)
        fleet.network.timers.advance(6.0)
    fleet.network.timers.advance(MAX_HEALING_S)


def partition_fleet(fleet: Fleet) -> None:
    """Partition the fleet into two sides for a minute, then heal it."""
    one_side, other_side = ["h0", "h1", "h2", "h3"], ["h4", "h5", "h6"]
    fleet.network.block(one_side, other_side)
    fleet.network.block(other_side, one_side)
    fleet.unavailable.update(one_side + other_side)
    fleet.network.timers.advance(60.0)
    fleet.unavailable.clear()
    fleet.network.blocked.clear()
    fleet.network.timers.advance(MAX_HEALING_S)


def add_host_listed_by_few(fleet: Fleet) -> None:
    """Start a new host that knows only two others and is on no list."""
    endpoint = HostEndpoint("h9", "domain-0", "10.0.0.9", 7000)
    fleet.endpoints.append(endpoint)
    fleet.start(endpoint, fleet.endpoints[:2])
    fleet.network.timers.advance(MAX_HEALING_S)


def restart_with_stale_seeds(fleet: Fleet) -> None:
    """Restart a host with one live seed and two that no longer exist."""
    fleet.stop("h6")
    gone = [HostEndpoint(f"old{i}", "domain-1", "10.9.0.1", 7000) for i in range(2)]
    fleet.unavailable.update(endpoint.host for endpoint in gone)
    fleet.network.timers.advance(2.0)
    fleet.start(fleet.endpoints[6], [fleet.endpoints[0], *gone])
    fleet.network.timers.advance(MAX_HEALING_S)


def stop_host(fleet: Fleet) -> None:
    """Stop a host without a leave."""
    fleet.stop("h5")
    fleet.network.timers.advance(MAX_DETECTION_S)


FAULTS = [
    lose_messages,
    pause_host,
    block_one_way,
    slow_host,
    restart_host_repeatedly,
    partition_fleet,
    add_host_listed_by_few,
    restart_with_stale_seeds,
    stop_host,
]
NAIVE_FAILS = {
    "lose_messages",
    "pause_host",
    "block_one_way",
    "restart_host_repeatedly",
    "add_host_listed_by_few",
    "restart_with_stale_seeds",
}
SEEDS = range(1, 11)


def find_violations(
    add: Callable, fault: Callable[[Fleet], None], seed: int
) -> list[str]:
    """Inject a fault and return descriptions of the invariants it broke."""
    fleet = Fleet(add, 7, seed)
    fleet.network.timers.advance(10.0)
    fault(fleet)
    violations = [f"{d.observer} declared {d.subject} dead" for d in fleet.false_deaths]
    return (
        violations
        if fleet.views_agree()
        else [*violations, "views of the fleet differ at the end"]
    )


def list_cases() -> Iterator[tuple[Callable[[Fleet], None], int]]:
    """Yield each fault with each seed."""
    for fault in FAULTS:
        for seed in SEEDS:
            yield fault, seed


class FaultTest(TestCase):
    """No running host is declared dead, and all views agree afterwards."""

    def test_naive_baseline_fails_only_known_faults(self):
        """The naive baseline fails exactly the faults it is known to fail."""
        failed = {
            fault.__name__
            for fault, s in list_cases()
            if find_violations(add_naive_members, fault, s)
        }
        self.assertEqual(NAIVE_FAILS, failed)

    def test_members_pass_every_fault(self):
        """``Members`` passes every fault with every seed."""
        for fault, seed in list_cases():
            with self.subTest(fault=fault.__name__, seed=seed):
                self.assertEqual([], find_violations(add_members, fault, seed))

    def test_bytes_per_host_grow_slowly_with_fleet(self):
        """With four times the hosts, each sends less than twice the bytes."""
        rates = []
        for hosts in (16, 64):
            fleet = Fleet(add_members, hosts, 1)
            fleet.network.timers.advance(60.0)
            fleet.network.sent_bytes.clear()
            fleet.network.timers.advance(60.0)
            rates.append(fleet.network.sent_bytes.total() / 60.0 / hosts)
        self.assertLess(rates[1], 2 * rates[0])
        self.assertLess(rates[1], 10_000)

    def test_leave_reaches_all_hosts(self):
        """Every host records the leave of a host within 3 s."""
        fleet = Fleet(add_members, 8, 1)
        fleet.network.timers.advance(10.0)
        fleet.members["h3"].leave()
        fleet.network.timers.advance(3.0)
        states = {m.find_state("h3") for m in fleet.members.values()}
        self.assertEqual({MemberState.LEFT}, states)


class ListVersionTest(TestCase):
    """Each host knows which hosts have which hosts list, and since when."""

    def publish(self, fleet: Fleet, version: int, hosts: list[str]) -> None:
        """Let some hosts apply a hosts list."""
        value = make_hosts_document(fleet.endpoints, version)
        for host in hosts:
            fleet.members[host].apply_list(check_document("hosts", value))

    def test_applied_list_version_reaches_all_hosts(self):
        """All hosts know who has applied a list, and not before it happened."""
        fleet = Fleet(add_members, 20, 1, loss_ratio=0.05)
        names = [endpoint.host for endpoint in fleet.endpoints]
        self.publish(fleet, 1, names)
        fleet.network.timers.advance(90.0)
        before_s = fleet.network.timers.wall()
        self.publish(fleet, 2, names[:19])
        fleet.network.timers.advance(20.0)
        for host in names[:19]:
            held_since_s = [
                fleet.members[host].find_list_held_since(n, 2) for n in names
            ]
            self.assertEqual(None, held_since_s[19])
            self.assertTrue(all(before_s <= at_s for at_s in held_since_s[:19]))
            older_s = [fleet.members[host].find_list_held_since(n, 1) for n in names]
            self.assertTrue(all(at_s < before_s for at_s in older_s))

    def test_restart_discards_list_version(self):
        """A host that restarts with an older list is known to have that one.

        This also holds if its wall clock was set back in between.
        """
        for offset_s in (0.0, -1000.0):
            with self.subTest(offset_s=offset_s):
                self.restart_with_older_list(offset_s)

    def restart_with_older_list(self, offset_s: float) -> None:
        """Restart a host with an older list and an offset of its wall clock."""
        fleet = Fleet(add_members, 8, 1)
        names = [endpoint.host for endpoint in fleet.endpoints]
        for version in (1, 2):
            self.publish(fleet, version, names)
            fleet.network.timers.advance(90.0)
        fleet.stop("h7")
        fleet.network.wall_offsets_s["h7"] = offset_s
        fleet.network.timers.advance(3.0)
        fleet.start(fleet.endpoints[7], fleet.endpoints)
        self.publish(fleet, 1, ["h7"])
        fleet.network.timers.advance(90.0)
        for host in names[:7]:
            self.assertEqual(None, fleet.members[host].find_list_held_since("h7", 2))
            self.assertNotEqual(None, fleet.members[host].find_list_held_since("h7", 1))
        self.assertTrue(fleet.views_agree())
