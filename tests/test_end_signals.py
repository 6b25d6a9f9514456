"""Tests of signals that arrive while a host's process ends."""

import asyncio
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

from demo.fleet import Fleet
from oleanderpier.signals import HELD_SIGNALS
from oleanderpier.utils import run_coroutine
from soak.processes import send_signal
from standins.platform_fleet import PlatformFleet

SIGNAL_INTERVAL_S = 0.002
# The drain is under way.
FIRST_SIGNAL_S = 1.0


class EndSignalsTest(TestCase):
    """A host that has been told to stop ends with status 0, whatever comes after."""

    def test_signals_until_the_end(self):
        """So it does if a reload or another stop is asked for until it has ended."""
        for signal_number in (signal.SIGHUP, signal.SIGTERM):
            status = run_coroutine(_stop_with_signals(signal_number))
            self.assertEqual(0, status, signal_number)


class ThreadsTest(TestCase):
    """Only the main thread of a process gets signals, as it alone can ignore them."""

    def test_threads_of_a_host(self):
        """Its other threads hold all of them."""
        self.assertEqual([], run_coroutine(_list_signalled_threads_of_host()))

    def test_threads_of_a_daemon(self):
        """So do those of a daemon."""
        self.assertEqual([], run_coroutine(_list_signalled_threads_of_daemon()))


async def _list_signalled_threads_of_host() -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        async with PlatformFleet(1, log_folder=Path(folder)) as fleet:
            await fleet.add_server()
            process = await fleet.start_host(0)
            await fleet.wait_until_ready(0)
            return _list_signalled_threads(process.pid)


async def _list_signalled_threads_of_daemon() -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), hosts=1, engines=1) as fleet:
            return _list_signalled_threads(fleet.processes["host-0"].pid)


def _list_signalled_threads(process_id: int) -> list[str]:
    """Return the threads, besides the main one, that may get a signal."""
    threads = Path(f"/proc/{process_id}/task")
    return [
        thread.name
        for thread in threads.iterdir()
        if thread.name != str(process_id)
        and any(
            not _read_blocked(thread) & 1 << (number - 1) for number in HELD_SIGNALS
        )
    ]


def _read_blocked(thread: Path) -> int:
    """Return the mask of the signals that a thread holds."""
    fields = dict(
        line.split(":", 1) for line in (thread / "status").read_text().splitlines()
    )
    return int(fields["SigBlk"], 16)


async def _stop_with_signals(signal_number: signal.Signals) -> int:
    """Stop a host, send it signals until it has ended; return its exit status."""
    # Nobody would read its output from a pipe.
    with tempfile.TemporaryDirectory() as folder:
        async with PlatformFleet(1, log_folder=Path(folder)) as fleet:
            await fleet.add_server()
            process = await fleet.start_host(0)
            await fleet.wait_until_ready(0)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(FIRST_SIGNAL_S)
            while process.returncode is None:
                send_signal(process, signal_number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
            return process.returncode
