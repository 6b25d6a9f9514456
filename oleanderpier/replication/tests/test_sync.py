"""Tests of the sync between hosts and of the watch of the platform."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.exception import PlatformError, RevisionCompactedError
from oleanderpier.replication import (
    Item,
    ItemsUpdate,
    Replica,
    ReplicaSync,
    WatchTiming,
    maintain_replica,
)
from oleanderpier.utils import LoopTimers, ManualTimers, run_coroutine

SPACE = "configuration"


class Network:
    """Hosts whose messages are delivered immediately, on manual time."""

    def __init__(self, hosts: int, *outlasts) -> None:
        self.timers = ManualTimers()
        self.replicas = {
            f"h{n}": Replica(SPACE, self.timers, *outlasts) for n in range(hosts)
        }
        self.followers: dict[str, list[str]] = {}
        self.sent_count = 0
        self.syncs = {
            host: ReplicaSync(
                {SPACE: replica},
                self.timers,
                _Outbox(self, host),
                lambda host=host: self.followers.get(host, []),
            )
            for host, replica in self.replicas.items()
        }

    def run(self, rounds: int) -> None:
        """Let all hosts report every quarter of a second."""
        for _ in range(rounds):
            self.report()
            self.timers.advance(0.25)

    def publish(self, host: str, revision: int, value: bytes) -> None:
        """Let one host receive a value from the platform."""
        replica = self.replicas[host]
        items = [Item("routes", revision, value)]
        update = ItemsUpdate(SPACE, replica.as_of, revision, False, items)
        replica.apply(update, "platform")
        replica.confirm_current()

    def report(self) -> None:
        """Let every host send its summaries to every other one."""
        for host, sync in self.syncs.items():
            for other in self.syncs:
                if other != host:
                    self.syncs[other].receive_summaries(host, sync.summarize())

    def list_values(self) -> list[bytes]:
        """Return each host's value, empty for none."""
        items = [replica.get("routes") for replica in self.replicas.values()]
        return [item.value if item else b"" for item in items]


class UnknownDeletionTest(TestCase):
    """A host that has read a snapshot does not know what was deleted before it."""

    def make_network(self) -> Network:
        """Return a network in which h0 has a key that is deleted, and h2 no state."""
        network = Network(3)
        for host in ("h0", "h1"):
            items = [Item("routes", 40, b"r"), Item("s", 41, b"1")]
            first = ItemsUpdate(SPACE, 0, 50, True, items)
            network.replicas[host].apply(first, "platform")
            network.replicas[host].confirm_current()
        return network

    def start_host(self, network: Network) -> None:
        """Let h2 read a snapshot after the deletion."""
        snapshot = ItemsUpdate(SPACE, 0, 60, True, [Item("routes", 40, b"r")])
        network.replicas["h2"].apply(snapshot, "platform")
        network.replicas["h2"].confirm_current()

    def test_deletion_before_a_snapshot_is_not_hidden(self):
        """The host that saw the deletion reports after the one that did not."""
        network = self.make_network()
        self.start_host(network)
        network.syncs["h0"].receive_summaries("h2", network.syncs["h2"].summarize())
        deletion = ItemsUpdate(SPACE, 50, 58, False, [Item("s", 58, None)])
        network.replicas["h1"].apply(deletion, "platform")
        network.run(4)
        self.assertIsNone(network.replicas["h0"].get("s"))

    def test_deletion_that_only_a_snapshot_shows_is_learnt(self):
        """No host saw the deletion itself."""
        network = self.make_network()
        self.start_host(network)
        network.run(8)
        found = [replica.get("s") for replica in network.replicas.values()]
        self.assertEqual([None] * 3, found)

    def test_push_after_a_snapshot_does_not_hide_a_deletion(self):
        """The host that read the snapshot watches, and tells of the next change."""
        network = self.make_network()
        network.followers["h2"] = ["h0", "h1"]
        self.start_host(network)
        network.publish("h2", 62, b"r2")
        network.run(8)
        found = [replica.get("s") for replica in network.replicas.values()]
        self.assertEqual([None] * 3, found)
        self.assertEqual([b"r2"] * 3, network.list_values())

    def test_older_snapshot_of_a_peer_does_not_restore_a_key(self):
        """The key was deleted before the snapshot that this host has read."""
        network = self.make_network()
        self.start_host(network)
        older = network.replicas["h0"].list_changes_since(0)
        network.replicas["h2"].apply(older, "h0")
        self.assertIsNone(network.replicas["h2"].get("s"))

    def test_host_without_state_confirms_nothing(self):
        """Its summary is not the begin of an outage that the first answer ends."""
        replica = Replica(SPACE, ManualTimers())
        calls = []
        replica.subscribe_confirmed(lambda *times: calls.append(times))
        replica.apply_summary(0, 0, 3600.0)
        self.assertEqual([], calls)


