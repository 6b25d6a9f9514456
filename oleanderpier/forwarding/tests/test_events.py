"""Tests of splitting a stream into events."""

from testtools import TestCase

from oleanderpier.exception import MessageError
from oleanderpier.forwarding.events import MAX_EVENT_BYTES, EventSplitter

LINES = "\n".join(["id: 1", "data: a", "", ": comment", "id: 2", "data: b", ""]) + "\n"
LINE_ENDS = ("\n", "\r\n", "\r")


class EventSplitterTest(TestCase):
    """Events are found with each line end, however their bytes arrive."""

    def test_events_at_every_split_point(self):
        """The bytes are unchanged, and both events are complete at the end."""
        for line_end in LINE_ENDS:
            data = LINES.replace("\n", line_end).encode()
            for at in range(len(data) + 1):
                splitter = EventSplitter()
                received = splitter.feed(data[:at]) + splitter.feed(data[at:])
                self.assertEqual(
                    (data, "2", False),
                    (received, splitter.last_event_id, splitter.is_inside_event),
                    (line_end, at),
                )

    def test_inside_event_at_every_offset(self):
        """A stream is outside of events only at its start and after an empty line."""
        for line_end in LINE_ENDS:
            data = LINES.replace("\n", line_end).encode()
            first_size = data.find(b": a") + 3 + 2 * len(line_end)
            outside = set()
            for size in range(len(data) + 1):
                splitter = EventSplitter()
                splitter.feed(data[:size])
                if not splitter.is_inside_event:
                    outside.add(size)
            self.assertEqual({0, first_size, len(data)}, outside, line_end)

    def test_empty_lines_between_events(self):
        """Further empty lines belong to no event and are not dropped."""
        splitter = EventSplitter()
        data = b"data: a\r\n\r\n\r\n"
        self.assertEqual(
            (data, False),
            (splitter.feed(data) + splitter.remainder, splitter.is_inside_event),
        )

    def test_event_of_too_many_bytes_is_an_error(self):
        """The bound holds also behind complete events."""
        for before in (b"", b"data: a\n\n"):
            splitter = EventSplitter()
            data = before + b"x" * (MAX_EVENT_BYTES + 1)
            self.assertRaises(MessageError, splitter.feed, data)
