"""Tests of the conversion between events and rows of responses."""

import msgspec
from testtools import TestCase

from oleanderpier.events import Clock, EventBuffer
from oleanderpier.operators import EventRow, make_event_row, parse_event_row
from oleanderpier.utils import ManualTimers


class EventRowTest(TestCase):
    """Events keep every field when they are read over the operators' interface."""

    def test_event_survives_json_round_trip(self):
        """An event equals the one decoded from its row in JSON."""
        timers = ManualTimers()
        ring = EventBuffer("h1", 3, Clock(timers), timers, capacity=4)
        event = ring.record("claims:granted", "key-1", 201, "é")
        row = msgspec.json.decode(
            msgspec.json.encode(make_event_row(event)), type=EventRow
        )
        self.assertEqual(event, parse_event_row(row))
