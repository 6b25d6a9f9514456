"""Tests of the operators' answers."""

import msgspec
from testtools import TestCase

from oleanderpier.events import Clock, EventBuffer
from oleanderpier.operators import EventRow, make_event, make_event_row
from oleanderpier.utils import ManualTimers


class EventRowTest(TestCase):
    """Events keep every field over the operators' interface."""

    def test_round_trip(self):
        """An event is the same after it went through JSON."""
        timers = ManualTimers()
        ring = EventBuffer("h1", 3, Clock(timers), timers, capacity=4)
        event = ring.record("claims:granted", "key-1", 201, "é")
        row = msgspec.json.decode(
            msgspec.json.encode(make_event_row(event)), type=EventRow
        )
        self.assertEqual(event, make_event(row))
