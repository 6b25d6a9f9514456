"""The program of an entry host: reads settings, serves HTTP, drains on SIGTERM."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import uvloop
from aiohttp.web_runner import ServerRunner
from eliot import add_destinations, log_message

from oleanderpier.connections import CallerServer, HttpListener
from oleanderpier.entry import EntryNode, EntrySettings
from oleanderpier.events import LogWriter
from oleanderpier.peers import split_address
from oleanderpier.platform.callers import (
    make_directory_handler,
    make_metrics_handler,
    make_ready_handler,
    make_request_handler,
)
from oleanderpier.platform.dialect import ServerDialect
from oleanderpier.platform.settings import SETTINGS_VARIABLE, read_entry_settings
from oleanderpier.platform.store import StoreClient, make_store_session
from oleanderpier.results import Failure, make_refusal_body
from oleanderpier.signals import ignore_signals, release_signals, start_worker_threads
from oleanderpier.utils import LoopTimers

__all__ = ["run"]

INVALID_SETTINGS_EXIT_CODE = 2
# The settings file is polled, since it may change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 2.0
SHUTDOWN_TIMEOUT_S = 0.05
LOG_FLUSH_TIMEOUT_S = 0.1


def run() -> None:
    """Run until SIGTERM or SIGINT.

    The exit status is 0 after a drain and 2 for invalid settings.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_entry_settings(path)
    if result.is_error():
        _exit_with_failure(result.error)
    # Otherwise libuv would open an io_uring descriptor when the loop is created.
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_node(result.ok, path))


async def _run_node(settings: EntrySettings, path: Path) -> None:
    writer = LogWriter(sys.stdout.fileno(), settings.host, LoopTimers())
    add_destinations(writer.enqueue)
    writer.start()
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    store_session = make_store_session()
    store = StoreClient(
        settings.platform_address,
        store_session,
        reads_evacuations=settings.evacuate_s is not None,
    )
    node = EntryNode(settings, store, ServerDialect())
    node.metrics.register_gauge(
        "log_lines_dropped", "Since the start.", lambda: writer.dropped
    )
    reloader = _SettingsReloader(path, node)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await start_worker_threads()
    release_signals()
    node.timers.subscribe(SETTINGS_CHECK_INTERVAL_S, reloader.reload_if_modified)
    await node.start()
    listeners = [
        await _listen(name, handler, address, node)
        for name, handler, address in (
            ("callers", make_request_handler(node), settings.caller_address),
            ("ready", make_ready_handler(node), settings.ready_address),
            ("directory", make_directory_handler(node), settings.directory_address),
            ("metrics", make_metrics_handler(node), settings.metrics_address),
        )
        if address is not None
    ]
    log_message("node:started", **settings._asdict())
    await stopped.wait()
    await node.drain()
    await _close_listeners(node, listeners)
    await node.stop()
    await store_session.close()
    log_message("node:stopped")
    await writer.finish(LOG_FLUSH_TIMEOUT_S)
    ignore_signals(loop)


async def _close_listeners(node: EntryNode, listeners: list[HttpListener]) -> None:
    """Close the listeners, that of the callers first, after the last response."""
    callers, *others = listeners
    if not await callers.finish(node.draining.get_deadline_s()):
        node.end_requests()
        await callers.finish(node.draining.get_last_response_deadline_s())
    await callers.close()
    deadline_s = node.timers.now() + SHUTDOWN_TIMEOUT_S
    await asyncio.gather(*(listener.finish(deadline_s) for listener in others))
    await asyncio.gather(*(listener.close() for listener in others))


async def _listen(name: str, handler, address: str, node: EntryNode) -> HttpListener:
    max_connections = node.settings.caller_bounds.connections[name]
    server = CallerServer(name, handler, node.timers, max_connections)
    node.metrics.register_gauge(
        f"{name}_connections", "Open connections.", server.count_open
    )
    node.metrics.register_gauge(
        f"{name}_connections_closed",
        "Closed since the start to stay within a limit.",
        lambda: server.closed,
    )
    runner = ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    listener = HttpListener(name, runner, node.timers)
    await listener.start(*split_address(address))
    return listener


class _SettingsReloader:
    """Reloads the settings file on SIGHUP and when it was modified.

    Only new seeds take effect while the process runs; all other settings need a
    restart.

    Args:
        path: The settings file.
        node: The entry host that the seeds are added to.
    """

    def __init__(self, path: Path, node: EntryNode) -> None:
        self._path = path
        self._node = node
        self._modified_ns = self._read_modified_ns()

    def reload_if_modified(self) -> None:
        """Reload the file if its modification time has changed."""
        if self._read_modified_ns() != self._modified_ns:
            self.reload()

    def reload(self) -> None:
        """Reload the file; if it is invalid, the settings in force remain."""
        self._modified_ns = self._read_modified_ns()
        result = read_entry_settings(self._path)
        if result.is_error():
            log_message("node:settings_refused", reason=result.error.text)
            return
        log_message("node:settings_read", **result.ok._asdict())
        self._node.add_seeds(result.ok.seeds)

    def _read_modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            log_message("node:settings_missing", reason=repr(error))
            return 0


def _exit_with_failure(failure: Failure) -> None:
    sys.stderr.write(json.dumps(make_refusal_body(failure)) + "\n")
    sys.exit(INVALID_SETTINGS_EXIT_CODE)
