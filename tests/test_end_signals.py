"""Tests of signals that arrive while a host's process ends."""

import asyncio
import signal
import tempfile
from pathlib import Path

from testtools import TestCase

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
