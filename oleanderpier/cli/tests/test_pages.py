"""Tests that commands, outputs and tables in the docs match the code."""

import importlib
import re
import shlex
import tomllib
from pathlib import Path
from typing import get_type_hints

import click
from click.testing import CliRunner
from testtools import TestCase

from oleanderpier.cli.check import check_file
from oleanderpier.configuration import WorkClass
from oleanderpier.results import Code
from oleanderpier.settings import list_settings

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
SHELL_BLOCK_PATTERN = re.compile(r"(?ms)^ *```sh\n(.*?)^ *```$")
SCRIPTS = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]


def list_pages():
    """Return the paths of all Markdown pages."""
    return sorted([*ROOT.glob("*.md"), *DOCS.rglob("*.md")])


def list_commands(page):
    """Return the words of each command in a page's shell blocks."""
    blocks = SHELL_BLOCK_PATTERN.findall(page.read_text())
    lines = [line for block in blocks for line in block.splitlines()]
    return [shlex.split(line.rstrip("& ")) for line in lines if line.strip()]


def load_program(words):
    """Return the click command that a shell command starts, and its arguments."""
    if words[0] in SCRIPTS:
        module, _, name = SCRIPTS[words[0]].partition(":")
        return getattr(importlib.import_module(module), name), words[1:]
    module = importlib.import_module(words[2])
    return module.main, words[3:]


def parse_command(words):
    """Parse a shell command as its program would, without running it.

    Raises:
        click.ClickException: The program rejects the command line.
    """
    program, arguments = load_program(words)
    if isinstance(program, click.Group) and not arguments[0].startswith("-"):
        context = click.Context(program)
        _, program, arguments = program.resolve_command(context, arguments)
    program.make_context(program.name, list(arguments)).close()


def runs_project_program(words):
    """Return whether a shell command starts a program of this repository."""
    is_stand_in = words[:2] == ["python", "-m"] and words[2].startswith("standins.")
    return words[0] in SCRIPTS or is_stand_in


class CommandsTest(TestCase):
    """Every command on a page is accepted by its program."""

    def test_commands_on_pages_parse(self):
        """Each command's options and arguments are accepted by its program."""
        command_count = 0
        for page in list_pages():
            for words in filter(runs_project_program, list_commands(page)):
                with self.subTest(page=page.name, words=words):
                    parse_command(words)
                    command_count += 1
        self.assertGreater(command_count, 0)

    def test_invalid_commands_do_not_parse(self):
        """A misspelt command, a bad option or value, and a missing option fail."""
        invalid_lines = [
            "stats",
            "status --setting x",
            "events --limit many",
            "explain",
        ]
        for line in invalid_lines:
            with self.subTest(line=line):
                words = ["oleanderpier", *line.split()]
                self.assertRaises(click.ClickException, parse_command, words)

    def test_files_and_url_paths_exist(self):
        """Files in commands exist, and their URL paths are in INTERFACES.md."""
        interfaces = (DOCS / "INTERFACES.md").read_text()
        for page in list_pages():
            for words in list_commands(page):
                line = " ".join(words)
                for path in re.findall(r"docs/\S+\.json", line):
                    self.assertTrue((ROOT / path).is_file(), path)
                for path in re.findall(r"http://[^/ ]+(/v1/[a-z]+|/metrics)", line):
                    self.assertIn(path, interfaces)

    def test_example_files_are_valid(self):
        """Each example file is valid settings or a valid document."""
        examples = sorted((DOCS / "examples").glob("*.json"))
        results = [check_file(example, None) for example in examples]
        self.assertEqual([], [result for result in results if result.code])
        self.assertEqual(6, len(results))


class OutputsTest(TestCase):
    """The output that a page shows is what the command prints."""

    def test_shown_outputs_match_the_commands(self):
        """Each shell block that is followed by a text block is run and compared."""
        shown = re.findall(
            r"(?ms)^```sh\n([^\n]*)\n```\n\n```text\n(.*?)^```$",
            (DOCS / "OPERATIONS.md").read_text(),
        )
        self.assertGreaterEqual(len(shown), 4)
        for line, output in shown:
            program, arguments = load_program(shlex.split(line))
            arguments = [
                str(ROOT / word) if word.startswith("docs/") else word
                for word in arguments
            ]
            result = CliRunner().invoke(program, arguments)
            self.assertEqual((0, output), (result.exit_code, result.output), line)


class TablesTest(TestCase):
    """Tables on the pages have the rows that the code defines."""

    def list_rows(self, page, pattern):
        """Return the matches of a pattern at the line starts of a page."""
        return re.findall(rf"(?m)^{pattern}", (DOCS / page).read_text())

    def test_settings_table_matches_schema(self):
        """Each setting has a row with its default, allowed values and meaning."""
        expected = []
        for row in list_settings():
            default = "required" if row.default is None else f"`{row.default}`"
            cells = [f"`{row.path}`", default, f"`{row.allowed}`", row.meaning]
            expected.append(f"| {' | '.join(cells)} |")
        self.assertEqual(expected, self.list_rows("OPERATIONS.md", r"\| `\$\..*$"))

    def test_each_failure_code_has_a_row(self):
        """Each result code except success has a row with advice."""
        rows = self.list_rows("OPERATIONS.md", r"\| (\d{3}) \| \S")
        expected = [str(int(code)) for code in sorted(Code) if code is not Code.DONE]
        self.assertEqual(expected, rows)

    def test_work_class_fields_have_rows(self):
        """Each field of a class of work has a row."""
        rows = self.list_rows("TARGETS.md", r"\| `(\w+)` \|")
        self.assertEqual(sorted(get_type_hints(WorkClass)), sorted(rows))

    def test_pinned_packages_have_rows(self):
        """The rows are exactly the pinned packages with their versions."""
        rows = self.list_rows("DEPENDENCIES.md", r"\| `([\w.-]+)` \| (\d\S*) \|")
        lines = (ROOT / "requirements.txt").read_text().split()
        pinned = {tuple(line.split("==")) for line in lines}
        build = tomllib.loads((ROOT / "pyproject.toml").read_text())["build-system"]
        pinned |= {tuple(line.split("==")) for line in build["requires"]}
        self.assertEqual(sorted(pinned), sorted(rows))
