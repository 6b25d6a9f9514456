"""Processor time of a relayed token, as a ratio to a plain pass-through.

Three processes: a source that sends paced events, a middle that relays them,
and this one, which starts them, reads the streams and compares. The middle
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

BOUND = 1.3
WORK_CLASS = {
    "name": "review",
    "kind": "engine",
    "needs": "drafting",
    "repeatable": True,
    "first_token_s": 1.6,
    "between_tokens_s": 0.049,
    "whole_s": 600.0,
}
TEXT = "a word "
PHASE_STEP = 0.618
START_S = 20.0
PAGE_BYTES = resource.getpagesize()
OPEN_STREAMS = (50, 200, 800)


class Run(NamedTuple):
    """One measured run.

    Attributes:
        token_us: Processor time of the middle for a token, in microseconds.
        answer_us: The same for an answer.
    """

    mode: str
    token_us: float
    answer_us: float


class _Permit:
    """A permit that is always to be had."""

    priority = 0

    def __init__(self, backend_server: dict) -> None:
        self.backend_server = backend_server

    def release(self) -> None:
        """Give nothing back."""


def make_source_app() -> web.Application:
    """Return an engine that sends paced events and little else."""

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
            await response.write(format_event(name, offset, TEXT))
        end = json.dumps({"total": total, "reused": 0})
        await response.write(
            f"event: end\nid: {name}:{total}\ndata: {end}\n\n".encode()
        )
        return response

    app = web.Application()
    app.router.add_post("/v1/generate", generate)
    return app


def make_middle_app(mode: str, source_port: int, kept: bool) -> web.Application:
    """Return the process that is measured.

    Args:
        mode: ``relay`` or ``pass_through``.
        source_port: Where the source listens.
        kept: Whether the pass-through reuses its connections.
    """
    server = {"name": "source", "address": "127.0.0.1", "port": source_port}
    url = f"http://127.0.0.1:{source_port}/v1/generate"
    shared: dict = {}

    async def open_shared(app: web.Application):
        plain = aiohttp.TCPConnector(limit=0, force_close=not kept)
        timeout = aiohttp.ClientTimeout(total=None)
        async with (
            make_session() as session,
            aiohttp.ClientSession(connector=plain, timeout=timeout) as pool,
        ):
            shared["pool"] = pool
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

        async def place(avoid: frozenset[str]):
            return Ok(_Permit(server))

        return (await relay_response(shared["relay"], request, answer, place)).response

    async def run_pass_through(request: web.Request) -> web.StreamResponse:
        return await pass_through(request, shared["pool"], url, await request.json())

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
    """Serve an application on a free port, printed, until stdin ends."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await runner.cleanup()


def run_role(role: str, mode: str, source_port: int, kept: bool, loop: str) -> None:
    """Run the source or the middle in this process."""
    app = (
        make_source_app()
        if role == "source"
        else make_middle_app(mode, source_port, kept)
    )
    if loop == "uvloop":
        os.environ["UV_USE_IO_URING"] = "0"
        import uvloop

        uvloop.run(serve_app(app))
    else:
        asyncio.run(serve_app(app))


