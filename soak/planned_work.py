"""Planned work on several hosts, in series and overlapping."""

import asyncio
from collections.abc import Awaitable, Callable

from soak.hosts import HostProcesses
from soak.schedule import Fault, FaultKind

__all__ = ["PlannedWork"]

# Number of hosts that are stopped in series.
MAX_SERIES_LENGTH = 4

# After each pause a host finds requests and timers at once.
PAUSE_S = 0.3
PAUSE_INTERVAL_S = 0.5
# Pauses end well before the grace period does.
MAX_PAUSE_COUNT = 8

_CHANGES = (
    FaultKind.SERVER_LEAVES,
    FaultKind.CONFIGURATION_STORM,
    FaultKind.HOST_TERMINATED,
)


class PlannedWork:
    """Runs planned work that consists of several faults.

    Args:
        hosts: The processes of the hosts.
        host_count: Number of hosts.
        apply: Injects one of the faults and records it.
    """

    def __init__(
        self,
        hosts: HostProcesses,
        host_count: int,
        apply: Callable[[Fault], Awaitable[None]],
    ) -> None:
        self._hosts = hosts
        self._host_count = host_count
        self._apply = apply

    async def stop_in_series(self, fault: Fault) -> None:
        """Stop hosts one after the other, each as soon as the one before has ended."""
        async with asyncio.TaskGroup() as group:
            for offset in range(min(MAX_SERIES_LENGTH, self._host_count)):
                stop = fault._replace(
                    kind=FaultKind.HOST_TERMINATED, target=fault.target + offset
                )
                group.create_task(self._apply(stop))
                # The next host is stopped while this one starts again.
                await self._hosts.wait_for_exit(stop.target % self._host_count)

    async def stop_all(self, fault: Fault) -> None:
        """Stop all hosts at once."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._host_count):
                stop = fault._replace(kind=FaultKind.HOST_TERMINATED, target=number)
                group.create_task(self._apply(stop))

    async def reload_while_stopping(self, fault: Fault) -> None:
        """Stop a host and send it SIGHUP until it has ended."""
        async with asyncio.TaskGroup() as group:
            stop = fault._replace(kind=FaultKind.HOST_TERMINATED)
            group.create_task(self._apply(stop))
            await asyncio.sleep(0)
            await self._hosts.reload_until_exit(fault.target % self._host_count)

    async def stop_with_pauses(self, fault: Fault) -> None:
        """Stop a host and pause it again and again until it has ended."""
        number = fault.target % self._host_count
        pause = fault._replace(kind=FaultKind.HOST_PAUSED, for_s=PAUSE_S)
        async with asyncio.TaskGroup() as group:
            stop = fault._replace(kind=FaultKind.HOST_TERMINATED)
            group.create_task(self._apply(stop))
            exited = group.create_task(self._hosts.wait_for_exit(number))
            for _ in range(MAX_PAUSE_COUNT):
                if exited.done():
                    break
                await self._apply(pause)
                await asyncio.wait({exited}, timeout=PAUSE_INTERVAL_S - PAUSE_S)

    async def stop_during_changes(self, fault: Fault) -> None:
        """Stop a host while the configuration changes and a server leaves."""
        async with asyncio.TaskGroup() as group:
            for kind in _CHANGES:
                group.create_task(self._apply(fault._replace(kind=kind)))
