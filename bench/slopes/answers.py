"""Slopes of the data path: a relayed token, an answer, an open answer."""

import asyncio

from bench.relay import (
    OPEN_STREAM_COUNTS,
    measure_mode,
    measure_open_streams_bytes,
    run_processes,
)
from bench.slopes.fits import Point, Slope, fit_slope

__all__ = ["measure_answers"]

TOKEN_SIZES = (20, 100, 200)
STREAMS = 60
INTERVAL_S = 0.01
REPEATS = 2
LOOP = "uvloop"


def measure_answers() -> dict[str, Slope]:
    """Measure the relay with processes of its own."""
    times, held = [], []
    for tokens in TOKEN_SIZES:
        size = (STREAMS, tokens, INTERVAL_S)
        runs = [
            measure_mode("relay", LOOP, size).cpu_us_per_response
            for _ in range(REPEATS)
        ]
        times.append(Point(tokens, min(runs), max(runs)))
    for streams in OPEN_STREAM_COUNTS:
        with run_processes("relay", LOOP) as port:
            octets = asyncio.run(measure_open_streams_bytes(port, streams))
        held.append(Point(streams, octets, octets))
    return {
        "answer core": fit_slope("an answer relayed, µs", "tokens", times),
        "answer memory": fit_slope("process with open answers, bytes", "answers", held),
    }
