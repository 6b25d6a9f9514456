"""Tests of the chart of requests and events."""

import json
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli.picture import MAX_POINTS, count_time_series, picture

LOG = Path(__file__).parents[3] / "docs" / "examples" / "logs" / "hosts.log"


def make_end_line(at_s: float, code: int) -> dict:
    """Return the log line of a request's end."""
    return {"time": at_s, "process": "h", "event": "request:end", "code": code}


class PictureTest(TestCase):
    """Requests and events are counted over time and drawn."""

    def test_counts_by_fate_and_kind(self):
        """Requests are counted by fate and second, events by kind and second."""
        lines = [
            make_end_line(10.2, 0),
            make_end_line(10.9, 0),
            make_end_line(12.0, 108),
        ]
        lines.append({"time": 11.5, "process": "h", "event": "fleet:host_silent"})
        series = count_time_series(lines)
        self.assertEqual((10, 1), (series.start_s, series.step_s))
        self.assertEqual([2, 0, 0], series.requests["served"])
        self.assertEqual([0, 0, 1], series.requests["refused, not run"])
        self.assertEqual([0, 1, 0], series.events["hosts that became silent"])

    def test_number_of_points_is_bounded(self):
        """A day of lines is counted in at most ``MAX_POINTS`` points."""
        series = count_time_series(
            make_end_line(float(s), 0) for s in range(0, 86_400, 7)
        )
        self.assertLessEqual(len(series.requests["served"]), MAX_POINTS)
        self.assertEqual(len(range(0, 86_400, 7)), sum(series.requests["served"]))

    def test_svg_file_has_series_names(self):
        """The file is an SVG that names the fates."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "day.svg"
            result = CliRunner().invoke(picture, ["--out", str(path), str(LOG)])
            self.assertEqual(0, result.exit_code, result.output)
            root = ElementTree.fromstring(path.read_bytes())  # noqa: S314
        self.assertTrue(root.tag.endswith("svg"))
        self.assertIn("failed, may have run", "".join(root.itertext()))

    def test_logs_without_requests_are_an_error(self):
        """Logs without requests and events give an error and no file."""
        result = CliRunner().invoke(picture, ["--out", "never.svg"], input="{}\n")
        self.assertEqual(1, result.exit_code)
        self.assertIn("the logs have no line", result.output)


class ProgressTest(TestCase):
    """Reading large files shows a progress bar."""

    def test_progress_bar_for_large_files_only(self):
        """The progress bar is on standard error, and only for a large file."""
        line = json.dumps(make_end_line(1.0, 0)) + "\n"
        with TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            for count, shown in ((10, False), (200_000, True)):
                path.write_text(line * count)
                out = str(Path(folder) / "x.svg")
                result = CliRunner().invoke(picture, ["--out", out, str(path)])
                self.assertEqual(0, result.exit_code, result.output)
                self.assertEqual(shown, "reading" in result.stderr)
