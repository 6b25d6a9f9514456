"""Tests of the commands against stub hosts."""

import json
import socket
import tempfile
from pathlib import Path

from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli import run
from oleanderpier.cli.tests.fakes import FakeFleet, FakeHost

SETTINGS = {
    "host": "h1",
    "failure_domain": "duluth",
    "region": "lakes",
    "address": "127.0.0.1",
    "caller_port": 1001,
    "peer_port": 1002,
    "operator_port": 1003,
    "platform": {"address": "127.0.0.1", "port": 1004},
    "seed_peers": [],
}


def invoke(*arguments):
    """Run the program and return click's result."""
    return CliRunner().invoke(run, [str(argument) for argument in arguments])


def find_closed_port():
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_class(name, **changes):
    """Return a row of a class of work with some fields changed."""
    row = {
        "name": name,
        "first_token_s": 1.6,
        "first_token_p95_s": None,
        "between_tokens_s": 0.049,
        "between_tokens_p95_s": None,
        "whole_s": 60.0,
        "whole_p95_s": None,
        "requests": 10,
        "refused": 1,
        "late": 2,
    }
    return {**row, **changes}


class CheckTest(TestCase):
    """A file is called valid, or refused with path, found and allowed."""

    def check(self, value, *options):
        """Write a file and check it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "file.json")
            path.write_text(value if isinstance(value, str) else json.dumps(value))
            return invoke("check", path, *options)

    def test_verdicts(self):
        """Each kind is known by its fields; faults exit with status 2."""
        hosts = {"version": 1, "hosts": []}
        # File, exit status, what the output says.
        cases = [
            (SETTINGS, 0, ["valid (settings)"]),
            (hosts, 0, ["valid (hosts)"]),
            ({"version": 1, "backend_servers": []}, 0, ["valid (backend_servers)"]),
            ({**SETTINGS, "peer_port": 0}, 2, ["301", "$.peer_port", ">= 1"]),
            ({**hosts, "version": 0}, 2, ["302", "$.version", ">= 1"]),
            ({"classes": 1}, 2, ["302 CONFIGURATION_INVALID", "$."]),
            ("{", 2, ["301 SETTINGS_INVALID", "valid JSON"]),
        ]
        for value, status, texts in cases:
            with self.subTest(value=value):
                result = self.check(value)
                self.assertEqual(status, result.exit_code, result.output)
                for text in texts:
                    self.assertIn(text, result.output)

    def test_json(self):
        """Programs get the same verdict."""
        result = self.check({**SETTINGS, "hots": 1}, "--json")
        verdict = json.loads(result.output)
        self.assertEqual(2, result.exit_code)
        self.assertEqual((301, "$.hots"), (verdict["code"], verdict["path"]))

    def test_no_file(self):
        """A file that is not there is refused, too."""
        self.assertEqual(2, invoke("check", "/nonexistent.json").exit_code)


class AskTest(TestCase):
    """Commands ask every host and tell which did not answer."""

    def setUp(self):
        """Serve two hosts."""
        super().setUp()
        self.one = FakeHost("h1")
        # The second host's wall clock is a minute behind.
        self.two = FakeHost("h2", wall_s=1_700_000_000.0 - 60.0)
        fleet = FakeFleet(self.one, self.two)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)

    def ask(self, command, *options):
        """Run a command that is told of the first host only."""
        operator = f"127.0.0.1:{self.one.port}"
        return invoke(command, "--operator", operator, *options)

    def test_status(self):
        """All hosts in the list are shown, and one by its name in detail."""
        result = self.ask("status")
        self.assertEqual(0, result.exit_code, result.output)
        self.assertRegex(result.output, r"(?m)^h1 +duluth +ready .* 4 ")
        self.assertRegex(result.output, r"(?m)^h2 ")
        detail = self.ask("status", "h2")
        self.assertNotIn("h1", detail.output)
        self.assertRegex(detail.output, r"(?m)^h2 +e1 +live +2$")
        only = self.ask("status", "--only", "--json")
        hosts = [answer["host"] for answer in json.loads(only.output)["answers"]]
        self.assertEqual(["h1"], hosts)

    def test_hosts_without_an_answer(self):
        """A host that is down, refuses or babbles is a row, not a crash."""
        closed = f"127.0.0.1:{find_closed_port()}"
        self.two.status = {"host": 7}
        for command in ("status", "targets", "events"):
            with self.subTest(command=command):
                result = self.ask(command, "--operator", closed)
                self.assertEqual(1, result.exit_code, result.output)
                self.assertRegex(result.output, rf"(?m)^{closed} +unreachable: ")
        result = self.ask("status", "--json")
        self.assertEqual(1, result.exit_code)
        self.assertIn("Expected `str`", result.output)
        self.assertEqual(1, self.ask("status", "h9").exit_code)

    def test_nothing_reachable(self):
        """Where no list of hosts is read, the output says that some may miss."""
        closed = f"127.0.0.1:{find_closed_port()}"
        for command in ("status", "targets", "events"):
            result = invoke(command, "--operator", closed, "--json")
            self.assertEqual(1, result.exit_code)
            unanswered = json.loads(result.output)["unanswered"]
            self.assertEqual(
                [closed, "(other hosts)"], [row["host"] for row in unanswered]
            )

    def test_settings(self):
        """A settings file names a host; a bad one ends with status 2."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "h1.json")
            path.write_text(json.dumps({**SETTINGS, "operator_port": self.one.port}))
            result = invoke("status", "--settings", path)
            self.assertEqual(0, result.exit_code, result.output)
            path.write_text("{}")
            self.assertEqual(2, invoke("status", "--settings", path).exit_code)
        self.assertEqual(2, invoke("status").exit_code)
        self.assertEqual(2, invoke("status", "--operator", "h1").exit_code)

    def test_targets(self):
        """Counts are added up, and the worst host's percentile is shown."""
        self.one.targets["classes"] = [
            make_class("review", first_token_p95_s=0.5),
            make_class("verdict", whole_p95_s=9.0),
            make_class("quiet"),
        ]
        self.two.targets["classes"] = [
            make_class("review", first_token_p95_s=2.0),
        ]
        table = self.ask("targets").output
        self.assertRegex(
            table, r"(?m)^review +1.6 / 2 on h2 +0.049 / - +60 / - +20 +2 +4 +no$"
        )
        self.assertRegex(table, r"(?m)^verdict .* 60 / 9 +10 +1 +2 +yes$")
        self.assertRegex(table, r"(?m)^quiet .* -$")
        rows = json.loads(self.ask("targets", "--class", "review", "--json").output)
        self.assertEqual(["review"], [row["name"] for row in rows["classes"]])
        self.assertEqual("h2", rows["classes"][0]["first_token"]["worst_host"])

    def test_explain(self):
        """The owner's answer is shown; hosts that differ on it stand apart."""
        options = ("--chat", "c1", "--class", "review", "--json")
        one, two = self.one.explanation, self.two.explanation
        one.update(owner="h2", chosen=None)
        two.update(owner="h2")
        agreed = json.loads(self.ask("explain", *options).output)
        self.assertEqual([["h1", "h2"]], [each["hosts"] for each in agreed["groups"]])
        self.assertEqual("e1", agreed["groups"][0]["answer"]["chosen"])
        one.update(owner="h3")
        choice = {
            "backend_server": "e2",
            "rank": 1,
            "in_flight": 3,
            "state": "live",
            "reason": "holds the prefix",
        }
        two.update(chosen="e2", choices=[choice])
        table = self.ask("explain", *options[:-1]).output
        self.assertRegex(table, r"(?m)^chosen: +not known")
        self.assertRegex(table, r"(?m)^chosen: +e2$")
        self.assertRegex(table, r"(?m)^1 +e2 +live +3 +holds the prefix$")

    def test_refusal(self):
        """A refusal is shown with its code."""
        result = self.ask("explain", "--chat", "c1", "--class", "nap")
        self.assertEqual(1, result.exit_code)
        self.assertIn("refused: 103 CLASS_UNKNOWN: no class 'nap'", result.output)

    def test_events_in_causal_order(self):
        """An effect stands after its cause though its wall clock is behind."""
        self.one.ring.record("claims:asked", "key-1")
        self.two.clock.observe(self.one.clock.tick())
        self.two.ring.record("claims:granted", "key-1", 201)
        table = self.ask("events").output
        self.assertLess(table.index("claims:asked"), table.index("claims:granted"))
        self.assertIn("201 CLAIM_HELD", table)
        shown = json.loads(self.ask("events", "--kind", "claims:g", "--json").output)
        self.assertEqual(["h2"], [event["host"] for event in shown["events"]])

    def test_events_are_bounded(self):
        """The newest come, and what is lost is told."""
        for number in range(5):
            self.one.ring.record("test:event", f"subject-{number}")
        shown = json.loads(self.ask("events", "--json").output)
        self.assertEqual([{"host": "h1", "lost": 2}], shown["gaps"])
        self.assertIn("h1 no longer keeps 2 older events", self.ask("events").output)
        newest = json.loads(self.ask("events", "--limit", "1", "--json").output)
        self.assertEqual(["subject-4"], [row["subject"] for row in newest["events"]])
