"""The entry point of the command-line tool, with its commands."""

import click

from oleanderpier.cli.check import check
from oleanderpier.cli.explain import explain
from oleanderpier.cli.loads import loads
from oleanderpier.cli.picture import picture
from oleanderpier.cli.status import status
from oleanderpier.cli.summary import summary
from oleanderpier.cli.targets import targets
from oleanderpier.cli.timeline import events
from oleanderpier.cli.trace import trace

__all__ = ["run"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="oleanderpier")
def run() -> None:
    """Inspect a fleet of oleanderpier hosts; no command changes anything.

    Exit status: 0 for success; 1 if a host did not respond or refused the
    query, or if the logs lack what was asked for; 2 if the command line or a
    file is invalid.
    """


for command in (
    check,
    status,
    targets,
    explain,
    events,
    trace,
    summary,
    loads,
    picture,
):
    run.add_command(command)
