"""Tests of signals that reach a process while it starts."""

import asyncio
import signal
import tempfile
from asyncio.subprocess import Process
from pathlib import Path

from testtools import TestCase

from demo.fleet import Fleet
from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

# The start takes about 0.4 s, and longer beside other processes.
DELAYS_S = [tenths / 20 for tenths in range(11)]
DAEMON_DELAYS_S = DELAYS_S[::2]
IMPORT_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 20.0


class StartSignalTest(TestCase):
    """Signals are acted on once the process can, whenever they arrive.

    Delays count from the first imports: before them the interpreter itself starts.
    """

    def test_termination_ends_a_host_with_status_0(self):
        """A host that is terminated during its start drains and exits."""
        self.assertEqual([0] * len(DELAYS_S), run_coroutine(_terminate_hosts()))

    def test_reload_does_not_end_a_host(self):
        """A host that gets SIGHUP during its start becomes ready."""
        run_coroutine(_reload_hosts())

    def test_termination_ends_a_daemon_with_status_0(self):
        """The same holds for a daemon."""
        statuses = run_coroutine(self._terminate_daemons())
        self.assertEqual([0] * len(DAEMON_DELAYS_S), statuses)

    def test_reload_does_not_end_a_daemon(self):
        """A daemon that gets SIGHUP during its start becomes ready."""
        run_coroutine(self._reload_daemons())

    def _make_folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    async def _terminate_daemons(self) -> list[int]:
        async with Fleet(self._make_folder(), len(DAEMON_DELAYS_S), 1, 0) as fleet:
            processes = await _restart_daemons(fleet, signal.SIGTERM)
            return await _gather_statuses(processes)

    async def _reload_daemons(self) -> None:
        async with Fleet(self._make_folder(), len(DAEMON_DELAYS_S), 1, 0) as fleet:
            await _restart_daemons(fleet, signal.SIGHUP)
            await fleet.wait_until_ready([host["name"] for host in fleet.hosts])


async def _terminate_hosts() -> list[int]:
    async with PlatformFleet(len(DELAYS_S)) as fleet:
        await fleet.add_server()
        processes = await asyncio.gather(
            *(
                _start_host(fleet, number, signal.SIGTERM)
                for number in range(len(DELAYS_S))
            )
        )
        return await _gather_statuses(processes)


async def _reload_hosts() -> None:
    async with PlatformFleet(len(DELAYS_S)) as fleet:
        await fleet.add_server()
        hosts = range(len(DELAYS_S))
        await asyncio.gather(
            *(_start_host(fleet, number, signal.SIGHUP) for number in hosts)
        )
        for number in hosts:
            await fleet.wait_until_ready(number)


async def _start_host(
    fleet: PlatformFleet, number: int, signal_number: signal.Signals
) -> Process:
    process = await fleet.start_host(number)
    await _signal_later(process, signal_number, DELAYS_S[number])
    return process


async def _restart_daemons(fleet: Fleet, number: signal.Signals) -> list[Process]:
    """Kill every daemon, start it again and send a signal during its start."""

    async def restart(name: str, delay_s: float) -> Process:
        fleet.send_signal(name, signal.SIGKILL)
        await fleet.processes[name].wait()
        await fleet.start_host(name)
        await _signal_later(fleet.processes[name], number, delay_s)
        return fleet.processes[name]

    names = [host["name"] for host in fleet.hosts]
    restarts = map(restart, names, DAEMON_DELAYS_S)
    return await asyncio.gather(*restarts)


async def _signal_later(
    process: Process, number: signal.Signals, delay_s: float
) -> None:
    """Send a signal some time after the process has begun to import its modules."""
    async with asyncio.timeout(IMPORT_TIMEOUT_S):
        while process.returncode is None and not _has_begun_imports(process.pid):
            await asyncio.sleep(0.001)
    await asyncio.sleep(delay_s)
    process.send_signal(number)


def _has_begun_imports(pid: int) -> bool:
    """Return whether a process has loaded uvloop, which it imports early."""
    return "uvloop/loop" in Path(f"/proc/{pid}/maps").read_text()


async def _gather_statuses(processes: list[Process]) -> list[int]:
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        return list(await asyncio.gather(*(process.wait() for process in processes)))
