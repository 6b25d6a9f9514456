"""Tests of what a draining host admits, and of how long it waits."""

from testtools import TestCase

from oleanderpier.entry.draining import Drain
from oleanderpier.results import Code
from oleanderpier.routing import RequestKind
from oleanderpier.routing.tests.fakes import make_route
from oleanderpier.utils import ManualTimers

GRACE_S = 8.0


class DrainTest(TestCase):
    """A stop under load, with callers that use old lists and open connections."""

    def setUp(self):
        """Create a host's drain that has not begun, and the route of a call."""
        super().setUp()
        self.timers = ManualTimers()
        self.drain = Drain(self.timers, GRACE_S)
        self.route = make_route(kind=RequestKind.ONCE, target_s=0.2)

    def test_everything_is_admitted_before_the_drain(self):
        """A host that does not drain refuses nothing."""
        self.assertIsNone(self.drain.check_admission(self.route, 3600.0))

    def test_call_that_may_outlast_the_drain_is_refused_unless_repeatable(self):
        """It is expected to end soon, but its time limit is after the grace period."""
        self.drain.begin()
        self.timers.advance(2.0)
        self.assertIsNone(self.drain.check_admission(self.route, 5.0))
        refused = self.drain.check_admission(self.route, 6.5)
        self.assertEqual(Code.HOST_LEAVING, refused.code)
        repeatable = self.route._replace(kind=RequestKind.IDEMPOTENT)
        self.assertIsNone(self.drain.check_admission(repeatable, 6.5))

    def test_listener_stays_open_while_requests_are_in_progress(self):
        """Callers with an old list are get a refusal in place of a reset."""
        self.drain.begin()
        self.timers.advance(3.0)
        self.assertTrue(self.drain.may_stop_listening(0))
        self.assertFalse(self.drain.may_stop_listening(1))
        self.timers.advance(GRACE_S)
        self.assertTrue(self.drain.may_stop_listening(1))

    def test_stop_of_a_host_that_stood_still_ends_before_it_is_killed(self):
        """The signal may have come at the beginning of the standstill."""
        for delay_s in (0.0, 0.3):
            drain = Drain(self.timers, GRACE_S)
            self.timers.advance(5.0)
            stopped_s = self.timers.now()
            self.timers._now_s += 3.0
            self.timers.advance(delay_s)
            drain.begin()
            self.assertLess(drain.get_last_response_deadline_s(), stopped_s + GRACE_S)
            self.assertFalse(drain.may_stop_listening(0), "callers have old lists")
            self.assertIsNone(drain.check_admission(self.route, 3600.0))
            self.timers.advance(GRACE_S - 3.0)
            self.assertTrue(drain.may_stop_listening(1))

    def test_stop_after_a_long_standstill_has_half_of_the_grace_period(self):
        """The signal came later than its beginning, since the host was not killed."""
        self.timers._now_s += 60.0
        self.drain.begin()
        self.assertFalse(self.drain.may_stop_listening(1))
        left_s = self.drain.get_last_response_deadline_s() - self.timers.now()
        self.assertGreater(left_s, 0.4 * GRACE_S)

    def test_standstill_long_before_the_stop_does_not_count(self):
        """The whole grace period is left."""
        self.timers._now_s += 3.0
        self.timers.advance(2.0)
        self.drain.begin()
        self.assertGreater(
            self.drain.get_last_response_deadline_s(), self.timers.now() + 0.9 * GRACE_S
        )
