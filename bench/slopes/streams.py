"""Costs of streams between hosts: memory, and processor time per message."""

import asyncio
import os
import resource
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

import uvloop
from eliot import to_file

from bench.slopes.fits import US_PER_S, LinearFit, Point, fit_line
from oleanderpier.events import Clock
from oleanderpier.membership import ServerRecords
from oleanderpier.peers import Address, Mesh
from oleanderpier.peers.messages import ClockStamp, KeepAlive, KeepAliveReply
from oleanderpier.placement.messages import LeavingNotice
from oleanderpier.utils import LoopTimers, encode_message

__all__ = ["compute_message_overhead", "measure_streams"]

STREAM_COUNTS = (50, 100, 200, 400)
CARRIED_BYTES = (0, 250_000, 500_000, 1_000_000)
CARRYING_STREAM_COUNT = 40
PAYLOAD_BYTES = 5_000
ROUNDS = 5
ROUND_S = 0.7
FLUSH_DELAY_S = 0.01
LOOPBACK_ADDRESS = "127.0.0.1"
PAGE_BYTES = resource.getpagesize()


class _StreamUsage(NamedTuple):
    """Memory and processor time of open streams, both ends together.

    Attributes:
        resident_bytes: Resident memory in bytes.
        min_cpu_us: The smallest processor time over the rounds to send a message
            on each stream, in microseconds.
        max_cpu_us: The largest one.
    """

    resident_bytes: int
    min_cpu_us: float
    max_cpu_us: float


def compute_message_overhead() -> int:
    """Return the bytes sent in addition to a message on a rarely used stream.

    They are its clock stamp, a keep-alive and the reply to the keep-alive.
    """
    parts = (
        ClockStamp(1_700_000_000_000_000, 1),
        KeepAlive(1_000),
        KeepAliveReply(1_000),
    )
    return sum(len(encode_message(part)) for part in parts)


def _read_resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


async def _measure_usage(streams: int, carried: int) -> _StreamUsage:
    """Open streams from one mesh to another and send on each of them.

    All peers are names of one listening mesh in this process, so that both
    ends of each stream are counted: on average a host has as many streams that
    others opened as it opened itself.

    Args:
        streams: The number of streams.
        carried: The payload to send on each stream, in bytes.
    """
    timers = LoopTimers()
    sender, receiver = (
        Mesh(name, 1, timers, Clock(timers)) for name in ("sender", "receiver")
    )
    receiver.subscribe(LeavingNotice, lambda sender, message: None)
    receiver.subscribe(ServerRecords, lambda sender, message: None)
    await receiver.listen(LOOPBACK_ADDRESS, 0)
    port = receiver._server.sockets[0].getsockname()[1]
    names = [f"peer-{index}" for index in range(streams)]
    sender.update_addresses({name: Address(LOOPBACK_ADDRESS, port) for name in names})
    before = _read_resident_bytes()
    samples_us = []
    for _ in range(ROUNDS):
        began_s = time.process_time()
        for name in names:
            sender.send(name, LeavingNotice(1, "engine-1234"))
        await asyncio.sleep(ROUND_S)
        samples_us.append((time.process_time() - began_s) * US_PER_S)
    payload = LeavingNotice(1, "x" * PAYLOAD_BYTES)
    for _ in range(carried // PAYLOAD_BYTES):
        for name in names:
            sender.send(name, payload)
        await asyncio.sleep(FLUSH_DELAY_S)
    resident_bytes = _read_resident_bytes() - before
    await sender.close()
    await receiver.close()
    # The first round also opens the streams.
    return _StreamUsage(resident_bytes, min(samples_us[1:]), max(samples_us[1:]))


def _measure_without_log(streams: int, carried: int) -> _StreamUsage:
    os.environ["UV_USE_IO_URING"] = "0"
    with open(os.devnull, "w") as null_file:
        to_file(null_file)
        return uvloop.run(_measure_usage(streams, carried))


def _measure_in_new_process(streams: int, carried: int = 0) -> _StreamUsage:
    """Measure in a new process, whose memory is not affected by earlier runs."""
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(_measure_without_log, streams, carried).result()


def measure_streams() -> dict[str, LinearFit]:
    """Measure open streams, and streams that have carried many bytes."""
    used = [(size, _measure_in_new_process(size)) for size in STREAM_COUNTS]
    carried = [
        (size, _measure_in_new_process(CARRYING_STREAM_COUNT, size))
        for size in CARRIED_BYTES
    ]
    per_stream = [
        (size, item.resident_bytes / CARRYING_STREAM_COUNT) for size, item in carried
    ]
    return {
        "stream memory": fit_line(
            "open streams, both ends, resident bytes",
            "streams",
            [
                Point(size, item.resident_bytes, item.resident_bytes)
                for size, item in used
            ],
        ),
        "stream cpu": fit_line(
            "a message on each stream and its keep-alive, both ends, µs",
            "streams",
            [Point(size, item.min_cpu_us, item.max_cpu_us) for size, item in used],
        ),
        "stream growth": fit_line(
            "a stream after carrying data, both ends, resident bytes",
            "bytes carried",
            [Point(size, resident, resident) for size, resident in per_stream],
        ),
    }
