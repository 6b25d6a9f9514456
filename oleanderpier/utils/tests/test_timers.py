"""Tests of the timer service that is driven by hand."""

from testtools import TestCase

from oleanderpier.utils import ManualTimers


class ManualTimersTest(TestCase):
    """Callbacks fall due in order, at their own time."""

    def test_order_and_interval(self):
        """One-off and repeated callbacks interleave by due time."""
        timers = ManualTimers()
        seen = []
        timers.subscribe(2.0, lambda: seen.append(("tick", timers.now())))
        timers.call_later(3.0, lambda: seen.append(("once", timers.now())))
        timers.advance(5.0)
        self.assertEqual([("tick", 2.0), ("once", 3.0), ("tick", 4.0)], seen)

    def test_cancel(self):
        """A cancelled subscription never calls back."""
        timers = ManualTimers()
        seen = []
        subscription = timers.subscribe(1.0, lambda: seen.append(timers.now()))
        timers.advance(1.0)
        subscription.cancel()
        timers.advance(5.0)
        self.assertEqual([1.0], seen)
