"""Tests of the check of a configuration before it is sent."""

import json
import tempfile
import tomllib
from importlib.metadata import EntryPoint
from pathlib import Path

import msgspec
from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.exception import SettingsError
from oleanderpier.platform.configuration_check import check_configuration
from oleanderpier.platform.configuration_command import check_configuration_file
from oleanderpier.platform.documents import decode_configuration
from oleanderpier.platform.tests.test_documents import CONFIGURATION, ROUTE, encode

PROJECT_FILE = Path(__file__).parents[3] / "pyproject.toml"
KEY = "key-of-a-tenant"


def check_route(**changes):
    """Return the report on a configuration whose route has some fields changed."""
    route = {k: v for k, v in {**ROUTE, **changes}.items() if v is not ...}
    return check_configuration(encode(CONFIGURATION, Routes=[route]))


def list_paths(items) -> list[str]:
    """Return the paths of errors or warnings."""
    return [item.path for item in items]


class ErrorsTest(TestCase):
    """Guards against a document that hosts refuse, and against unnamed fields."""

    def test_valid_document(self):
        """It has no errors, warnings or differences."""
        self.assertEqual(([], [], [], []), check_configuration(encode(CONFIGURATION)))

    def test_each_field_of_a_wrong_type_is_named(self):
        """Hosts report the first one only, so that each needs another attempt."""
        routes = [{**ROUTE, "TimeoutMs": "15 s"}, {**ROUTE, "Sticky": 1}, 7]
        limits = {"MaxBodyBytes": None, "MaxHeaderBytes": "16 KB"}
        services = [{"Name": "one", "ColdPerS": 3, "Engine": {"LinkMbps": -1}}]
        report = check_configuration(
            encode(
                CONFIGURATION,
                Version="7",
                Routes=routes,
                Limits=limits,
                Services=services,
            )
        )
        self.assertEqual(
            [
                ("$.Version", "'7'", "`int`"),
                ("$.Routes[0].TimeoutMs", "'15 s'", "`float`"),
                ("$.Routes[1].Sticky", "1", "`bool | null`"),
                ("$.Routes[2]", "7", "`object`"),
                ("$.Limits.MaxBodyBytes", "None", "`int`"),
                ("$.Limits.MaxHeaderBytes", "'16 KB'", "`int | null`"),
                ("$.Services[0].Engine.LinkMbps", "-1", "`float` >= 0.0"),
            ],
            [tuple(fault) for fault in report.errors],
        )

    def test_missing_fields_and_unknown_kinds(self):
        """Both are errors of hosts too."""
        report = check_route(Host=..., Prefix=..., RouteKind="fast")
        self.assertEqual(
            [
                ("$.Routes[0].Host", "nothing", "a value"),
                ("$.Routes[0].Prefix", "nothing", "a value"),
                ("$.Routes[0].RouteKind", "'fast'", "safe or unsafe or streaming"),
            ],
            [tuple(fault) for fault in report.errors],
        )

    def test_what_is_no_document(self):
        """The text of the file is not shown, since it may contain keys."""
        for data in (b"", b'{"Tenants": [', b"\xff", b'"text"', b"[1]"):
            report = check_configuration(data)
            self.assertEqual(["$"], list_paths(report.errors), data)
        self.assertEqual("a string", check_configuration(b'"text"').errors[0].found)

    def test_hosts_refuse_what_has_errors_and_accept_the_rest(self):
        """The check would mislead operators if it decided otherwise."""
        values = [None, 0, 1.5, True, "x", [], {}, [1], [{}]]
        for field in (*CONFIGURATION, "Other"):
            for value in (*values, ...):
                data = encode(CONFIGURATION, **{field: value})
                report = check_configuration(data)
                try:
                    decode_configuration(data)
                except SettingsError:
                    self.assertNotEqual([], report.errors, (field, value))
                else:
                    self.assertEqual([], report.errors, (field, value))


