"""Load balance of engines behind real daemons: ``python -m bench.load``.

A constant number of streams is kept open; in the second phase the number rises. The
requests in flight are read from the engines themselves. The exit status is 1 if any
response that was not refused is incomplete, or if an engine exceeds the rounded load
bound in more than 1% of the samples.
"""

import asyncio
import math
import random
import statistics
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from demo.__main__ import find_caller_url
from demo.caller import Caller
from demo.fleet import Fleet

SEED = 7
HOST_COUNT = 8
ENGINE_COUNT = 9
LOAD_MULTIPLE = 1.25
# Below this mean, placement allows a higher ratio; such samples are left out.
MIN_SAMPLED_MEAN = 8.0
WARM_UP_S = 12.0
PHASE_S = 25.0
SAMPLE_INTERVAL_S = 0.1
RESPONSE_TOKENS_RANGE = (120, 320)
CHAT_COUNT = 300
STEADY_STREAM_COUNT = 95
SURGE_STREAM_COUNT = 40
MAX_OVER_BOUND_RATIO = 0.01


class LoadSample(NamedTuple):
    """Number of requests in flight at each engine at one time."""

    in_flight: list[int]

    @property
    def mean(self) -> float:
        """Mean over all engines."""
        return statistics.mean(self.in_flight)

    @property
    def ratio(self) -> float:
        """Maximum over mean."""
        return max(self.in_flight) / self.mean

    @property
    def is_over_bound(self) -> bool:
        """Whether an engine exceeds ``ceil(LOAD_MULTIPLE * mean)``."""
        return max(self.in_flight) > math.ceil(LOAD_MULTIPLE * self.mean)


class LoadGenerator:
    """Callers that keep streams open, and counts of their responses.

    Args:
        fleet: The fleet under load.

    Attributes:
        complete_count: Number of complete responses.
        refused_count: Number of refused requests.
        incomplete_count: Number of responses that were neither complete nor refused.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._rng = random.Random(SEED)
        self._callers = [
            Caller(fleet.session, find_caller_url(fleet, host["name"]), "duluth-boats")
            for host in fleet.hosts
        ]
        self.complete_count = 0
        self.refused_count = 0
        self.incomplete_count = 0

    async def run_stream(self, prefix: str) -> None:
        """Send requests of random chats one after the other, until cancelled.

        Args:
            prefix: Start of the chats' names.
        """
        while True:
            chat = f"{prefix}-{self._rng.randrange(CHAT_COUNT)}"
            caller = self._rng.choice(self._callers)
            tokens = self._rng.randint(*RESPONSE_TOKENS_RANGE)
            response = await caller.request_chat(
                chat, ["hello"], tokens, caller.directory_url
            )
            self.complete_count += response.complete
            self.refused_count += response.refusal is not None
            self.incomplete_count += not response.complete and response.refusal is None
            if response.refusal is not None:
                await asyncio.sleep(response.refusal["retry_after_s"] or 1.0)


async def sample_engines(fleet: Fleet) -> LoadSample:
    """Return the requests that run or wait at each engine now."""
    counts = await asyncio.gather(
        *(fleet.read_json(f"{engine.url}/counts") for engine in fleet.engines)
    )
    return LoadSample([count["running"] + count["waiting"] for count in counts])


async def run_load(folder: Path) -> tuple[LoadGenerator, list[LoadSample]]:
    """Run both phases.

    Args:
        folder: Directory for the files of the fleet.

    Returns:
        The load generator with its counts, and the samples with a mean of at least
        ``MIN_SAMPLED_MEAN``.
    """
    samples: list[LoadSample] = []
    async with Fleet(folder, HOST_COUNT, ENGINE_COUNT, 1) as fleet:
        await asyncio.sleep(WARM_UP_S)
        load = LoadGenerator(fleet)
        tasks = [
            asyncio.create_task(load.run_stream("steady"))
            for _ in range(STEADY_STREAM_COUNT)
        ]
        for surge in (0, SURGE_STREAM_COUNT):
            tasks += [
                asyncio.create_task(load.run_stream("surge")) for _ in range(surge)
            ]
            for _ in range(round(PHASE_S / SAMPLE_INTERVAL_S)):
                samples.append(await sample_engines(fleet))
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return load, [sample for sample in samples if sample.mean >= MIN_SAMPLED_MEAN]


def main() -> int:
    """Run the load and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        load, samples = asyncio.run(run_load(Path(folder)))
    ratios = sorted(sample.ratio for sample in samples)
    over_bound = sum(sample.is_over_bound for sample in samples)
    mean = statistics.mean(sample.mean for sample in samples)
    print(
        f"{HOST_COUNT} hosts, {ENGINE_COUNT} engines, mean in flight {mean:.1f},"
        f" seed {SEED}"
    )
    print(
        f"responses: {load.complete_count} complete, {load.refused_count} refused,"
        f" {load.incomplete_count} incomplete"
    )
    print(
        f"max/mean: p50 {ratios[len(ratios) // 2]:.3f},"
        f" p99 {ratios[len(ratios) * 99 // 100]:.3f}, worst {ratios[-1]:.3f};"
        f" over ceil({LOAD_MULTIPLE} mean): {over_bound} of {len(ratios)}"
    )
    return int(
        load.incomplete_count > 0 or over_bound > MAX_OVER_BOUND_RATIO * len(ratios)
    )


if __name__ == "__main__":
    sys.exit(main())
