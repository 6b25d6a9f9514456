"""What entry hosts of the users' platform cost while nobody asks them.

``python -m bench.entry 8 40`` starts that many hosts in three failure domains on
loopback, before stand-ins of the store and of twelve servers, and prints for
each size the processor time of a host, and the calls to the store of all.
"""

import asyncio
import os
from asyncio.subprocess import Process

import click

from oleanderpier.utils import run_coroutine
from standins.platform_fleet import PlatformFleet

__all__ = ["main", "measure_fleet"]

FAILURE_DOMAINS = 3
SERVERS = 12
SETTLE_S = 8.0
MEASURED_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_processor_s(process: Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def _drain(process: Process) -> None:
    while await process.stdout.read(65536):
        pass


async def measure_fleet(hosts: int) -> tuple[float, float, float]:
    """Return the mean and the greatest share of a core, and calls a second.

    Args:
        hosts: How many hosts there are.
    """
    async with PlatformFleet(hosts) as fleet:
        for _ in range(SERVERS):
            await fleet.add_server()
        for number, settings in enumerate(fleet.settings):
            settings["Zone"] = f"domain-{number % FAILURE_DOMAINS}"
        await fleet.start_all()
        readers = [asyncio.create_task(_drain(p)) for p in fleet.processes]
        await asyncio.sleep(SETTLE_S)
        before = [read_processor_s(process) for process in fleet.processes]
        calls = fleet.store.call_count
        await asyncio.sleep(MEASURED_S)
        shares = [
            (read_processor_s(process) - used_s) / MEASURED_S
            for process, used_s in zip(fleet.processes, before, strict=True)
        ]
        calls = fleet.store.call_count - calls
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
    return sum(shares) / hosts, max(shares), calls / MEASURED_S


@click.command()
@click.argument("sizes", nargs=-1, type=int, required=True)
def main(sizes: tuple[int, ...]) -> None:
    """Measure idle fleets of the given SIZES."""
    for hosts in sizes:
        mean, most, calls = run_coroutine(measure_fleet(hosts))
        click.echo(
            f"{hosts} hosts: {mean:.4f} of a core a host, {most:.4f} at most;"
            f" {calls:.1f} calls a second to the store"
        )


if __name__ == "__main__":
    main()
