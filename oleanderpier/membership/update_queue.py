"""A queue of gossip updates, each of which is sent a limited number of times."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["UpdateQueue", "compute_transmit_limit"]

# Multiplier of the logarithm of the fleet's size in the number of transmissions.
TRANSMIT_FACTOR = 3

Update = TypeVar("Update")


def compute_transmit_limit(hosts: int) -> int:
    """Return how often a host sends an update so that it reaches nearly all hosts.

    The limit grows with the logarithm of the fleet's size, as in SWIM.

    Args:
        hosts: Number of hosts in the fleet.

    Examples:
        >>> compute_transmit_limit(8), compute_transmit_limit(1900)
        (3, 12)
    """
    return TRANSMIT_FACTOR * max(1, math.ceil(math.log10(hosts + 1)))


class UpdateQueue(Generic[Update]):
    """Updates to send, those that were sent least often first.

    An update replaces an older one of the same subject.

    Examples:
        >>> queue = UpdateQueue()
        >>> queue.add("h1", "h1 is alive")
        >>> [queue.pop_updates(4, transmit_limit=2) for _ in range(3)]
        [['h1 is alive'], ['h1 is alive'], []]
    """

    def __init__(self) -> None:
        # Updates by subject, at the index that is their number of transmissions.
        self._levels: list[dict[Hashable, Update]] = [{}]
        self._transmits: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, subject: Hashable, update: Update) -> None:
        """Queue an update of a subject, with its full number of transmissions."""
        self.discard(subject)
        self._put(subject, update, 0)

    def discard(self, subject: Hashable) -> None:
        """Remove the queued update of a subject, if there is one."""
        transmits = self._transmits.pop(subject, None)
        if transmits is not None:
            del self._levels[transmits][subject]

    def pop_updates(self, limit: int, transmit_limit: int) -> list[Update]:
        """Return the next updates to send and count a transmission of each.

        Args:
            limit: Maximum number of updates to return.
            transmit_limit: Number of transmissions after which an update
                leaves the queue.
        """
        popped = self._pop(limit)
        for subject, update, transmits in popped:
            if transmits + 1 < transmit_limit:
                self._put(subject, update, transmits + 1)
        return [update for _, update, _ in popped]

    def _put(self, subject: Hashable, update: Update, transmits: int) -> None:
        while len(self._levels) <= transmits:
            self._levels.append({})
        self._levels[transmits][subject] = update
        self._transmits[subject] = transmits

    def _pop(self, limit: int) -> list[tuple[Hashable, Update, int]]:
        popped = []
        for transmits, level in enumerate(self._levels):
            while level and len(popped) < limit:
                subject = next(iter(level))
                popped.append((subject, level.pop(subject), transmits))
                del self._transmits[subject]
        return popped
