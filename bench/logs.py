"""What the log costs an entry host: ``python -m bench.logs``.

One host serves payouts on loopback; its processor time is read, and its own lines
are then logged again in this process, to nowhere. The part that lines take of the
host's processor time has to stay under a twentieth.
"""

import asyncio
import json
import os
import time

import click
from eliot import add_destinations, log_message, remove_destination

from bench.entry import read_processor_s
from oleanderpier.events import LogWriter
from oleanderpier.utils import LoopTimers, run_coroutine
from standins.platform_fleet import PlatformFleet, stop_gracefully

__all__ = ["main", "measure_share"]

REQUESTS = 2_000
AT_ONCE = 8
# The users' bound on the log's part of a process's time.
MOST_SHARE = 1 / 20
LINES_A_FLUSH = 100
OVER_STATUS = 1


async def measure_share() -> tuple[float, float, int]:
    """Return the host's and the log's processor seconds, and the lines."""
    async with PlatformFleet(1) as fleet:
        for _ in range(3):
            await fleet.add_server()
        await fleet.start_all()
        process = fleet.processes[0]
        before_s = read_processor_s(process)
        numbers = iter(range(REQUESTS))

        async def send() -> None:
            for number in numbers:
                await fleet.fetch(0, "/payout/x", f"r{number}")

        await asyncio.gather(*(send() for _ in range(AT_ONCE)))
        used_s = read_processor_s(process) - before_s
        _, output = await stop_gracefully(process)
    lines = [json.loads(line) for line in output.splitlines()]
    return used_s, log_again(lines), len(lines)


def log_again(lines: list[dict]) -> float:
    """Return the processor seconds that logging some lines takes."""
    with open(os.devnull, "wb") as sink:
        writer = LogWriter(sink.fileno(), "host", LoopTimers())
        add_destinations(writer.enqueue)
        began_s = time.process_time()
        for number, line in enumerate(lines):
            fields = {k: v for k, v in line.items() if k not in ("time", "process")}
            log_message(fields.pop("event"), **fields)
            if number % LINES_A_FLUSH == 0:
                writer.flush()
        used_s = time.process_time() - began_s
        remove_destination(writer.enqueue)
    return used_s


@click.command()
def main() -> None:
    """Measure the log's part of a host's processor time."""
    used_s, logged_s, lines = run_coroutine(measure_share())
    share = logged_s / used_s
    click.echo(
        f"{lines} lines of {REQUESTS} requests: {logged_s:.3f} s of {used_s:.3f} s,"
        f" {share:.4f}; at most {MOST_SHARE}"
    )
    if share > MOST_SHARE:
        raise SystemExit(OVER_STATUS)


if __name__ == "__main__":
    main()
