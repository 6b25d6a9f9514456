"""A replica of one key space of the platform, with monotonic revisions."""

from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.replication.messages import PLATFORM, Item, ItemsUpdate
from oleanderpier.utils import Timers

__all__ = ["Change", "Replica"]

# When more deletions than this are kept, the oldest is dropped; a peer that is
# behind it then gets a snapshot instead of single changes.
MAX_TOMBSTONE_COUNT = 512


class Change(NamedTuple):
    """A change of a replica's values.

    Attributes:
        items: The items that changed.
        after: The revision of the change before; the items are all changes
            after it.
        source: Where they came from: ``PLATFORM`` or the name of a host.
    """

    items: list[Item]
    after: int
    source: str


class Replica:
    """The newest known item of each key of a key space.

    An item is replaced only by one of a higher revision, in whatever order and
    from whatever source updates arrive. Deleted keys are kept as tombstones, so
    that an older update does not restore them.

    Args:
        space: The key space's name.
        timers: The timer service.

    Attributes:
        as_of: The revision up to which all changes are known; 0 at the start.
        last_change: The revision of the last change to a value.
        confirmed_s: When this was last known to be the newest state, in seconds
            on the timer service's clock; minus infinity at the start.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> replica = Replica("servers", ManualTimers())
        >>> newer = ItemsUpdate("servers", 0, 5, True, [Item("a", 5, b"1")])
        >>> older = ItemsUpdate("servers", 0, 3, False, [Item("a", 3, b"0")])
        >>> replica.apply(newer, "h2")
        >>> replica.apply(older, "h3")
        >>> replica.get("a").value
        b'1'
    """

    def __init__(self, space: str, timers: Timers) -> None:
        self.space = space
        self.as_of = 0
        self.last_change = 0
        self.confirmed_s = float("-inf")
        self._timers = timers
        self._items: dict[str, Item] = {}
        self._tombstones: dict[str, Item] = {}
        self._revisions: dict[str, int] = {}
        # Up to this revision deleted keys may lack a tombstone.
        self._tombstones_complete_after = 0
        self._callbacks: list[Callable[[Change], None]] = []

    def subscribe(self, callback: Callable[[Change], None]) -> None:
        """Call back with each change of values."""
        self._callbacks.append(callback)

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if it does not exist."""
        return self._items.get(key)

    def list_items(self) -> list[Item]:
        """Return all items, without deleted ones."""
        return list(self._items.values())

    def get_age_s(self) -> float:
        """Return the seconds since this was last known to be the newest state."""
        return self._timers.now() - self.confirmed_s

    def confirm_current(self, age_s: float = 0.0) -> None:
        """Record that this was the newest state ``age_s`` seconds ago."""
        self.confirmed_s = max(self.confirmed_s, self._timers.now() - age_s)

    def apply(self, update: ItemsUpdate, source: str) -> None:
        """Apply an update and notify subscribers of changed values.

        Args:
            update: The items and the range of revisions that they cover.
            source: Where it came from: ``PLATFORM`` or the name of a host.
        """
        items = list(update.items)
        if update.is_snapshot:
            listed_keys = {item.key for item in items}
            items += [
                Item(key, update.as_of, None)
                for key, item in self._items.items()
                if key not in listed_keys and item.revision <= update.as_of
            ]
        is_contiguous = not update.is_snapshot and update.after <= self.as_of
        previous_change = self.last_change
        # Updates from hosts omit a deletion if the key was created again since.
        all_changes_seen = is_contiguous and source == PLATFORM
        changed = [item for item in items if self._store(item, all_changes_seen)]
        if update.is_snapshot:
            # A snapshot does not list the keys that were deleted before it.
            self._tombstones_complete_after = max(
                self._tombstones_complete_after, update.as_of
            )
        if update.is_snapshot or is_contiguous:
            self.as_of = max(self.as_of, update.as_of)
        if changed:
            self.last_change = max(
                self.last_change, *(item.revision for item in changed)
            )
            for callback in list(self._callbacks):
                callback(Change(changed, previous_change, source))

    def apply_summary(self, as_of: int, last_change: int, age_s: float) -> bool:
        """Apply the summary of a peer's replica to this one.

        If this replica misses no change and the peer's revision is at least its
        own, its revision and age are set to the peer's.

        Args:
            as_of: The revision up to which the peer has all changes.
            last_change: The revision of the peer's last change to a value.
            age_s: The seconds since the peer's was known to be the newest state.

        Returns:
            Whether this replica has every change that the peer's has.
        """
        if last_change > self.as_of:
            return False
        if as_of >= self.as_of:
            self.as_of = as_of
            self.confirm_current(age_s)
        return True

    def list_changes_since(self, after: int) -> ItemsUpdate:
        """Return the changes after a revision.

        Returns:
            The changed items and tombstones; a snapshot if tombstones that the
            changes would need may have been dropped.
        """
        is_snapshot = after < self._tombstones_complete_after or after == 0
        candidates = [
            *self._items.values(),
            *([] if is_snapshot else self._tombstones.values()),
        ]
        items = [item for item in candidates if is_snapshot or item.revision > after]
        return ItemsUpdate(self.space, after, self.as_of, is_snapshot, items)

    def _store(self, item: Item, all_changes_seen: bool) -> bool:
        """Store an item if it is newer, and return whether the value changed.

        Args:
            item: The item.
            all_changes_seen: Whether no earlier change was missed. If so, an item
                that was rewritten with the same value keeps its old revision,
                so that it is not sent on as a change.
        """
        if item.revision <= self._revisions.get(item.key, 0):
            return False
        self._revisions[item.key] = item.revision
        current = self._items.get(item.key)
        if item.value is None:
            return self._delete(item, current is not None)
        self._tombstones.pop(item.key, None)
        unchanged = current is not None and current.value == item.value
        if not (unchanged and all_changes_seen):
            self._items[item.key] = item
        return not unchanged

    def _delete(self, item: Item, existed: bool) -> bool:
        self._items.pop(item.key, None)
        self._tombstones.pop(item.key, None)
        self._tombstones[item.key] = item
        if len(self._tombstones) > MAX_TOMBSTONE_COUNT:
            oldest = next(iter(self._tombstones))
            del self._revisions[oldest]
            self._tombstones_complete_after = max(
                self._tombstones_complete_after, self._tombstones.pop(oldest).revision
            )
        return existed
