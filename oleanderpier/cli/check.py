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

SETTINGS_KIND = "settings"
# A document's own field, in the order in which kinds are tried.
KIND_BY_FIELD = {
    "classes": "configuration",
    "workspaces": "configuration",
    "hosts": "hosts",
    "backend_servers": "backend_servers",
}
KINDS = [SETTINGS_KIND, *dict.fromkeys(KIND_BY_FIELD.values())]
INVALID_FILE_EXIT_STATUS = 2


class CheckResult(NamedTuple):
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
    result = check_file(file, kind)
    if as_json:
        print_json(result)
    else:
        print_result(result)
    raise SystemExit(INVALID_FILE_EXIT_STATUS if result.code else 0)


def check_file(file: Path, kind: str | None) -> CheckResult:
    """Return the verdict on a file, whose kind is found if it is not given."""
    try:
        value = read_json(file)
        kind = kind or detect_kind(value)
        check_value(kind, value)
    except SettingsError as error:
        kind = kind or SETTINGS_KIND
        code = find_error_code(kind)
        return CheckResult(
            str(file), kind, code, code.name, error.path, error.found, error.allowed
        )
    return CheckResult(str(file), kind, Code.DONE, Code.DONE.name)


def check_value(kind: str, value: Any) -> None:
    """Check a value as its kind demands.

    Raises:
        SettingsError: The value does not match.
    """
    if kind == SETTINGS_KIND:
        check_settings(value)
    else:
        check_document(kind, value)


def detect_kind(value: Any) -> str:
    """Return the kind of a value by the fields that it has.

    Examples:
        >>> detect_kind({"version": 1, "hosts": []})
        'hosts'
    """
    fields = value if isinstance(value, dict) else {}
    return next(
        (KIND_BY_FIELD[each] for each in KIND_BY_FIELD if each in fields), SETTINGS_KIND
    )


def find_error_code(kind: str) -> Code:
    """Return the result code of a faulty file of a kind."""
    return (
        Code.SETTINGS_INVALID if kind == SETTINGS_KIND else Code.CONFIGURATION_INVALID
    )


def print_result(result: CheckResult) -> None:
    """Print a verdict for people."""
    if not result.code:
        click.echo(f"{result.file}: valid ({result.kind})")
        return
    click.echo(f"{result.file}: {result.code} {result.name} ({result.kind})")
    print_table(
        ["PATH", "FOUND", "ALLOWED"], [(result.path, result.found, result.allowed)]
    )
