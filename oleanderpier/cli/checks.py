"""The command that checks a file."""

from pathlib import Path
from typing import Any, NamedTuple

import click

from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.configuration import check_document
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code
from oleanderpier.settings import check_settings, read_json

__all__ = ["check"]

SETTINGS = "settings"
# A document's own field, in the order in which kinds are tried.
OWN_FIELDS = {
    "classes": "configuration",
    "workspaces": "configuration",
    "hosts": "hosts",
    "backend_servers": "backend_servers",
}
KINDS = [SETTINGS, *dict.fromkeys(OWN_FIELDS.values())]
BAD_FILE_STATUS = 2


class Verdict(NamedTuple):
    """What came of a check; path, found and allowed are empty for a good file."""

    file: str
    kind: str
    code: int
    name: str
    path: str = ""
    found: str = ""
    allowed: str = ""


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--kind", type=click.Choice(KINDS), help="What the file is; else by its fields."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: Path, kind: str | None, as_json: bool) -> None:
    """Check a settings FILE, or a document before it is published.

    Prints the path of the first fault, what was found there and what is
    allowed. Exit status 2 means that the file would be refused.
    """
    verdict = check_file(file, kind)
    if as_json:
        print_json(verdict)
    else:
        print_verdict(verdict)
    raise SystemExit(BAD_FILE_STATUS if verdict.code else 0)


def check_file(file: Path, kind: str | None) -> Verdict:
    """Return the verdict on a file, whose kind is found if it is not given."""
    try:
        value = read_json(file)
        kind = kind or find_kind(value)
        check_value(kind, value)
    except SettingsError as error:
        kind = kind or SETTINGS
        code = find_code(kind)
        return Verdict(
            str(file), kind, code, code.name, error.path, error.found, error.allowed
        )
    return Verdict(str(file), kind, Code.DONE, Code.DONE.name)


def check_value(kind: str, value: Any) -> None:
    """Check a value as its kind demands.

    Raises:
        SettingsError: The value does not match.
    """
    if kind == SETTINGS:
        check_settings(value)
    else:
        check_document(kind, value)


def find_kind(value: Any) -> str:
    """Return the kind of a value by the fields that it has.

    Examples:
        >>> find_kind({"version": 1, "hosts": []})
        'hosts'
    """
    fields = value if isinstance(value, dict) else {}
    return next((OWN_FIELDS[each] for each in OWN_FIELDS if each in fields), SETTINGS)


def find_code(kind: str) -> Code:
    """Return the result code of a faulty file of a kind."""
    return Code.SETTINGS_INVALID if kind == SETTINGS else Code.CONFIGURATION_INVALID


def print_verdict(verdict: Verdict) -> None:
    """Print a verdict for people."""
    if not verdict.code:
        click.echo(f"{verdict.file}: valid ({verdict.kind})")
        return
    click.echo(f"{verdict.file}: {verdict.code} {verdict.name} ({verdict.kind})")
    print_table(
        ["PATH", "FOUND", "ALLOWED"], [(verdict.path, verdict.found, verdict.allowed)]
    )
