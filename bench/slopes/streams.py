"""Slopes of streams between hosts: their memory, and what a message costs."""

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

from bench.slopes.fits import MICROSECONDS, Point, Slope, fit_slope
from oleanderpier.events import Clock
from oleanderpier.membership import ServerRecords
from oleanderpier.peers import Address, Mesh
from oleanderpier.peers.messages import ClockStamp, KeepAlive, KeepAliveReply
from oleanderpier.placement.messages import LeavingNotice
from oleanderpier.utils import LoopTimers, encode_message

__all__ = ["measure_overhead", "measure_streams"]

STREAM_SIZES = (50, 100, 200, 400)
CARRIED_SIZES = (0, 250_000, 500_000, 1_000_000)
CARRYING_STREAMS = 40
PAYLOAD_BYTES = 5_000
ROUNDS = 5
ROUND_S = 0.7
FLUSH_S = 0.01
ADDRESS = "127.0.0.1"
PAGE_BYTES = resource.getpagesize()


class _Used(NamedTuple):
    """What open streams used.

    Attributes:
        held: Resident bytes, both ends.
        least_us: Processor time of a message on each stream, least disturbed.
        most_us: The same, most disturbed.
    """

    held: int
    least_us: float
    most_us: float


def measure_overhead() -> int:
    """Return the bytes that go with a message on a stream that is little used.

    They are its stamp, a request for a sign of life and the answer to that.
    """
    parts = (
        ClockStamp(1_700_000_000_000_000, 1),
        KeepAlive(1_000),
        KeepAliveReply(1_000),
    )
    return sum(len(encode_message(part)) for part in parts)


def _count_resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


async def _use_streams(streams: int, carried: int) -> _Used:
    """Open streams from one mesh to another and send on each of them.

    All peers are names of one listening mesh in this process, so that both
    ends of each stream are counted: on average a host has as many streams that
    others opened as it opened itself.
    """
    timers = LoopTimers()
    here, there = (
        Mesh(name, 1, timers, Clock(timers)) for name in ("sender", "receiver")
    )
    there.subscribe(LeavingNotice, lambda sender, message: None)
    there.subscribe(ServerRecords, lambda sender, message: None)
    await there.listen(ADDRESS, 0)
    port = there._server.sockets[0].getsockname()[1]
    names = [f"peer-{index}" for index in range(streams)]
    here.update_addresses({name: Address(ADDRESS, port) for name in names})
    before = _count_resident()
    spent = []
    for _ in range(ROUNDS):
        began_s = time.process_time()
        for name in names:
            here.send(name, LeavingNotice(1, "engine-1234"))
        await asyncio.sleep(ROUND_S)
        spent.append((time.process_time() - began_s) * MICROSECONDS)
    payload = LeavingNotice(1, "x" * PAYLOAD_BYTES)
    for _ in range(carried // PAYLOAD_BYTES):
        for name in names:
            here.send(name, payload)
        await asyncio.sleep(FLUSH_S)
    held = _count_resident() - before
    await here.close()
    await there.close()
    return _Used(held, min(spent[1:]), max(spent[1:]))


def _run_streams(streams: int, carried: int) -> _Used:
    os.environ["UV_USE_IO_URING"] = "0"
    with open(os.devnull, "w") as nowhere:
        to_file(nowhere)
        return uvloop.run(_use_streams(streams, carried))


def _run_fresh(streams: int, carried: int = 0) -> _Used:
    """Run in a new process, whose memory holds nothing of earlier runs."""
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(_run_streams, streams, carried).result()


def measure_streams() -> dict[str, Slope]:
    """Measure open streams, and streams that have carried much."""
    used = [(size, _run_fresh(size)) for size in STREAM_SIZES]
    carried = [(size, _run_fresh(CARRYING_STREAMS, size)) for size in CARRIED_SIZES]
    each = [(size, item.held / CARRYING_STREAMS) for size, item in carried]
    return {
        "stream memory": fit_slope(
            "open streams, both ends, resident bytes",
            "streams",
            [Point(size, item.held, item.held) for size, item in used],
        ),
        "stream core": fit_slope(
            "a message on each stream and its keep-alive, both ends, µs",
            "streams",
            [Point(size, item.least_us, item.most_us) for size, item in used],
        ),
        "stream growth": fit_slope(
            "a stream that has carried much, both ends, resident bytes",
            "bytes carried",
            [Point(size, held, held) for size, held in each],
        ),
    }
