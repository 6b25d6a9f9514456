"""The program of a daemon: reads settings, serves, drains on SIGTERM."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import click
import uvloop
from eliot import log_message, to_file

from oleanderpier.daemon.callers import make_caller_app
from oleanderpier.daemon.node import Node
from oleanderpier.daemon.reports import NodeReports
from oleanderpier.operators import make_operator_app
from oleanderpier.results import Code, Failure
from oleanderpier.settings import Settings, read_settings
from oleanderpier.signals import ignore_signals, release_signals, start_worker_threads

__all__ = ["list_io_uring_descriptors", "run"]

INVALID_SETTINGS_STATUS = 2
IO_URING_OPEN_STATUS = 3
DESCRIPTOR_FOLDER = Path("/proc/self/fd")


def list_io_uring_descriptors() -> list[str]:
    """Return this process's open file descriptors that belong to io_uring."""
    found = []
    for entry in DESCRIPTOR_FOLDER.iterdir():
        try:
            target = os.readlink(entry)
        except OSError:
            continue
        if "io_uring" in target:
            found.append(f"{entry.name}: {target}")
    return found


def run(path: Path) -> None:
    """Run the daemon until SIGTERM or SIGINT; see ``oleanderpier.entrypoints``.

    Args:
        path: The settings file.
    """
    result = read_settings(path)
    if result.is_error():
        _exit_with_failure(result.error, INVALID_SETTINGS_STATUS)
    # uvloop reads the variable when it creates the event loop.
    os.environ["UV_USE_IO_URING"] = "0"
    to_file(sys.stderr)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(result.ok))


async def _serve(settings: Settings) -> None:
    descriptors = list_io_uring_descriptors()
    if descriptors:
        _exit_with_failure(
            Failure(Code.URING_OPEN, ", ".join(descriptors)), IO_URING_OPEN_STATUS
        )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_unsupported_reload)
    await start_worker_threads()
    release_signals()
    node = Node(settings)
    await node.open_connections()
    operators = make_operator_app(NodeReports(node), node.registry)
    await node.serve("operators", operators, settings["operator_port"])
    await node.serve("callers", make_caller_app(node), settings["caller_port"])
    await node.join_fleet()
    log_message("daemon:started", host=settings["host"])
    await stop_requested.wait()
    await node.drain()
    await node.stop()
    log_message("daemon:stopped", host=settings["host"])
    ignore_signals(loop)


def _log_unsupported_reload() -> None:
    """Log that the settings file is read only at the start."""
    log_message("daemon:reload_unsupported", allowed="a restart")


def _exit_with_failure(failure: Failure, status: int) -> None:
    record = {"code": int(failure.code), "name": failure.code.name}
    click.echo(json.dumps({**record, "text": failure.text}), err=True)
    sys.exit(status)
