"""Tests of reading the platform's settings file."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from oleanderpier.connections import derive_bounds
from oleanderpier.platform.settings import read_entry_settings
from oleanderpier.results import Code
from oleanderpier.routing import BudgetLimits

ROOT = Path(__file__).parents[3]
FIELDS = {
    "NodeName": "edge-duluth-1",
    "Zone": "duluth",
    "Listen": {
        "Front": "10.1.0.40:8227",
        "Ready": "10.1.0.40:8220",
        "Control": "10.1.0.40:8229",
        "Directory": "10.1.0.40:8224",
    },
    "Seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "RetrySlack": 54, "CapX": 3},
    "Platform": {"Address": "10.200.1.7:8223", "form": "read"},
    "Unheard": {"of": 1},
}


def read(text: str):
    """Return the result of reading a settings file with this text."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        path.write_text(text)
        return read_entry_settings(path)


def render(fields: dict) -> str:
    """Render ``deploy/settings.template`` with the platform's fields."""
    template = (ROOT / "deploy" / "settings.template").read_text()
    return template.replace("{{Ip}}", "10.1.0.40").replace(
        "{{.|json}}", json.dumps(fields)
    )


class SettingsTest(TestCase):
    """A valid file is translated; an invalid one gives a failure with the reason."""

    def test_fields_are_translated(self):
        """Known fields set the settings; unknown ones are ignored."""
        settings = read(render(FIELDS)).ok
        self.assertEqual("10.1.0.40:8227", settings.caller_address)
        self.assertEqual(("10.1.0.40:8229", "10.2.0.29:8229"), settings.seeds)
        self.assertEqual("10.1.0.40:9464", settings.metrics_address)
        self.assertEqual(BudgetLimits(0.2, 54.0, 10.0), settings.budget)
        self.assertEqual(3.0, settings.load_limit_factor)

    def test_evacuations_are_off_by_default(self):
        """A bound of 0 or none at all switches them off, as before."""
        for bounds, expected in (
            ({}, (None, None)),
            ({"EvacuateMs": 0, "ContactMs": None}, (None, None)),
            ({"EvacuateMs": 5000, "ContactMs": 4000}, (5.0, 4.0)),
        ):
            settings = read(render({**FIELDS, "Bounds": bounds})).ok
            self.assertEqual(expected, (settings.evacuate_s, settings.contact_s))

    def test_bound_of_servers_that_leave(self):
        """It is optional, and 0 stands for none."""
        for bounds, expected in (({}, None), ({"DrainMs": 0}, None)):
            settings = read(render({**FIELDS, "Bounds": bounds})).ok
            self.assertEqual(expected, settings.server_leave_s)
        settings = read(render({**FIELDS, "Bounds": {"DrainMs": 3000}})).ok
        self.assertEqual(3.0, settings.server_leave_s)

    def test_regions_of_failure_domains(self):
        """The region of this host holds for its failure domain."""
        fields = {**FIELDS, "Region": "us", "Zones": {"alpena": "us", "ghent": "eu"}}
        expected = {"duluth": "us", "alpena": "us", "ghent": "eu"}
        self.assertEqual(expected, dict(read(render(fields)).ok.regions))
        self.assertEqual((), read(render(FIELDS)).ok.regions)

    def test_limits_of_the_machine_bound_callers(self):
        """A larger machine has room for more; without limits the smallest counts."""
        small, large, none = (
            read(render({**FIELDS, **fields})).ok.caller_bounds
            for fields in (
                {"Limits": {"MemoryMb": 152, "MaxFds": 1535, "Cores": 0.36}},
                {"Limits": {"MemoryMb": 552, "MaxFds": 4096}},
                {},
            )
        )
        self.assertEqual(derive_bounds(152, 1535), small)
        self.assertLess(small.body_bytes, large.body_bytes)
        self.assertLess(small.connections["callers"], large.connections["callers"])
        self.assertEqual(derive_bounds(None, None), none)

    def test_failure_names_invalid_limit(self):
        """A machine without memory can't run the process."""
        result = read(render({**FIELDS, "Limits": {"MemoryMb": 0}}))
        self.assertEqual(Code.SETTINGS_INVALID, result.error.code)
        self.assertIn("Limits.MemoryMb", result.error.text)

    def test_failure_names_invalid_field(self):
        """The failure names the path of the field and what is allowed."""
        cases = {
            "$.NodeName": {**FIELDS, "NodeName": 7},
            "$.Platform": {k: v for k, v in FIELDS.items() if k != "Platform"},
            "$.Listen.Front": {
                **FIELDS,
                "Listen": {**FIELDS["Listen"], "Front": "x"},
            },
            "$.Seeds": {**FIELDS, "Seeds": ["no address"]},
            "$.Bounds.EvacuateMs": {**FIELDS, "Bounds": {"EvacuateMs": -1}},
            "$.Bounds.DrainMs": {**FIELDS, "Bounds": {"DrainMs": "soon"}},
            "$.Zones": {**FIELDS, "Zones": ["duluth"]},
            "$.Bounds.GraceS": {**FIELDS, "Bounds": {"GraceS": -1}},
        }
        for path, value in cases.items():
            failure = read(render(value)).error
            self.assertEqual(Code.SETTINGS_INVALID, failure.code)
            self.assertIn(path.replace("$", "$.platform_fields"), failure.text)
            self.assertIn("allowed", failure.text)

    def test_malformed_or_missing_file_is_refused(self):
        """A file that is not JSON or does not exist gives a failure."""
        self.assertIn("JSON", read("a: b").error.text)
        failure = read_entry_settings("/nonexistent/settings").error
        self.assertEqual(Code.SETTINGS_INVALID, failure.code)
