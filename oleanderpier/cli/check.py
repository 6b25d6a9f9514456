"""The ``check`` command: validates a settings file or a document."""

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
# Fields that identify the kind of a document, in the order in which they are tried.
KIND_BY_FIELD = {
    "classes": "configuration",
    "workspaces": "configuration",
    "hosts": "hosts",
    "backend_servers": "backend_servers",
}
KINDS = [SETTINGS_KIND, *dict.fromkeys(KIND_BY_FIELD.values())]
INVALID_FILE_EXIT_STATUS = 2


class CheckResult(NamedTuple):
    """The result of a check; path, found and allowed are empty for a valid file.

    Attributes:
        file: Path of the file.
        kind: What it was checked as.
        code: The result code, 0 for a valid file.
        name: The name of the result code.
        path: JSON path of the first fault.
        found: What the file has there.
        allowed: What is allowed there.
    """

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
    "--kind",
    type=click.Choice(KINDS),
    help="Kind of the file; detected from its fields if not given.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
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
    """Validate a file; without a kind, the kind is detected from its fields."""
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
    """Validate a decoded JSON value as settings or as a document.

    Raises:
        SettingsError: The value is not valid.
    """
    if kind == SETTINGS_KIND:
        check_settings(value)
    else:
        check_document(kind, value)


def detect_kind(value: Any) -> str:
    """Return the kind of a decoded JSON value by its fields; settings by default.

    Examples:
        >>> detect_kind({"version": 1, "hosts": []})
        'hosts'
    """
    fields = value if isinstance(value, dict) else {}
    return next(
        (KIND_BY_FIELD[field] for field in KIND_BY_FIELD if field in fields),
        SETTINGS_KIND,
    )


def find_error_code(kind: str) -> Code:
    """Return the result code of an invalid file of a kind."""
    return (
        Code.SETTINGS_INVALID if kind == SETTINGS_KIND else Code.CONFIGURATION_INVALID
    )


def print_result(result: CheckResult) -> None:
    """Print a result as text, with a table row for the fault if there is one."""
    if not result.code:
        click.echo(f"{result.file}: valid ({result.kind})")
        return
    click.echo(f"{result.file}: {result.code} {result.name} ({result.kind})")
    print_table(
        ["PATH", "FOUND", "ALLOWED"], [(result.path, result.found, result.allowed)]
    )
