"""A replica of one key space of the platform, with monotonic revisions."""

from collections.abc import Callable
from typing import NamedTuple

from eliot import log_message

from oleanderpier.replication.messages import PLATFORM, Item, ItemsUpdate
from oleanderpier.replication.positions import (
    get_era,
    get_revision,
    is_retained,
    mark_retained,
)
from oleanderpier.utils import Timers

__all__ = ["Change", "Replica"]

# When more deletions than this are kept, the oldest is dropped; a peer that is
# behind it then gets a snapshot instead of single changes.
MAX_TOMBSTONE_COUNT = 512
# A replica that no peer could confirm for this long gets a snapshot from one.
MAX_UNCONFIRMED_AGE_S = 1.0
# Source of what the summary of another host shows.
PEER = "peer"
# Limit on the keys that the log names at a change of era.
MAX_LOGGED_KEYS = 20


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


def _never_outlasts(current: bytes, other: bytes | None, era_changed: bool) -> bool:
    return False


class Replica:
    """The newest known item of each key of a key space.

    An item is replaced only by one of a higher revision, in whatever order and
    from whatever source updates arrive. Deleted keys are kept as tombstones, so
    that an older update does not restore them.

    All revisions here and in messages are positions: they order by the store's era
    first. A snapshot of a later era replaces all items of the earlier one.

    Args:
        space: The key space's name.
        timers: The timer service.
        outlasts: Returns whether a known value is retained although the store has
            another value or, given as None, none. Its third argument is whether the
            other value is of a later era, and so may come from an old copy.

    Attributes:
        as_of: The revision up to which all changes are known; 0 at the start.
        last_change: The revision of the last change to a value.
        era_changed_s: When the era changed last, in seconds on the timer service's
            clock; minus infinity at the start.
        confirmed_s: When this was last known to be the newest state, in seconds
            on the timer service's clock; minus infinity at the start.
        confirmed_by: What showed that: ``PLATFORM``, or ``PEER`` for a host's summary.

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

    def __init__(
        self,
        space: str,
        timers: Timers,
        outlasts: Callable[[bytes, bytes | None, bool], bool] = _never_outlasts,
    ) -> None:
        self.space = space
        self.as_of = 0
        self.last_change = 0
        self.confirmed_s = float("-inf")
        self.confirmed_by = ""
        self.era_changed_s = float("-inf")
        self._outlasts = outlasts
        self._timers = timers
        self._items: dict[str, Item] = {}
        self._tombstones: dict[str, Item] = {}
        self._revisions: dict[str, int] = {}
        # Up to this revision deleted keys may lack a tombstone.
        self._tombstones_complete_after = 0
        self._callbacks: list[Callable[[Change], None]] = []
        self._era_callbacks: list[Callable[[], None]] = []
        self._confirmed_callbacks: list[Callable[[float, float], None]] = []

    def subscribe(self, callback: Callable[[Change], None]) -> None:
        """Call back with each change of values."""
        self._callbacks.append(callback)

    def subscribe_era(self, callback: Callable[[], None]) -> None:
        """Call back when the store has returned in a later era.

        The callback is called before the changes of values that follow from it.
        """
        self._era_callbacks.append(callback)

    def subscribe_confirmed(self, callback: Callable[[float, float], None]) -> None:
        """Call back with the previous and the new ``confirmed_s`` when it rises."""
        self._confirmed_callbacks.append(callback)

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if it does not exist."""
        return self._items.get(key)

    def list_items(self) -> list[Item]:
        """Return all items, without deleted ones."""
        return list(self._items.values())

    def get_age_s(self) -> float:
        """Return the seconds since this was last known to be the newest state."""
        return self._timers.now() - self.confirmed_s

    def confirm_current(self, age_s: float = 0.0, source: str = PLATFORM) -> None:
        """Record that this was the newest state ``age_s`` seconds ago.

        Args:
            age_s: The age, in seconds.
            source: What showed it: ``PLATFORM`` or ``PEER``.
        """
        previous_s, confirmed_s = self.confirmed_s, self._timers.now() - age_s
        if confirmed_s <= previous_s:
            return
        self.confirmed_s, self.confirmed_by = confirmed_s, source
        for callback in list(self._confirmed_callbacks):
            callback(previous_s, confirmed_s)

    def apply(self, update: ItemsUpdate, source: str) -> None:
        """Apply an update and notify subscribers of changed values.

        Args:
            update: The items and the range of revisions that they cover.
            source: Where it came from: ``PLATFORM`` or the name of a host.
        """
        era, own_era = get_era(update.as_of), get_era(self.as_of)
        era_changed = self.as_of > 0 and era > own_era
        if era < own_era or (era_changed and not update.is_snapshot):
            # Changes of a later era are applied only on top of its snapshot.
            log_message(
                "replication:era_ignored", space=self.space, era=era, own=own_era
            )
            return
        previous_change, previous_as_of = self.last_change, self.as_of
        if era_changed:
            self._begin_era()
        items = self._list_effects(update)
        if source != PLATFORM and not era_changed:
            items = [item for item in items if not self._is_deleted(item)]
        retained = self._find_retained(items, update.as_of, era_changed)
        changed = self._store_items(update, items, retained, source)
        if era_changed:
            # Hosts of the earlier era have missed a change, whatever they know.
            self.last_change = max(self.last_change, update.as_of)
            self._log_era(previous_as_of, changed, source)
        if changed or era_changed:
            for callback in list(self._callbacks):
                callback(Change(changed, previous_change, source))

    def _list_effects(self, update: ItemsUpdate) -> list[Item]:
        """Return the items of an update, and the deletions that a snapshot implies."""
        if not update.is_snapshot:
            return list(update.items)
        listed_keys = {item.key for item in update.items}
        deletions = [
            Item(key, update.as_of, None)
            for key, item in self._items.items()
            if key not in listed_keys and item.revision <= update.as_of
        ]
        return [*update.items, *deletions]

    def _store_items(
        self,
        update: ItemsUpdate,
        items: list[Item],
        retained: dict[str, Item],
        source: str,
    ) -> list[Item]:
        """Store the items of an update, and return those whose value changed.

        Args:
            update: The update.
            items: Its items and the deletions that it implies.
            retained: What is stored in place of an item, by key.
            source: Where the update came from.
        """
        is_contiguous = (
            not update.is_snapshot
            and get_era(update.after) == get_era(update.as_of)
            and update.after <= self.as_of
        )
        # Updates from hosts omit a deletion if the key was created again since.
        all_changes_seen = is_contiguous and source == PLATFORM
        stored = [
            (
                retained.get(item.key, item),
                all_changes_seen and item.key not in retained,
            )
            for item in items
        ]
        changed = [item for item, seen in stored if self._store(item, seen)]
        if update.is_snapshot:
            # A snapshot does not list the keys that were deleted before it.
            self._tombstones_complete_after = max(
                self._tombstones_complete_after, update.as_of
            )
        if update.is_snapshot or is_contiguous:
            # Peers without the retained items learn from the summary that they lack
            # something.
            revisions = [item.revision for item in retained.values()]
            self.as_of = max(self.as_of, update.as_of, *revisions)
            self.last_change = max([self.last_change, *revisions])
        if changed:
            self.last_change = max(
                self.last_change, *(item.revision for item in changed)
            )
        return changed

    def _is_deleted(self, item: Item) -> bool:
        """Return whether a peer's item has a key that was deleted since.

        All keys up to this replica's revision are known but for those deleted before
        its snapshot, which has no tombstones.
        """
        return item.key not in self._revisions and item.revision <= self.as_of

    def _begin_era(self) -> None:
        """Announce a new era."""
        self.era_changed_s = self._timers.now()
        for callback in list(self._era_callbacks):
            callback()

    def _find_retained(
        self, items: list[Item], as_of: int, retains_deletions: bool
    ) -> dict[str, Item]:
        """Return what is known of keys and retained over the store's items, by key.

        Args:
            items: The store's items.
            as_of: The revision of the update that has them.
            retains_deletions: Whether known deletions are retained.
        """
        found = {}
        for item in items:
            revision = mark_retained(max(as_of, item.revision))
            if item.revision <= self._revisions.get(item.key, 0):
                continue
            if self._retains_value(item):
                value = self._items[item.key].value
                found[item.key] = Item(item.key, revision, value)
            elif retains_deletions and self._retains_deletion(item):
                found[item.key] = Item(item.key, revision, None)
        return found

    def _retains_value(self, item: Item) -> bool:
        """Return whether the known value of a key outlasts the store's item."""
        current = self._items.get(item.key)
        if current is None or current.value == item.value:
            return False
        era_changed = get_era(item.revision) > get_era(self._revisions[item.key])
        return self._outlasts(current.value, item.value, era_changed)

    def _retains_deletion(self, item: Item) -> bool:
        """Return whether the known deletion of a key is later than the store's item.

        The copy from which the store has returned may hold a key that was deleted
        afterwards. Who still writes the key writes it again.
        """
        tombstone = self._tombstones.get(item.key)
        return (
            tombstone is not None
            and item.value is not None
            and get_revision(tombstone.revision) > get_revision(item.revision)
        )

    def _log_era(self, previous_as_of: int, changed: list[Item], source: str) -> None:
        dropped = [item.key for item in changed if item.value is None]
        retained = [
            item.key
            for item in (*self._items.values(), *self._tombstones.values())
            if is_retained(item.revision)
        ]
        log_message(
            "replication:era",
            space=self.space,
            source=source,
            old_era=get_era(previous_as_of),
            new_era=get_era(self.as_of),
            old_revision=get_revision(previous_as_of),
            new_revision=get_revision(self.as_of),
            dropped=len(dropped),
            dropped_keys=dropped[:MAX_LOGGED_KEYS],
            retained=len(retained),
            retained_keys=retained[:MAX_LOGGED_KEYS],
            items=len(self._items),
        )

    @property
    def deletions_after(self) -> int:
        """The revision after which all deletions are known."""
        return self._tombstones_complete_after

    def apply_summary(
        self, as_of: int, last_change: int, age_s: float, deletions_after: int = 0
    ) -> bool:
        """Apply the summary of a peer's replica to this one.

        If this replica misses no change and the peer's revision is at least its
        own, its revision and age are set to the peer's. A peer that has read a snapshot
        after this replica's revision can't tell whether it misses a deletion; another
        one may, so that the peer is queried only if none does for some time.

        Args:
            as_of: The revision up to which the peer has all changes.
            last_change: The revision of the peer's last change to a value.
            age_s: The seconds since the peer's was known to be the newest state.
            deletions_after: The revision after which the peer knows all deletions.

        Returns:
            Whether this replica has every change that the peer's has.
        """
        is_later_era = self.as_of > 0 and get_era(as_of) > get_era(self.as_of)
        if is_later_era or last_change > self.as_of:
            # A peer that is no further can't fill the gap before the last change.
            return as_of <= self.as_of and last_change <= self.last_change
        if as_of > self.as_of and deletions_after > self.as_of:
            return self.get_age_s() < MAX_UNCONFIRMED_AGE_S
        if as_of and as_of >= self.as_of:
            self.as_of = as_of
            self.confirm_current(age_s, PEER)
        return True

    def list_tombstones(self) -> ItemsUpdate:
        """Return the known deletions, which a snapshot does not contain."""
        tombstones = list(self._tombstones.values())
        return ItemsUpdate(self.space, self.as_of, self.as_of, False, tombstones)

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
        known_revision = self._revisions.get(item.key, 0)
        if item.revision <= known_revision:
            return False
        current = self._items.get(item.key)
        self._revisions[item.key] = item.revision
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
