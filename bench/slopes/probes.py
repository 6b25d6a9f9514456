"""Costs of requests to backend servers, and of the event buffer."""

import asyncio
import json
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import aiohttp

from bench.slopes.fits import (
    US_PER_S,
    LinearFit,
    Point,
    fit_line,
    measure_allocated_bytes,
    measure_cpu_us,
)
from oleanderpier.daemon.probes import _fetch_cache_events, probe_server
from oleanderpier.events import Clock, EventBuffer
from oleanderpier.relay import make_session
from oleanderpier.utils import ManualTimers

__all__ = ["measure_probes"]

PROBE_COUNTS = (50, 100, 200)
EVENTS_PER_READ = (0, 15, 30, 60)
EVENT_COUNTS = (1_000, 2_000, 4_096)
READS_PER_ROUND = 50
ROUNDS = 5
LOOPBACK_ADDRESS = "127.0.0.1"
ServerRequest = Callable[[aiohttp.ClientSession, dict], Awaitable[Any]]


class _FakeServer(NamedTuple):
    """A server that sends the same response to every request.

    Attributes:
        port: The port on which it listens.
        request_sizes: The size of each received request, in bytes.
    """

    port: int
    request_sizes: list[int]


@contextmanager
def _serve_response(body: bytes) -> Iterator[_FakeServer]:
    """Serve the same response to all requests, in a thread of its own."""
    loop, received, ports = asyncio.new_event_loop(), [], []
    ready = threading.Event()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
    response = head.encode() + b"Content-Type: application/json\r\n\r\n" + body

    async def handle_connection(reader: Any, writer: Any) -> None:
        received.append(len(await reader.readuntil(b"\r\n\r\n")))
        writer.write(response)
        await writer.drain()
        writer.close()

    async def start_server() -> None:
        server = await asyncio.start_server(handle_connection, LOOPBACK_ADDRESS, 0)
        ports.append(server.sockets[0].getsockname()[1])
        ready.set()

    def run_loop() -> None:
        loop.run_until_complete(start_server())
        loop.run_forever()

    thread = threading.Thread(target=run_loop, daemon=True)
    thread.start()
    ready.wait()
    yield _FakeServer(ports[0], received)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


async def _measure_requests(
    port: int, count: int, send_request: ServerRequest
) -> tuple[float, float]:
    """Return the minimum and the maximum processor time of some requests.

    Only the time of the requesting thread counts, not that of the server.

    Args:
        port: The port of the server.
        count: The number of requests in each round.
        send_request: Sends one request.

    Returns:
        The smallest and the largest total of a round, in microseconds.
    """
    server = {"name": "engine-1", "address": LOOPBACK_ADDRESS, "port": port}
    samples_us = []
    async with make_session() as session:
        for _ in range(ROUNDS):
            began_s = time.thread_time()
            for _ in range(count):
                await send_request(session, server)
            samples_us.append((time.thread_time() - began_s) * US_PER_S)
    return min(samples_us), max(samples_us)


async def _read_cache_events(session: aiohttp.ClientSession, server: Any) -> None:
    await _fetch_cache_events(session, server, 0)


def _make_cache_events(count: int) -> bytes:
    events = [
        {"sequence": i, "kind": "stored", "chat": f"chat-{i:08}", "tokens": 900}
        for i in range(count)
    ]
    return json.dumps({"events": events}).encode()


def _measure_server_requests() -> dict[str, LinearFit]:
    load = json.dumps({"in_flight": 7, "queued": 0, "slots": 64}).encode()
    times, sent, reads = [], [], []
    for size in PROBE_COUNTS:
        with _serve_response(load) as source:
            samples_us = asyncio.run(_measure_requests(source.port, size, probe_server))
            sent_bytes = sum(source.request_sizes) / ROUNDS
        times.append(Point(size, *samples_us))
        sent.append(Point(size, sent_bytes, sent_bytes))
    for size in EVENTS_PER_READ:
        with _serve_response(_make_cache_events(size)) as source:
            minimum, maximum = asyncio.run(
                _measure_requests(source.port, READS_PER_ROUND, _read_cache_events)
            )
        reads.append(Point(size, minimum / READS_PER_ROUND, maximum / READS_PER_ROUND))
    return {
        "probe cpu": fit_line("probes over HTTP, µs", "probes", times),
        "probe bytes": fit_line("probes over HTTP, bytes sent", "probes", sent),
        "cache read cpu": fit_line("a read of cache events, µs", "events", reads),
    }


def _fill_event_buffer(events: int) -> EventBuffer:
    timers = ManualTimers()
    buffer = EventBuffer("host-1234", 1_700_000_000_000, Clock(timers), timers, events)
    for index in range(events):
        buffer.record("request:failed", f"host-1234-{index:016x}", 106, "drafting")
    return buffer


def measure_probes() -> dict[str, LinearFit]:
    """Measure probes, reads of cache events, and the event buffer."""
    memory, times = [], []
    for size in EVENT_COUNTS:
        allocated = measure_allocated_bytes(lambda size=size: _fill_event_buffer(size))
        memory.append(Point(size, allocated, allocated))
        times.append(
            Point(size, *measure_cpu_us(lambda size=size: _fill_event_buffer(size)))
        )
    return {
        **_measure_server_requests(),
        "event memory": fit_line("events kept, bytes", "events", memory),
        "event cpu": fit_line("events recorded, µs", "events", times),
    }
