"""Processor time that logging takes on an entry host: ``python -m bench.logs``.

One host serves payout requests on loopback, and its processor time is measured. Then
this process logs the host's log lines again, to the null device, and measures the
processor time of that. The exit status is 1 if the ratio of the two exceeds 1/20.
"""

import asyncio
import json
import os
import time

import click
from eliot import add_destinations, log_message, remove_destination

from bench.entry import read_cpu_time_s
from oleanderpier.events import LogWriter
from oleanderpier.utils import LoopTimers, run_coroutine
from standins.platform_fleet import PlatformFleet, stop_gracefully

__all__ = ["main", "measure_usage"]

REQUEST_COUNT = 2_000
CONCURRENT_REQUESTS = 8
# The users' limit on the ratio of a process's processor time that logging takes.
MAX_LOG_CPU_RATIO = 1 / 20
LINES_PER_FLUSH = 100
EXIT_OVER_BOUND = 1


async def measure_usage() -> tuple[float, float, int]:
    """Run the requests.

    Returns:
        Processor time of the host and that of logging its lines, both in seconds,
        and the number of log lines.
    """
    async with PlatformFleet(1) as fleet:
        for _ in range(3):
            await fleet.add_server()
        await fleet.start_all()
        process = fleet.processes[0]
        cpu_before_s = read_cpu_time_s(process)
        numbers = iter(range(REQUEST_COUNT))

        async def send() -> None:
            for number in numbers:
                await fleet.fetch(0, "/payout/x", f"r{number}")

        await asyncio.gather(*(send() for _ in range(CONCURRENT_REQUESTS)))
        cpu_s = read_cpu_time_s(process) - cpu_before_s
        _, output = await stop_gracefully(process)
    lines = [json.loads(line) for line in output.splitlines()]
    return cpu_s, measure_logging_s(lines), len(lines)


def measure_logging_s(lines: list[dict]) -> float:
    """Return the processor time of logging the lines, in seconds.

    Args:
        lines: Decoded log lines of a host.
    """
    with open(os.devnull, "wb") as sink:
        writer = LogWriter(sink.fileno(), "host", LoopTimers())
        add_destinations(writer.enqueue)
        started_s = time.process_time()
        for number, line in enumerate(lines):
            fields = {k: v for k, v in line.items() if k not in ("time", "process")}
            log_message(fields.pop("event"), **fields)
            if number % LINES_PER_FLUSH == 0:
                writer.flush()
        cpu_s = time.process_time() - started_s
        remove_destination(writer.enqueue)
    return cpu_s


@click.command()
def main() -> None:
    """Measure the ratio of a host's processor time that logging takes."""
    host_cpu_s, log_cpu_s, lines = run_coroutine(measure_usage())
    log_ratio = log_cpu_s / host_cpu_s
    click.echo(
        f"{lines} log lines of {REQUEST_COUNT} requests: {log_cpu_s:.3f} s of"
        f" {host_cpu_s:.3f} s, ratio {log_ratio:.4f}; limit {MAX_LOG_CPU_RATIO}"
    )
    if log_ratio > MAX_LOG_CPU_RATIO:
        raise SystemExit(EXIT_OVER_BOUND)


if __name__ == "__main__":
    main()
