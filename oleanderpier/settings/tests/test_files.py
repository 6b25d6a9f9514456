"""Tests of reading and validating settings files."""

import copy
import json
import tempfile
from pathlib import Path

from testtools import TestCase

from oleanderpier.results import Code
from oleanderpier.settings import DEFAULT_LIMITS, list_settings, read_settings

VALID_SETTINGS = {
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

# Path of the field, the invalid value, what the error says is allowed.
INVALID_FIELDS = [
    ("host", "a b", "matching regex"),
    ("adress", "127.0.0.1", "one of:"),
    ("address", "fe80", "an IP address"),
    ("address", "host-1", "matching regex"),
    ("caller_port", 0, ">= 1"),
    ("caller_port", "1001", "`int`"),
    ("caller_port", 65536, "<= 65535"),
    ("operator_port", 1002, "a unique port"),
    ("platform", [], "`object`"),
    ("platform.address", "1.2.3.400", "an IP address"),
    ("platform.port", None, "`int`"),
    ("seed_peers[0].peer_port", 0, ">= 1"),
    ("seed_peers[0].port", 5, "one of:"),
    ("limits", {"drain_s": 0}, "> 0"),
    ("limits", {"drain_s": 5}, "at least address_keep_s"),
    ("limits", {"claim_timeout": 5}, "one of:"),
    ("limits", {"events_kept": 0}, ">= 1"),
]


def replace_field(value, path, field):
    """Return a copy of a decoded value with another value at a path."""
    value = copy.deepcopy(value)
    *parents, last = path.replace("[0]", ".0").split(".")
    node = value
    for step in parents:
        node = node[int(step) if step.isdigit() else step]
    node[last] = field
    return value


class ReadSettingsTest(TestCase):
    """A settings file is accepted whole, or refused with the path of its fault."""

    def write_and_read(self, text):
        """Return the result of reading a settings file with a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "h1.json")
            path.write_text(text)
            return read_settings(path)

    def test_defaults_are_filled_in(self):
        """Missing limits have their defaults, given values are kept."""
        settings = self.write_and_read(
            json.dumps({**VALID_SETTINGS, "limits": {"drain_s": 40}})
        ).ok
        self.assertEqual({**DEFAULT_LIMITS, "drain_s": 40.0}, settings["limits"])
        self.assertEqual(VALID_SETTINGS["seed_peers"], settings["seed_peers"])

    def test_refusal_names_invalid_field(self):
        """The error names the file, the path, what was found and what is allowed."""
        for path, value, allowed in INVALID_FIELDS:
            with self.subTest(path=path, value=value):
                failure = self.write_and_read(
                    json.dumps(replace_field(VALID_SETTINGS, path, value))
                ).error
                self.assertEqual(Code.SETTINGS_INVALID, failure.code)
                self.assertIn(f"h1.json: $.{path}", failure.text)
                self.assertIn("found ", failure.text)
                self.assertIn(allowed, failure.text)

    def test_refusal_names_missing_field(self):
        """The error names a required field that is missing."""
        for field in VALID_SETTINGS:
            with self.subTest(field=field):
                value = {
                    name: VALID_SETTINGS[name]
                    for name in VALID_SETTINGS
                    if name != field
                }
                failure = self.write_and_read(json.dumps(value)).error
                self.assertIn(f"$.{field}: found nothing", failure.text)

    def test_unreadable_file_is_refused(self):
        """A file that is truncated, empty, missing or not an object is refused."""
        for text in ("", json.dumps(VALID_SETTINGS)[:-1], "[]", "7"):
            with self.subTest(text=text):
                failure = self.write_and_read(text).error
                self.assertEqual(Code.SETTINGS_INVALID, failure.code)
        missing = read_settings("/nonexistent/h1.json").error
        self.assertIn("cannot be read", missing.text)

    def test_only_limits_have_defaults(self):
        """Only the limits are optional, and each has a row with its default."""
        optional = [row.path for row in list_settings() if row.default is not None]
        limits = [f"$.limits.{name}" for name in DEFAULT_LIMITS]
        self.assertEqual(sorted(limits), sorted(optional))
