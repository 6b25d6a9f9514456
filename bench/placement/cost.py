"""Processor time of a routed request, compared with that of a hash ranking alone."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from bench.placement.engines import Turn
from bench.placement.owners import OwnerRouter
from bench.placement.scenarios import USERS
from bench.placement.world import World
from oleanderpier.utils import rank_candidates

__all__ = ["RequestCost", "measure_cost"]

REQUEST_COUNT = 4_000
IN_FLIGHT_COUNT = 90


class RequestCost(NamedTuple):
    """Processor time per request.

    Attributes:
        routed_us: Time to request, grant and release a permit, in microseconds: the
            sum over entry host and pool owner, including message encoding.
        ranking_us: Time to rank the engines for a chat, in microseconds; an affinity
            router does nothing else.
    """

    routed_us: float
    ranking_us: float


def measure_cost() -> RequestCost:
    """Return the processor time per request, with a typical number in flight."""
    world = World(USERS, OwnerRouter)
    world.timers.advance(1.0)
    rng, releases = random.Random(1), []

    def on_assigned(engine: str | None, release: Callable[[], None]) -> None:
        releases.append(release)

    def route(number: int) -> None:
        chat, workspace = f"chat-{rng.randrange(800)}", f"workspace-{number % 10}"
        turn = Turn(number, chat, workspace, "season-review", 1, 0, 1)
        world.router.place(turn, world.hosts[number % len(world.hosts)], on_assigned)
        world.timers.advance(0.01)
        if len(releases) > IN_FLIGHT_COUNT:
            releases.pop(rng.randrange(len(releases)))()

    for number in range(IN_FLIGHT_COUNT * 2):
        route(number)
    routed_us = _measure_us(
        lambda: [route(n) for n in range(1_000, 1_000 + REQUEST_COUNT)]
    )
    names = list(world.engines)
    chats = [f"chat-{n}" for n in range(REQUEST_COUNT)]
    ranking_us = _measure_us(
        lambda: [rank_candidates(chat, names)[0] for chat in chats]
    )
    return RequestCost(routed_us, ranking_us)


def _measure_us(run: Callable[[], object]) -> float:
    started_s = time.process_time()
    run()
    return (time.process_time() - started_s) / REQUEST_COUNT * 1e6