class _Outbox:
    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def send(self, host: str, message) -> bool:
        self._network.sent_count += 1
        self._network.syncs[host].receive_message(self._host, message)
        return True


class ReplicaSyncTest(TestCase):
    """Hosts that the platform does not reach are updated by the others."""

    def test_hosts_behind_query_peers(self):
        """A value that one host has reaches all within two reports."""
        network = Network(8)
        network.publish("h3", 10, b"v1")
        network.report()
        self.assertEqual([b"v1"] * 8, network.list_values())
        network.publish("h5", 20, b"v2")
        network.report()
        network.timers.advance(0.25)
        network.report()
        self.assertEqual([b"v2"] * 8, network.list_values())

    def test_lagging_host_restores_no_old_value(self):
        """A host that is behind does not overwrite a newer value at its peers."""
        network = Network(3)
        network.publish("h0", 10, b"v1")
        network.report()
        network.publish("h1", 20, b"v2")
        for _ in range(3):
            network.timers.advance(0.25)
            network.report()
        self.assertEqual([b"v2"] * 3, network.list_values())

    def test_changes_are_pushed_to_followers(self):
        """Hosts that do not watch the platform get changes without a query."""
        network = Network(3)
        network.followers["h0"] = ["h1", "h2"]
        network.publish("h0", 10, b"v1")
        self.assertEqual([b"v1"] * 3, network.list_values())
        self.assertEqual(2, network.sent_count)

    def test_age_is_set_to_that_of_peer(self):
        """A replica that equals a peer's is as old as the peer's."""
        network = Network(2)
        network.publish("h0", 10, b"v1")
        network.report()
        network.timers.advance(1.0)
        network.report()
        self.assertAlmostEqual(1.0, network.replicas["h1"].get_age_s(), places=3)


class _FakeStore:
    """A platform that returns or raises prepared results, one per call.

    Without a result left it cancels the watch.
    """

    def __init__(self, results: list) -> None:
        self.results = results
        self.calls: list[str] = []

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        return self.pop_result("all")

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        return self.pop_result(f"after {after}")

    def pop_result(self, call: str):
        self.calls.append(call)
        if not self.results:
            raise asyncio.CancelledError
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class WatcherTest(TestCase):
    """The watch continues after any failure and misses no change."""

    def watch(self, results: list) -> tuple[_FakeStore, Replica, list[bool]]:
        """Run the watch until the store has no result left."""
        store, replica = _FakeStore(results), Replica(SPACE, LoopTimers())
        reachability: list[bool] = []
        timing = WatchTiming(batch_s=0.0, min_retry_s=0.001, max_retry_s=0.002)
        with _IgnoreCancellation():
            run_coroutine(
                maintain_replica(
                    replica,
                    store,
                    LoopTimers(),
                    random.Random(1),
                    lambda: True,
                    lambda space, reachable: reachability.append(reachable),
                    timing=timing,
                )
            )
        return store, replica, reachability

    def test_watch_continues_after_failures(self):
        """A failed call is repeated; a lost history leads to a snapshot."""
        store, replica, reachability = self.watch(
            [
                PlatformError("busy"),
                ItemsUpdate(SPACE, 0, 5, True, [Item("routes", 4, b"v1")]),
                PlatformError("reset"),
                ItemsUpdate(SPACE, 5, 7, False, [Item("routes", 7, b"v2")]),
                RevisionCompactedError("compacted"),
                ItemsUpdate(SPACE, 0, 9, True, [Item("routes", 9, b"v3")]),
            ]
        )
        expected = ["all", "all", "after 5", "after 5", "after 7", "all", "after 9"]
        self.assertEqual(expected, store.calls)
        self.assertEqual((b"v3", 9), (replica.get("routes").value, replica.as_of))
        self.assertEqual([False, True] * 2, reachability)


class _IgnoreCancellation:
    """Suppresses the ``CancelledError`` with which the fake store ends a run."""

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace) -> bool:
        return kind is asyncio.CancelledError
