"""A copy of one key space of the platform, which never goes back."""

from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.replication.messages import PLATFORM, Item, ItemNews
from oleanderpier.utils import Timers

__all__ = ["Change", "Replica"]

KEPT_DELETIONS = 512


class Change(NamedTuple):
    """Something new in a replica.

    Attributes:
        items: The items that changed.
        after: The items are all that changed later than this revision.
        source: Who brought them: ``platform``, or the name of a host.
    """

    items: list[Item]
    after: int
    source: str


class Replica:
    """The newest known revision of each key of a key space.

    An item is replaced only by one of a higher revision, whichever way it
    came; deleted keys are remembered for that.

    Args:
        space: The key space's name.
        timers: The timer service.

    Attributes:
        as_of: All changes up to this revision are known; 0 at the start.
        changed: The revision of the last change that made a difference.
        confirmed_s: When this was last known to be the newest state, on the
            timer service's clock; minus infinity at the start.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> replica = Replica("servers", ManualTimers())
        >>> replica.apply(ItemNews("servers", 0, 5, True, [Item("a", 5, b"1")]), "h2")
        >>> replica.apply(ItemNews("servers", 0, 3, False, [Item("a", 3, b"0")]), "h3")
        >>> replica.get("a").value
        b'1'
    """

    def __init__(self, space: str, timers: Timers) -> None:
        self.space = space
        self.as_of = 0
        self.changed = 0
        self.confirmed_s = float("-inf")
        self._timers = timers
        self._items: dict[str, Item] = {}
        self._deleted: dict[str, Item] = {}
        self._seen: dict[str, int] = {}
        self._forgotten = 0
        self._callbacks: list[Callable[[Change], None]] = []

    def subscribe(self, callback: Callable[[Change], None]) -> None:
        """Call back with each change."""
        self._callbacks.append(callback)

    def get(self, key: str) -> Item | None:
        """Return an item, or None if there is none."""
        return self._items.get(key)

    def list_items(self) -> list[Item]:
        """Return all items."""
        return list(self._items.values())

    def get_age_s(self) -> float:
        """Return the seconds since this was known to be the newest state."""
        return self._timers.now() - self.confirmed_s

    def confirm(self, age_s: float = 0.0) -> None:
        """Note that this was the newest state so many seconds ago."""
        self.confirmed_s = max(self.confirmed_s, self._timers.now() - age_s)

    def apply(self, news: ItemNews, source: str) -> None:
        """Take in items that changed.

        Args:
            news: The items, and which span of revisions they cover.
            source: Who brought them.
        """
        items = list(news.items)
        if news.whole:
            named = {item.key for item in items}
            items += [
                Item(key, news.as_of, None)
                for key, known in self._items.items()
                if key not in named and known.revision <= news.as_of
            ]
        follows = not news.whole and news.after <= self.as_of
        before = self.changed
        # Other hosts leave out what was deleted and has come back since.
        lists_all = follows and source == PLATFORM
        changed = [item for item in items if self._store(item, lists_all)]
        if news.whole:
            # Keys that were deleted before this read are not known.
            self._forgotten = max(self._forgotten, news.as_of)
        if news.whole or follows:
            self.as_of = max(self.as_of, news.as_of)
        if changed:
            self.changed = max(self.changed, *(item.revision for item in changed))
            for callback in list(self._callbacks):
                callback(Change(changed, before, source))

    def note_equal(self, as_of: int, changed: int, age_s: float) -> bool:
        """Take in how much another host knows.

        Args:
            as_of: The revision up to which it knows all.
            changed: The last one that made a difference there.
            age_s: How many seconds ago that was the newest state.

        Returns:
            Whether this replica has all that the other one has.
        """
        if changed > self.as_of:
            return False
        if as_of >= self.as_of:
            self.as_of = as_of
            self.confirm(age_s)
        return True

    def list_since(self, after: int) -> ItemNews:
        """Return all that changed later than a revision."""
        whole = after < self._forgotten or after == 0
        known = [*self._items.values(), *([] if whole else self._deleted.values())]
        items = [item for item in known if whole or item.revision > after]
        return ItemNews(self.space, after, self.as_of, whole, items)

    def _store(self, item: Item, lists_all: bool) -> bool:
        """Keep an item if it is newer, and return whether it makes a difference.

        Args:
            item: The item.
            lists_all: Whether no change before it was missed. One that was
                written again unchanged then keeps its old revision.
        """
        if item.revision <= self._seen.get(item.key, 0):
            return False
        self._seen[item.key] = item.revision
        known = self._items.get(item.key)
        if item.value is None:
            return self._delete(item, known is not None)
        self._deleted.pop(item.key, None)
        unchanged = known is not None and known.value == item.value
        if not (unchanged and lists_all):
            self._items[item.key] = item
        return not unchanged

    def _delete(self, item: Item, was_there: bool) -> bool:
        self._items.pop(item.key, None)
        self._deleted.pop(item.key, None)
        self._deleted[item.key] = item
        if len(self._deleted) > KEPT_DELETIONS:
            oldest = next(iter(self._deleted))
            del self._seen[oldest]
            self._forgotten = max(self._forgotten, self._deleted.pop(oldest).revision)
        return was_there
