"""Tests of the manual timer service."""

from testtools import TestCase

from oleanderpier.utils import ManualTimers


class ManualTimersTest(TestCase):
    """Callbacks run in order, each at its due time."""

    def test_callbacks_run_in_order_of_due_time(self):
        """One-off and repeated callbacks interleave by due time."""
        timers = ManualTimers()
        calls = []
        timers.subscribe(2.0, lambda: calls.append(("tick", timers.now())))
        timers.call_later(3.0, lambda: calls.append(("once", timers.now())))
        timers.advance(5.0)
        self.assertEqual([("tick", 2.0), ("once", 3.0), ("tick", 4.0)], calls)

    def test_cancelled_callback_does_not_run(self):
        """A cancelled subscription does not call back."""
        timers = ManualTimers()
        calls = []
        subscription = timers.subscribe(1.0, lambda: calls.append(timers.now()))
        timers.advance(1.0)
        subscription.cancel()
        timers.advance(5.0)
        self.assertEqual([1.0], calls)
