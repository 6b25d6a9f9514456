"""Processor time and control bytes of daemons: ``python -m bench.daemon``.

A fleet of the users' size stands idle, then answers short chats. Exit status 1
if an idle second of a daemon costs more than 1.3% of a core, or if a host sends
more than 4 KB of control messages a second in either phase.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from bench.entry import read_processor_s
from demo.__main__ import find_caller_url
from demo.caller import Caller
from demo.fleet import LOOPBACK_ADDRESS, Fleet

HOSTS = 8
ENGINES = 9
SERVICES = 3
SETTLE_S = 15.0
PHASE_S = 30.0
TOKENS = 20
CHATS = 40
REQUESTS_PER_S = 40.0
MAX_CORE_PERCENT = 1.3
MAX_BYTES_PER_S = 4096
BYTES_METRIC = "oleanderpier_peer_bytes_sent"


class Reading(NamedTuple):
    """What one daemon had used at a moment.

    Attributes:
        time_s: The monotonic clock.
        core_s: Processor time, in seconds.
        sent_bytes: Bytes sent to other hosts.
    """

    time_s: float
    core_s: float
    sent_bytes: float


class Use(NamedTuple):
    """What one daemon used in a phase."""

    core_percent: float
    bytes_per_s: float


async def read_daemon(fleet: Fleet, host: dict) -> Reading:
    """Return what a daemon has used so far."""
    core_s = read_processor_s(fleet.processes[host["name"]])
    url = f"http://{LOOPBACK_ADDRESS}:{host['operator_port']}/metrics"
    async with fleet.session.get(url) as answer:
        lines = (await answer.text()).splitlines()
    values = [line.split()[1] for line in lines if line.startswith(BYTES_METRIC + " ")]
    return Reading(time.monotonic(), core_s, float(values[0]))


async def measure_phase(fleet: Fleet) -> list[Use]:
    """Return what each daemon uses while a phase lasts."""
    before = [await read_daemon(fleet, host) for host in fleet.hosts]
    await asyncio.sleep(PHASE_S)
    after = [await read_daemon(fleet, host) for host in fleet.hosts]
    return [
        Use(
            100 * (end.core_s - start.core_s) / (end.time_s - start.time_s),
            (end.sent_bytes - start.sent_bytes) / (end.time_s - start.time_s),
        )
        for start, end in zip(before, after, strict=True)
    ]


async def send_chats(fleet: Fleet) -> None:
    """Let chats return at a steady rate, until cancelled."""
    callers = [
        Caller(fleet.session, find_caller_url(fleet, host["name"]), "duluth-boats")
        for host in fleet.hosts
    ]
    async with asyncio.TaskGroup() as group:
        for number in range(sys.maxsize):
            caller = callers[number % len(callers)]
            chat = f"chat-{number % CHATS}"
            words = [f"turn {turn}" for turn in range(1 + number // CHATS % 5)]
            group.create_task(
                caller.request_chat(chat, words, TOKENS, caller.directory_url)
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def run_phases(folder: Path) -> tuple[list[Use], list[Use]]:
    """Return the use of each daemon while idle and under load."""
    async with Fleet(folder, HOSTS, ENGINES, SERVICES) as fleet:
        await asyncio.sleep(SETTLE_S)
        idle = await measure_phase(fleet)
        load = asyncio.create_task(send_chats(fleet))
        await asyncio.sleep(1.0)
        busy = await measure_phase(fleet)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    return idle, busy


def print_phase(name: str, uses: list[Use]) -> None:
    """Print the spread over the daemons of a phase."""
    core = [use.core_percent for use in uses]
    sent = [use.bytes_per_s for use in uses]
    print(
        f"{name:>8}  core %: median {statistics.median(core):.2f}, "
        f"worst {max(core):.2f}  control bytes/s: "
        f"median {statistics.median(sent):.0f}, worst {max(sent):.0f}"
    )


def main() -> int:
    """Measure both phases and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        idle, busy = asyncio.run(run_phases(Path(folder)))
    print(
        f"{HOSTS} hosts, {ENGINES} engines, {SERVICES} services, {PHASE_S:.0f} s each"
    )
    print_phase("idle", idle)
    print_phase("busy", busy)
    routed = sum(use.core_percent for use in busy) - sum(u.core_percent for u in idle)
    print(
        f"a routed request of {TOKENS} tokens: "
        f"{routed * 10 / REQUESTS_PER_S:.2f} ms of processor time over all hosts"
    )
    over = [use for use in idle if use.core_percent > MAX_CORE_PERCENT]
    over += [use for use in idle + busy if use.bytes_per_s > MAX_BYTES_PER_S]
    return int(bool(over))


if __name__ == "__main__":
    sys.exit(main())
