"""The entry point of the command-line tool, with its commands."""

from importlib.metadata import EntryPoints, entry_points

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

# Adapters to a platform have their own commands, which depend on its formats.
COMMANDS_GROUP = "oleanderpier.commands"


class CommandGroup(click.Group):
    """A group whose adapters' commands are loaded when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in order."""
        return sorted([*super().list_commands(ctx), *_get_entry_points().names])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of a name, None if there is none."""
        command = super().get_command(ctx, cmd_name)
        if command is None and cmd_name in _get_entry_points().names:
            return _get_entry_points()[cmd_name].load()
        return command


def _get_entry_points() -> EntryPoints:
    return entry_points(group=COMMANDS_GROUP)


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="oleanderpier")
def run() -> None:
    """Inspect a fleet of oleanderpier hosts; no command changes anything.

    Exit status: 0 for success; 1 if a host did not respond or refused the
    query, if the logs lack what was asked for, or if a checked configuration
    has errors; 2 if the command line or a file is invalid.
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
