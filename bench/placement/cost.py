"""Processor time of one routed request, beside that of a bare hash ranking."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from bench.placement.engines import Turn
from bench.placement.owners import OwnerRouter
from bench.placement.scenarios import USERS
from bench.placement.world import World
from oleanderpier.utils import rank_candidates

__all__ = ["Cost", "measure_cost"]

REQUESTS = 4_000
IN_FLIGHT = 90


class Cost(NamedTuple):
    """Processor time a request, in microseconds.

    Attributes:
        routed_us: Ask, grant and release, on the entry host and the owner
            together, with encoding and decoding.
        ranking_us: Ranking the engines for a chat, which is all that pure
            affinity does.
    """

    routed_us: float
    ranking_us: float


def measure_cost() -> Cost:
    """Return what a request costs while the usual number is in flight."""
    world = World(USERS, OwnerRouter)
    world.timers.advance(1.0)
    rng, releases = random.Random(1), []

    def assigned(engine: str | None, release: Callable[[], None]) -> None:
        releases.append(release)

    def route(number: int) -> None:
        chat, workspace = f"chat-{rng.randrange(800)}", f"workspace-{number % 10}"
        turn = Turn(number, chat, workspace, "season-review", 1, 0, 1)
        world.router.place(turn, world.hosts[number % len(world.hosts)], assigned)
        world.timers.advance(0.01)
        if len(releases) > IN_FLIGHT:
            releases.pop(rng.randrange(len(releases)))()

    for number in range(IN_FLIGHT * 2):
        route(number)
    routed_us = _measure(lambda: [route(n) for n in range(1_000, 1_000 + REQUESTS)])
    names = list(world.engines)
    chats = [f"chat-{n}" for n in range(REQUESTS)]
    ranking_us = _measure(lambda: [rank_candidates(chat, names)[0] for chat in chats])
    return Cost(routed_us, ranking_us)


def _measure(run: Callable[[], object]) -> float:
    began_s = time.process_time()
    run()
    return (time.process_time() - began_s) / REQUESTS * 1e6
