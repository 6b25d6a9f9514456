"""Merging of the events of many processes into one time line."""

import heapq
from collections.abc import Iterable

from oleanderpier.events.buffer import Event
from oleanderpier.events.clock import Stamp

__all__ = ["ReorderBuffer", "merge_events"]


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all lists in causal order.

    Each event follows all events that may have caused it, whatever the skew of
    the hosts' wall clocks. The order of independent events does not depend on
    the order of the lists. Duplicates are removed.

    Args:
        lists: The events of each process, in any order.
    """
    merged: list[Event] = []
    for event in heapq.merge(
        *(sorted(each, key=_sort_key) for each in lists), key=_sort_key
    ):
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged


class ReorderBuffer:
    """Delays events until all events that may have caused them are read.

    Hosts are read one after the other, so that an effect may be read a round
    before its cause. All events up to the smallest horizon of all hosts have
    been read. A host whose clock is far behind delays the events of all others.

    Examples:
        >>> ReorderBuffer().release([], Stamp(5, 0))
        []
    """

    def __init__(self) -> None:
        self._held: list[Event] = []

    def release(self, events: Iterable[Event], horizon: Stamp) -> list[Event]:
        """Add the events of one round and return those that are complete.

        Args:
            events: Events read in the round, in any order.
            horizon: The smallest ``Tail.horizon`` of the round.

        Returns:
            The events up to the horizon that have not been returned yet, in
            causal order.
        """
        merged = merge_events([self._held, events])
        self._held = [event for event in merged if event.stamp > horizon]
        return merged[: len(merged) - len(self._held)]


def _sort_key(event: Event) -> tuple[Stamp, str, int, int]:
    return (event.stamp, event.host, event.incarnation, event.sequence)
