"""Times by class, with the clock driven by hand."""

from testtools import TestCase

from oleanderpier.relay.metrics import WINDOW_S, RelayMetrics
from oleanderpier.utils import ManualTimers


class MeasuresTest(TestCase):
    """What is reported is what was measured, within the histogram's digits."""

    def setUp(self):
        """Measure 40 answers of 100 tokens, 20 ms apart."""
        super().setUp()
        self.timers = ManualTimers()
        self.measures = RelayMetrics(self.timers)
        self.measures.start()
        for _ in range(40):
            times = self.measures.start_response("review")
            self.timers.advance(0.2)
            for _ in range(100):
                times.record_delivery()
                self.timers.advance(0.02)
            times.record_completion()

    def test_report(self):
        """Every first token and whole answer, one in sixteen gaps."""
        (report,) = self.measures.report_latencies()
        self.assertEqual("review", report.work_class)
        recent = report.whole.count
        self.assertAlmostEqual(0.2, report.first_token.p95_s, delta=0.004)
        self.assertAlmostEqual(2.2, report.whole.p50_s, delta=0.05)
        self.assertAlmostEqual(0.02, report.between_tokens.max_s, delta=0.0005)
        self.assertAlmostEqual(
            recent * 99 / 16, report.between_tokens.count, delta=recent
        )

    def test_windows_turn(self):
        """After two windows without answers nothing is left."""
        self.timers.advance(2 * WINDOW_S)
        (report,) = self.measures.report_latencies()
        self.assertEqual(0, report.first_token.count)