class UnmatchedTest(TestCase):
    """Guards against entries that hosts accept and no request ever reaches."""

    def test_hidden_route(self):
        """Host names are compared without regard to case; the last route is used."""
        hidden = {**ROUTE, "Name": "r-0", "Host": "a.EXAMPLE"}
        report = check_configuration(encode(CONFIGURATION, Routes=[hidden, ROUTE]))
        self.assertEqual(["$.Routes[0]"], list_paths(report.unmatched))
        self.assertIn("hidden by $.Routes[1]", report.unmatched[0].text)

    def test_prefix_without_a_slash_at_both_ends(self):
        """Hosts look up parts of the path that begin and end with one."""
        for prefix, is_named in (("/", 0), ("/x/", 0), ("/x", 1), ("x/", 1), ("", 1)):
            report = check_route(Prefix=prefix)
            self.assertEqual(is_named, len(report.unmatched), prefix)

    def test_services_and_routes(self):
        """A service that no route names, and a route to one that is not listed."""
        report = check_route(TrafficSplit=None, Service="three")
        self.assertEqual(
            ["$.Routes[0]", "$.Services[0]", "$.Services[1]"],
            list_paths(report.unmatched),
        )
        report = check_route(TrafficSplit=None)
        self.assertIn("names no service", report.unmatched[0].text)

    def test_document_without_a_list_of_services(self):
        """Routes then may name any service."""
        report = check_configuration(encode(CONFIGURATION, Services=None))
        self.assertEqual([], report.unmatched)

    def test_tenants(self):
        """One without keys, and a key of two tenants, which is not shown."""
        tenants = [
            {"Name": "w", "ApiKeys": ["k1", KEY]},
            {"Name": "v", "ApiKeys": [KEY]},
            {"Name": "u", "ApiKeys": []},
        ]
        report = check_configuration(encode(CONFIGURATION, Tenants=tenants))
        self.assertEqual(
            ["$.Tenants[1].ApiKeys[0]", "$.Tenants[2]"], list_paths(report.unmatched)
        )
        self.assertIn("$.Tenants[0]", report.unmatched[0].text)


class ContradictionsTest(TestCase):
    """Guards against limits that cannot all be kept."""

    def test_routes(self):
        """Targets above the timeout, and no attempts."""
        for field, contradicting, fitting in (
            ("TargetLatencyMs", 15001, 15000),
            ("TargetGapMs", 15001, 15000),
            ("MaxAttempts", 0, None),
        ):
            report = check_route(**{field: contradicting})
            self.assertEqual(
                [f"$.Routes[0].{field}"], list_paths(report.contradictions)
            )
            self.assertEqual([], check_route(**{field: fitting}).contradictions)

    def test_cold_rate_without_a_cold_time(self):
        """No server of the service would ever be cold."""
        for start_s, expected in ((20, 0), (0, 1), (None, 1)):
            services = [{"Name": "one", "ColdPerS": 11, "ColdStartS": start_s}]
            report = check_configuration(encode(CONFIGURATION, Services=services))
            self.assertEqual(expected, len(report.contradictions), start_s)

    def test_limits(self):
        """Header sections above bodies, and idle timeouts below those of headers."""
        limits = {"MaxBodyBytes": 100, "HeaderTimeoutMs": 3000}
        for field, contradicting, fitting, path in (
            ("MaxHeaderBytes", 101, 100, "$.Limits.MaxHeaderBytes"),
            ("IdleTimeoutMs", 2999, 3000, "$.Limits.HeaderTimeoutMs"),
        ):
            for value, expected in ((contradicting, [path]), (fitting, [])):
                changed = {**limits, field: value}
                report = check_configuration(encode(CONFIGURATION, Limits=changed))
                self.assertEqual(expected, list_paths(report.contradictions))


class DifferencesTest(TestCase):
    """Guards against changes that were not meant."""

    def compare(self, **changes):
        """Return the report on a changed configuration of the next version."""
        changed = encode(CONFIGURATION, **{"Version": 8, **changes})
        return check_configuration(changed, encode(CONFIGURATION))

    def test_same_document(self):
        """Only the version differs."""
        report = self.compare()
        self.assertEqual(([], []), (report.errors, report.differences))

    def test_version_that_does_not_increase(self):
        """Hosts would keep the one in force."""
        for version in (6, 7):
            errors = self.compare(Version=version).errors
            self.assertEqual(["$.Version"], list_paths(errors))

    def test_added_removed_and_changed(self):
        """Of each section, with the values before and after."""
        report = self.compare(
            Routes=[{**ROUTE, "TimeoutMs": 9000}, {**ROUTE, "Name": "r-2"}],
            Services=CONFIGURATION["Services"][:1],
            Limits={"MaxBodyBytes": 4194304, "IdleTimeoutMs": 9000},
            Tenants=[{"Name": "w", "ApiKeys": ["k1", "k3", "k4"], "Priority": 2}],
        )
        self.assertEqual(
            [
                ("Routes", "r-1", "changed", "TimeoutMs 15000 to 9000"),
                ("Routes", "r-2", "added", ""),
                ("Services", "two", "removed", ""),
                (
                    "Tenants",
                    "w",
                    "changed",
                    "ApiKeys 2 keys added, 1 removed; Priority 1 to 2",
                ),
                ("Limits", "IdleTimeoutMs", "changed", "15000 to 9000"),
            ],
            [tuple(difference) for difference in report.differences],
        )

    def test_several_entries_of_one_name(self):
        """None is lost."""
        report = self.compare(Routes=[ROUTE, {**ROUTE, "Prefix": "/y/"}])
        self.assertEqual(["r-1 (2)"], [item.name for item in report.differences])

    def test_invalid_version_in_force(self):
        """There is nothing to compare with."""
        self.assertRaises(
            SettingsError, check_configuration, encode(CONFIGURATION), b"{}"
        )


