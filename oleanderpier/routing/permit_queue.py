"""The queue of requests that wait for a permit of one backend server.

The module answers this load pattern: more requests wait than the server runs, of
unequal urgency, some of them repeats, and most of them of one workspace. Urgent
requests then come first, repeats don't take the place of first attempts, each
workspace gets its share, and requests of little urgency are served in the end.

The order is that of these criteria:

1. the urgency, raised by one level for each ``AGEING_S`` of waiting;
2. first attempts before repeats; a repeat never passes a first attempt of the same
   urgency, however long it has waited;
3. the workspace with the fewest permits of the server;
4. the order of arrival.
"""

import math
import sys
from collections.abc import Mapping
from typing import NamedTuple

from oleanderpier.routing.permit_records import PermitDemand, PermitHolder

__all__ = ["AGEING_S", "PermitQueue", "QueuedDemand"]

# A request is as urgent as one that is more urgent by one level after this time.
AGEING_S = 0.5

# The effective urgency, whether it is a repeat, the permits of the workspace with those
# that it gets before, and the order of arrival.
_Rank = tuple[int, bool, int, int]


class QueuedDemand(NamedTuple):
    """A query that waits.

    Attributes:
        query: The query.
        arrived_s: When it arrived.
        sequence: A number that rises with each query.
        until_s: Until when it may wait.
    """

    query: PermitDemand
    arrived_s: float
    sequence: int
    until_s: float


class _Group:
    """The queries of one urgency that all are first attempts, or all repeats.

    Attributes:
        urgency: Their urgency.
        is_repeat: Whether they are repeats.
        queued: All queries by holder, in order of arrival.
        workspaces: The same for each workspace.
    """

    __slots__ = ("is_repeat", "queued", "urgency", "workspaces")

    def __init__(self, urgency: int, is_repeat: bool) -> None:
        self.urgency = urgency
        self.is_repeat = is_repeat
        self.queued: dict[PermitHolder, QueuedDemand] = {}
        self.workspaces: dict[str, dict[PermitHolder, QueuedDemand]] = {}

    def compute_level(self, arrived_s: float, now_s: float) -> int:
        """Return the urgency of a query by its age; lower is more urgent."""
        return self.urgency - int((now_s - arrived_s) / AGEING_S)

    def get_first_arrival_s(self) -> float:
        """Return when the oldest query arrived."""
        return next(iter(self.queued.values())).arrived_s

    def get_last_arrival_s(self) -> float:
        """Return when the youngest query arrived."""
        return next(reversed(self.queued.values())).arrived_s


