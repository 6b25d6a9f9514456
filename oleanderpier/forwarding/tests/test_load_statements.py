"""Tests of what responses state of the load and the speed of their servers."""

from testtools import TestCase

from oleanderpier.forwarding.tests.fakes import (
    ForwarderFixture,
    RecordingCaller,
    stream_events,
)
from oleanderpier.routing.costs import DEFAULT_ESTIMATE, MIN_MEASUREMENTS
from oleanderpier.routing.tests.fakes import ENGINE, make_route
from oleanderpier.utils import run_coroutine


class SpeedTest(TestCase):
    """A server that states its speed puts its service under permits."""

    def forward(self, *headers: str) -> ForwarderFixture:
        """Forward enough requests for a measurement, to one server."""
        fixture = ForwarderFixture([stream_events(2, headers=headers)])
        callers = [RecordingCaller() for _ in range(int(MIN_MEASUREMENTS) + 5)]
        run_coroutine(fixture.forward_all(make_route(), 5.0, callers))
        self.assertEqual({True}, {caller.complete for caller in callers})
        return fixture

    def test_time_to_the_first_event_is_measured(self):
        """Without it, all costs of prefill would stay at their defaults."""
        fixture = self.forward("Slow: 1.0")
        estimate = fixture.chooser.costs.prefill_times.estimate(ENGINE)
        self.assertGreater(estimate.base_ms, 0.0)
        self.assertLess(estimate.base_ms, 1000.0)

    def test_service_without_speeds(self):
        """Nothing is measured, and it is not under permits."""
        fixture = self.forward()
        estimate = fixture.chooser.costs.prefill_times.estimate(ENGINE)
        self.assertEqual(DEFAULT_ESTIMATE, estimate)
