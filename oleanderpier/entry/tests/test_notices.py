"""Tests of how hosts tell each other of long prompts and of slow servers."""

from collections import Counter

from testtools import TestCase

from bench.emulator.outboxes import NETWORK_LATENCY_S, DelayedOutbox
from oleanderpier.entry.features import list_features
from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.notice_sender import MAX_NOTICES_PER_S
from oleanderpier.entry.prefill_notices import PrefillNotices
from oleanderpier.entry.speed_notices import SpeedNotices
from oleanderpier.fleet import NOTICES_FEATURE, PrefillNotice, SpeedNotice
from oleanderpier.routing import LoadStatement, ServerEntry, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_server
from oleanderpier.utils import ManualTimers, decode_message, encode_message

LONG_TOKENS = 11_812
READ_S = 0.125


class _Host:
    """One host, with the notices that it sends and receives.

    Attributes:
        fixture: Its servers, and what it knows of them.
        metrics: Its metrics.
        prefills: Its notices of long prompts.
        speeds: Its notices of speeds.
    """

    def __init__(self, name: str, fleet: "_Fleet") -> None:
        self.fixture = RoutingFixture(4, 0.05)
        self.metrics = EntryMetrics()
        self.receivers = lambda: [host for host in fleet.ready if host != name]
        statements = self.fixture.statements
        statements.loads.allow_permits(False)
        self.fixture.roster.subscribe_removed(statements.record_end)
        outbox = DelayedOutbox(fleet.timers, name, fleet.deliver)
        common = (self.fixture.roster.get_entry, self.receivers, fleet.timers, outbox)
        self.prefills = PrefillNotices(
            statements.prefills, lambda server, tokens: READ_S, *common, self.metrics
        )
        self.speeds = SpeedNotices(statements.loads, *common, self.metrics)

    def read(self, kind: str, event: str) -> float | None:
        """Return how many notices the metrics count."""
        return self.metrics.registry.get_sample_value(
            "oleanderpier_notices_total", {"kind": kind, "event": event}
        )


class _Fleet:
    """Hosts that exchange notices.

    Attributes:
        hosts: The hosts.
        ready: The names of those that get notices.
        received: The number of messages that each host has got.
        lost: The hosts that messages do not reach.
    """

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.hosts: dict[str, _Host] = {}
        self.received: Counter[str] = Counter()
        self.lost: set[str] = set()
        self.ready: list[str] = []
        for number in range(hosts):
            self.start_host(f"h{number}")

    def start_host(self, name: str) -> None:
        """Start a host, or start it again, so that it knows nothing."""
        self.hosts[name] = _Host(name, self)
        self.ready = list(self.hosts)

    def deliver(self, sender: str, receiver: str, message) -> None:
        """Deliver a message as the streams between hosts do."""
        if receiver in self.lost:
            return
        self.received[receiver] += 1
        message = decode_message(encode_message(message))
        host = self.hosts[receiver]
        part = host.prefills if isinstance(message, PrefillNotice) else host.speeds
        part.receive(sender, message)

    def advance(self, seconds: float) -> None:
        """Let time pass on all hosts."""
        self.timers.advance(seconds)
        for host in self.hosts.values():
            host.fixture.timers.advance(seconds)

    def send_long(self, name: str, server: str, tokens: int = LONG_TOKENS) -> None:
        """Let a host send a prompt to a server."""
        host = self.hosts[name]
        choice = host.fixture.chooser.choose(ServerQuery(ENGINE))
        entry = host.fixture.roster.get_entry(server)
        host.prefills.announce(choice._replace(server=entry, uncached_tokens=tokens))
        self.advance(NETWORK_LATENCY_S)

    def hear(self, name: str, server: ServerEntry, slow_factor: float) -> None:
        """Let a server state its speed to a host."""
        host = self.hosts[name]
        load = LoadStatement(0, 0, 16, slow_factor)
        host.fixture.statements.loads.record(server, load, self.timers.now())
        host.speeds.announce(server, slow_factor)
        self.advance(NETWORK_LATENCY_S)

    def list_remaining(self, server: str) -> list[float]:
        """Return for how long each host believes that a server reads prompts."""
        return [
            round(
                host.fixture.statements.prefills.get_remaining_s(
                    host.fixture.roster.get_entry(server), self.timers.now()
                ),
                6,
            )
            for host in self.hosts.values()
        ]

    def list_slow(self) -> list[set[str]]:
        """Return the servers that each host believes to be slow."""
        return [
            host.fixture.statements.loads.list_slow(self.timers.now())
            for host in self.hosts.values()
        ]


