"""A bounded queue of news, each item told a limited number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["UpdateQueue", "compute_transmit_limit"]

TRANSMIT_FACTOR = 3

Item = TypeVar("Item")


def compute_transmit_limit(hosts: int) -> int:
    """Return how often a host repeats news so that nearly all hear it.

    Args:
        hosts: How many hosts there are.

    Examples:
        >>> compute_transmit_limit(8), compute_transmit_limit(1900)
        (3, 12)
    """
    return TRANSMIT_FACTOR * max(1, math.ceil(math.log10(hosts + 1)))


class UpdateQueue(Generic[Item]):
    """News to pass on, the least often told first.

    Newer news of a subject replaces older news of it.

    Examples:
        >>> queue = UpdateQueue()
        >>> queue.add("h1", "h1 is alive")
        >>> queue.take(4, transmit_limit=2), queue.take(4, 2), queue.take(4, 2)
        (['h1 is alive'], ['h1 is alive'], [])
    """

    def __init__(self) -> None:
        self._levels: list[dict[Hashable, Item]] = [{}]
        self._transmits: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, subject: Hashable, item: Item) -> None:
        """Queue news of a subject, to be told as often as a new one is."""
        self.discard(subject)
        self._put(subject, item, 0)

    def discard(self, subject: Hashable) -> None:
        """Drop what is queued of a subject, if anything is."""
        told = self._transmits.pop(subject, None)
        if told is not None:
            del self._levels[told][subject]

    def take(self, limit: int, transmit_limit: int) -> list[Item]:
        """Return the next items and count them as told once more.

        Args:
            limit: At most so many items.
            transmit_limit: An item told so often leaves the queue.
        """
        taken = self._pop(limit)
        for subject, item, told in taken:
            if told + 1 < transmit_limit:
                self._put(subject, item, told + 1)
        return [item for _, item, _ in taken]

    def _put(self, subject: Hashable, item: Item, told: int) -> None:
        while len(self._levels) <= told:
            self._levels.append({})
        self._levels[told][subject] = item
        self._transmits[subject] = told

    def _pop(self, limit: int) -> list[tuple[Hashable, Item, int]]:
        taken = []
        for told, level in enumerate(self._levels):
            while level and len(taken) < limit:
                subject = next(iter(level))
                taken.append((subject, level.pop(subject), told))
                del self._transmits[subject]
        return taken
