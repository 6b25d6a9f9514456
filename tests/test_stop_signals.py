"""Tests of signals that reach a process while it stops."""

import asyncio
import signal

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

HOST_COUNT = 3
SIGNAL_INTERVAL_S = 0.005


class StopSignalTest(TestCase):
    """A process that stops exits with status 0, whatever it is sent meanwhile."""

    def test_signal_at_the_end_of_a_stop_does_not_end_the_process(self):
        """The signals come until the process has ended."""
        for signal_number in (signal.SIGHUP, signal.SIGTERM):
            statuses = run_coroutine(_stop_hosts(signal_number))
            self.assertEqual([0] * HOST_COUNT, statuses, signal_number)


async def _stop_hosts(signal_number: signal.Signals) -> list[int]:
    """Return the exit status of hosts that get a signal again and again.

    Args:
        signal_number: The signal that follows SIGTERM.
    """
    async with PlatformFleet(HOST_COUNT) as fleet:
        await fleet.start_all()
        exits = [
            asyncio.ensure_future(process.communicate()) for process in fleet.processes
        ]
        for process in fleet.processes:
            process.send_signal(signal.SIGTERM)
        while not all(ended.done() for ended in exits):
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            for process in fleet.processes:
                if process.returncode is None:
                    process.send_signal(signal_number)
        return [process.returncode for process in fleet.processes]
