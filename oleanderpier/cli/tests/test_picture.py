"""Tests of the picture of load, refusals and events."""

import json
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli.picture import MAX_POINTS, count_time_series, picture

LOG = Path(__file__).parents[3] / "docs" / "examples" / "logs" / "hosts.log"


def make_end(at_s: float, code: int) -> dict:
    """Return the line of a request's end."""
    return {"time": at_s, "process": "h", "event": "request:end", "code": code}


class PictureTest(TestCase):
    """Counts over time become a picture."""

    def test_counts(self):
        """Ends are counted by fate and second, events by kind."""
        lines = [make_end(10.2, 0), make_end(10.9, 0), make_end(12.0, 108)]
        lines.append({"time": 11.5, "process": "h", "event": "fleet:host_silent"})
        curves = count_time_series(lines)
        self.assertEqual((10, 1), (curves.start_s, curves.step_s))
        self.assertEqual([2, 0, 0], curves.requests["served"])
        self.assertEqual([0, 0, 1], curves.requests["refused, not run"])
        self.assertEqual([0, 1, 0], curves.events["hosts fell silent"])

    def test_long_logs_keep_their_points_few(self):
        """A day has no more points than an hour."""
        curves = count_time_series(make_end(float(s), 0) for s in range(0, 86_400, 7))
        self.assertLessEqual(len(curves.requests["served"]), MAX_POINTS)
        self.assertEqual(len(range(0, 86_400, 7)), sum(curves.requests["served"]))

    def test_file(self):
        """The file is an SVG with a curve for each fate that occurs."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "day.svg"
            result = CliRunner().invoke(picture, ["--out", str(path), str(LOG)])
            self.assertEqual(0, result.exit_code, result.output)
            root = ElementTree.fromstring(path.read_bytes())  # noqa: S314
        self.assertTrue(root.tag.endswith("svg"))
        self.assertIn("failed, may have run", "".join(root.itertext()))

    def test_nothing_to_draw(self):
        """Logs without requests are an error, not an empty picture."""
        result = CliRunner().invoke(picture, ["--out", "never.svg"], input="{}\n")
        self.assertEqual(1, result.exit_code)
        self.assertIn("no line tells", result.output)


class ProgressTest(TestCase):
    """Large inputs show how far they are read."""

    def test_progress_of_large_files(self):
        """The bar is on standard error, and only where a file is large."""
        line = json.dumps(make_end(1.0, 0)) + "\n"
        with TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            for count, shown in ((10, False), (200_000, True)):
                path.write_text(line * count)
                out = str(Path(folder) / "x.svg")
                result = CliRunner().invoke(picture, ["--out", out, str(path)])
                self.assertEqual(0, result.exit_code, result.output)
                self.assertEqual(shown, "reading" in result.stderr)
