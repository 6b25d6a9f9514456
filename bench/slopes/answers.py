"""Costs of the data path: relayed tokens, responses and open responses."""

import asyncio

from bench.relay import (
    OPEN_STREAM_COUNTS,
    measure_mode,
    measure_open_streams_bytes,
    run_processes,
)
from bench.slopes.fits import LinearFit, Point, fit_line

__all__ = ["measure_responses"]

TOKEN_COUNTS = (20, 100, 200)
STREAM_COUNT = 60
INTERVAL_S = 0.01
REPEATS = 2
LOOP = "uvloop"


def measure_responses() -> dict[str, LinearFit]:
    """Measure the relay with a source and a proxy in new processes."""
    times, memory = [], []
    for tokens in TOKEN_COUNTS:
        workload = (STREAM_COUNT, tokens, INTERVAL_S)
        runs = [
            measure_mode("relay", LOOP, workload).cpu_us_per_response
            for _ in range(REPEATS)
        ]
        times.append(Point(tokens, min(runs), max(runs)))
    for streams in OPEN_STREAM_COUNTS:
        with run_processes("relay", LOOP) as port:
            resident_bytes = asyncio.run(measure_open_streams_bytes(port, streams))
        memory.append(Point(streams, resident_bytes, resident_bytes))
    return {
        "response cpu": fit_line("a relayed response, µs", "tokens", times),
        "response memory": fit_line(
            "process with open responses, bytes", "responses", memory
        ),
    }
