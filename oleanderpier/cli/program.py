"""The program and its commands."""

import click

from oleanderpier.cli.check import check
from oleanderpier.cli.explain import explain
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
    """Look into a fleet of oleanderpier hosts; nothing is changed.

    Exit status: 0 if all went well, 1 if a host did not answer or an answer
    was a refusal, 2 if the command or a file is wrong.
    """


for command in (check, status, targets, explain, events, trace, summary, picture):
    run.add_command(command)
