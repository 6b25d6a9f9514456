"""Tests of the bounded ring of events."""

from testtools import TestCase

from oleanderpier.events import Clock, EventBuffer
from oleanderpier.utils import ManualTimers

KEPT = 8


class RingTest(TestCase):
    """A ring is bounded, and tells of what it no longer has."""

    def make_ring(self, recorded):
        """Return a ring after a number of events."""
        timers = ManualTimers()
        ring = EventBuffer("h1", 1, Clock(timers), timers, capacity=KEPT)
        for number in range(recorded):
            ring.record("test:event", str(number), text="x" * 10_000)
        return ring

    def test_tails(self):
        """Each reader gets what is kept and the number of what is lost."""
        # Events recorded, the reader's last, sequences that come, how many lost.
        cases = [
            (0, 0, [], 0),
            (0, 5, [], 0),
            (5, 0, [1, 2, 3, 4, 5], 0),
            (5, 3, [4, 5], 0),
            (5, 5, [], 0),
            (5, 9, [], 0),
            (20, 0, list(range(13, 21)), 12),
            (20, 10, list(range(13, 21)), 2),
            (20, 12, list(range(13, 21)), 0),
            (20, 18, [19, 20], 0),
            (20, -1, list(range(13, 21)), 12),
        ]
        for recorded, after, sequences, lost in cases:
            with self.subTest(recorded=recorded, after=after):
                tail = self.make_ring(recorded).list_after(after)
                self.assertEqual(sequences, [event.sequence for event in tail.events])
                self.assertEqual((lost, recorded), (tail.lost, tail.last))

    def test_limit(self):
        """A reader that wants few gets the newest, and no false gap."""
        tail = self.make_ring(recorded=20).list_after(14, limit=2)
        self.assertEqual([19, 20], [event.sequence for event in tail.events])
        self.assertEqual(0, tail.lost)
        self.assertEqual([], self.make_ring(recorded=20).list_after(0, limit=0).events)

    def test_bounded(self):
        """Neither the number of events nor the length of a text grows."""
        tail = self.make_ring(recorded=1000).list_after(0)
        self.assertEqual(KEPT, len(tail.events))
        self.assertLessEqual(max(len(event.text) for event in tail.events), 240)
