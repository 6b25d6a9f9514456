"""Tests of how hosts tell each other of crashes and their causes."""

import random

from testtools import TestCase

from oleanderpier.entry.crash_gossip import (
    MAX_DELAY_S,
    REPEAT_INTERVAL_S,
    CrashGossip,
)
from oleanderpier.fleet import CrashNews
from oleanderpier.routing import CrashCauses
from oleanderpier.routing.poison import (
    ANSWERED_FACTOR,
    ANSWERED_TERM_S,
    QUARANTINE_CRASHES,
)
from oleanderpier.routing.tests.fakes import make_server
from oleanderpier.utils import ManualTimers, decode_message, encode_message
from oleanderpier.utils.codec import MAX_MESSAGE_BYTES

__all__ = ["CrashFleet"]


class CrashFleet:
    """Hosts that exchange encoded messages without delay.

    Attributes:
        sent: The sender of each message.
        cut_off: Hosts that get no messages.
    """

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.sent: list[str] = []
        self.cut_off: set[str] = set()
        self.poison: dict[str, CrashCauses] = {}
        self.gossips: dict[str, CrashGossip] = {}
        for number in range(hosts):
            self.add_host(f"h{number}")

    def add_host(self, name: str) -> None:
        """Start a host."""
        self.poison[name] = CrashCauses()
        self.gossips[name] = CrashGossip(
            self.poison[name],
            lambda: [host for host in self.gossips if host != name],
            self.timers,
            random.Random(name),
            _Outbox(self, name),
        )

    def crash(
        self, host: str, identity: str, *suspects: tuple[str, ...], born_ms: int = 5
    ) -> None:
        """Let a server crash on requests of a host."""
        now_s, server = self.timers.now(), make_server(identity, born_ms=born_ms)
        self.poison[host].record_crash(identity, born_ms, now_s, suspects)
        self.gossips[host].announce_crash(server, now_s, list(suspects))

    def answer(self, host: str, *prompt: str) -> None:
        """Let a request of a host be answered."""
        cleared = self.poison[host].record_sound(prompt, self.timers.now())
        if cleared:
            self.gossips[host].announce_sound(cleared)

    def list_parts(self, host: str) -> list[str]:
        """Return the parts that a host has quarantined."""
        return [each.key for each in self.poison[host].list_quarantines()]


class _Outbox:
    def __init__(self, fleet: CrashFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    def send(self, host: str, message: CrashNews) -> bool:
        self.send_to_all([host], message)
        return True

    def send_to_all(self, hosts: list[str], message: CrashNews) -> None:
        data = encode_message(message)
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"{len(data)} bytes, allowed {MAX_MESSAGE_BYTES}")
        decoded = decode_message(data)
        for host in hosts:
            self._fleet.sent.append(self._sender)
            if host not in self._fleet.cut_off:
                self._fleet.gossips[host].receive(self._sender, decoded)


def crash_servers(fleet: CrashFleet, hosts: list[str]) -> None:
    """Let a server crash on a request of each host in turn, a second apart."""
    for number, host in enumerate(hosts):
        fleet.answer(host, "all")
        fleet.timers.advance(1.0)
        fleet.crash(host, f"s{number}", ("all", "bad"))


