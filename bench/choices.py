"""Processor time of a routing decision: ``python -m bench.choices``.

The policy of the product and the naive policy run one after the other in the same
process, with several numbers of engines and with prompts whose parts are cached. The
ratio of the two times is comparable between machines.
"""

import random
import time

import click

from bench.emulator.policies import POLICIES, make_lone_host
from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.utils import ManualTimers

__all__ = ["main", "measure_choice_us"]

ENGINE_COUNTS = (9, 45, 1_000)
SAMPLE_COUNT = 3_000
PROMPT_COUNT = 400
# Mean number of the host's requests in flight per engine.
IN_FLIGHT_PER_ENGINE = 0.5
# How long a request is in flight, as the router is told.
RESIDENCE_S = 1.0
# Simulated time between two decisions.
STEP_S = 0.02


def measure_choice_us(policy: str, engines: int) -> float:
    """Return the mean processor time of a routing decision, in microseconds.

    Args:
        policy: Name of the routing policy, a key of ``POLICIES``.
        engines: Number of engines to choose from.
    """
    timers, rng = ManualTimers(), random.Random(1)
    router = POLICIES[policy](make_lone_host(timers, rng))
    for number in range(engines):
        router.update_engine(f"e{number}", False)
    queries = [
        ServerQuery(
            "engines", (PromptPrefix(f"a{n % 40}", 341), PromptPrefix(f"p{n}", 9_000))
        )
        for n in range(PROMPT_COUNT)
    ]
    running: list[str] = []
    cpu_s = 0.0
    for _ in range(SAMPLE_COUNT):
        query = rng.choice(queries)
        started_s = time.process_time()
        engine = router.select(query, set()).engine
        cpu_s += time.process_time() - started_s
        router.begin_request(query, engine)
        running.append(engine)
        if len(running) > IN_FLIGHT_PER_ENGINE * engines:
            router.end_request(running.pop(0), False, RESIDENCE_S)
        timers.advance(STEP_S)
    return 1e6 * cpu_s / SAMPLE_COUNT


@click.command()
def main() -> None:
    """Print the time of a decision for both policies and their ratio."""
    for engines in ENGINE_COUNTS:
        present = measure_choice_us("present", engines)
        naive = measure_choice_us("naive", engines)
        click.echo(
            f"{engines} engines: {present:.0f} us, naive {naive:.0f} us,"
            f" ratio {present / naive:.2f}"
        )


if __name__ == "__main__":
    main()
