"""Tests of the metrics of an entry host."""

from testtools import TestCase

from oleanderpier.entry import EntryMetrics
from oleanderpier.results import Code
from oleanderpier.routing import AttemptOutcome, RequestKind


class MetricsTest(TestCase):
    """What happened is found under the labels that the docs name."""

    def setUp(self):
        """Begin with nothing counted."""
        super().setUp()
        self.metrics = EntryMetrics()

    def read(self, name: str, **labels: str) -> float | None:
        """Return a sample's value, None if there is none."""
        return self.metrics.registry.get_sample_value(f"oleanderpier_{name}", labels)

    def test_ends_are_counted_by_kind_and_code(self):
        """A refusal and a success are told apart."""
        self.metrics.count_end(RequestKind.STREAM, Code.DONE, 1.2, 0.3)
        self.metrics.count_end(RequestKind.STREAM, Code.NO_BACKEND_SERVER, 0.01, None)
        self.metrics.count_end(None, Code.ROUTE_UNKNOWN, 0.001, None)
        for kind, code in (
            ("stream", "DONE"),
            ("stream", "NO_BACKEND_SERVER"),
            ("unknown", "ROUTE_UNKNOWN"),
        ):
            self.assertEqual(1.0, self.read("requests_total", kind=kind, code=code))
        self.assertEqual(2.0, self.read("request_seconds_count", kind="stream"))
        self.assertEqual(1.0, self.read("first_piece_seconds_count", kind="stream"))

    def test_latency_falls_into_its_bucket(self):
        """A target of the users' sheets is a bound of a bucket."""
        for took_s in (0.1, 0.124, 0.3):
            self.metrics.count_end(RequestKind.ONCE, Code.DONE, took_s, None)
        self.assertEqual(
            2.0, self.read("request_seconds_bucket", kind="once", le="0.125")
        )

    def test_sends_and_calls_are_counted(self):
        """Both dependencies, servers and the platform, have a histogram."""
        self.metrics.count_send(AttemptOutcome.SILENT, 1.0)
        self.metrics.count_platform_call("servers", False, 1.6)
        self.assertEqual(1.0, self.read("send_seconds_count", ending="silent"))
        self.assertEqual(
            1.0,
            self.read("platform_call_seconds_count", space="servers", answered="false"),
        )

    def test_gauges_are_read_late(self):
        """A value is read when the metrics are."""
        values = [3.0]
        self.metrics.watch("servers_usable", "Servers.", lambda: values[-1])
        values.append(2.0)
        self.assertEqual(2.0, self.read("servers_usable"))
