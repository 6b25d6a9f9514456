"""Tests that what the pages show agrees with the code."""

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
SHELL_BLOCK = re.compile(r"(?ms)^ *```sh\n(.*?)^ *```$")
SCRIPTS = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]


def list_pages():
    """Return all pages that show commands."""
    return sorted([*ROOT.glob("*.md"), *DOCS.rglob("*.md")])


def list_commands(page):
    """Return the words of each command in the page's shell blocks."""
    blocks = SHELL_BLOCK.findall(page.read_text())
    lines = [line for block in blocks for line in block.splitlines()]
    return [shlex.split(line.rstrip("& ")) for line in lines if line.strip()]


def find_program(words):
    """Return the click command that words start, and its arguments."""
    if words[0] in SCRIPTS:
        module, _, name = SCRIPTS[words[0]].partition(":")
        return getattr(importlib.import_module(module), name), words[1:]
    module = importlib.import_module(words[2])
    return module.main, words[3:]


def parse_command(words):
    """Parse a command's words as the program would, without running it.

    Raises:
        click.ClickException: The words are no command of the program.
    """
    program, arguments = find_program(words)
    if isinstance(program, click.Group) and not arguments[0].startswith("-"):
        context = click.Context(program)
        _, program, arguments = program.resolve_command(context, arguments)
    program.make_context(program.name, list(arguments)).close()


def is_program(words):
    """Return whether words start a program of this repository."""
    is_stand_in = words[:2] == ["python", "-m"] and words[2].startswith("standins.")
    return words[0] in SCRIPTS or is_stand_in


class CommandsTest(TestCase):
    """Every command that a page shows is one that the programs take."""

    def test_commands_parse(self):
        """The options and arguments are those of the programs."""
        found = 0
        for page in list_pages():
            for words in filter(is_program, list_commands(page)):
                with self.subTest(page=page.name, words=words):
                    parse_command(words)
                    found += 1
        self.assertGreater(found, 0)

    def test_faulty_commands_do_not_parse(self):
        """A misspelt command, option or value is found."""
        faulty = ["stats", "status --setting x", "events --limit many", "explain"]
        for line in faulty:
            with self.subTest(line=line):
                words = ["oleanderpier", *line.split()]
                self.assertRaises(click.ClickException, parse_command, words)

    def test_files_and_paths(self):
        """Files in the commands exist, and calls are in the interfaces' page."""
        interfaces = (DOCS / "INTERFACES.md").read_text()
        for page in list_pages():
            for words in list_commands(page):
                line = " ".join(words)
                for path in re.findall(r"docs/\S+\.json", line):
                    self.assertTrue((ROOT / path).is_file(), path)
                for path in re.findall(r"http://[^/ ]+(/v1/[a-z]+|/metrics)", line):
                    self.assertIn(path, interfaces)

    def test_examples_are_valid(self):
        """Each example file is one that the fleet would take."""
        examples = sorted((DOCS / "examples").glob("*.json"))
        verdicts = [check_file(example, None) for example in examples]
        self.assertEqual([], [verdict for verdict in verdicts if verdict.code])
        self.assertEqual(6, len(verdicts))


class ReplayTest(TestCase):
    """What a page shows as a command's output is what the command prints."""

    def test_outputs(self):
        """Each shell block with a text block behind it is run again."""
        shown = re.findall(
            r"(?ms)^```sh\n([^\n]*)\n```\n\n```text\n(.*?)^```$",
            (DOCS / "OPERATIONS.md").read_text(),
        )
        self.assertGreaterEqual(len(shown), 4)
        for line, output in shown:
            program, arguments = find_program(shlex.split(line))
            arguments = [
                str(ROOT / word) if word.startswith("docs/") else word
                for word in arguments
            ]
            result = CliRunner().invoke(program, arguments)
            self.assertEqual((0, output), (result.exit_code, result.output), line)


class TablesTest(TestCase):
    """Tables in the pages have the rows of the code."""

    def list_rows(self, page, pattern):
        """Return what a pattern finds at the line starts of a page."""
        return re.findall(rf"(?m)^{pattern}", (DOCS / page).read_text())

    def test_settings(self):
        """Each setting has its row, with its default and what is allowed."""
        expected = []
        for row in list_settings():
            default = "required" if row.default is None else f"`{row.default}`"
            cells = [f"`{row.path}`", default, f"`{row.allowed}`", row.meaning]
            expected.append(f"| {' | '.join(cells)} |")
        self.assertEqual(expected, self.list_rows("OPERATIONS.md", r"\| `\$\..*$"))

    def test_codes_have_advice(self):
        """Each code but success has a row that says what to do."""
        rows = self.list_rows("OPERATIONS.md", r"\| (\d{3}) \| \S")
        expected = [str(int(code)) for code in sorted(Code) if code is not Code.DONE]
        self.assertEqual(expected, rows)

    def test_target_fields(self):
        """Each field of a class of work has a row."""
        rows = self.list_rows("TARGETS.md", r"\| `(\w+)` \|")
        self.assertEqual(sorted(get_type_hints(WorkClass)), sorted(rows))

    def test_dependencies(self):
        """Each pinned package has a row with its version, and no other has."""
        rows = self.list_rows("DEPENDENCIES.md", r"\| `([\w.]+)` \| (\d\S*) \|")
        lines = (ROOT / "requirements.txt").read_text().split()
        pinned = {tuple(line.split("==")) for line in lines}
        build = tomllib.loads((ROOT / "pyproject.toml").read_text())["build-system"]
        pinned |= {tuple(line.split("==")) for line in build["requires"]}
        self.assertEqual(sorted(pinned), sorted(rows))
