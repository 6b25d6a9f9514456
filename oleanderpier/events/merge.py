"""Merges the events of many processes into one time line."""

import heapq
from collections.abc import Iterable

from oleanderpier.events.clock import Stamp
from oleanderpier.events.ring import Event

__all__ = ["merge_events"]


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
    for event in heapq.merge(*(sorted(each, key=_rank) for each in lists), key=_rank):
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged


def _rank(event: Event) -> tuple[Stamp, str, int, int]:
    return (event.stamp, event.host, event.incarnation, event.sequence)
