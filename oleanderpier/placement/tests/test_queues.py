"""Tests of the queue that is fair between workspaces."""

import random
from collections import Counter

from testtools import TestCase

from oleanderpier.placement import ChatAffinity, FairQueue, PermitQuery, QueuedQuery


def make_waiting(order, workspace, deadline_s=10.0):
    """Return a waiting ask."""
    return QueuedQuery(
        deadline_s, order, "h0", PermitQuery(order, 1, 0, workspace, 1000)
    )


class FairQueueTest(TestCase):
    """The order of grants, and what is ahead of a newcomer."""

    def test_quiet_workspace_goes_first(self):
        """The one with fewest in flight, then the earliest deadline."""
        queue = FairQueue()
        for order in range(3):
            queue.push(make_waiting(order, 1))
        queue.push(make_waiting(3, 2, deadline_s=20.0))
        queue.push(make_waiting(4, 2, deadline_s=15.0))
        turn = [w.sequence for w in queue.iterate_in_grant_order(Counter({1: 2, 2: 1}))]
        self.assertEqual([4, 0, 3, 1, 2], turn)

    def test_count_ahead_matches_turn(self):
        """The predicted place is the place in the true order of grants."""
        rng = random.Random(5)
        for _ in range(200):
            queue = FairQueue()
            in_flight = Counter({w: rng.randrange(6) for w in range(4)})
            for order in range(rng.randrange(1, 20)):
                queue.push(make_waiting(order, rng.randrange(4), rng.random()))
            newcomer = make_waiting(99, rng.randrange(4), rng.random())
            ahead = queue.count_ahead(newcomer, in_flight)
            queue.push(newcomer)
            turn = list(queue.iterate_in_grant_order(in_flight))
            ties = len({w.query.workspace for w in turn}) - 1
            self.assertTrue(0 <= ahead - turn.index(newcomer) <= ties)

    def test_remove(self):
        """What was taken out is gone; taking it out again does nothing."""
        queue, waiting = FairQueue(), make_waiting(0, 1)
        queue.push(waiting)
        queue.remove(waiting)
        queue.remove(waiting)
        self.assertEqual((0, []), (len(queue), queue.list_workspaces()))


class ChatHomesTest(TestCase):
    """What is remembered of chats."""

    def test_bounded_and_late_reports_go_last(self):
        """Late reports do not outrank placements; old chats are forgotten."""
        homes = ChatAffinity(max_chats=2)
        homes.record_placement(1, "a")
        homes.record_stored(1, "b")
        homes.record_placement(1, "c")
        self.assertEqual(("c", "a", "b"), homes.find_servers(1))
        homes.record_evicted(1, "c")
        self.assertEqual(("a", "b"), homes.find_servers(1))
        homes.record_placement(2, "a")
        homes.record_placement(3, "a")
        self.assertEqual((), homes.find_servers(1))
