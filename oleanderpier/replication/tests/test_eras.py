"""Tests of replicas whose store returns from a copy that is some seconds old."""

import itertools

from testtools import TestCase

from oleanderpier.exception import RevisionCompactedError
from oleanderpier.replication import (
    PLATFORM,
    Item,
    ItemsUpdate,
    Replica,
    ReplicaSync,
    get_era,
    make_position,
    mark_retained,
)
from oleanderpier.replication.tests.test_sync import Network, WatcherTest
from oleanderpier.utils import ManualTimers

SPACE = "servers"


def make_update(
    era: int, after: int, as_of: int, *items: tuple, is_snapshot: bool = False
) -> ItemsUpdate:
    """Return an update whose revisions are all of one era.

    Args:
        era: The era.
        after: The revision before the update.
        as_of: The revision after it.
        items: Tuples of key, revision and value.
        is_snapshot: Whether the items are the whole key space.
    """
    return ItemsUpdate(
        SPACE,
        make_position(era, after) if after else 0,
        make_position(era, as_of),
        is_snapshot,
        [Item(key, make_position(era, rev), value) for key, rev, value in items],
    )


def make_replica(outlasts=None) -> Replica:
    """Return a replica at revision 50 of the first era.

    It has a value and a server that the copy lacks, and knows of a deletion.
    """
    timers = ManualTimers()
    replica = Replica(SPACE, timers, outlasts) if outlasts else Replica(SPACE, timers)
    first = make_update(
        1, 0, 40, ("k", 30, b"old"), ("gone", 31, b"1"), is_snapshot=True
    )
    replica.apply(first, PLATFORM)
    lost = [("k", 50, b"lost"), ("s", 48, b"ghost"), ("gone", 49, None)]
    replica.apply(make_update(1, 40, 50, *lost), PLATFORM)
    return replica


COPY = make_update(
    2, 0, 42, ("k", 41, b"written again"), ("gone", 31, b"1"), is_snapshot=True
)


class ReplicaEraTest(TestCase):
    """The era goes before the revision."""

    def list_values(self, replica: Replica) -> dict[str, bytes]:
        """Return the values of a replica by key."""
        return {item.key: item.value for item in replica.list_items()}

    def test_lost_values_are_dropped(self):
        """Neither a value nor a key of the lost seconds is kept."""
        replica = make_replica()
        replica.apply(COPY, PLATFORM)
        self.assertEqual({"k": b"written again"}, self.list_values(replica))
        # It knows a deletion that the copy lacks.
        self.assertEqual(mark_retained(make_position(2, 42)), replica.as_of)

    def test_late_answer_of_earlier_era_changes_nothing(self):
        """Updates of the earlier era are ignored, whatever their revision."""
        replica = make_replica()
        replica.apply(COPY, PLATFORM)
        for is_snapshot in (True, False):
            late = make_update(
                1, 0, 60, ("s", 55, b"ghost"), ("k", 56, b"x"), is_snapshot=is_snapshot
            )
            replica.apply(late, PLATFORM)
        self.assertEqual({"k": b"written again"}, self.list_values(replica))

    def test_updates_in_any_order_lead_to_same_state(self):
        """Two eras arrive in any order, each update twice."""
        updates = [
            COPY,
            make_update(1, 50, 51, ("s", 51, b"later ghost")),
            make_update(2, 42, 43, ("new", 43, b"n")),
            make_update(1, 0, 52, ("k", 52, b"lost"), is_snapshot=True),
        ]
        for order in itertools.permutations(updates):
            replica = make_replica()
            for update in (*order, *order):
                replica.apply(update, "h")
            values = self.list_values(replica)
            values.pop("gone", None)
            self.assertEqual({"k": b"written again", "new": b"n"}, values)

    def test_deleted_key_of_copy_stays_deleted(self):
        """A key that was deleted in the lost seconds returns only if written again."""
        replica = make_replica()
        replica.apply(COPY, PLATFORM)
        self.assertIsNone(replica.get("gone"))
        replica.apply(make_update(2, 42, 45, ("gone", 45, b"1")), PLATFORM)
        self.assertEqual(b"1", replica.get("gone").value)

    def test_retained_value_passes_to_hosts_with_the_copy(self):
        """A value that outlasts the copy replaces it at a host that read the copy."""
        replica = make_replica(
            lambda current, other, era_changed: era_changed and other is not None
        )
        replica.apply(COPY, PLATFORM)
        item = replica.get("k")
        self.assertEqual(b"lost", item.value)
        self.assertEqual(mark_retained(make_position(2, 42)), item.revision)
        started = Replica(SPACE, ManualTimers())
        started.apply(COPY, PLATFORM)
        started.apply(replica.list_changes_since(0), "h1")
        started.apply(replica.list_tombstones(), "h1")
        self.assertEqual({"k": b"lost"}, self.list_values(started))
        started.apply(COPY, PLATFORM)
        self.assertEqual({"k": b"lost"}, self.list_values(started))

    def test_summary_of_later_era_is_not_enough(self):
        """A peer without any change in the later era is queried for its snapshot."""
        replica = make_replica()
        self.assertFalse(replica.apply_summary(make_position(2, 42), 0, 0.0))
        self.assertEqual(make_position(1, 50), replica.as_of)

    def test_era_callback_precedes_changes(self):
        """Subscribers learn of the era before the deletions that follow from it."""
        replica = make_replica()
        calls: list[str] = []
        replica.subscribe_era(lambda: calls.append("era"))
        replica.subscribe(lambda change: calls.append("change"))
        replica.apply(COPY, PLATFORM)
        replica.apply(COPY, PLATFORM)
        self.assertEqual(["era", "change"], calls)