class PrefillNoticeTest(TestCase):
    """All hosts learn of a long prompt before they choose the next server."""

    def test_every_host_learns_of_it(self):
        """With it they would have sent the next prompt to the same server."""
        fleet = _Fleet(4)
        fleet.send_long("h1", "s2")
        # The others count from the time of the message.
        sent_s = READ_S - NETWORK_LATENCY_S
        self.assertEqual([READ_S, sent_s, READ_S, READ_S], fleet.list_remaining("s2"))
        self.assertEqual({"h0": 1, "h2": 1, "h3": 1}, fleet.received)
        self.assertEqual(1.0, fleet.hosts["h1"].read("prefill", "sent"))
        self.assertEqual(1.0, fleet.hosts["h0"].read("prefill", "received"))
        fleet.advance(READ_S)
        self.assertEqual([0.0] * 4, fleet.list_remaining("s2"))

    def test_short_prompt_is_not_told(self):
        """It delays nobody."""
        fleet = _Fleet(2)
        fleet.send_long("h1", "s2", tokens=3999)
        self.assertEqual([0.0, 0.0], fleet.list_remaining("s2"))
        self.assertFalse(fleet.received)

    def test_lost_notice(self):
        """The host that misses it learns of the next one."""
        fleet = _Fleet(3)
        fleet.lost.add("h2")
        fleet.send_long("h0", "s2")
        self.assertEqual(0.0, fleet.list_remaining("s2")[2])
        fleet.lost.clear()
        fleet.send_long("h0", "s2")
        self.assertEqual(READ_S, fleet.list_remaining("s2")[2])

    def test_host_that_restarts(self):
        """It knows nothing at first, and is told as soon as it is ready."""
        fleet = _Fleet(3)
        fleet.send_long("h0", "s2")
        fleet.start_host("h1")
        fleet.ready.remove("h1")
        fleet.send_long("h0", "s3")
        self.assertEqual(0.0, fleet.list_remaining("s2")[1])
        self.assertEqual(0.0, fleet.list_remaining("s3")[1])
        fleet.ready.append("h1")
        fleet.send_long("h0", "s3")
        self.assertEqual(READ_S, fleet.list_remaining("s3")[1])

    def test_server_that_restarted_meanwhile(self):
        """The prompt was sent to its last run."""
        for host, born_ms in (("h0", 2), ("h1", 2)):
            fleet = _Fleet(2)
            fleet.hosts[host].fixture.register_server("s2", born_ms=born_ms)
            fleet.send_long("h0", "s2")
            self.assertEqual(0.0, fleet.list_remaining("s2")[1])

    def test_notices_of_a_host_are_bounded(self):
        """At the start of a day every prompt is read for the first time."""
        fleet = _Fleet(2)
        for _ in range(MAX_NOTICES_PER_S + 5):
            fleet.send_long("h0", "s2")
        self.assertEqual({"h1": MAX_NOTICES_PER_S}, fleet.received)
        self.assertEqual(5.0, fleet.hosts["h0"].read("prefill", "omitted"))
        # The host counts its own prompts nevertheless.
        own_s, other_s = fleet.list_remaining("s2")
        self.assertGreater(own_s, other_s)
        fleet.advance(1.0)
        fleet.send_long("h0", "s2")
        self.assertEqual({"h1": MAX_NOTICES_PER_S + 1}, fleet.received)


