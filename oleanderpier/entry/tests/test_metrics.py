"""Tests of the metrics of an entry host."""

from testtools import TestCase

from oleanderpier.connections import Framing
from oleanderpier.entry import EntryMetrics
from oleanderpier.results import Code
from oleanderpier.routing import AttemptOutcome, RequestKind


class MetricsTest(TestCase):
    """Metrics have the documented names and labels."""

    def setUp(self):
        """Create a registry without samples."""
        super().setUp()
        self.metrics = EntryMetrics()

    def read(self, name: str, **labels: str) -> float | None:
        """Return the value of a sample, None if it does not exist."""
        return self.metrics.registry.get_sample_value(f"oleanderpier_{name}", labels)

    def test_requests_are_counted_by_kind_and_code(self):
        """Requests that succeed and that are refused have different labels."""
        self.metrics.record_request_end(RequestKind.STREAM, Code.DONE, 1.2, 0.3)
        self.metrics.record_request_end(
            RequestKind.STREAM, Code.NO_BACKEND_SERVER, 0.01, None
        )
        self.metrics.record_request_end(None, Code.ROUTE_UNKNOWN, 0.001, None)
        for kind, code in (
            ("stream", "DONE"),
            ("stream", "NO_BACKEND_SERVER"),
            ("unknown", "ROUTE_UNKNOWN"),
        ):
            self.assertEqual(1.0, self.read("requests_total", kind=kind, code=code))
        self.assertEqual(2.0, self.read("request_seconds_count", kind="stream"))
        self.assertEqual(1.0, self.read("first_piece_seconds_count", kind="stream"))

    def test_latency_target_is_bucket_bound(self):
        """A histogram shows how many requests met a latency target."""
        for took_s in (0.1, 0.124, 0.3):
            self.metrics.record_request_end(RequestKind.ONCE, Code.DONE, took_s, None)
        self.assertEqual(
            2.0, self.read("request_seconds_bucket", kind="once", le="0.125")
        )

    def test_attempts_and_platform_calls_are_recorded(self):
        """Both dependencies, servers and the platform, have a histogram."""
        self.metrics.record_attempt(AttemptOutcome.SILENT, None, 1.0)
        self.metrics.record_platform_call("servers", False, 1.6)
        self.assertEqual(1.0, self.read("send_seconds_count", ending="silent"))
        self.assertEqual(
            1.0,
            self.read("platform_call_seconds_count", space="servers", answered="false"),
        )

    def test_responses_are_counted_by_framing(self):
        """An attempt without a response is not counted."""
        for outcome, framing in (
            (AttemptOutcome.SILENT, None),
            (AttemptOutcome.CUT, Framing.CONNECTION),
        ):
            self.metrics.record_attempt(outcome, framing, 1.0)
        self.assertEqual(
            1.0, self.read("responses_total", framing="connection", ending="cut")
        )
        self.assertIsNone(
            self.read("responses_total", framing="connection", ending="silent")
        )

    def test_gauge_is_read_when_scraped(self):
        """A gauge has the value at the time of the scrape."""
        values = [3.0]
        self.metrics.register_gauge("servers_usable", "Servers.", lambda: values[-1])
        values.append(2.0)
        self.assertEqual(2.0, self.read("servers_usable"))
