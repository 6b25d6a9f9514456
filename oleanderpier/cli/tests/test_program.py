"""Tests of the commands against fake hosts."""

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


def get_unused_port():
    """Return a TCP port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_class_row(name, **changes):
    """Return a row of a class of work, with some fields replaced."""
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
    """A file is reported as valid, or with the path of its fault."""

    def check(self, value, *options):
        """Write a value to a file and run the check command on it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "file.json")
            path.write_text(value if isinstance(value, str) else json.dumps(value))
            return invoke("check", path, *options)

    def test_output_and_exit_status_by_kind(self):
        """The kind is detected from the fields; faults give exit status 2."""
        hosts = {"version": 1, "hosts": []}
        # File content, exit status, texts in the output.
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

    def test_json_names_path_of_fault(self):
        """JSON output has the code and path of the fault."""
        result = self.check({**SETTINGS, "hots": 1}, "--json")
        fault = json.loads(result.output)
        self.assertEqual(2, result.exit_code)
        self.assertEqual((301, "$.hots"), (fault["code"], fault["path"]))

    def test_missing_file_exits_with_status_2(self):
        """A file that does not exist gives exit status 2."""
        self.assertEqual(2, invoke("check", "/nonexistent.json").exit_code)


class QueryCommandsTest(TestCase):
    """Commands query every host and name those that did not respond."""

    def setUp(self):
        """Serve two fake hosts."""
        super().setUp()
        self.host_1 = FakeHost("h1")
        # The second host's wall clock is a minute behind.
        self.host_2 = FakeHost("h2", wall_s=1_700_000_000.0 - 60.0)
        fleet = FakeFleet(self.host_1, self.host_2)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)

    def run_command(self, command, *options):
        """Run a command with only the first host on its command line."""
        operator = f"127.0.0.1:{self.host_1.port}"
        return invoke(command, "--operator", operator, *options)

    def test_status_of_all_or_named_hosts(self):
        """All hosts in the host list are shown; a named host with its records."""
        result = self.run_command("status")
        self.assertEqual(0, result.exit_code, result.output)
        self.assertRegex(result.output, r"(?m)^h1 +duluth +ready .* 4 ")
        self.assertRegex(result.output, r"(?m)^h2 ")
        detail = self.run_command("status", "h2")
        self.assertNotIn("h1", detail.output)
        self.assertRegex(detail.output, r"(?m)^h2 +e1 +live +2$")
        only = self.run_command("status", "--only", "--json")
        hosts = [response["host"] for response in json.loads(only.output)["answers"]]
        self.assertEqual(["h1"], hosts)

    def test_unreachable_or_malformed_host_is_a_row(self):
        """A host that is down or sends a malformed response is shown as a row."""
        closed = f"127.0.0.1:{get_unused_port()}"
        self.host_2.status_response = {"host": 7}
        for command in ("status", "targets", "events"):
            with self.subTest(command=command):
                result = self.run_command(command, "--operator", closed)
                self.assertEqual(1, result.exit_code, result.output)
                self.assertRegex(result.output, rf"(?m)^{closed} +unreachable: ")
        result = self.run_command("status", "--json")
        self.assertEqual(1, result.exit_code)
        self.assertIn("Expected `str`", result.output)
        self.assertEqual(1, self.run_command("status", "h9").exit_code)

    def test_unread_host_list_is_reported(self):
        """Without a host list, the output says that other hosts may be missing."""
        closed = f"127.0.0.1:{get_unused_port()}"
        for command in ("status", "targets", "events"):
            result = invoke(command, "--operator", closed, "--json")
            self.assertEqual(1, result.exit_code)
            unanswered = json.loads(result.output)["unanswered"]
            self.assertEqual(
                [closed, "(other hosts)"], [row["host"] for row in unanswered]
            )

    def test_settings_file_names_a_host(self):
        """A settings file names a host; an invalid one gives exit status 2."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "h1.json")
            path.write_text(json.dumps({**SETTINGS, "operator_port": self.host_1.port}))
            result = invoke("status", "--settings", path)
            self.assertEqual(0, result.exit_code, result.output)
            path.write_text("{}")
            self.assertEqual(2, invoke("status", "--settings", path).exit_code)
        self.assertEqual(2, invoke("status").exit_code)
        self.assertEqual(2, invoke("status", "--operator", "h1").exit_code)

    def test_targets_show_sums_and_worst_percentile(self):
        """Counts are summed up, and the highest percentile of all hosts is shown."""
        self.host_1.targets_response["classes"] = [
            make_class_row("review", first_token_p95_s=0.5),
            make_class_row("verdict", whole_p95_s=9.0),
            make_class_row("quiet"),
        ]
        self.host_2.targets_response["classes"] = [
            make_class_row("review", first_token_p95_s=2.0),
        ]
        table = self.run_command("targets").output
        self.assertRegex(
            table, r"(?m)^review +1.6 / 2 on h2 +0.049 / - +60 / - +20 +2 +4 +no$"
        )
        self.assertRegex(table, r"(?m)^verdict .* 60 / 9 +10 +1 +2 +yes$")
        self.assertRegex(table, r"(?m)^quiet .* -$")
        rows = json.loads(
            self.run_command("targets", "--class", "review", "--json").output
        )
        self.assertEqual(["review"], [row["name"] for row in rows["classes"]])
        self.assertEqual("h2", rows["classes"][0]["first_token"]["worst_host"])

    def test_explain_groups_hosts_by_owner(self):
        """The owner's response is shown; hosts with other owners are other groups."""
        options = ("--chat", "c1", "--class", "review", "--json")
        response_1, response_2 = (
            self.host_1.explain_response,
            self.host_2.explain_response,
        )
        response_1.update(owner="h2", chosen=None)
        response_2.update(owner="h2")
        agreeing = json.loads(self.run_command("explain", *options).output)
        self.assertEqual([["h1", "h2"]], [each["hosts"] for each in agreeing["groups"]])
        self.assertEqual("e1", agreeing["groups"][0]["answer"]["chosen"])
        response_1.update(owner="h3")
        choice = {
            "backend_server": "e2",
            "rank": 1,
            "in_flight": 3,
            "state": "live",
            "reason": "holds the prefix",
        }
        response_2.update(chosen="e2", choices=[choice])
        table = self.run_command("explain", *options[:-1]).output
        self.assertRegex(table, r"(?m)^chosen: +not known")
        self.assertRegex(table, r"(?m)^chosen: +e2$")
        self.assertRegex(table, r"(?m)^1 +e2 +live +3 +holds the prefix$")

    def test_refusal_is_shown_with_its_code(self):
        """A refusal is shown with its result code and text."""
        result = self.run_command("explain", "--chat", "c1", "--class", "nap")
        self.assertEqual(1, result.exit_code)
        self.assertIn("refused: 103 CLASS_UNKNOWN: no class 'nap'", result.output)

    def test_events_in_causal_order(self):
        """An effect follows its cause although its host's wall clock is behind."""
        self.host_1.ring.record("claims:asked", "key-1")
        self.host_2.clock.observe(self.host_1.clock.tick())
        self.host_2.ring.record("claims:granted", "key-1", 201)
        table = self.run_command("events").output
        self.assertLess(table.index("claims:asked"), table.index("claims:granted"))
        self.assertIn("201 CLAIM_HELD", table)
        shown = json.loads(
            self.run_command("events", "--kind", "claims:g", "--json").output
        )
        self.assertEqual(["h2"], [event["host"] for event in shown["events"]])

    def test_events_limit_and_gaps(self):
        """The newest events are shown, and the number of missing ones."""
        for number in range(5):
            self.host_1.ring.record("test:event", f"subject-{number}")
        shown = json.loads(self.run_command("events", "--json").output)
        self.assertEqual([{"host": "h1", "lost": 2}], shown["gaps"])
        self.assertIn(
            "h1 no longer keeps 2 older events", self.run_command("events").output
        )
        newest = json.loads(self.run_command("events", "--limit", "1", "--json").output)
        self.assertEqual(["subject-4"], [row["subject"] for row in newest["events"]])
