"""Tests of the order in which requests wait for a permit."""

import random

from testtools import TestCase

from oleanderpier.routing.permit_queue import AGEING_S, PermitQueue, QueuedDemand
from oleanderpier.routing.permit_records import PermitDemand
from oleanderpier.routing.tests.permit_plays import make_demand

FAR_S = 1000.0


class PermitQueueTest(TestCase):
    """Guards against urgent requests behind others, and against starvation."""

    def setUp(self):
        """Make an empty queue."""
        super().setUp()
        self.reset()

    def reset(self) -> None:
        """Begin with an empty queue."""
        self.held: dict[str, int] = {}
        self.queue = PermitQueue(self.held)

    def add(self, number: int, arrived_s: float = 0.0, **fields) -> PermitDemand:
        """Add a query; return it."""
        query = make_demand(number, **fields)
        self.queue.add(QueuedDemand(query, arrived_s, number, FAR_S))
        return query

    def list_numbers(self, now_s: float = 0.0) -> list[int]:
        """Return the numbers of the queries in order."""
        return [
            queued.query.holder.number for queued in self.queue.list_in_order(now_s)
        ]

    def test_urgent_requests_are_first(self):
        """However late they arrive."""
        self.add(1, urgency=3)
        self.add(2, urgency=1)
        self.add(3, urgency=2)
        self.assertEqual([2, 3, 1], self.list_numbers())

    def test_first_attempts_are_before_repeats_of_equal_urgency(self):
        """But not before more urgent repeats."""
        self.add(1, urgency=1, is_repeat=True)
        self.add(2, urgency=1)
        self.add(3, urgency=2)
        self.assertEqual([2, 1, 3], self.list_numbers())

    def test_workspace_with_the_fewest_permits_is_first(self):
        """Those that it gets for queries ahead count too."""
        self.held.update(many=2)
        for number in (1, 2, 3):
            self.add(number, workspace="many")
        for number in (4, 5, 6):
            self.add(number, workspace="few")
        self.assertEqual([4, 5, 1, 6, 2, 3], self.list_numbers())

    def test_waiting_raises_the_urgency_without_an_end(self):
        """A request is not starved by a flow of more urgent ones."""
        self.add(1, urgency=3)
        late_s = 3 * AGEING_S
        self.add(2, late_s, urgency=0)
        self.assertEqual([1, 2], self.list_numbers(late_s))
        self.assertEqual([2, 1], self.list_numbers(late_s - 0.01))
        # Nor by those of the same urgency in workspaces with fewer permits.
        self.held.update(w1=9)
        self.add(3, late_s + AGEING_S, urgency=0, workspace="w2")
        self.assertEqual(1, self.list_numbers(late_s + AGEING_S)[0])

    def test_ageing_does_not_put_a_repeat_before_a_first_attempt(self):
        """Else old retries take the places of new requests of the same urgency."""
        self.add(1, urgency=2, is_repeat=True)
        self.add(2, 4 * AGEING_S, urgency=2)
        self.assertEqual([2, 1], self.list_numbers(4 * AGEING_S))
        # They still age against requests of less urgency.
        self.add(3, 4 * AGEING_S, urgency=3)
        self.assertEqual([2, 1, 3], self.list_numbers(4 * AGEING_S))

    def test_ends_and_counts_agree_with_the_order(self):
        """They are computed without sorting, by rules of their own."""
        rng = random.Random(5)
        for _ in range(300):
            self.reset()
            now_s = rng.uniform(0.0, 3.0)
            self.held.update({"w0": rng.randrange(4), "w1": rng.randrange(4)})
            arrivals_s = sorted(rng.uniform(0.0, now_s) for _ in range(20))
            fields = [
                {
                    "urgency": rng.randrange(4),
                    "is_repeat": rng.random() < 0.4,
                    "workspace": f"w{rng.randrange(4)}",
                }
                for _ in range(21)
            ]
            for number, arrived_s in enumerate(arrivals_s):
                self.add(number, arrived_s, **fields[number])
            order = self.list_numbers(now_s)
            self.assertEqual(order[0], self.queue.find_first(now_s).query.holder.number)
            last = self.queue.find_last(now_s)
            self.assertEqual(order[-1], last.query.holder.number)
            new = make_demand(20, **fields[20])
            ahead = self.queue.count_ahead(new, now_s)
            precedes_last = self.queue.precedes(new, last, now_s)
            self.add(20, now_s, **fields[20])
            order_with_new = self.list_numbers(now_s)
            self.assertEqual(order_with_new.index(20), ahead)
            is_before = order_with_new.index(order[-1]) > ahead
            self.assertEqual(is_before, precedes_last)

    def test_removed_queries_leave_nothing(self):
        """A queue that is empty again costs no memory."""
        queries = [self.add(number, urgency=number % 3) for number in range(9)]
        for query in queries:
            self.queue.remove(query)
        self.assertEqual({}, self.queue._groups)
