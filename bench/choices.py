"""What a choice of an engine costs: ``python -m bench.choices``.

The product's choice and the naive one run in turn in one process, at several
numbers of engines, on prompts whose parts are cached; the figure that stays
comparable between machines is their ratio.
"""

import random
import time

import click

from bench.emulator.policies import POLICIES
from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.utils import ManualTimers

__all__ = ["main", "measure_choice_us"]

SIZES = (9, 45, 1_000)
CHOICES = 3_000
PROMPTS = 400
# Requests of one host in flight, by engine.
IN_FLIGHT = 0.5
STEP_S = 0.02


def measure_choice_us(policy: str, engines: int) -> float:
    """Return the processor time of a choice, in microseconds."""
    timers, rng = ManualTimers(), random.Random(1)
    chooser = POLICIES[policy](timers, rng)
    for number in range(engines):
        chooser.update_engine(f"e{number}", False)
    queries = [
        ServerQuery(
            "engines", (PromptPrefix(f"a{n % 40}", 341), PromptPrefix(f"p{n}", 9_000))
        )
        for n in range(PROMPTS)
    ]
    running: list[str] = []
    used_s = 0.0
    for _ in range(CHOICES):
        query = rng.choice(queries)
        began_s = time.process_time()
        engine = chooser.select(query, set()).engine
        used_s += time.process_time() - began_s
        chooser.begin_request(query, engine)
        running.append(engine)
        if len(running) > IN_FLIGHT * engines:
            chooser.end_request(running.pop(0), failed=False)
        timers.advance(STEP_S)
    return 1e6 * used_s / CHOICES


@click.command()
def main() -> None:
    """Print the cost of both choices, and their ratio, by number of engines."""
    for engines in SIZES:
        present = measure_choice_us("present", engines)
        naive = measure_choice_us("naive", engines)
        click.echo(
            f"{engines} engines: {present:.0f} us, naive {naive:.0f} us,"
            f" ratio {present / naive:.2f}"
        )


if __name__ == "__main__":
    main()
