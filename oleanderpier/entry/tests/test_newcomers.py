"""Tests of what hosts send one that has just started, without other processes."""

from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from oleanderpier.entry import EntryNode
from oleanderpier.entry.features import FEATURES
from oleanderpier.entry.newcomers import URGENT_SENDER_COUNT, NewcomerUpdates
from oleanderpier.entry.tests.test_node import SETTINGS
from oleanderpier.fleet import CrashNews, HostReport
from oleanderpier.replication import ReplicaSummary
from oleanderpier.routing.poison import QUARANTINE_CRASHES
from oleanderpier.utils import ManualTimers, rank_candidates, run_coroutine

OWN = SETTINGS.peer_address
OTHER = "127.0.0.1:4001"
REQUEST = "request:1"


def make_report(ready: bool, features: dict[str, ReplicaSummary]) -> HostReport:
    """Return the report of a host."""
    return HostReport("127.0.0.1:9", ready, True, features, {}, [])


def find_newcomer(first: str) -> str:
    """Return a host for which a host, of two, is selected to send the updates."""
    hosts = (f"127.0.0.1:{port}" for port in range(5000, 6000))
    return next(
        host for host in hosts if rank_candidates(host, [OWN, OTHER])[0] == first
    )


async def list_news(
    state: str, first: str, features: dict[str, ReplicaSummary], crashes: int
) -> list[CrashNews]:
    """Return the news that a host in a state sends a newcomer.

    Args:
        state: The state of the host.
        first: The host that is selected among the ready ones.
        features: What the newcomer announces.
        crashes: How many servers have crashed on a request.
    """
    node = EntryNode(SETTINGS, None, None)
    sent: list[tuple[str, Any]] = []
    node.mesh.send = lambda host, message: sent.append((host, message))
    node.state = state
    node.view.receive_report(OTHER, make_report(True, FEATURES))
    now_s = node.timers.now()
    for number in range(crashes):
        at_s = now_s - 3.0 + number
        node.exchange.poison.record_crash(f"s{number}", 1, at_s, [(REQUEST,)])
    newcomer = find_newcomer(first)
    node.view.receive_report(newcomer, make_report(False, features))
    return [
        message
        for host, message in sent
        if host == newcomer and isinstance(message, CrashNews)
    ]


class QuarantinesTest(TestCase):
    """A host that has just started learns which requests crash servers.

    Guards against a request that reaches servers after a restart, since each of the
    others takes another one for the host that has to tell.
    """

    def list_keys(self, state: str, first: str) -> list[str]:
        """Return the quarantined keys that a host sends a newcomer."""
        sending = list_news(state, first, FEATURES, QUARANTINE_CRASHES)
        return [
            each.part for news in run_coroutine(sending) for each in news.quarantines
        ]

    def test_host_that_is_not_selected_sends_quarantines(self):
        """The selected one may drain, may have failed or hear of the newcomer late."""
        self.assertEqual([REQUEST], self.list_keys("ready", OTHER))

    def test_draining_host_sends_quarantines(self):
        """The others still take it for ready for as long as its report is valid."""
        for first in (OWN, OTHER):
            self.assertEqual([REQUEST], self.list_keys("draining", first), first)

    def test_few_hosts_of_a_large_fleet_send_quarantines(self):
        """All of them would fill the link of the host that starts."""
        hosts = [f"127.0.0.1:{port}" for port in range(5000, 5050)]
        sent = []
        for own in hosts:
            updates = NewcomerUpdates(
                own,
                lambda: hosts,
                SimpleNamespace(list_entries=list),
                (),
                ManualTimers(),
                None,
                (),
                (sent.append,),
            )
            updates.send("127.0.0.1:6000")
        self.assertEqual(URGENT_SENDER_COUNT - 1, len(sent))

    def test_selected_host_sends_quarantines_once(self):
        """They are among the updates that it sends."""
        self.assertEqual([REQUEST], self.list_keys("ready", OWN))

    def test_nothing_is_sent_without_quarantines(self):
        """Crashes that are too few for one are sent by the selected host alone."""
        for crashes in (0, 1):
            sending = list_news("ready", OTHER, FEATURES, crashes)
            self.assertEqual([], run_coroutine(sending))

    def test_host_of_an_earlier_version_is_sent_nothing(self):
        """It cannot read the message, and would close the stream."""
        sending = list_news("ready", OTHER, {}, QUARANTINE_CRASHES)
        self.assertEqual([], run_coroutine(sending))
