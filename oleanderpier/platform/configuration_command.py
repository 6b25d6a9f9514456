"""The ``check-configuration`` command: checks a configuration before it is sent."""

from pathlib import Path

import click

from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.exception import SettingsError
from oleanderpier.platform.configuration_check import CheckReport, check_configuration

__all__ = ["check_configuration_file"]

ERRORS_EXIT_STATUS = 1
UNREADABLE_EXIT_STATUS = 2


@click.command("check-configuration")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--in-force",
    type=click.Path(path_type=Path),
    help="The configuration in force, to compare with.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
def check_configuration_file(file: Path, in_force: Path | None, as_json: bool) -> None:
    """Check the platform's configuration in FILE before it is sent.

    Prints errors, for which hosts refuse it; entries that can never match and limits
    that contradict each other, which are warnings; and the differences from the
    version in force. Keys of tenants are never printed.

    Exit status: 0; 1 if there are errors; 2 if a file cannot be read, or if the one in
    force is no valid configuration.
    """
    data = _read(file)
    known = None if in_force is None else _read(in_force)
    try:
        report = check_configuration(data, known)
    except SettingsError as error:
        _end_unreadable(in_force, str(error))
    if as_json:
        print_json(report)
    else:
        _print_report(file, report, known is not None)
    raise SystemExit(ERRORS_EXIT_STATUS if report.errors else 0)


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        _end_unreadable(file, error.strerror or str(error))


def _end_unreadable(file: Path, reason: str) -> None:
    click.echo(f"{file}: {reason}", err=True)
    raise SystemExit(UNREADABLE_EXIT_STATUS)


def _print_report(file: Path, report: CheckReport, is_compared: bool) -> None:
    warnings = len(report.unmatched) + len(report.contradictions)
    click.echo(f"{file}: {len(report.errors)} errors, {warnings} warnings")
    for title, headers, rows in (
        ("Errors", ["PATH", "FOUND", "ALLOWED"], report.errors),
        ("Entries that can never match", ["PATH", "REASON"], report.unmatched),
        (
            "Limits that contradict each other",
            ["PATH", "REASON"],
            report.contradictions,
        ),
        (
            "Differences from the version in force",
            ["SECTION", "NAME", "CHANGE", "DETAIL"],
            report.differences,
        ),
    ):
        if rows:
            click.echo(f"\n{title}:")
            print_table(headers, rows)
    if is_compared and not (report.errors or report.differences):
        click.echo("\nNo differences from the version in force.")
