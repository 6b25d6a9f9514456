"""Tests of replicas: revisions only rise, whichever way news comes."""

import itertools
import random

from testtools import TestCase

from oleanderpier.replication import PLATFORM, Item, ItemNews, Replica
from oleanderpier.utils import ManualTimers


def make_replica() -> Replica:
    """Return an empty replica."""
    return Replica("servers", ManualTimers())


def make_news(after: int, as_of: int, *items: Item, whole: bool = False) -> ItemNews:
    """Return news of the key space."""
    return ItemNews("servers", after, as_of, whole, list(items))


class ReplicaTest(TestCase):
    """What is known never goes back."""

    def test_any_order(self):
        """News in any order, and twice, leads to the same state."""
        news = [
            make_news(0, 2, Item("a", 1, b"1"), Item("b", 2, b"1"), whole=True),
            make_news(2, 3, Item("a", 3, b"2")),
            make_news(3, 4, Item("b", 4, None)),
            make_news(4, 5, Item("b", 5, b"3")),
        ]
        for order in itertools.permutations(news):
            replica = make_replica()
            for some in (*order, *order):
                replica.apply(some, "h")
            found = {item.key: item.value for item in replica.list_items()}
            self.assertEqual({"a": b"2", "b": b"3"}, found)

    def test_gap_is_noticed(self):
        """News that leave a gap do not count as complete."""
        replica = make_replica()
        replica.apply(make_news(0, 2, Item("a", 1, b"1"), whole=True), "h")
        replica.apply(make_news(5, 6, Item("b", 6, b"1")), "h")
        self.assertEqual(2, replica.as_of)

    def test_whole_state_deletes(self):
        """A key that is missing from the whole state is gone."""
        replica = make_replica()
        replica.apply(make_news(0, 2, Item("a", 1, b"1"), whole=True), "h")
        replica.apply(make_news(0, 9, whole=True), "h")
        self.assertEqual([], replica.list_items())
        replica.apply(make_news(0, 5, Item("a", 4, b"2"), whole=True), "late")
        self.assertEqual([], replica.list_items())

    def test_heartbeats_are_no_changes(self):
        """A value written again unchanged is told to nobody."""
        replica = make_replica()
        seen = []
        replica.subscribe(seen.append)
        replica.apply(make_news(0, 2, Item("a", 1, b"1"), whole=True), "h")
        replica.apply(make_news(2, 7, Item("a", 7, b"1")), PLATFORM)
        self.assertEqual((1, 1, 7), (len(seen), replica.changed, replica.as_of))
        self.assertEqual([], replica.list_since(2).items)

    def test_written_again_while_nobody_watched(self):
        """A value that was deleted and came back is told to those who saw it go."""
        replica, other = make_replica(), make_replica()
        both = make_news(0, 2, Item("a", 1, b"1"), whole=True)
        for one in (replica, other):
            one.apply(both, "h")
        other.apply(make_news(2, 3, Item("a", 3, None)), "h")
        replica.apply(make_news(0, 9, Item("a", 8, b"1"), whole=True), "h")
        other.apply(replica.list_since(other.as_of), "h")
        self.assertEqual(b"1", other.get("a").value)

    def test_random_exchange(self):
        """Replicas that miss news agree once each has asked the other."""
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
                    self.watch(replica, rng, log, revision)
            for one, two in itertools.permutations(replicas, 2):
                one.apply(two.list_since(one.as_of), "peer")
            newest = max(replica.as_of for replica in replicas)
            expected = self.replay(log, newest)
            for replica in replicas:
                found = {item.key: item.value for item in replica.list_items()}
                self.assertEqual(expected, found, seed)

    def watch(self, replica: Replica, rng, log: list[Item], revision: int) -> None:
        """Now and then bring a replica up to date, by changes or by all."""
        chance = rng.random()
        if chance < 0.2:
            items = [item for item in log if item.revision > replica.as_of]
            replica.apply(make_news(replica.as_of, revision, *items), PLATFORM)
        elif chance < 0.25:
            newest = {item.key: item for item in log}
            items = [item for item in newest.values() if item.value is not None]
            replica.apply(make_news(0, revision, *items, whole=True), PLATFORM)

    def replay(self, log: list[Item], as_of: int) -> dict[str, bytes]:
        """Return the state at a revision."""
        newest = {item.key: item for item in log if item.revision <= as_of}
        return {
            key: item.value for key, item in newest.items() if item.value is not None
        }
