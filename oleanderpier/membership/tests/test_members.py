"""Fault cases of failure detection, on a naive baseline and on the real one."""

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

DETECTION_S = 15.0
HEALING_S = 30.0


class FalseDeath(NamedTuple):
    """A host took another one for dead, though that one was running."""

    at_s: float
    observer: str
    subject: str


def add_naive_members(
    network: FakeNetwork, card: HostEndpoint, seeds: list[HostEndpoint]
):
    """Start a host with the naive baseline."""
    return NaiveMembers(card, network.add(card.host), seeds)


class Fleet:
    """Hosts under test, with all deaths of running hosts noted."""

    def __init__(self, add: Callable, hosts: int, seed: int, loss_ratio: float = 0.0):
        self.network = FakeNetwork(seed, loss_ratio=loss_ratio)
        self.cards = make_endpoints(hosts, 3)
        self.add = add
        self.gone: set[str] = set()
        self.deaths: list[FalseDeath] = []
        self.members = {}
        for card in self.cards:
            self.start(card, self.cards)

    def start(self, card: HostEndpoint, seeds: list[HostEndpoint]) -> None:
        """Start a host, or start it anew."""
        members = self.add(self.network, card, seeds)
        members.subscribe(lambda host, state: self.record_death(card.host, host, state))
        self.members[card.host] = members
        self.gone.discard(card.host)

    def record_death(self, observer: str, subject: str, state: MemberState) -> None:
        """Note a death of a host that is not gone."""
        if state is MemberState.DEAD and subject not in self.gone:
            self.deaths.append(FalseDeath(self.network.timers.now(), observer, subject))

    def stop(self, host: str) -> None:
        """End a host's process."""
        self.gone.add(host)
        self.network.stop(host)

    def views_agree(self) -> bool:
        """Return whether every running host knows just the running ones."""
        running = {card.host for card in self.cards} - self.gone
        return all(set(self.members[h].list_alive()) == running for h in running)


def lose_messages(fleet: Fleet) -> None:
    """A twentieth of all messages is lost for five minutes."""
    fleet.network.loss_ratio = 0.05
    fleet.network.timers.advance(300.0)


def pause_host(fleet: Fleet) -> None:
    """A process stands still for half a minute and wakes with an old view."""
    fleet.network.pause("h3")
    fleet.gone.add("h3")
    fleet.network.timers.advance(30.0)
    fleet.network.resume("h3")
    fleet.network.timers.advance(5.0)
    fleet.gone.discard("h3")
    fleet.network.timers.advance(HEALING_S)


def cut_one_way(fleet: Fleet) -> None:
    """Nothing passes from one host to another, all else does."""
    fleet.network.block(["h1"], ["h2"])
    fleet.network.timers.advance(120.0)


def slow_host(fleet: Fleet) -> None:
    """A host takes 0.6 s to take in each message."""
    fleet.network.receive_delays_s["h2"] = 0.6
    fleet.network.timers.advance(120.0)


def flap_host(fleet: Fleet) -> None:
    """A host is restarted again and again."""
    for _ in range(6):
        fleet.stop("h4")
        fleet.network.timers.advance(3.0)
        fleet.start(fleet.cards[4], fleet.cards)
        fleet.network.timers.advance(6.0)
    fleet.network.timers.advance(HEALING_S)


def split_fleet(fleet: Fleet) -> None:
    """The fleet is cut in two for a minute, then whole again."""
    one, two = ["h0", "h1", "h2", "h3"], ["h4", "h5", "h6"]
    fleet.network.block(one, two)
    fleet.network.block(two, one)
    fleet.gone.update(one + two)
    fleet.network.timers.advance(60.0)
    fleet.gone.clear()
    fleet.network.blocked.clear()
    fleet.network.timers.advance(HEALING_S)


def add_unlisted(fleet: Fleet) -> None:
    """A new host is on the lists of some hosts only."""
    card = HostEndpoint("h9", "domain-0", "10.0.0.9", 7000)
    fleet.cards.append(card)
    fleet.start(card, fleet.cards[:2])
    fleet.network.timers.advance(HEALING_S)


def restart_with_old_seeds(fleet: Fleet) -> None:
    """A host starts anew with a list that has one live host and two gone."""
    fleet.stop("h6")
    gone = [HostEndpoint(f"old{i}", "domain-1", "10.9.0.1", 7000) for i in range(2)]
    fleet.gone.update(card.host for card in gone)
    fleet.network.timers.advance(2.0)
    fleet.start(fleet.cards[6], [fleet.cards[0], *gone])
    fleet.network.timers.advance(HEALING_S)


def stop_host(fleet: Fleet) -> None:
    """A host ends without a word."""
    fleet.stop("h5")
    fleet.network.timers.advance(DETECTION_S)


