"""Samples of how evenly the engines are loaded."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bench.placement.engines import Engine
from bench.placement.scenarios import DOCUMENT_SPREAD_S, LOAD_MULTIPLE, REACTION_S
from oleanderpier.placement import MIN_BOUNDED_MEAN, divide_servers
from oleanderpier.utils import ManualTimers

__all__ = ["LoadSamples", "Ratio"]


class Ratio(NamedTuple):
    """Max/mean in flight, and whether the maximum breaks the rounded bound."""

    value: float
    over_bound: bool


class View(NamedTuple):
    """The live engines by pool, from a time on."""

    since_s: float
    pools: dict[str, list[str]]


class LoadSamples:
    """Compares the engines' loads, pool by pool and over all.

    While a new list of engines spreads, a host goes by the one before or by
    the new one; the lesser ratio counts.

    Args:
        timers: The timer service.
        engines: The engines by name.
        list_published: Returns the published entries.
    """

    def __init__(
        self,
        timers: ManualTimers,
        engines: dict[str, Engine],
        list_published: Callable[[], list[dict]],
    ):
        self.values: list[float] = []
        self.worst_of_all = 0.0
        self.over_bound = 0
        self.over_unrounded = 0
        self.stayed_over = 0
        self._timers = timers
        self._engines = engines
        self._list_published = list_published
        self._views: list[View] = []

    def update(self) -> None:
        """Take the newly published engines."""
        pools = {
            pool.name: [s["name"] for s in pool.servers if s["state"] == "live"]
            for pool in divide_servers(self._list_published())
        }
        self._views.append(View(self._timers.now(), pools))

    def take(self) -> None:
        """Take one sample, and look again where the bound is exceeded."""
        ratio = self._measure()
        if ratio is None:
            return
        self.values.append(ratio.value)
        self.over_bound += ratio.over_bound
        newest = [name for pool in self._views[-1].pools.values() for name in pool]
        overall = self._compare(newest)
        if overall is not None:
            self.worst_of_all = max(self.worst_of_all, overall.value)
        if ratio.value > LOAD_MULTIPLE:
            self.over_unrounded += 1
            self._timers.call_later(REACTION_S, self._take_again)

    def _take_again(self) -> None:
        ratio = self._measure()
        self.stayed_over += ratio is not None and ratio.value > LOAD_MULTIPLE

    def _measure(self) -> Ratio | None:
        now = self._timers.now()
        while len(self._views) > 1 and now - self._views[1].since_s > DOCUMENT_SPREAD_S:
            del self._views[0]
        ratios = [self._measure_pool(name) for name in self._views[-1].pools]
        return max((ratio for ratio in ratios if ratio), default=None)

    def _measure_pool(self, pool: str) -> Ratio | None:
        views = [view.pools[pool] for view in self._views if pool in view.pools]
        ratios = [self._compare(names) for names in views]
        return None if None in ratios else min(ratios)

    def _compare(self, names: list[str]) -> Ratio | None:
        known = [self._engines[name] for name in names if name in self._engines]
        loads = [engine.in_flight for engine in known]
        mean = sum(loads) / max(1, len(loads))
        if mean < MIN_BOUNDED_MEAN:
            return None
        over_bound = max(loads) > math.ceil(LOAD_MULTIPLE * mean)
        return Ratio(max(loads) / mean, over_bound)
