"""The processes of the entry hosts, and the faults that affect them."""

import asyncio
import signal
from collections.abc import Callable, Sequence

from soak.checks import SHUTDOWN_GRACE_S
from soak.processes import send_signal, slow_process, wait_for_interpreter
from standins.platform_fleet import PlatformFleet

__all__ = ["HostProcesses"]

# Time from the end of a process to its restart.
RESTART_DELAY_S = 0.3
RELOAD_INTERVAL_S = 0.2


class HostProcesses:
    """Starts the hosts, starts them again when they end, and injects their faults.

    Args:
        fleet: The hosts.
        get_elapsed_s: Returns the seconds since the start of the callers.

    Attributes:
        exits: ``(host, exit status, time in seconds)`` of each process that ended.
    """

    def __init__(self, fleet: PlatformFleet, get_elapsed_s: Callable[[], float]):
        self.exits: list[tuple[int, int, float]] = []
        self._fleet = fleet
        self._get_elapsed_s = get_elapsed_s
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._interpreter_starts: dict[int, asyncio.Task[None]] = {}
        self._restart_tasks: list[asyncio.Task] = []
        self._closing = False

    async def start(self, number: int) -> None:
        """Start a host and restart it whenever it ends, until ``close``."""
        process = await self._fleet.start_host(number)
        self._processes[number] = process
        self._interpreter_starts[number] = asyncio.create_task(
            wait_for_interpreter(process)
        )
        self._restart_tasks.append(
            asyncio.create_task(self._restart_on_exit(number, process))
        )

    async def close(self) -> None:
        """Stop the restarts; the fleet itself is stopped elsewhere."""
        self._closing = True
        tasks = [*self._restart_tasks, *self._interpreter_starts.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def kill(self, numbers: Sequence[int]) -> None:
        """Kill hosts and wait until they are ready again."""
        for number in numbers:
            self._send_signal(number, signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        for number in numbers:
            await self._fleet.wait_until_ready(number)

    async def pause(self, number: int, for_s: float) -> None:
        """Stop a host's process for some seconds."""
        self._send_signal(number, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self._send_signal(number, signal.SIGCONT)

    async def slow(self, number: int, for_s: float) -> None:
        """Slow down a host's process for some seconds."""
        await slow_process(lambda sent: self._send_signal(number, sent), for_s)

    async def terminate(self, number: int) -> None:
        """Stop a host as the platform does, and wait until it is ready again."""
        process = await self._wait_for_process(number)
        if process is not None:
            send_signal(process, signal.SIGTERM)
            try:
                async with asyncio.timeout(SHUTDOWN_GRACE_S):
                    await process.wait()
            except TimeoutError:
                # The shutdown exceeded its grace period.
                send_signal(process, signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        await self._fleet.wait_until_ready(number)

    async def reload(self, number: int) -> None:
        """Let a host read its settings again."""
        process = await self._wait_for_process(number)
        if process is not None:
            send_signal(process, signal.SIGHUP)

    async def reload_until_exit(self, number: int) -> None:
        """Let a host read its settings again and again until its process ends."""
        process = await self._wait_for_process(number)
        while process is not None and process.returncode is None:
            send_signal(process, signal.SIGHUP)
            await asyncio.sleep(RELOAD_INTERVAL_S)

    async def wait_for_exit(self, number: int) -> None:
        """Wait until the process of a host ends, if one is running."""
        process = self._processes.get(number)
        if process is not None:
            await process.wait()

    async def _wait_for_process(self, number: int) -> asyncio.subprocess.Process | None:
        """Return the process of a host, if one is running, once it handles signals."""
        process = self._processes.get(number)
        if process is not None:
            await asyncio.shield(self._interpreter_starts[number])
        return process

    async def _restart_on_exit(
        self, number: int, process: asyncio.subprocess.Process
    ) -> None:
        """Record the exit of a host's process and start it again."""
        status = await process.wait()
        del self._processes[number]
        self.exits.append((number, status, self._get_elapsed_s()))
        await asyncio.sleep(RESTART_DELAY_S)
        if not self._closing:
            await self.start(number)

    def _send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a host's process, if one is running."""
        process = self._processes.get(number)
        if process is not None:
            send_signal(process, signal_number)