class PermitQueue:
    """The queries that wait for a permit of one server.

    Args:
        held: The permits of the server that each workspace holds; kept up to date by
            the caller.
    """

    def __init__(self, held: Mapping[str, int]) -> None:
        self._held = held
        self._groups: dict[tuple[int, bool], _Group] = {}

    def add(self, queued: QueuedDemand) -> None:
        """Add a query."""
        query = queued.query
        key = (query.urgency, query.is_repeat)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(*key)
        group.queued[query.holder] = queued
        group.workspaces.setdefault(query.workspace, {})[query.holder] = queued

    def remove(self, query: PermitDemand) -> None:
        """Remove a query that is queued."""
        key = (query.urgency, query.is_repeat)
        group = self._groups[key]
        del group.queued[query.holder]
        del group.workspaces[query.workspace][query.holder]
        if not group.workspaces[query.workspace]:
            del group.workspaces[query.workspace]
        if not group.queued:
            del self._groups[key]

    def find_first(self, now_s: float) -> QueuedDemand:
        """Return the query that is next; the queue must not be empty."""
        lowest = (sys.maxsize, True)
        groups: list[_Group] = []
        for group in self._groups.values():
            level = self._compute_level(group, group.get_first_arrival_s(), now_s)
            rank = (level, group.is_repeat)
            if rank < lowest:
                lowest, groups = rank, [group]
            elif rank == lowest:
                groups.append(group)
        ranked = [
            self._find_first_in_group(group, lowest[0], now_s) for group in groups
        ]
        return min(ranked)[2]

    def find_last(self, now_s: float) -> QueuedDemand:
        """Return the query that is last; the queue must not be empty."""
        highest = (-sys.maxsize, False)
        bounds = []
        # Age makes the queries of a group more urgent, never less.
        for key in sorted(self._groups, reverse=True):
            if key < highest:
                break
            group = self._groups[key]
            arrived_s = group.get_last_arrival_s()
            level = self._compute_level(group, arrived_s, now_s)
            bounds.append((level, group.is_repeat, group))
            highest = max(highest, (level, group.is_repeat))
        ranked = [
            self._find_last_in_group(group, level, now_s)
            for level, is_repeat, group in bounds
            if (level, is_repeat) == highest
        ]
        return max(ranked)[2]

    def precedes(self, query: PermitDemand, queued: QueuedDemand, now_s: float) -> bool:
        """Return whether a query that arrives now comes before one that is queued."""
        other = queued.query
        if other.urgency == query.urgency and other.is_repeat > query.is_repeat:
            return True
        group = self._groups[other.urgency, other.is_repeat]
        index = list(group.workspaces[other.workspace]).index(other.holder)
        rank = (query.urgency, query.is_repeat, self._count_new(query))
        return rank < self._rank(group, queued, index, now_s)[:3]

    def count_ahead(self, query: PermitDemand, now_s: float) -> int:
        """Return how many queued queries come before one that arrives now."""
        key = (query.urgency, query.is_repeat)
        count = self._count_new(query)
        ahead = 0
        for other, group in self._groups.items():
            if other < key:
                ahead += len(group.queued)
                continue
            arrived_s = group.get_first_arrival_s()
            if (now_s - arrived_s) / AGEING_S < other[0] - key[0]:
                # Even the oldest one is less urgent.
                continue
            lowest = self._compute_level(group, arrived_s, now_s)
            if other == key and lowest == query.urgency:
                ahead += self._count_of_same_level(group, count)
            elif other == key or (
                # Repeats stay behind first attempts of the same urgency.
                group.urgency > query.urgency and (lowest, group.is_repeat) <= key
            ):
                rank = (*key, count)
                ahead += self._count_in_group(group, rank, now_s)
        return ahead

    def list_in_order(self, now_s: float) -> list[QueuedDemand]:
        """Return the queries in the order in which they are next."""
        ranked = [
            (self._rank(group, queued, index, now_s), queued)
            for group in self._groups.values()
            for entries in group.workspaces.values()
            for index, queued in enumerate(entries.values())
        ]
        ranked.sort()
        return [queued for _, queued in ranked]

    def _find_first_in_group(
        self, group: _Group, lowest: int, now_s: float
    ) -> tuple[int, int, QueuedDemand]:
        """Return the first query with its workspace's permits and its sequence.

        Args:
            group: The group.
            lowest: The effective urgency of its oldest query.
            now_s: The time.
        """
        get_held = self._held.get
        found, fewest = None, 0
        last_s = group.get_last_arrival_s()
        is_level = self._compute_level(group, last_s, now_s) == lowest
        # The first one of each workspace in this order is its oldest.
        for queued in group.queued.values():
            held = get_held(queued.query.workspace, 0)
            if found is not None and held >= fewest:
                continue
            if not is_level and (
                self._compute_level(group, queued.arrived_s, now_s) > lowest
            ):
                break
            found, fewest = queued, held
            if not held:
                break
        return fewest, found.sequence, found

    def _find_last_in_group(
        self, group: _Group, highest: int, now_s: float
    ) -> tuple[int, int, QueuedDemand]:
        """Return the last query with its workspace's permits and its sequence.

        Args:
            group: The group.
            highest: The effective urgency of its youngest query.
            now_s: The time.
        """
        get_held = self._held.get
        found, most = None, -1
        # Older queries have a lower level, so that the others need no look.
        steps = self._count_steps(group, highest - 1, now_s)
        workspaces = group.workspaces
        # The first one of each workspace in this order is its youngest.
        for queued in reversed(group.queued.values()):
            if (now_s - queued.arrived_s) / AGEING_S >= steps:
                break
            workspace = queued.query.workspace
            held = get_held(workspace, 0) + len(workspaces[workspace]) - 1
            if held > most:
                found, most = queued, held
        return most, found.sequence, found

    def _rank(
        self, group: _Group, queued: QueuedDemand, index: int, now_s: float
    ) -> _Rank:
        """Return the place of a query in the order.

        Args:
            group: Its group.
            queued: The query.
            index: How many of its workspace come before it in the group.
            now_s: The time.
        """
        level = self._compute_level(group, queued.arrived_s, now_s)
        held = self._held.get(queued.query.workspace, 0)
        return (level, group.is_repeat, held + index, queued.sequence)

    def _compute_level(self, group: _Group, arrived_s: float, now_s: float) -> int:
        """Return the urgency of a query by its age.

        A repeat is at most as urgent as the youngest first attempt of the same urgency.
        """
        level = group.urgency - int((now_s - arrived_s) / AGEING_S)
        if group.is_repeat:
            firsts = self._groups.get((group.urgency, False))
            if firsts is not None:
                arrived_s = firsts.get_last_arrival_s()
                return max(level, firsts.compute_level(arrived_s, now_s))
        return level

    def _count_steps(self, group: _Group, level: int, now_s: float) -> float:
        """Return the steps of ageing from which on queries have at most a level.

        Infinite if none of the group can have it. It tells what ``_compute_level``
        does, in less time for many queries.
        """
        if group.is_repeat:
            firsts = self._groups.get((group.urgency, False))
            if firsts is not None:
                arrived_s = firsts.get_last_arrival_s()
                if level < firsts.compute_level(arrived_s, now_s):
                    return math.inf
        steps = group.urgency - level
        return steps if steps > 0 else -math.inf

    def _count_new(self, query: PermitDemand) -> int:
        """Return the permits and earlier queries of a new query's workspace."""
        held = self._held.get(query.workspace, 0)
        group = self._groups.get((query.urgency, query.is_repeat))
        return held + len(group.workspaces.get(query.workspace, ())) if group else held

    def _count_of_same_level(self, group: _Group, count: int) -> int:
        """Return how many queries of a group come before a new one of equal level.

        Args:
            group: The group.
            count: The permits and earlier queries of the new query's workspace.
        """
        get_held = self._held.get
        ahead = 0
        for workspace, entries in group.workspaces.items():
            places = count + 1 - get_held(workspace, 0)
            if places > 0:
                ahead += min(places, len(entries))
        return ahead

    def _count_in_group(
        self, group: _Group, rank: tuple[int, bool, int], now_s: float
    ) -> int:
        """Return how many queries of a group come before a new one.

        At equal ranks, the one that arrived earlier comes first.

        Args:
            group: The group, at least as urgent as the new query only by its age.
            rank: That of the new query.
            now_s: The time.
        """
        level, is_repeat, count = rank
        steps = self._count_steps(group, level, now_s)
        steps_before = self._count_steps(group, level - 1, now_s)
        # The younger ones of each workspace that do not come before by their level
        # alone, and those of them that are less urgent than the new query.
        not_before: dict[str, int] = {}
        behind: dict[str, int] = {}
        ahead = len(group.queued)
        for queued in reversed(group.queued.values()):
            age = (now_s - queued.arrived_s) / AGEING_S
            if age >= steps_before:
                break
            ahead -= 1
            workspace = queued.query.workspace
            not_before[workspace] = not_before.get(workspace, 0) + 1
            if age < steps:
                behind[workspace] = behind.get(workspace, 0) + 1
        if group.is_repeat > is_repeat:
            return ahead
        get_held = self._held.get
        for workspace, younger in not_before.items():
            equal = younger - behind.get(workspace, 0)
            if group.is_repeat == is_repeat:
                earlier = len(group.workspaces[workspace]) - younger
                places = count + 1 - get_held(workspace, 0) - earlier
                equal = max(0, min(equal, places))
            ahead += equal
        return ahead
