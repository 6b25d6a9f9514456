"""Tests of the fair queue and of the cache affinity of chats."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.placement import ChatAffinity, FairQueue, PermitQuery, QueuedQuery


def make_queued(sequence, workspace, deadline_s=10.0):
    """Return a queued permit query."""
    return QueuedQuery(
        deadline_s, sequence, "h0", PermitQuery(sequence, 1, 0, workspace, 1000)
    )


class FairQueueTest(TestCase):
    """The order of grants and the number of queries ahead."""

    def test_workspace_with_fewest_permits_goes_first(self):
        """Workspaces go by permits in flight, their queries by deadline."""
        queue = FairQueue()
        for sequence in range(3):
            queue.push(make_queued(sequence, 1))
        queue.push(make_queued(3, 2, deadline_s=20.0))
        queue.push(make_queued(4, 2, deadline_s=15.0))
        grant_order = [
            q.sequence for q in queue.iterate_in_grant_order(Counter({1: 2, 2: 1}))
        ]
        self.assertEqual([4, 0, 3, 1, 2], grant_order)

    def test_count_ahead_matches_grant_order(self):
        """The count equals the position in grant order, except for ties."""
        rng = random.Random(5)
        for _ in range(200):
            queue = FairQueue()
            in_flight = Counter({w: rng.randrange(6) for w in range(4)})
            for sequence in range(rng.randrange(1, 20)):
                queue.push(make_queued(sequence, rng.randrange(4), rng.random()))
            new_query = make_queued(99, rng.randrange(4), rng.random())
            ahead = queue.count_ahead(new_query, in_flight)
            queue.push(new_query)
            grant_order = list(queue.iterate_in_grant_order(in_flight))
            ties = len({q.query.workspace for q in grant_order}) - 1
            self.assertTrue(0 <= ahead - grant_order.index(new_query) <= ties)

    def test_second_removal_has_no_effect(self):
        """A second removal of a query has no effect."""
        queue, queued = FairQueue(), make_queued(0, 1)
        queue.push(queued)
        queue.remove(queued)
        queue.remove(queued)
        self.assertEqual((0, []), (len(queue), queue.list_workspaces()))


class ChatAffinityTest(TestCase):
    """The servers recorded for chats."""

    def test_table_is_bounded_and_cache_events_rank_last(self):
        """Placements rank before cache events; the oldest chats are dropped."""
        affinity = ChatAffinity(max_chats=2)
        affinity.record_placement(1, "a")
        affinity.record_stored(1, "b")
        affinity.record_placement(1, "c")
        self.assertEqual(("c", "a", "b"), affinity.find_servers(1))
        affinity.record_evicted(1, "c")
        self.assertEqual(("a", "b"), affinity.find_servers(1))
        affinity.record_placement(2, "a")
        affinity.record_placement(3, "a")
        self.assertEqual((), affinity.find_servers(1))
