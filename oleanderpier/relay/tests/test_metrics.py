"""Latencies by class, with a manual clock."""

from testtools import TestCase

from oleanderpier.relay.metrics import WINDOW_S, RelayMetrics
from oleanderpier.utils import ManualTimers


class RelayMetricsTest(TestCase):
    """Reported latencies match the recorded ones, within the histogram's precision."""

    def setUp(self):
        """Record 40 responses of 100 tokens, 20 ms apart."""
        super().setUp()
        self.timers = ManualTimers()
        self.metrics = RelayMetrics(self.timers)
        self.metrics.start()
        for _ in range(40):
            timer = self.metrics.start_response("review")
            self.timers.advance(0.2)
            for _ in range(100):
                timer.record_delivery()
                self.timers.advance(0.02)
            timer.record_completion()

    def test_reported_latencies(self):
        """All first tokens and whole responses count, and one in sixteen gaps."""
        (report,) = self.metrics.report_latencies()
        self.assertEqual("review", report.work_class)
        response_count = report.whole.count
        self.assertAlmostEqual(0.2, report.first_token.p95_s, delta=0.004)
        self.assertAlmostEqual(2.2, report.whole.p50_s, delta=0.05)
        self.assertAlmostEqual(0.02, report.between_tokens.max_s, delta=0.0005)
        self.assertAlmostEqual(
            response_count * 99 / 16, report.between_tokens.count, delta=response_count
        )

    def test_window_rotation_drops_old_latencies(self):
        """After two windows without responses all latencies are dropped."""
        self.timers.advance(2 * WINDOW_S)
        (report,) = self.metrics.report_latencies()
        self.assertEqual(0, report.first_token.count)
