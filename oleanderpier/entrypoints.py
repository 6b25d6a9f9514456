"""Commands whose start must not be ended by a signal."""

from pathlib import Path

import click

from oleanderpier.signals import hold_signals

__all__ = ["run_daemon"]


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The JSON file with this host's settings.",
)
def run_daemon(path: Path) -> None:
    """Run the daemon of one entry host until SIGTERM or SIGINT.

    Exit status 0 after a graceful shutdown, 2 for bad settings, 3 if the
    event loop opened an io_uring descriptor.
    """
    hold_signals()
    # Most of the start is this import.
    from oleanderpier.daemon import run

    run(path)
