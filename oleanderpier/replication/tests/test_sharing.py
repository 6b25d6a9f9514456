"""Tests of hosts that bring each other up to date."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.exception import PlatformError, RevisionCompactedError
from oleanderpier.replication import (
    Item,
    ItemNews,
    Replica,
    Sharing,
    WatchTimes,
    keep_replica,
)
from oleanderpier.utils import LoopTimers, ManualTimers, run_coroutine

SPACE = "configuration"


class Net:
    """Hosts whose messages arrive at once, by hand."""

    def __init__(self, hosts: int) -> None:
        self.timers = ManualTimers()
        self.replicas = {f"h{n}": Replica(SPACE, self.timers) for n in range(hosts)}
        self.followers: dict[str, list[str]] = {}
        self.sent = 0
        self.shares = {
            host: Sharing(
                {SPACE: replica},
                self.timers,
                _Outbox(self, host),
                lambda host=host: self.followers.get(host, []),
            )
            for host, replica in self.replicas.items()
        }

    def publish(self, host: str, revision: int, value: bytes) -> None:
        """Let the platform tell one host of a value."""
        replica = self.replicas[host]
        items = [Item("routes", revision, value)]
        news = ItemNews(SPACE, replica.as_of, revision, False, items)
        replica.apply(news, "platform")
        replica.confirm()

    def report(self) -> None:
        """Let every host tell every other one what it knows."""
        for host, share in self.shares.items():
            for other in self.shares:
                if other != host:
                    self.shares[other].note_peer(host, share.describe())

    def list_values(self) -> list[bytes]:
        """Return what each host holds."""
        items = [replica.get("routes") for replica in self.replicas.values()]
        return [item.value if item else b"" for item in items]


class _Outbox:
    def __init__(self, net: Net, host: str) -> None:
        self._net = net
        self._host = host

    def send(self, host: str, message) -> bool:
        self._net.sent += 1
        self._net.shares[host].handle(self._host, message)
        return True


class SharingTest(TestCase):
    """Hosts that the platform does not reach learn from the others."""

    def test_cut_off_hosts_ask(self):
        """What one host knows, all know within two reports."""
        net = Net(8)
        net.publish("h3", 10, b"v1")
        net.report()
        self.assertEqual([b"v1"] * 8, net.list_values())
        net.publish("h5", 20, b"v2")
        net.report()
        net.timers.advance(0.25)
        net.report()
        self.assertEqual([b"v2"] * 8, net.list_values())

    def test_lagging_host_reverts_nobody(self):
        """A host that lags brings nothing back."""
        net = Net(3)
        net.publish("h0", 10, b"v1")
        net.report()
        net.publish("h1", 20, b"v2")
        for _ in range(3):
            net.timers.advance(0.25)
            net.report()
        self.assertEqual([b"v2"] * 3, net.list_values())

    def test_followers_are_told(self):
        """Hosts that do not watch get what changed without asking."""
        net = Net(3)
        net.followers["h0"] = ["h1", "h2"]
        net.publish("h0", 10, b"v1")
        self.assertEqual([b"v1"] * 3, net.list_values())
        self.assertEqual(2, net.sent)

    def test_age_is_passed_on(self):
        """A host counts as up to date for as long as a peer's word allows."""
        net = Net(2)
        net.publish("h0", 10, b"v1")
        net.report()
        net.timers.advance(1.0)
        net.report()
        self.assertAlmostEqual(1.0, net.replicas["h1"].get_age_s(), places=3)


class _Store:
    """A platform whose answers are given one by one."""

    def __init__(self, answers: list) -> None:
        self.answers = answers
        self.calls: list[str] = []

    async def read_all(self, space: str) -> ItemNews:
        return self.answer("all")

    async def wait_for_news(self, space: str, after: int, wait_s: float) -> ItemNews:
        return self.answer(f"after {after}")

    def answer(self, call: str):
        self.calls.append(call)
        if not self.answers:
            raise asyncio.CancelledError
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class WatcherTest(TestCase):
    """The watch goes on after any failure, and misses nothing."""

    def watch(self, answers: list) -> tuple[_Store, Replica, list[bool]]:
        """Run the watch over some answers."""
        store, replica = _Store(answers), Replica(SPACE, LoopTimers())
        outages: list[bool] = []
        times = WatchTimes(pause_s=0.0, first_retry_s=0.001, longest_retry_s=0.002)
        with _Ends():
            run_coroutine(
                keep_replica(
                    replica,
                    store,
                    LoopTimers(),
                    random.Random(1),
                    lambda: True,
                    lambda space, answers, silent_s: outages.append(answers),
                    times=times,
                )
            )
        return store, replica, outages

    def test_failures(self):
        """A refusal is followed by the same call, a lost history by all."""
        store, replica, outages = self.watch(
            [
                PlatformError("busy"),
                ItemNews(SPACE, 0, 5, True, [Item("routes", 4, b"v1")]),
                PlatformError("reset"),
                ItemNews(SPACE, 5, 7, False, [Item("routes", 7, b"v2")]),
                RevisionCompactedError("compacted"),
                ItemNews(SPACE, 0, 9, True, [Item("routes", 9, b"v3")]),
            ]
        )
        expected = ["all", "all", "after 5", "after 5", "after 7", "all", "after 9"]
        self.assertEqual(expected, store.calls)
        self.assertEqual((b"v3", 9), (replica.get("routes").value, replica.as_of))
        self.assertEqual([False, True] * 3, outages)


class _Ends:
    """Ends a run whose store has no answer left."""

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace) -> bool:
        return kind is asyncio.CancelledError
