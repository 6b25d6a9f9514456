"""Tests of reading settings files."""

import copy
import json
import tempfile
from pathlib import Path

from testtools import TestCase

from oleanderpier.results import Code
from oleanderpier.settings import DEFAULT_LIMITS, list_settings, read_settings

VALID = {
    "host": "h1",
    "failure_domain": "duluth",
    "region": "lakes",
    "address": "127.0.0.1",
    "caller_port": 1001,
    "peer_port": 1002,
    "operator_port": 1003,
    "platform": {"address": "127.0.0.1", "port": 1004},
    "seed_peers": [{"name": "h2", "address": "127.0.0.2", "peer_port": 1002}],
}

# Path of the field, the faulty value, what the refusal says is allowed.
FAULTS = [
    ("host", "a b", "matching regex"),
    ("adress", "127.0.0.1", "one of:"),
    ("address", "fe80", "an IP number"),
    ("address", "host-1", "matching regex"),
    ("caller_port", 0, ">= 1"),
    ("caller_port", "1001", "`int`"),
    ("caller_port", 65536, "<= 65535"),
    ("operator_port", 1002, "a port used once"),
    ("platform", [], "`object`"),
    ("platform.address", "1.2.3.400", "an IP number"),
    ("platform.port", None, "`int`"),
    ("seed_peers[0].peer_port", 0, ">= 1"),
    ("seed_peers[0].port", 5, "one of:"),
    ("limits", {"drain_s": 0}, "> 0"),
    ("limits", {"drain_s": 5}, "at least address_keep_s"),
    ("limits", {"claim_timeout": 5}, "one of:"),
    ("limits", {"events_kept": 0}, ">= 1"),
]


def set_field(value, path, field):
    """Return a copy of a decoded value with the field at a path replaced."""
    value = copy.deepcopy(value)
    *parents, last = path.replace("[0]", ".0").split(".")
    node = value
    for step in parents:
        node = node[int(step) if step.isdigit() else step]
    node[last] = field
    return value


class ReadSettingsTest(TestCase):
    """A settings file is taken whole or refused with its path."""

    def read(self, text):
        """Write a settings file and read it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "h1.json")
            path.write_text(text)
            return read_settings(path)

    def test_valid(self):
        """What is left out has its default, what is given stays."""
        settings = self.read(json.dumps({**VALID, "limits": {"drain_s": 40}})).ok
        self.assertEqual({**DEFAULT_LIMITS, "drain_s": 40.0}, settings["limits"])
        self.assertEqual(VALID["seed_peers"], settings["seed_peers"])

    def test_faults(self):
        """Each refusal names the file, the path, what was found and is allowed."""
        for path, value, allowed in FAULTS:
            with self.subTest(path=path, value=value):
                failure = self.read(json.dumps(set_field(VALID, path, value))).error
                self.assertEqual(Code.SETTINGS_INVALID, failure.code)
                self.assertIn(f"h1.json: $.{path}", failure.text)
                self.assertIn("found ", failure.text)
                self.assertIn(allowed, failure.text)

    def test_missing_field(self):
        """A required field that is left out is named."""
        for field in VALID:
            with self.subTest(field=field):
                value = {name: VALID[name] for name in VALID if name != field}
                failure = self.read(json.dumps(value)).error
                self.assertIn(f"$.{field}: found nothing", failure.text)

    def test_not_json(self):
        """A file that is cut, empty, missing or no object is refused."""
        for text in ("", json.dumps(VALID)[:-1], "[]", "7"):
            with self.subTest(text=text):
                failure = self.read(text).error
                self.assertEqual(Code.SETTINGS_INVALID, failure.code)
        missing = read_settings("/nonexistent/h1.json").error
        self.assertIn("cannot be read", missing.text)

    def test_rows_have_defaults(self):
        """Just the limits may be left out, and each has a row."""
        optional = [row.path for row in list_settings() if row.default is not None]
        limits = [f"$.limits.{name}" for name in DEFAULT_LIMITS]
        self.assertEqual(sorted(limits), sorted(optional))