class SyncEraTest(TestCase):
    """Hosts that cannot reach the store learn of the era from their peers."""

    def test_two_eras_end_within_a_spread(self):
        """One host in the new era brings all others there, without a changed value."""
        network = Network(5)
        for host, era, revision in (("h0", 1, 50), ("h3", 2, 41)):
            snapshot = ItemsUpdate(
                "configuration",
                0,
                make_position(era, revision + 1),
                True,
                [Item("routes", make_position(era, revision), b"v1")],
            )
            network.replicas[host].apply(snapshot, PLATFORM)
            for _ in range(6):
                network.report()
                network.timers.advance(0.25)
        eras = {get_era(replica.as_of) for replica in network.replicas.values()}
        self.assertEqual({2}, eras)
        network.publish("h0", make_position(2, 44), b"v2")
        for _ in range(6):
            network.report()
            network.timers.advance(0.25)
        self.assertEqual([b"v2"] * 5, network.list_values())

    def test_host_that_read_the_copy_first_gets_retained_values(self):
        """All others learn of the era from it, and they know a later value."""
        network = Network(3, lambda current, other, era_changed: current > other)
        for host, era, value in (
            ("h0", 1, b"v2"),
            ("h1", 1, b"v2"),
            ("h2", 2, b"v1"),
        ):
            snapshot = make_update(era, 0, 42, ("routes", 41, value), is_snapshot=True)
            network.replicas[host].apply(snapshot, PLATFORM)
        for _ in range(6):
            network.report()
            network.timers.advance(0.25)
        self.assertEqual([b"v2"] * 3, network.list_values())
        network.publish("h2", make_position(2, 43), b"v3")
        for _ in range(6):
            network.report()
            network.timers.advance(0.25)
        self.assertEqual([b"v3"] * 3, network.list_values())

    def test_deletion_is_retained_over_the_copy_of_another_host(self):
        """The host that read the copy first has a key that the others know is gone."""
        network = Network(3)
        for host in ("h0", "h1"):
            for update in (
                make_update(1, 0, 40, ("s", 31, b"1"), is_snapshot=True),
                make_update(1, 40, 50, ("s", 50, None)),
            ):
                network.replicas[host].apply(update, PLATFORM)
        copy = make_update(2, 0, 42, ("s", 31, b"1"), is_snapshot=True)
        network.replicas["h2"].apply(copy, PLATFORM)
        for _ in range(6):
            network.report()
            network.timers.advance(0.25)
        found = [replica.get("s") for replica in network.replicas.values()]
        self.assertEqual([None] * 3, found)

    def test_neighbours_get_retained_deletions(self):
        """A host does not take the copy's key from another one afterwards."""
        replica, sent = make_replica(), []
        outbox = RecordingOutbox(sent)
        ReplicaSync({SPACE: replica}, ManualTimers(), outbox, list, lambda: ["h2"])
        replica.apply(COPY, PLATFORM)
        follower = make_replica()
        for update in sent:
            follower.apply(update, "h0")
        follower.apply(COPY, "h1")
        self.assertIsNone(follower.get("gone"))


class RecordingOutbox:
    """Records messages.

    Args:
        sent: The list to which messages are appended.
    """

    def __init__(self, sent: list) -> None:
        self._sent = sent

    def send(self, host: str, message) -> bool:
        """Record a message."""
        self._sent.append(message)
        return True


class WatchEraTest(WatcherTest):
    """A watch shows by the era that its revision was given out again."""

    def test_watch_continues_after_failures(self):
        """The position of the watch is gone, and the store is in a new era."""
        old = ItemsUpdate(
            "configuration",
            0,
            make_position(1, 50),
            True,
            [Item("routes", make_position(1, 50), b"lost")],
        )
        copy = ItemsUpdate(
            "configuration",
            0,
            make_position(2, 42),
            True,
            [Item("routes", make_position(2, 41), b"again")],
        )
        store, replica, _ = self.watch([old, RevisionCompactedError("410"), copy])
        self.assertEqual("all", store.calls[2])
        self.assertEqual(b"again", replica.get("routes").value)

    def test_reused_revision_needs_snapshot(self):
        """A response of a later era to a watch is not applied; a snapshot is read."""
        old = ItemsUpdate("configuration", 0, make_position(1, 50), True, [])
        missed = ItemsUpdate(
            "configuration", make_position(1, 50), make_position(2, 55), False, []
        )
        copy = ItemsUpdate(
            "configuration",
            0,
            make_position(2, 55),
            True,
            [Item("routes", make_position(2, 45), b"again")],
        )
        store, replica, _ = self.watch([old, missed, copy])
        self.assertEqual("all", store.calls[2])
        self.assertEqual(b"again", replica.get("routes").value)

    def test_response_of_earlier_era_is_refused(self):
        """A snapshot of an earlier era that arrives late counts as a failure."""
        new = ItemsUpdate("configuration", 0, make_position(2, 42), True, [])
        late = ItemsUpdate(
            "configuration", make_position(2, 42), make_position(1, 60), False, []
        )
        _, replica, reachability = self.watch([new, late, late])
        self.assertEqual(make_position(2, 42), replica.as_of)
        self.assertIn(False, reachability)
