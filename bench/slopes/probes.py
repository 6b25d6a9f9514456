"""Slopes of requests to backend servers, and of the ring of events."""

import asyncio
import json
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import aiohttp

from bench.slopes.fits import (
    MICROSECONDS,
    Point,
    Slope,
    find_least_us,
    fit_slope,
    measure_held,
)
from oleanderpier.daemon.probes import _fetch_cache_events, probe_server
from oleanderpier.events import Clock, EventBuffer
from oleanderpier.relay import make_session
from oleanderpier.utils import ManualTimers

__all__ = ["measure_probes"]

PROBE_SIZES = (50, 100, 200)
CACHE_SIZES = (0, 15, 30, 60)
EVENT_SIZES = (1_000, 2_000, 4_096)
READS = 50
ROUNDS = 5
ADDRESS = "127.0.0.1"
Visit = Callable[[aiohttp.ClientSession, dict], Awaitable[Any]]


class _Source(NamedTuple):
    """A server that gives one answer to every request.

    Attributes:
        port: Where it listens.
        received: The bytes of each request.
    """

    port: int
    received: list[int]


@contextmanager
def _serve(body: bytes) -> Iterator[_Source]:
    """Serve one answer from a thread of its own."""
    loop, received, ports = asyncio.new_event_loop(), [], []
    ready = threading.Event()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
    answer = head.encode() + b"Content-Type: application/json\r\n\r\n" + body

    async def serve(reader: Any, writer: Any) -> None:
        received.append(len(await reader.readuntil(b"\r\n\r\n")))
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def start() -> None:
        server = await asyncio.start_server(serve, ADDRESS, 0)
        ports.append(server.sockets[0].getsockname()[1])
        ready.set()

    def run() -> None:
        loop.run_until_complete(start())
        loop.run_forever()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    ready.wait()
    yield _Source(ports[0], received)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


async def _visit(port: int, count: int, visit: Visit) -> tuple[float, float]:
    """Return the least and greatest processor time of a number of visits.

    Only the time of this thread counts, not that of the server's.
    """
    server = {"name": "engine-1", "address": ADDRESS, "port": port}
    spent = []
    async with make_session() as session:
        for _ in range(ROUNDS):
            began_s = time.thread_time()
            for _ in range(count):
                await visit(session, server)
            spent.append((time.thread_time() - began_s) * MICROSECONDS)
    return min(spent), max(spent)


async def _read(session: aiohttp.ClientSession, server: Any) -> None:
    await _fetch_cache_events(session, server, 0)


def _make_events(count: int) -> bytes:
    events = [
        {"sequence": i, "kind": "stored", "chat": f"chat-{i:08}", "tokens": 900}
        for i in range(count)
    ]
    return json.dumps({"events": events}).encode()


def _measure_visits() -> dict[str, Slope]:
    load = json.dumps({"in_flight": 7, "queued": 0, "slots": 64}).encode()
    times, sent, reads = [], [], []
    for size in PROBE_SIZES:
        with _serve(load) as source:
            spent = asyncio.run(_visit(source.port, size, probe_server))
            octets = sum(source.received) / ROUNDS
        times.append(Point(size, *spent))
        sent.append(Point(size, octets, octets))
    for size in CACHE_SIZES:
        with _serve(_make_events(size)) as source:
            least, most = asyncio.run(_visit(source.port, READS, _read))
        reads.append(Point(size, least / READS, most / READS))
    return {
        "probe core": fit_slope("probes over HTTP, µs", "probes", times),
        "probe bytes": fit_slope("probes over HTTP, bytes sent", "probes", sent),
        "cache read core": fit_slope("a read of cache events, µs", "events", reads),
    }


def _fill_ring(events: int) -> EventBuffer:
    timers = ManualTimers()
    ring = EventBuffer("host-1234", 1_700_000_000_000, Clock(timers), timers, events)
    for index in range(events):
        ring.record("request:failed", f"host-1234-{index:016x}", 106, "drafting")
    return ring


def measure_probes() -> dict[str, Slope]:
    """Measure probes, reads of cache events, and the ring of events."""
    held, spent = [], []
    for size in EVENT_SIZES:
        octets = measure_held(lambda size=size: _fill_ring(size))
        held.append(Point(size, octets, octets))
        spent.append(Point(size, *find_least_us(lambda size=size: _fill_ring(size))))
    return {
        **_measure_visits(),
        "event memory": fit_slope("events kept, bytes", "events", held),
        "event core": fit_slope("events recorded, µs", "events", spent),
    }
