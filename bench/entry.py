"""Resource usage of idle entry hosts, started as on the users' platform.

``python -m bench.entry 8 40`` measures a fleet of 8 hosts and then one of 40. The
hosts run on loopback, in three failure domains, with stand-ins for the store and for
twelve backend servers. For each fleet size it prints the processor time per host and
the rate of store calls of the whole fleet.
"""

import asyncio
import os
from asyncio.subprocess import Process

import click

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

__all__ = ["main", "measure_fleet"]

FAILURE_DOMAIN_COUNT = 3
SERVER_COUNT = 12
WARM_UP_S = 8.0
MEASURE_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_time_s(process: Process) -> float:
    """Return the user and system time that a process has used, in seconds."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def _discard_output(process: Process) -> None:
    while await process.stdout.read(65536):
        pass


async def measure_fleet(hosts: int) -> tuple[float, float, float]:
    """Measure an idle fleet.

    Args:
        hosts: Number of hosts.

    Returns:
        Mean and maximum processor time per host, as a ratio of one core, and the
        store calls per second of the whole fleet.
    """
    async with PlatformFleet(hosts) as fleet:
        for _ in range(SERVER_COUNT):
            await fleet.add_server()
        for number, settings in enumerate(fleet.settings):
            settings["Zone"] = f"domain-{number % FAILURE_DOMAIN_COUNT}"
        await fleet.start_all()
        readers = [asyncio.create_task(_discard_output(p)) for p in fleet.processes]
        await asyncio.sleep(WARM_UP_S)
        before = [read_cpu_time_s(process) for process in fleet.processes]
        calls = fleet.store.call_count
        await asyncio.sleep(MEASURE_S)
        shares = [
            (read_cpu_time_s(process) - used_s) / MEASURE_S
            for process, used_s in zip(fleet.processes, before, strict=True)
        ]
        calls = fleet.store.call_count - calls
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
    return sum(shares) / hosts, max(shares), calls / MEASURE_S


@click.command()
@click.argument("sizes", nargs=-1, type=int, required=True)
def main(sizes: tuple[int, ...]) -> None:
    """Measure idle fleets with the given numbers of hosts (SIZES)."""
    for hosts in sizes:
        mean, maximum, calls = run_coroutine(measure_fleet(hosts))
        click.echo(
            f"{hosts} hosts: {mean:.4f} of a core per host, at most {maximum:.4f};"
            f" {calls:.1f} store calls per second"
        )


if __name__ == "__main__":
    main()