class CommandTest(TestCase):
    """The command's exit status, and what it prints."""

    def run_command(self, document, *options, in_force=None):
        """Run the command on files with the documents; return click's result."""
        with tempfile.TemporaryDirectory() as folder:
            file, known = Path(folder, "new.json"), Path(folder, "known.json")
            file.write_bytes(msgspec.json.encode(document))
            arguments = [str(file), *options]
            if in_force is not None:
                known.write_bytes(msgspec.json.encode(in_force))
                arguments += ["--in-force", str(known)]
            return CliRunner().invoke(check_configuration_file, arguments)

    def test_exit_status(self):
        """Warnings are no errors."""
        warned = {**CONFIGURATION, "Routes": [{**ROUTE, "MaxAttempts": 0}]}
        for document, in_force, expected in (
            (CONFIGURATION, None, 0),
            (warned, None, 0),
            ({**CONFIGURATION, "Version": None}, None, 1),
            (CONFIGURATION, CONFIGURATION, 1),
            (CONFIGURATION, {}, 2),
        ):
            result = self.run_command(document, in_force=in_force)
            self.assertEqual(expected, result.exit_code, result.output)

    def test_file_that_cannot_be_read(self):
        """Neither the checked one nor the one in force."""
        with tempfile.TemporaryDirectory() as folder:
            missing = str(Path(folder, "missing.json"))
            for arguments in ([missing], [folder], [missing, "--in-force", missing]):
                result = CliRunner().invoke(check_configuration_file, arguments)
                self.assertEqual(2, result.exit_code)
                self.assertIn(
                    "missing" if missing in arguments else folder, result.output
                )

    def test_json(self):
        """It has the sections of the report."""
        document = {**CONFIGURATION, "Version": 8}
        result = self.run_command(document, "--json", in_force=CONFIGURATION)
        empty = {"errors": [], "unmatched": [], "contradictions": []}
        self.assertEqual({**empty, "differences": []}, json.loads(result.output))

    def test_keys_are_never_printed(self):
        """Also if they are of a wrong type, in a wrong place, or have changed."""
        for tenants in (
            KEY,
            [KEY],
            {"w": KEY},
            [[KEY]],
            [{"Name": "w", "ApiKeys": KEY}],
            [{"Name": "w", "ApiKeys": {KEY: KEY}}],
            [{"Name": "w", "ApiKeys": [[KEY]]}],
            [{"Name": "w", "ApiKeys": [KEY, None]}],
            [{"Name": "w", "ApiKeys": [KEY]}, {"Name": "v", "ApiKeys": [KEY]}],
            [{"Name": "w", "ApiKeys": [], "Key": KEY}],
        ):
            invalid = {**CONFIGURATION, "Tenants": tenants}
            known = {**CONFIGURATION, "Version": 6}
            for document, in_force in (
                (invalid, None),
                (invalid, known),
                ([tenants], known),
                (tenants, known),
                ({**CONFIGURATION, "Version": 8}, invalid),
                (CONFIGURATION, [tenants]),
            ):
                for options in ((), ("--json",)):
                    result = self.run_command(document, *options, in_force=in_force)
                    self.assertNotIn(KEY, result.output)
                    self.assertIn(result.exit_code, (0, 1, 2))
                    self.assertNotIsInstance(result.exception, (TypeError, KeyError))

    def test_tool_has_the_command(self):
        """It finds the command by the entry point of the project file."""
        group = "oleanderpier.commands"
        project = tomllib.loads(PROJECT_FILE.read_text())["project"]
        for name, value in project["entry-points"][group].items():
            command = EntryPoint(name, value, group).load()
            self.assertEqual(name, command.name)
