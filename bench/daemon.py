"""Processor time and control traffic of daemons: ``python -m bench.daemon``.

A fleet of the users' size is idle in the first phase and serves short chats in the
second. The exit status is 1 if an idle daemon uses more than 1.3% of a core, or if a
host sends more than 4 KiB of control messages per second in either phase.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from bench.entry import read_cpu_time_s
from demo.__main__ import find_caller_url
from demo.caller import Caller
from demo.fleet import LOOPBACK_ADDRESS, Fleet

HOST_COUNT = 8
ENGINE_COUNT = 9
SERVICE_COUNT = 3
WARM_UP_S = 15.0
PHASE_S = 30.0
RESPONSE_TOKENS = 20
CHAT_COUNT = 40
REQUESTS_PER_S = 40.0
MAX_IDLE_CORE_PERCENT = 1.3
MAX_CONTROL_BYTES_PER_S = 4096
BYTES_METRIC = "oleanderpier_peer_bytes_sent"


class UsageReading(NamedTuple):
    """Resource usage of one daemon since its start.

    Attributes:
        time_s: Monotonic time of the reading, in seconds.
        cpu_s: Processor time used, in seconds.
        sent_bytes: Number of bytes sent to other hosts.
    """

    time_s: float
    cpu_s: float
    sent_bytes: float


class UsageRate(NamedTuple):
    """Mean resource usage of one daemon during a phase.

    Attributes:
        core_percent: Processor time, in percent of one core.
        bytes_per_s: Bytes per second sent to other hosts.
    """

    core_percent: float
    bytes_per_s: float


async def read_usage(fleet: Fleet, host: dict) -> UsageReading:
    """Return the resource usage of a daemon so far.

    Args:
        fleet: The fleet that the daemon belongs to.
        host: Entry of the daemon's host in ``fleet.hosts``.
    """
    cpu_s = read_cpu_time_s(fleet.processes[host["name"]])
    url = f"http://{LOOPBACK_ADDRESS}:{host['operator_port']}/metrics"
    async with fleet.session.get(url) as response:
        lines = (await response.text()).splitlines()
    values = [line.split()[1] for line in lines if line.startswith(BYTES_METRIC + " ")]
    return UsageReading(time.monotonic(), cpu_s, float(values[0]))


async def measure_phase(fleet: Fleet) -> list[UsageRate]:
    """Return the mean resource usage of each daemon over the next ``PHASE_S``."""
    before = [await read_usage(fleet, host) for host in fleet.hosts]
    await asyncio.sleep(PHASE_S)
    after = [await read_usage(fleet, host) for host in fleet.hosts]
    return [
        UsageRate(
            100 * (end.cpu_s - start.cpu_s) / (end.time_s - start.time_s),
            (end.sent_bytes - start.sent_bytes) / (end.time_s - start.time_s),
        )
        for start, end in zip(before, after, strict=True)
    ]


async def send_chats(fleet: Fleet) -> None:
    """Send the turns of a fixed set of chats at a steady rate, until cancelled."""
    callers = [
        Caller(fleet.session, find_caller_url(fleet, host["name"]), "duluth-boats")
        for host in fleet.hosts
    ]
    async with asyncio.TaskGroup() as tasks:
        for number in range(sys.maxsize):
            caller = callers[number % len(callers)]
            chat = f"chat-{number % CHAT_COUNT}"
            words = [f"turn {turn}" for turn in range(1 + number // CHAT_COUNT % 5)]
            tasks.create_task(
                caller.request_chat(chat, words, RESPONSE_TOKENS, caller.directory_url)
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def run_phases(folder: Path) -> tuple[list[UsageRate], list[UsageRate]]:
    """Return the resource usage of each daemon while idle, and under load.

    Args:
        folder: Directory for the files of the fleet.
    """
    async with Fleet(folder, HOST_COUNT, ENGINE_COUNT, SERVICE_COUNT) as fleet:
        await asyncio.sleep(WARM_UP_S)
        idle = await measure_phase(fleet)
        load = asyncio.create_task(send_chats(fleet))
        await asyncio.sleep(1.0)
        busy = await measure_phase(fleet)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    return idle, busy


def print_phase(name: str, rates: list[UsageRate]) -> None:
    """Print the median and the maximum over all daemons in a phase."""
    core_percents = [rate.core_percent for rate in rates]
    bytes_per_s = [rate.bytes_per_s for rate in rates]
    print(
        f"{name:>8}  core %: median {statistics.median(core_percents):.2f}, "
        f"worst {max(core_percents):.2f}  control bytes/s: "
        f"median {statistics.median(bytes_per_s):.0f}, worst {max(bytes_per_s):.0f}"
    )


def main() -> int:
    """Measure both phases and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        idle, busy = asyncio.run(run_phases(Path(folder)))
    print(
        f"{HOST_COUNT} hosts, {ENGINE_COUNT} engines, {SERVICE_COUNT} services, "
        f"{PHASE_S:.0f} s per phase"
    )
    print_phase("idle", idle)
    print_phase("busy", busy)
    extra_core_percent = sum(rate.core_percent for rate in busy) - sum(
        rate.core_percent for rate in idle
    )
    print(
        f"a routed request of {RESPONSE_TOKENS} tokens: "
        f"{extra_core_percent * 10 / REQUESTS_PER_S:.2f} ms of processor time "
        "over all hosts"
    )
    exceeding = [rate for rate in idle if rate.core_percent > MAX_IDLE_CORE_PERCENT]
    exceeding += [
        rate for rate in idle + busy if rate.bytes_per_s > MAX_CONTROL_BYTES_PER_S
    ]
    return int(bool(exceeding))


if __name__ == "__main__":
    sys.exit(main())
