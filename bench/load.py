"""Load of engines behind real daemons: ``python -m bench.load``.

Chats return at a steady rate, then one workspace surges. What runs at each
engine is read from the engines themselves. Exit status 1 if any answer that
was not refused is not whole, or if an engine holds more than the rounded bound
in more than one of a hundred samples.
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
HOSTS = 8
ENGINES = 9
LOAD_MULTIPLE = 1.25
LEAST_MEAN = 8.0
SETTLE_S = 12.0
PHASE_S = 25.0
SAMPLE_S = 0.1
TOKENS = (120, 320)
CHATS = 300
STREAMS = 95
SURGE_STREAMS = 40
MAX_OVER_PART = 0.01


class Sample(NamedTuple):
    """Requests at each engine at a moment."""

    running: list[int]

    @property
    def mean(self) -> float:
        """The mean over all engines."""
        return statistics.mean(self.running)

    @property
    def ratio(self) -> float:
        """The fullest engine's part of the mean."""
        return max(self.running) / self.mean

    @property
    def is_over(self) -> bool:
        """Whether an engine holds more than the rounded bound."""
        return max(self.running) > math.ceil(LOAD_MULTIPLE * self.mean)


class Load:
    """Callers that keep a number of streams open.

    Args:
        fleet: The fleet under load.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._rng = random.Random(SEED)
        self._callers = [
            Caller(fleet.session, find_caller_url(fleet, host["name"]), "duluth-boats")
            for host in fleet.hosts
        ]
        self.whole = 0
        self.refused = 0
        self.wrong = 0

    async def keep_stream(self, prefix: str) -> None:
        """Ask one chat after another, until cancelled."""
        while True:
            chat = f"{prefix}-{self._rng.randrange(CHATS)}"
            caller = self._rng.choice(self._callers)
            tokens = self._rng.randint(*TOKENS)
            answer = await caller.request_chat(
                chat, ["hello"], tokens, caller.directory_url
            )
            self.whole += answer.complete
            self.refused += answer.refusal is not None
            self.wrong += not answer.complete and answer.refusal is None
            if answer.refusal is not None:
                await asyncio.sleep(answer.refusal["retry_after_s"] or 1.0)


async def sample_engines(fleet: Fleet) -> Sample:
    """Return what runs at each engine now."""
    counts = await asyncio.gather(
        *(fleet.read_json(f"{engine.url}/counts") for engine in fleet.engines)
    )
    return Sample([count["running"] + count["waiting"] for count in counts])


async def run_load(folder: Path) -> tuple[Load, list[Sample]]:
    """Return the callers' counts and the samples of all phases."""
    samples: list[Sample] = []
    async with Fleet(folder, HOSTS, ENGINES, 1) as fleet:
        await asyncio.sleep(SETTLE_S)
        load = Load(fleet)
        tasks = [
            asyncio.create_task(load.keep_stream("steady")) for _ in range(STREAMS)
        ]
        for surge in (0, SURGE_STREAMS):
            tasks += [
                asyncio.create_task(load.keep_stream("surge")) for _ in range(surge)
            ]
            for _ in range(round(PHASE_S / SAMPLE_S)):
                samples.append(await sample_engines(fleet))
                await asyncio.sleep(SAMPLE_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return load, [sample for sample in samples if sample.mean >= LEAST_MEAN]


def main() -> int:
    """Run the load and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        load, samples = asyncio.run(run_load(Path(folder)))
    ratios = sorted(sample.ratio for sample in samples)
    over = sum(sample.is_over for sample in samples)
    mean = statistics.mean(sample.mean for sample in samples)
    print(f"{HOSTS} hosts, {ENGINES} engines, mean in flight {mean:.1f}, seed {SEED}")
    print(f"answers: {load.whole} whole, {load.refused} refused, {load.wrong} wrong")
    print(
        f"max/mean: p50 {ratios[len(ratios) // 2]:.3f},"
        f" p99 {ratios[len(ratios) * 99 // 100]:.3f}, worst {ratios[-1]:.3f};"
        f" over ceil({LOAD_MULTIPLE} mean): {over} of {len(ratios)}"
    )
    return int(load.wrong > 0 or over > MAX_OVER_PART * len(ratios))


if __name__ == "__main__":
    sys.exit(main())