class CrashGossipTest(TestCase):
    """All hosts refuse what crashed servers under requests of a few."""

    def test_crashes_at_different_hosts_are_added_up(self):
        """Each host has seen one crash, and all quarantine the part at once."""
        fleet = CrashFleet(5)
        crash_servers(fleet, ["h0", "h1", "h2"])
        for host in fleet.gossips:
            self.assertEqual(["bad"], fleet.list_parts(host), host)

    def test_response_at_one_host_clears_a_part_at_all(self):
        """The popular part is in each crash, and answered in between by one host."""
        fleet = CrashFleet(5)
        for number in range(6):
            fleet.crash(f"h{number % 5}", f"s{number}", ("all", f"own{number}"))
            fleet.answer("h3", "all")
            fleet.timers.advance(1.0)
        for host in fleet.gossips:
            self.assertEqual([], fleet.list_parts(host), host)

    def test_few_hosts_send_that_a_popular_part_was_answered(self):
        """The others have got it from them before their random delay is over."""
        fleet = CrashFleet(200)
        fleet.crash("h0", "s0", ("all", "own"))
        fleet.sent.clear()
        for host in fleet.gossips:
            fleet.answer(host, "all")
        fleet.timers.advance(MAX_DELAY_S)
        self.assertLessEqual(len(set(fleet.sent)), 5)

    def test_part_that_others_had_answered_is_not_refused(self):
        """Guards against 60 s of refusals of a part that many use, but not yet here.

        The requests that crash servers share it with sound ones.
        """
        for knowing in (["h1", "h2", "h3", "h4", "h5"], ["h4"]):
            fleet = CrashFleet(6)
            for host in knowing:
                fleet.answer(host, "all")
            fleet.timers.advance(1.0)
            for number in range(3):
                fleet.crash("h0", f"s{number}", ("all", f"own{number}"))
                fleet.timers.advance(0.5)
            fleet.timers.advance(6 * REPEAT_INTERVAL_S)
            refusing = [host for host in fleet.gossips if fleet.list_parts(host)]
            self.assertEqual([], refusing, knowing)

    def test_part_that_others_had_answered_is_refused_for_a_short_term(self):
        """If it was in as many crashes as it takes then."""
        fleet = CrashFleet(3)
        fleet.answer("h1", "all")
        fleet.timers.advance(1.0)
        for number in range(ANSWERED_FACTOR * QUARANTINE_CRASHES):
            fleet.crash("h0", f"s{number}", ("all", f"own{number}"))
            fleet.timers.advance(0.5)
        quarantines = fleet.poison["h0"].list_quarantines()
        self.assertEqual([ANSWERED_TERM_S], [each.term_s for each in quarantines])

    def test_newcomer_gets_all(self):
        """It refuses the part, and counts the crashes before its start."""
        fleet = CrashFleet(2)
        crash_servers(fleet, ["h0", "h1", "h0"])
        fleet.crash("h0", "t0", ("all", "worse"))
        fleet.timers.advance(1.0)
        fleet.crash("h0", "t1", ("all", "worse"))
        fleet.add_host("h2")
        fleet.gossips["h0"].send_all("h2")
        self.assertEqual(["bad"], fleet.list_parts("h2"))
        fleet.answer("h2", "all")
        fleet.timers.advance(1.0)
        fleet.crash("h2", "t2", ("all", "worse"))
        self.assertEqual(["bad", "worse"], sorted(fleet.list_parts("h2")))

    def test_newcomer_gets_crashes_on_long_prompts(self):
        """All of them are more than a message holds."""
        fleet = CrashFleet(1)
        for number in range(12):
            prompts = [
                (*[f"long{number}-{each}-{part:08d}" for part in range(400)], "bad")
                for each in range(40)
            ]
            fleet.crash("h0", f"s{number}", *prompts)
            fleet.timers.advance(1.0)
        fleet.add_host("h1")
        fleet.gossips["h0"].send_all("h1")
        self.assertEqual(["bad"], fleet.list_parts("h1"))
        self.assertEqual(
            fleet.poison["h0"].list_crashes()[-1].suspects,
            fleet.poison["h1"].list_crashes()[-1].suspects,
        )

    def test_host_that_missed_the_messages_gets_the_quarantine_later(self):
        """The others repeat it."""
        fleet = CrashFleet(3)
        fleet.cut_off.add("h2")
        crash_servers(fleet, ["h0", "h1", "h0"])
        self.assertEqual([], fleet.list_parts("h2"))
        fleet.cut_off.clear()
        for _ in range(10):
            fleet.timers.advance(REPEAT_INTERVAL_S)
        self.assertEqual(["bad"], fleet.list_parts("h2"))

    def test_host_that_missed_an_answer_gets_it_later(self):
        """It repeats the quarantine to hosts that know of the answer."""
        fleet = CrashFleet(3)
        crash_servers(fleet, ["h0", "h1", "h0"])
        fleet.timers.advance(1.0)
        fleet.cut_off.add("h2")
        fleet.answer("h0", "bad")
        fleet.timers.advance(MAX_DELAY_S)
        fleet.cut_off.clear()
        self.assertEqual([[], [], ["bad"]], list(map(fleet.list_parts, fleet.gossips)))
        fleet.timers.advance(2 * REPEAT_INTERVAL_S)
        self.assertEqual([[], [], []], list(map(fleet.list_parts, fleet.gossips)))

    def test_newcomer_gets_quarantines_without_their_crashes(self):
        """The host that sends them was told of the quarantines alone."""
        fleet = CrashFleet(3)
        fleet.cut_off.add("h2")
        crash_servers(fleet, ["h0", "h1", "h0"])
        fleet.cut_off.clear()
        for _ in range(10):
            fleet.timers.advance(REPEAT_INTERVAL_S)
        self.assertEqual([], fleet.poison["h2"].list_crashes())
        fleet.add_host("h3")
        fleet.gossips["h2"].send_all("h3")
        self.assertEqual(["bad"], fleet.list_parts("h3"))

    def test_nothing_is_sent_without_crashes(self):
        """A host that knows of none sends a newcomer nothing."""
        fleet = CrashFleet(3)
        fleet.gossips["h0"].send_all("h1")
        fleet.timers.advance(10.0)
        self.assertEqual([], fleet.sent)
