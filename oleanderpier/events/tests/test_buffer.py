"""Tests of the bounded buffer of events."""

from testtools import TestCase

from oleanderpier.events import Clock, EventBuffer
from oleanderpier.utils import ManualTimers

CAPACITY = 8


class EventBufferTest(TestCase):
    """The buffer is bounded and reports how many events it has discarded."""

    def make_buffer(self, recorded):
        """Return a buffer to which a number of events were recorded."""
        timers = ManualTimers()
        buffer = EventBuffer("h1", 1, Clock(timers), timers, capacity=CAPACITY)
        for number in range(recorded):
            buffer.record("test:event", str(number), text="x" * 10_000)
        return buffer

    def test_events_after_sequence_and_lost_count(self):
        """A reader gets the buffered events after its last, and how many are lost."""
        # Number of events recorded, the reader's last sequence number, expected
        # sequence numbers, expected number of lost events.
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
                tail = self.make_buffer(recorded).list_after(after)
                self.assertEqual(sequences, [event.sequence for event in tail.events])
                self.assertEqual((lost, recorded), (tail.lost, tail.last))

    def test_limit_returns_newest_without_lost(self):
        """With a limit the newest events are returned, and none counts as lost."""
        tail = self.make_buffer(recorded=20).list_after(14, limit=2)
        self.assertEqual([19, 20], [event.sequence for event in tail.events])
        self.assertEqual(0, tail.lost)
        self.assertEqual(
            [], self.make_buffer(recorded=20).list_after(0, limit=0).events
        )

    def test_event_count_and_text_length_are_bounded(self):
        """The number of events and the length of their texts are limited."""
        tail = self.make_buffer(recorded=1000).list_after(0)
        self.assertEqual(CAPACITY, len(tail.events))
        self.assertLessEqual(max(len(event.text) for event in tail.events), 240)
