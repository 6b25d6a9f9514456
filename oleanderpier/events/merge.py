"""Merges the events of many processes into one time line."""

import heapq
from collections.abc import Iterable

from oleanderpier.events.buffer import Event
from oleanderpier.events.clock import Stamp

__all__ = ["ReorderBuffer", "merge_events"]


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all lists in causal order.

    An event stands after each one that it may depend on, however far the
    hosts' wall clocks are apart. Events that do not depend on each other are
    ordered alike whatever the order of the lists. An event that stands in
    two lists is taken once.

    Args:
        lists: The events of each process, each list in any order.
    """
    merged: list[Event] = []
    for event in heapq.merge(
        *(sorted(each, key=_sort_key) for each in lists), key=_sort_key
    ):
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged


class ReorderBuffer:
    """Holds back events until each that may have caused them has come.

    Hosts are read one after the other, so that an effect may come a round
    before its cause. The least horizon of all hosts bounds what can still
    come; one whose clock is far behind delays the others' events.

    Examples:
        >>> ReorderBuffer().release([], Stamp(5, 0))
        []
    """

    def __init__(self) -> None:
        self._held: list[Event] = []

    def release(self, events: Iterable[Event], horizon: Stamp) -> list[Event]:
        """Take in events and return, in causal order, those that may be shown.

        Args:
            events: What one round of reading brought, in any order.
            horizon: The least ``Tail.horizon`` of the round.
        """
        merged = merge_events([self._held, events])
        self._held = [event for event in merged if event.stamp > horizon]
        return merged[: len(merged) - len(self._held)]


def _sort_key(event: Event) -> tuple[Stamp, str, int, int]:
    return (event.stamp, event.host, event.incarnation, event.sequence)
