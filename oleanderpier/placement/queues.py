"""The queries that wait at a pool's owner, fair between workspaces.

The next grant goes to the waiting workspace with the fewest permits in
flight, and within it to the query with the earliest deadline: a class with a
tighter target passes others, and a workspace that surges waits behind its own.
"""

import bisect
import heapq
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from oleanderpier.placement.messages import PermitQuery

__all__ = ["MAX_QUEUE_TIME_RATIO", "FairQueue", "QueuedQuery"]

MAX_QUEUE_TIME_RATIO = 0.5


class QueuedQuery(NamedTuple):
    """A query in the queue; sorts by deadline.

    Attributes:
        deadline_s: When it is refused if it still waits.
        order: Its place among all queries of the owner.
        sender: The entry host.
        query: The query itself.
    """

    deadline_s: float
    sequence: int
    sender: str
    query: PermitQuery


class FairQueue:
    """Waiting queries, by workspace and deadline."""

    def __init__(self) -> None:
        self._workspaces: dict[int, list[QueuedQuery]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedQuery]:
        for waiting in list(self._workspaces.values()):
            yield from list(waiting)

    def count_waiting(self, workspace: int) -> int:
        """Return how many queries of a workspace wait."""
        return len(self._workspaces.get(workspace, ()))

    def list_workspaces(self) -> list[int]:
        """Return the workspaces that have queries waiting."""
        return list(self._workspaces)

    def push(self, waiting: QueuedQuery) -> None:
        """Add a query."""
        bisect.insort(self._workspaces.setdefault(waiting.query.workspace, []), waiting)
        self._length += 1

    def remove(self, waiting: QueuedQuery) -> None:
        """Take a query out, if it is still in."""
        queries = self._workspaces.get(waiting.query.workspace, [])
        index = bisect.bisect_left(queries, waiting)
        if index == len(queries) or queries[index] != waiting:
            return
        del queries[index]
        self._length -= 1
        if not queries:
            del self._workspaces[waiting.query.workspace]

    def iterate_in_grant_order(self, in_flight: Counter[int]) -> Iterator[QueuedQuery]:
        """Yield the queries in the order in which they should be granted.

        Args:
            in_flight: Permits in flight by workspace.
        """
        heap = [
            (in_flight[workspace], queries[0], 0, queries)
            for workspace, queries in self._workspaces.items()
        ]
        heapq.heapify(heap)
        while heap:
            level, waiting, index, queries = heap[0]
            yield waiting
            if index + 1 < len(queries):
                following = (level + 1, queries[index + 1], index + 1, queries)
                heapq.heapreplace(heap, following)
            else:
                heapq.heappop(heap)

    def count_ahead(self, waiting: QueuedQuery, in_flight: Counter[int]) -> int:
        """Return how many grants come before a newly arrived query's.

        Args:
            waiting: The query, which need not be in the queue.
            in_flight: Permits in flight by workspace.
        """
        workspace = waiting.query.workspace
        own = self._workspaces.get(workspace, [])
        own_ahead = bisect.bisect_left(own, waiting)
        level = in_flight[workspace] + own_ahead + 1
        others = (
            min(len(queries), max(0, level - in_flight[other]))
            for other, queries in self._workspaces.items()
            if other != workspace
        )
        return own_ahead + sum(others)
