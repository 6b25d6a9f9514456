"""Processor time per token of the relay, relative to a plain pass-through.

The benchmark runs three processes: a source that streams events at a fixed
interval, a proxy that forwards them (the "middle" role), and this one, which
starts the other two, reads the streams and compares the results. The proxy
reports its own processor time.
"""

import asyncio
import contextlib
import json
import os
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import aiohttp
import click
from aiohttp import web
from expression import Ok

from oleanderpier.relay import (
    Relay,
    RelayRequest,
    format_event,
    make_session,
    relay_response,
)
from oleanderpier.relay.tests.passthrough import pass_through
from oleanderpier.utils import LoopTimers

__all__ = ["Run", "main"]

MAX_CPU_RATIO = 1.3
WORK_CLASS = {
    "name": "review",
    "kind": "engine",
    "needs": "drafting",
    "repeatable": True,
    "first_token_s": 1.6,
    "between_tokens_s": 0.049,
    "whole_s": 600.0,
}
EVENT_TEXT = "a word "
# Spreads the start times of the streams evenly over one event interval.
PHASE_STEP = 0.618
EXIT_TIMEOUT_S = 20.0
PAGE_BYTES = resource.getpagesize()
OPEN_STREAM_COUNTS = (50, 200, 800)


class Run(NamedTuple):
    """The result of one run.

    Attributes:
        mode: ``relay`` or ``pass_through``.
        cpu_us_per_token: Processor time of the proxy per token, in microseconds.
        cpu_us_per_response: Processor time of the proxy per response, in
            microseconds.
    """

    mode: str
    cpu_us_per_token: float
    cpu_us_per_response: float


class _GrantedPermit:
    """A permit that is granted to every request."""

    priority = 0

    def __init__(self, backend_server: dict) -> None:
        self.backend_server = backend_server

    def release(self) -> None:
        """Do nothing: the fake permit occupies no slot."""