class _Process:
    """A role in a process of its own.

    Args:
        arguments: Options for ``python -m bench.relay``.
    """

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "bench.relay", *arguments]
        self._process = subprocess.Popen(  # noqa: S603
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.port = int(self._process.stdout.readline())

    def stop(self) -> None:
        """End the process and wait for it."""
        self._process.stdin.close()
        self._process.stdout.close()
        self._process.wait(START_S)


async def read_stream(
    session: aiohttp.ClientSession, name: int, tokens: int, interval_s: float
) -> int:
    """Read one stream to its end; return how many events it had."""
    body = {"request": str(name), "chat": "c", "model": str(interval_s)}
    body |= {"messages": ["m"], "offset": 0, "max_tokens": tokens, "priority": 1}
    async with session.post("/v1/chats", json=body) as answer:
        return (await answer.read()).count(b"\ndata: ")


async def get_usage(session: aiohttp.ClientSession) -> dict:
    """Return the processor time and the memory that a middle has used."""
    async with session.get("/usage") as answer:
        return await answer.json()


def open_session(port: int) -> aiohttp.ClientSession:
    """Return a session at a middle."""
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(f"http://127.0.0.1:{port}", connector=connector)


async def read_streams(
    port: int, streams: int, tokens: int, interval_s: float
) -> float:
    """Read streams through a middle; return its processor time in seconds."""
    async with open_session(port) as session:
        await read_stream(session, streams, tokens, interval_s)
        before = await get_usage(session)
        reads = [read_stream(session, i, tokens, interval_s) for i in range(streams)]
        counts = await asyncio.gather(*reads)
        after = await get_usage(session)
    if set(counts) != {tokens + 1}:
        raise RuntimeError(f"events read: {sorted(set(counts))}")
    return after["process_s"] - before["process_s"]


async def hold_streams(port: int, streams: int) -> int:
    """Return a middle's memory in bytes while streams are open."""
    async with open_session(port) as session:
        reads = [read_stream(session, i, 20, 0.2) for i in range(streams)]
        reading = asyncio.gather(*reads)
        await asyncio.sleep(3.0)
        usage = await get_usage(session)
        await reading
    return usage["bytes"]


def measure_memory() -> None:
    """Print the memory of open streams, each size in a process of its own."""
    found = {}
    for streams in OPEN_STREAMS:
        with run_roles("relay", "uvloop") as port:
            found[streams] = asyncio.run(hold_streams(port, streams))
    least = OPEN_STREAMS[0]
    for streams, size in found.items():
        slope = (size - found[least]) / (streams - least) if streams > least else 0.0
        print(
            f"{streams:5} streams {size / 1e6:7.1f} MB, {slope / 1e3:.1f} KB a stream"
        )


@contextlib.contextmanager
def run_roles(mode: str, loop: str, kept: bool = False) -> Iterator[int]:
    """Start a source and a middle; yield the port of the middle."""
    source = _Process("--role", "source", "--loop", loop)
    options = ["--role", "middle", "--mode", mode, "--loop", loop]
    options += ["--source-port", str(source.port)] + ["--kept"] * kept
    middle = _Process(*options)
    try:
        yield middle.port
    finally:
        middle.stop()
        source.stop()


def measure_mode(mode: str, loop: str, size: tuple, kept: bool = True) -> Run:
    """Measure one mode once, with processes of its own."""
    streams, tokens, interval_s = size
    with run_roles(mode, loop, kept) as port:
        used_s = asyncio.run(read_streams(port, streams, tokens, interval_s))
    return Run(mode, used_s / streams / tokens * 1e6, used_s / streams * 1e6)


def compare_modes(loop: str, size: tuple, repeats: int, kept: bool) -> float:
    """Print both modes and return the ratio of their least disturbed runs.

    Other work on the machine only ever adds processor time, so that the
    least of some runs says most; the median of the paired ratios is printed
    beside it.
    """
    pairs = []
    for _ in range(repeats):
        plain = measure_mode("pass_through", loop, size, kept)
        pairs.append((plain, measure_mode("relay", loop, size, kept)))
    streams, tokens, interval_s = size
    for runs in zip(*pairs, strict=True):
        times = sorted(run.token_us for run in runs)
        print(
            f"{loop:8} {streams}x{tokens} every {interval_s * 1000:g} ms"
            f" {runs[0].mode:13} us/token: least {times[0]:.1f}"
            f" median {statistics.median(times):.1f} most {times[-1]:.1f};"
            f" us/answer: least {times[0] * tokens:.0f}"
        )
    plain, relayed = (
        min(r.token_us for r in runs) for runs in zip(*pairs, strict=True)
    )
    paired = statistics.median(b.token_us / a.token_us for a, b in pairs)
    print(
        f"{loop:8} ratio of the least {relayed / plain:.3f},"
        f" median of paired ratios {paired:.3f} (bound {BOUND})"
    )
    return relayed / plain


@click.command()
@click.option(
    "--role", type=click.Choice(["compare", "source", "middle"]), default="compare"
)
@click.option("--mode", default="relay")
@click.option("--loop", "loops", multiple=True, default=["asyncio", "uvloop"])
@click.option("--source-port", type=int, default=0)
@click.option("--kept/--fresh", default=False, help="Pass-through connections.")
@click.option("--streams", default=60, show_default=True)
@click.option("--tokens", default=200, show_default=True)
@click.option("--interval-s", default=0.01, show_default=True)
@click.option("--repeats", default=5, show_default=True)
@click.option("--memory", is_flag=True, help="Measure memory instead.")
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
    """Compare the relay with a plain pass-through."""
    if role != "compare":
        run_role(role, mode, source_port, kept, loops[0])
        return
    if memory:
        measure_memory()
        return
    size = (streams, tokens, interval_s)
    ratios = [compare_modes(loop, size, repeats, kept) for loop in loops]
    sys.exit(int(max(ratios) > BOUND))


if __name__ == "__main__":
    main()
