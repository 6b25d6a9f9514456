"""The queue of permit queries at a pool's owner, fair between workspaces.

The next grant goes to the workspace with the fewest permits in flight, and
within it to the query with the earliest deadline. Classes of work with a
tighter target therefore go first, and a surge in one workspace delays only
the queries of that workspace.
"""

import bisect
import heapq
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from oleanderpier.placement.messages import PermitQuery

__all__ = ["MAX_QUEUE_TIME_RATIO", "FairQueue", "QueuedQuery"]

# Part of the time left until the target that a query may spend in the queue.
MAX_QUEUE_TIME_RATIO = 0.5


class QueuedQuery(NamedTuple):
    """A permit query in the queue. Queries sort by deadline.

    Attributes:
        deadline_s: The monotonic time at which the query is refused if it is
            still queued, in seconds.
        sequence: The query's arrival number at the owner.
        sender: The entry host.
        query: The query.
    """

    deadline_s: float
    sequence: int
    sender: str
    query: PermitQuery


class FairQueue:
    """Queued permit queries, by workspace and deadline."""

    def __init__(self) -> None:
        self._workspaces: dict[int, list[QueuedQuery]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedQuery]:
        for waiting in list(self._workspaces.values()):
            yield from list(waiting)

    def count_queued(self, workspace: int) -> int:
        """Return the number of queued queries of a workspace."""
        return len(self._workspaces.get(workspace, ()))

    def list_workspaces(self) -> list[int]:
        """Return the hashes of the workspaces that have queued queries."""
        return list(self._workspaces)

    def push(self, queued: QueuedQuery) -> None:
        """Add a query."""
        bisect.insort(self._workspaces.setdefault(queued.query.workspace, []), queued)
        self._length += 1

    def remove(self, queued: QueuedQuery) -> None:
        """Remove a query if it is queued."""
        queries = self._workspaces.get(queued.query.workspace, [])
        index = bisect.bisect_left(queries, queued)
        if index == len(queries) or queries[index] != queued:
            return
        del queries[index]
        self._length -= 1
        if not queries:
            del self._workspaces[queued.query.workspace]

    def iterate_in_grant_order(self, in_flight: Counter[int]) -> Iterator[QueuedQuery]:
        """Yield the queries in the order in which they should be granted.

        The order assumes that no permit is released in the meantime.

        Args:
            in_flight: The number of permits in flight by workspace.
        """
        heap = [
            (in_flight[workspace], queries[0], 0, queries)
            for workspace, queries in self._workspaces.items()
        ]
        heapq.heapify(heap)
        while heap:
            permit_count, queued, index, queries = heap[0]
            yield queued
            if index + 1 < len(queries):
                following = (permit_count + 1, queries[index + 1], index + 1, queries)
                heapq.heapreplace(heap, following)
            else:
                heapq.heappop(heap)

    def count_ahead(self, queued: QueuedQuery, in_flight: Counter[int]) -> int:
        """Return how many queued queries would be granted before a query.

        Ties between workspaces count as ahead.

        Args:
            queued: The query, which need not be in the queue.
            in_flight: The number of permits in flight by workspace.
        """
        workspace = queued.query.workspace
        own_queries = self._workspaces.get(workspace, [])
        own_ahead = bisect.bisect_left(own_queries, queued)
        permit_count = in_flight[workspace] + own_ahead + 1
        others = (
            min(len(queries), max(0, permit_count - in_flight[other]))
            for other, queries in self._workspaces.items()
            if other != workspace
        )
        return own_ahead + sum(others)
