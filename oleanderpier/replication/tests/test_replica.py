"""Tests that a replica's revisions only rise, in whatever order updates arrive."""

import itertools
import random

from testtools import TestCase

from oleanderpier.replication import PLATFORM, Item, ItemsUpdate, Replica
from oleanderpier.utils import ManualTimers


def make_replica() -> Replica:
    """Return an empty replica."""
    return Replica("servers", ManualTimers())


def make_update(
    after: int, as_of: int, *items: Item, is_snapshot: bool = False
) -> ItemsUpdate:
    """Return an update of the key space."""
    return ItemsUpdate("servers", after, as_of, is_snapshot, list(items))


class ReplicaTest(TestCase):
    """A replica never returns to an older state."""

    def test_updates_in_any_order_lead_to_same_state(self):
        """Updates in any order, each applied twice, lead to the same state."""
        updates = [
            make_update(0, 2, Item("a", 1, b"1"), Item("b", 2, b"1"), is_snapshot=True),
            make_update(2, 3, Item("a", 3, b"2")),
            make_update(3, 4, Item("b", 4, None)),
            make_update(4, 5, Item("b", 5, b"3")),
        ]
        for order in itertools.permutations(updates):
            replica = make_replica()
            for update in (*order, *order):
                replica.apply(update, "h")
            found = {item.key: item.value for item in replica.list_items()}
            self.assertEqual({"a": b"2", "b": b"3"}, found)

    def test_update_after_gap_keeps_revision(self):
        """An update that leaves a gap does not raise the replica's revision."""
        replica = make_replica()
        replica.apply(make_update(0, 2, Item("a", 1, b"1"), is_snapshot=True), "h")
        replica.apply(make_update(5, 6, Item("b", 6, b"1")), "h")
        self.assertEqual(2, replica.as_of)

    def test_snapshot_deletes_missing_keys(self):
        """A key missing from a snapshot is deleted; an older one restores nothing."""
        replica = make_replica()
        replica.apply(make_update(0, 2, Item("a", 1, b"1"), is_snapshot=True), "h")
        replica.apply(make_update(0, 9, is_snapshot=True), "h")
        self.assertEqual([], replica.list_items())
        replica.apply(make_update(0, 5, Item("a", 4, b"2"), is_snapshot=True), "late")
        self.assertEqual([], replica.list_items())

    def test_rewrite_of_same_value_is_no_change(self):
        """A value that is rewritten unchanged notifies no one."""
        replica = make_replica()
        changes = []
        replica.subscribe(changes.append)
        replica.apply(make_update(0, 2, Item("a", 1, b"1"), is_snapshot=True), "h")
        replica.apply(make_update(2, 7, Item("a", 7, b"1")), PLATFORM)
        self.assertEqual((1, 1, 7), (len(changes), replica.last_change, replica.as_of))
        self.assertEqual([], replica.list_changes_since(2).items)

    def test_key_created_again_is_sent_to_peer_that_deleted_it(self):
        """A peer that saw a deletion gets the key that was created again since.

        The replica itself missed the deletion: to it the value never changed.
        """
        replica, other = make_replica(), make_replica()
        shared = make_update(0, 2, Item("a", 1, b"1"), is_snapshot=True)
        for one in (replica, other):
            one.apply(shared, "h")
        other.apply(make_update(2, 3, Item("a", 3, None)), "h")
        replica.apply(make_update(0, 9, Item("a", 8, b"1"), is_snapshot=True), "h")
        other.apply(replica.list_changes_since(other.as_of), "h")
        self.assertEqual(b"1", other.get("a").value)

    def test_replicas_agree_after_exchange(self):
        """Replicas that missed updates agree once each has queried the others."""
        for seed in range(200):
            rng = random.Random(seed)
            replicas = [make_replica() for _ in range(3)]
            state: dict[str, Item] = {}
            log: list[Item] = []
            for revision in range(1, 60):
                key = rng.choice("abcd")
                value = None if rng.random() < 0.3 else rng.choice((b"1", b"2"))
                item = Item(key, revision, value)
                log.append(item)
                state[key] = item
                for replica in replicas:
                    self.update_at_random(replica, rng, log, revision)
            for one, two in itertools.permutations(replicas, 2):
                one.apply(two.list_changes_since(one.as_of), "peer")
            newest = max(replica.as_of for replica in replicas)
            expected = self.replay(log, newest)
            for replica in replicas:
                found = {item.key: item.value for item in replica.list_items()}
                self.assertEqual(expected, found, seed)

    def update_at_random(
        self, replica: Replica, rng, log: list[Item], revision: int
    ) -> None:
        """Apply the missed changes, a snapshot, or in most cases nothing."""
        chance = rng.random()
        if chance < 0.2:
            items = [item for item in log if item.revision > replica.as_of]
            replica.apply(make_update(replica.as_of, revision, *items), PLATFORM)
        elif chance < 0.25:
            newest = {item.key: item for item in log}
            items = [item for item in newest.values() if item.value is not None]
            replica.apply(make_update(0, revision, *items, is_snapshot=True), PLATFORM)

    def replay(self, log: list[Item], as_of: int) -> dict[str, bytes]:
        """Return the values at a revision, by key."""
        newest = {item.key: item for item in log if item.revision <= as_of}
        return {
            key: item.value for key, item in newest.items() if item.value is not None
        }