def make_source_app() -> web.Application:
    """Return a minimal engine that streams events at the requested interval."""

    async def generate(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        name, total = body["request"], body["max_tokens"]
        interval_s = float(body["model"])
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await asyncio.sleep(interval_s * (int(name) * PHASE_STEP % 1.0))
        for offset in range(total):
            if interval_s:
                await asyncio.sleep(interval_s)
            await response.write(format_event(name, offset, EVENT_TEXT))
        end = json.dumps({"total": total, "reused": 0})
        await response.write(
            f"event: end\nid: {name}:{total}\ndata: {end}\n\n".encode()
        )
        return response

    app = web.Application()
    app.router.add_post("/v1/generate", generate)
    return app


def make_proxy_app(
    mode: str, source_port: int, reuse_connections: bool
) -> web.Application:
    """Return the application of the proxy whose processor time is measured.

    Args:
        mode: ``relay`` or ``pass_through``.
        source_port: The port on which the source listens.
        reuse_connections: Whether the pass-through reuses its connections.
    """
    server = {"name": "source", "address": "127.0.0.1", "port": source_port}
    url = f"http://127.0.0.1:{source_port}/v1/generate"
    shared: dict = {}

    async def open_shared(app: web.Application):
        connector = aiohttp.TCPConnector(limit=0, force_close=not reuse_connections)
        timeout = aiohttp.ClientTimeout(total=None)
        async with (
            make_session() as session,
            aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as plain_session,
        ):
            shared["plain_session"] = plain_session
            shared["relay"] = Relay(session, LoopTimers())
            shared["relay"].start()
            yield
            await shared["relay"].close()

    async def run_relay(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        work_class = {**WORK_CLASS, "needs": body["model"]}
        answer = RelayRequest(
            body["request"], work_class, "c", body["messages"], body["max_tokens"], 1
        )

        async def choose_server(avoid: frozenset[str]):
            return Ok(_GrantedPermit(server))

        return (
            await relay_response(shared["relay"], request, answer, choose_server)
        ).response

    async def run_pass_through(request: web.Request) -> web.StreamResponse:
        return await pass_through(
            request, shared["plain_session"], url, await request.json()
        )

    async def get_usage(request: web.Request) -> web.Response:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        usage = {"process_s": time.process_time(), "bytes": pages * PAGE_BYTES}
        return web.json_response(usage)

    app = web.Application()
    app.cleanup_ctx.append(open_shared)
    handlers = {"relay": run_relay, "pass_through": run_pass_through}
    app.router.add_post("/v1/chats", handlers[mode])
    app.router.add_get("/usage", get_usage)
    return app


async def serve_app(app: web.Application) -> None:
    """Serve an application on a free port until stdin is closed.

    The port is printed to stdout.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await runner.cleanup()


def run_role(
    role: str, mode: str, source_port: int, reuse_connections: bool, loop: str
) -> None:
    """Run the source or the proxy in this process."""
    app = (
        make_source_app()
        if role == "source"
        else make_proxy_app(mode, source_port, reuse_connections)
    )
    if loop == "uvloop":
        os.environ["UV_USE_IO_URING"] = "0"
        import uvloop

        uvloop.run(serve_app(app))
    else:
        asyncio.run(serve_app(app))


class _RoleProcess:
    """A child process that runs the source or the proxy.

    Args:
        arguments: Command-line options of ``python -m bench.relay``.
    """

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "bench.relay", *arguments]
        self._process = subprocess.Popen(  # noqa: S603
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.port = int(self._process.stdout.readline())

    def stop(self) -> None:
        """Close the standard input of the process and wait until it exits."""
        self._process.stdin.close()
        self._process.stdout.close()
        self._process.wait(EXIT_TIMEOUT_S)


async def read_stream(
    session: aiohttp.ClientSession, name: int, tokens: int, interval_s: float
) -> int:
    """Read one stream to its end and return its number of events."""
    body = {"request": str(name), "chat": "c", "model": str(interval_s)}
    body |= {"messages": ["m"], "offset": 0, "max_tokens": tokens, "priority": 1}
    async with session.post("/v1/chats", json=body) as response:
        return (await response.read()).count(b"\ndata: ")


async def get_usage(session: aiohttp.ClientSession) -> dict:
    """Return the processor time and the resident memory of a proxy."""
    async with session.get("/usage") as response:
        return await response.json()


def open_session(port: int) -> aiohttp.ClientSession:
    """Return a client session for a proxy."""
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(f"http://127.0.0.1:{port}", connector=connector)


async def measure_streams_cpu_s(
    port: int, streams: int, tokens: int, interval_s: float
) -> float:
    """Read streams through a proxy and return its processor time in seconds."""
    async with open_session(port) as session:
        await read_stream(session, streams, tokens, interval_s)
        before = await get_usage(session)
        reads = [read_stream(session, i, tokens, interval_s) for i in range(streams)]
        counts = await asyncio.gather(*reads)
        after = await get_usage(session)
    if set(counts) != {tokens + 1}:
        raise RuntimeError(
            f"streams had {sorted(set(counts))} events, expected {tokens + 1} each"
        )
    return after["process_s"] - before["process_s"]


async def measure_open_streams_bytes(port: int, streams: int) -> int:
    """Return the resident bytes of a proxy while streams are open."""
    async with open_session(port) as session:
        reads = [read_stream(session, i, 20, 0.2) for i in range(streams)]
        reading = asyncio.gather(*reads)
        await asyncio.sleep(3.0)
        usage = await get_usage(session)
        await reading
    return usage["bytes"]


def print_stream_memory() -> None:
    """Print the resident memory by number of open streams.

    Each number of streams is measured in a new process.
    """
    resident_bytes = {}
    for streams in OPEN_STREAM_COUNTS:
        with run_processes("relay", "uvloop") as port:
            resident_bytes[streams] = asyncio.run(
                measure_open_streams_bytes(port, streams)
            )
    base = OPEN_STREAM_COUNTS[0]
    for streams, size in resident_bytes.items():
        slope = (
            (size - resident_bytes[base]) / (streams - base) if streams > base else 0.0
        )
        print(
            f"{streams:5} streams {size / 1e6:7.1f} MB, {slope / 1e3:.1f} KB per stream"
        )


@contextlib.contextmanager
def run_processes(
    mode: str, loop: str, reuse_connections: bool = False
) -> Iterator[int]:
    """Start a source and a proxy, and yield the port of the proxy."""
    source = _RoleProcess("--role", "source", "--loop", loop)
    options = ["--role", "middle", "--mode", mode, "--loop", loop]
    options += ["--source-port", str(source.port)] + ["--kept"] * reuse_connections
    proxy = _RoleProcess(*options)
    try:
        yield proxy.port
    finally:
        proxy.stop()
        source.stop()


def measure_mode(
    mode: str, loop: str, workload: tuple, reuse_connections: bool = True
) -> Run:
    """Measure one mode once, with new processes.

    Args:
        mode: ``relay`` or ``pass_through``.
        loop: ``asyncio`` or ``uvloop``.
        workload: The number of streams, the tokens per stream and the seconds
            between two tokens.
        reuse_connections: Whether the pass-through reuses its connections.
    """
    streams, tokens, interval_s = workload
    with run_processes(mode, loop, reuse_connections) as port:
        used_s = asyncio.run(measure_streams_cpu_s(port, streams, tokens, interval_s))
    return Run(mode, used_s / streams / tokens * 1e6, used_s / streams * 1e6)


def compare_modes(
    loop: str, workload: tuple, repeats: int, reuse_connections: bool
) -> float:
    """Print the results of both modes and return the ratio of their minima.

    Other load on the machine only adds processor time, so the minimum over the
    repeats is the most reliable value. The median of the paired ratios is
    printed as well.

    Args:
        loop: ``asyncio`` or ``uvloop``.
        workload: The number of streams, the tokens per stream and the seconds
            between two tokens.
        repeats: The number of runs of each mode.
        reuse_connections: Whether the pass-through reuses its connections.
    """
    pairs = []
    for _ in range(repeats):
        plain = measure_mode("pass_through", loop, workload, reuse_connections)
        pairs.append((plain, measure_mode("relay", loop, workload, reuse_connections)))
    streams, tokens, interval_s = workload
    for runs in zip(*pairs, strict=True):
        times = sorted(run.cpu_us_per_token for run in runs)
        print(
            f"{loop:8} {streams}x{tokens} every {interval_s * 1000:g} ms"
            f" {runs[0].mode:13} us/token: min {times[0]:.1f}"
            f" median {statistics.median(times):.1f} max {times[-1]:.1f};"
            f" us/response: min {times[0] * tokens:.0f}"
        )
    plain, relayed = (
        min(r.cpu_us_per_token for r in runs) for runs in zip(*pairs, strict=True)
    )
    paired = statistics.median(
        b.cpu_us_per_token / a.cpu_us_per_token for a, b in pairs
    )
    print(
        f"{loop:8} ratio of minima {relayed / plain:.3f},"
        f" median of paired ratios {paired:.3f} (bound {MAX_CPU_RATIO})"
    )
    return relayed / plain


@click.command()
@click.option(
    "--role", type=click.Choice(["compare", "source", "middle"]), default="compare"
)
@click.option("--mode", default="relay")
@click.option("--loop", "loops", multiple=True, default=["asyncio", "uvloop"])
@click.option("--source-port", type=int, default=0)
@click.option(
    "--kept/--fresh", default=False, help="Reuse the connections of the pass-through."
)
@click.option("--streams", default=60, show_default=True)
@click.option("--tokens", default=200, show_default=True)
@click.option("--interval-s", default=0.01, show_default=True)
@click.option("--repeats", default=5, show_default=True)
@click.option("--memory", is_flag=True, help="Measure the memory of open streams.")
def main(
    role: str,
    mode: str,
    loops: tuple[str, ...],
    source_port: int,
    kept: bool,
    streams: int,
    tokens: int,
    interval_s: float,
    repeats: int,
    memory: bool,
) -> None:
    """Compare the processor time of the relay with that of a pass-through."""
    if role != "compare":
        run_role(role, mode, source_port, kept, loops[0])
        return
    if memory:
        print_stream_memory()
        return
    workload = (streams, tokens, interval_s)
    ratios = [compare_modes(loop, workload, repeats, kept) for loop in loops]
    sys.exit(int(max(ratios) > MAX_CPU_RATIO))


if __name__ == "__main__":
    main()
