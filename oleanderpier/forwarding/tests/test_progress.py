"""Tests of whether a stream still goes on, on a manual clock."""

from testtools import TestCase

from oleanderpier.forwarding.events import EventSplitter
from oleanderpier.forwarding.progress import MIN_STALL_TIMEOUT_S, StreamProgress
from oleanderpier.forwarding.tests.fakes import format_events
from oleanderpier.routing.tests.fakes import make_route


def make_progress(**changes) -> StreamProgress:
    """Return the progress of a stream with short targets."""
    route = make_route(target_s=0.1, gap_target_s=0.1)._replace(**changes)
    return StreamProgress(route, EventSplitter())


class StreamProgressTest(TestCase):
    """Bytes that are no event show no progress."""

    def test_bytes_without_event_stall(self):
        """So do comments and repeated ids; the time begins with the first byte."""
        for data in (b"x", b":\n\n", b"id: 1\n\n"):
            progress = make_progress()
            progress.feed(format_events(1, 1), 0.0)
            self.assertFalse(progress.is_stalled(100.0), data)
            progress.feed(data, 100.0)
            progress.feed(data, 101.0)
            self.assertFalse(progress.is_stalled(101.4), data)
            self.assertTrue(progress.is_stalled(100.0 + MIN_STALL_TIMEOUT_S), data)

    def test_event_ends_a_stall(self):
        """The time begins anew with the next byte, also in the same read."""
        progress = make_progress()
        progress.feed(b"id: 1\n", 0.0)
        progress.feed(b"data: x\n\nid", 1.4)
        self.assertFalse(progress.is_stalled(2.8))
        self.assertTrue(progress.is_stalled(2.9))

    def test_limit_follows_the_targets(self):
        """A route with slow events waits longer."""
        for changes, limit_s in (({"target_s": 4.0}, 8.0), ({"gap_target_s": 5.0}, 20)):
            progress = make_progress(**changes)
            progress.feed(b"x", 0.0)
            self.assertFalse(progress.is_stalled(limit_s - 0.1))
            self.assertTrue(progress.is_stalled(limit_s))

    def test_first_event_is_the_first_with_data(self):
        """A comment is none."""
        progress = make_progress()
        progress.feed(b":\n\n", 1.0)
        self.assertIsNone(progress.first_event_at_s)
        progress.feed(b"data: x\n\n", 2.0)
        self.assertEqual(2.0, progress.first_event_at_s)
