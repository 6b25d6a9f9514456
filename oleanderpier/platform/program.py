"""The program that runs on each entry host of the platform."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import uvloop
from aiohttp import web
from eliot import add_destinations, log_message

from oleanderpier.connections import make_session
from oleanderpier.entry import EntryNode, EntrySettings
from oleanderpier.events import LogWriter
from oleanderpier.peers import split_address
from oleanderpier.platform.callers import (
    make_directory_handler,
    make_front_handler,
    make_metrics_handler,
    make_ready_handler,
)
from oleanderpier.platform.dialect import ServerDialect
from oleanderpier.platform.settings import SETTINGS_VARIABLE, read_entry_settings
from oleanderpier.platform.store import StoreClient
from oleanderpier.results import Failure, make_refusal
from oleanderpier.utils import LoopTimers

__all__ = ["run"]

INVALID_STATUS = 2
# Idle connections to the store are closed after this long.
STORE_IDLE_S = 15.0
# Callers' connections may be idle for longer than any configuration allows.
CALLER_IDLE_S = 120.0
MAX_HEADER_BYTES = 64 << 10
# The settings file may change without a signal.
SETTINGS_CHECK_S = 2.0
SHUTDOWN_TIMEOUT_S = 0.05
BACKLOG = 512


def run() -> None:
    """Run until SIGTERM; exit status 0 after a drain, 2 for bad settings."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_entry_settings(path)
    if result.is_error():
        _exit_with(result.error)
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(result.ok, path))


async def _serve(settings: EntrySettings, path: Path) -> None:
    writer = LogWriter(sys.stdout.fileno(), settings.host, LoopTimers())
    add_destinations(writer.enqueue)
    writer.start()
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    store_session = make_session(keepalive_s=STORE_IDLE_S)
    store = StoreClient(settings.platform_address, store_session)
    node = EntryNode(settings, store, ServerDialect())
    node.metrics.watch("log_lines_dropped", "Since the start.", lambda: writer.dropped)
    file = _SettingsFile(path, node)
    loop.add_signal_handler(signal.SIGHUP, file.read)
    node.timers.subscribe(SETTINGS_CHECK_S, file.check)
    await node.start()
    runners = [
        await _listen(make_front_handler(node), settings.caller_address),
        await _listen(make_ready_handler(node), settings.ready_address),
        await _listen(make_directory_handler(node), settings.directory_address),
    ]
    if settings.metrics_address is not None:
        handler = make_metrics_handler(node)
        runners.append(await _listen(handler, settings.metrics_address))
    log_message("node:started", **settings._asdict())
    await stopped.wait()
    await node.drain()
    for runner in runners:
        await runner.cleanup()
    await node.stop()
    await store_session.close()
    log_message("node:stopped")
    writer.flush()


async def _listen(handler, address: str) -> web.ServerRunner:
    server = web.Server(
        handler,
        handler_cancellation=True,
        keepalive_timeout=CALLER_IDLE_S,
        access_log=None,
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, *split_address(address), backlog=BACKLOG).start()
    return runner


class _SettingsFile:
    """Reads the settings anew when told to, or when the file has changed.

    Of the settings only the seeds take effect while the process runs; the
    addresses that it listens on need a restart.

    Args:
        path: The file.
        node: What learns of new seeds.
    """

    def __init__(self, path: Path, node: EntryNode) -> None:
        self._path = path
        self._node = node
        self._changed_ns = self._find_change()

    def check(self) -> None:
        """Read the file if it has changed."""
        if self._find_change() != self._changed_ns:
            self.read()

    def read(self) -> None:
        """Read the file; a bad one leaves the settings in force in place."""
        self._changed_ns = self._find_change()
        result = read_entry_settings(self._path)
        if result.is_error():
            log_message("node:settings_refused", reason=result.error.text)
            return
        log_message("node:settings_read", **result.ok._asdict())
        self._node.learn_seeds(result.ok.seeds)

    def _find_change(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log_message("node:settings_missing", reason=repr(error))
            return 0


def _exit_with(failure: Failure) -> None:
    sys.stderr.write(json.dumps(make_refusal(failure)) + "\n")
    sys.exit(INVALID_STATUS)