FAULTS = [
    lose_messages,
    pause_host,
    cut_one_way,
    slow_host,
    flap_host,
    split_fleet,
    add_unlisted,
    restart_with_old_seeds,
    stop_host,
]
NAIVE_FAILS = {
    "lose_messages",
    "pause_host",
    "cut_one_way",
    "flap_host",
    "add_unlisted",
    "restart_with_old_seeds",
}
SEEDS = range(1, 11)


def run_fault(add: Callable, fault: Callable[[Fleet], None], seed: int) -> list[str]:
    """Return what went wrong when a fault was brought about."""
    fleet = Fleet(add, 7, seed)
    fleet.network.timers.advance(10.0)
    fault(fleet)
    wrong = [f"{d.observer} took {d.subject} for dead" for d in fleet.deaths]
    return wrong if fleet.views_agree() else [*wrong, "views differ at the end"]


def list_cases() -> Iterator[tuple[Callable[[Fleet], None], int]]:
    """Yield each fault with each seed."""
    for fault in FAULTS:
        for seed in SEEDS:
            yield fault, seed


class FaultTest(TestCase):
    """No running host is taken for dead, and the views agree again."""

    def test_baseline_fails(self):
        """The naive baseline fails just the faults it is known to fail."""
        failed = {
            fault.__name__
            for fault, s in list_cases()
            if run_fault(add_naive_members, fault, s)
        }
        self.assertEqual(NAIVE_FAILS, failed)

    def test_members_pass(self):
        """The real one passes every fault with every seed."""
        for fault, seed in list_cases():
            with self.subTest(fault=fault.__name__, seed=seed):
                self.assertEqual([], run_fault(add_members, fault, seed))

    def test_bytes_are_bounded(self):
        """Four times the hosts cost less than twice the bytes a host."""
        rates = []
        for hosts in (16, 64):
            fleet = Fleet(add_members, hosts, 1)
            fleet.network.timers.advance(60.0)
            fleet.network.sent_bytes.clear()
            fleet.network.timers.advance(60.0)
            rates.append(fleet.network.sent_bytes.total() / 60.0 / hosts)
        self.assertLess(rates[1], 2 * rates[0])
        self.assertLess(rates[1], 10_000)

    def test_leave(self):
        """A host that leaves is known to have left, at once on all."""
        fleet = Fleet(add_members, 8, 1)
        fleet.network.timers.advance(10.0)
        fleet.members["h3"].leave()
        fleet.network.timers.advance(3.0)
        states = {m.find_state("h3") for m in fleet.members.values()}
        self.assertEqual({MemberState.LEFT}, states)


class ListVersionTest(TestCase):
    """Who has which hosts list, and since when."""

    def publish(self, fleet: Fleet, version: int, hosts: list[str]) -> None:
        """Bring a hosts list to some hosts."""
        value = make_hosts_document(fleet.cards, version)
        for host in hosts:
            fleet.members[host].apply_list(check_document("hosts", value))

    def test_list_version_is_learnt(self):
        """What one host adopts all others learn, and nothing before."""
        fleet = Fleet(add_members, 20, 1, loss_ratio=0.05)
        names = [card.host for card in fleet.cards]
        self.publish(fleet, 1, names)
        fleet.network.timers.advance(90.0)
        before_s = fleet.network.timers.wall()
        self.publish(fleet, 2, names[:19])
        fleet.network.timers.advance(20.0)
        for host in names[:19]:
            adopted = [fleet.members[host].find_list_held_since(n, 2) for n in names]
            self.assertEqual(None, adopted[19])
            self.assertTrue(all(before_s <= at_s for at_s in adopted[:19]))
            older = [fleet.members[host].find_list_held_since(n, 1) for n in names]
            self.assertTrue(all(at_s < before_s for at_s in older))

    def test_restart_forgets_list_version(self):
        """A host that restarts with an older list counts as having that.

        That holds also if its clock was set back meanwhile.
        """
        for offset_s in (0.0, -1000.0):
            with self.subTest(offset_s=offset_s):
                self.restart_with_older_list(offset_s)

    def restart_with_older_list(self, offset_s: float) -> None:
        """Restart a host with an older list and a clock that is wrong."""
        fleet = Fleet(add_members, 8, 1)
        names = [card.host for card in fleet.cards]
        for version in (1, 2):
            self.publish(fleet, version, names)
            fleet.network.timers.advance(90.0)
        fleet.stop("h7")
        fleet.network.wall_offsets_s["h7"] = offset_s
        fleet.network.timers.advance(3.0)
        fleet.start(fleet.cards[7], fleet.cards)
        self.publish(fleet, 1, ["h7"])
        fleet.network.timers.advance(90.0)
        for host in names[:7]:
            self.assertEqual(None, fleet.members[host].find_list_held_since("h7", 2))
            self.assertNotEqual(None, fleet.members[host].find_list_held_since("h7", 1))
        self.assertTrue(fleet.views_agree())
