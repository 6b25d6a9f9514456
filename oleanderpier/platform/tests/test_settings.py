"""Tests of reading the platform's settings file."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from oleanderpier.platform.settings import read_entry_settings
from oleanderpier.results import Code
from oleanderpier.routing import BudgetLimits

ROOT = Path(__file__).parents[3]
FILE = {
    "NodeName": "edge-duluth-1",
    "Zone": "duluth",
    "Listen": {
        "Front": "10.1.0.40:8227",
        "Ready": "10.1.0.40:8220",
        "Control": "10.1.0.40:8229",
        "Directory": "10.1.0.40:8224",
    },
    "Seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "RetrySlack": 54},
    "Platform": {"Address": "10.200.1.7:8223", "form": "read"},
    "Unheard": {"of": 1},
}


def read(text: str):
    """Return the settings that a file with a text holds, or the failure."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        path.write_text(text)
        return read_entry_settings(path)


def render(fields: dict) -> str:
    """Return what ``deploy/settings.template`` makes of the platform's fields."""
    template = (ROOT / "deploy" / "settings.template").read_text()
    return template.replace("{{Ip}}", "10.1.0.40").replace(
        "{{.|json}}", json.dumps(fields)
    )


class SettingsTest(TestCase):
    """A good file is translated, a bad one is explained."""

    def test_translated(self):
        """Fields have the project's names; unknown ones are passed over."""
        settings = read(render(FILE)).ok
        self.assertEqual("10.1.0.40:8227", settings.caller_address)
        self.assertEqual(("10.1.0.40:8229", "10.2.0.29:8229"), settings.seeds)
        self.assertEqual("10.1.0.40:9464", settings.metrics_address)
        self.assertEqual(BudgetLimits(0.2, 54.0, 10.0), settings.budget)

    def test_bad_files(self):
        """The field, what was found and what is allowed are named."""
        cases = {
            "$.NodeName": {**FILE, "NodeName": 7},
            "$.Platform": {k: v for k, v in FILE.items() if k != "Platform"},
            "$.Listen.Front": {**FILE, "Listen": {**FILE["Listen"], "Front": "x"}},
            "$.Seeds": {**FILE, "Seeds": ["no address"]},
            "$.Bounds.GraceS": {**FILE, "Bounds": {"GraceS": -1}},
        }
        for path, value in cases.items():
            failure = read(render(value)).error
            self.assertEqual(Code.SETTINGS_INVALID, failure.code)
            self.assertIn(path.replace("$", "$.platform_fields"), failure.text)
            self.assertIn("allowed", failure.text)

    def test_no_json(self):
        """A file that is no JSON, or is not there, is a failure too."""
        self.assertIn("JSON", read("a: b").error.text)
        failure = read_entry_settings("/nonexistent/settings").error
        self.assertEqual(Code.SETTINGS_INVALID, failure.code)
