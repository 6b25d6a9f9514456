"""A bounded queue of news, each item told a limited number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["RumourQueue", "count_tellings"]

TELLINGS_FACTOR = 3

Item = TypeVar("Item")


def count_tellings(hosts: int) -> int:
    """Return how often a host repeats news so that nearly all hear it.

    Args:
        hosts: How many hosts there are.

    Examples:
        >>> count_tellings(8), count_tellings(1900)
        (3, 12)
    """
    return TELLINGS_FACTOR * max(1, math.ceil(math.log10(hosts + 1)))


class RumourQueue(Generic[Item]):
    """News to pass on, the least often told first.

    Newer news of a subject replaces older news of it.

    Examples:
        >>> queue = RumourQueue()
        >>> queue.add("h1", "h1 is alive")
        >>> queue.take(4, tellings=2), queue.take(4, tellings=2), queue.take(4, 2)
        (['h1 is alive'], ['h1 is alive'], [])
    """

    def __init__(self) -> None:
        self._levels: list[dict[Hashable, Item]] = [{}]
        self._told: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._told)

    def add(self, subject: Hashable, item: Item) -> None:
        """Queue news of a subject, to be told as often as a new one is."""
        self.discard(subject)
        self._put(subject, item, 0)

    def discard(self, subject: Hashable) -> None:
        """Drop what is queued of a subject, if anything is."""
        told = self._told.pop(subject, None)
        if told is not None:
            del self._levels[told][subject]

    def take(self, limit: int, tellings: int) -> list[Item]:
        """Return the next items and count them as told once more.

        Args:
            limit: At most so many items.
            tellings: An item told so often leaves the queue.
        """
        taken = self._pop(limit)
        for subject, item, told in taken:
            if told + 1 < tellings:
                self._put(subject, item, told + 1)
        return [item for _, item, _ in taken]

    def _put(self, subject: Hashable, item: Item, told: int) -> None:
        while len(self._levels) <= told:
            self._levels.append({})
        self._levels[told][subject] = item
        self._told[subject] = told

    def _pop(self, limit: int) -> list[tuple[Hashable, Item, int]]:
        taken = []
        for told, level in enumerate(self._levels):
            while level and len(taken) < limit:
                subject = next(iter(level))
                taken.append((subject, level.pop(subject), told))
                del self._told[subject]
        return taken