class SpeedNoticeTest(TestCase):
    """All hosts learn that a server has become slow, and that it no longer is."""

    def test_every_host_learns_of_it(self):
        """Each of them gets a response of the server only now and then."""
        fleet, server = _Fleet(3), make_server("s1")
        fleet.hear("h0", server, 1.0)
        self.assertFalse(fleet.received)
        fleet.hear("h0", server, 2.5)
        self.assertEqual([{"s1"}] * 3, fleet.list_slow())
        fleet.hear("h1", server, 1.3)
        self.assertEqual([{"s1"}, set(), {"s1"}], fleet.list_slow())
        fleet.hear("h2", server, 1.2)
        self.assertEqual([set()] * 3, fleet.list_slow())
        self.assertEqual({"h0": 1, "h1": 2, "h2": 1}, fleet.received)

    def test_what_is_known_is_not_told_again(self):
        """All hosts get responses of the server within the same 0.3 s."""
        fleet, server = _Fleet(60), make_server("s1")
        for host in fleet.hosts:
            fleet.hear(host, server, 2.5)
        self.assertLessEqual(max(fleet.received.values()), 1)
        fleet.advance(0.3)
        fleet.hear("h5", server, 2.5)
        self.assertEqual([{"s1"}] * 60, fleet.list_slow())
        self.assertEqual(2, max(fleet.received.values()))

    def test_end_of_a_speed_that_no_longer_holds_is_not_told(self):
        """The hosts have dropped it by themselves."""
        fleet, server = _Fleet(2), make_server("s1")
        fleet.hear("h0", server, 2.5)
        fleet.advance(0.6)
        self.assertEqual([set()] * 2, fleet.list_slow())
        fleet.hear("h0", server, 1.0)
        self.assertEqual({"h1": 1}, fleet.received)

    def test_older_speed_does_not_replace_a_later_one(self):
        """A message may be on its way for long."""
        fleet, server = _Fleet(2), make_server("s1")
        fleet.advance(1.0)
        fleet.hear("h1", server, 1.0)
        fleet.deliver("h0", "h1", SpeedNotice("s1", server.born_ms, 2.5, 0.1))
        self.assertEqual(set(), fleet.list_slow()[1])
        fleet.deliver("h0", "h1", SpeedNotice("s1", server.born_ms, 2.5, 0.0))
        self.assertEqual({"s1"}, fleet.list_slow()[1])

    def test_wrong_figures_are_ignored(self):
        """They could hold for ever."""
        fleet = _Fleet(2)
        for slow_factor, age_s in (
            (float("nan"), 0.0),
            (2.5, -5.0),
            (2.5, float("nan")),
        ):
            fleet.deliver("h0", "h1", SpeedNotice("s1", 1, slow_factor, age_s))
        fleet.deliver("h0", "h1", SpeedNotice("s1", 2, 2.5, 0.0))
        self.assertEqual(set(), fleet.list_slow()[1])

    def test_notices_of_a_host_are_bounded(self):
        """All servers may become slow at once."""
        fleet = _Fleet(2)
        for number in range(MAX_NOTICES_PER_S + 2):
            fleet.hosts["h1"].fixture.register_server(f"s{number}")
            fleet.hear("h0", make_server(f"s{number}"), 2.5)
        self.assertEqual({"h1": MAX_NOTICES_PER_S}, fleet.received)
        self.assertEqual(2.0, fleet.hosts["h0"].read("speed", "omitted"))


class FeatureTest(TestCase):
    """The reports of deployments without uneven servers stay the same."""

    def test_feature_is_announced_with_uneven_services_only(self):
        """Each report has all features that a host announces."""
        self.assertNotIn(NOTICES_FEATURE, list_features(has_uneven=False))
        self.assertIn(NOTICES_FEATURE, list_features(has_uneven=True))
        loads = RoutingFixture(1).statements.loads
        self.assertFalse(loads.has_uneven())
        loads.record(make_server("s1"), LoadStatement(1, 0, 16), 0.0)
        self.assertFalse(loads.has_uneven())
        loads.record(make_server("s1"), LoadStatement(1, 0, 16, 1.0), 0.0)
        self.assertTrue(loads.has_uneven())
