"""Samples of the load balance between engines."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bench.placement.engines import Engine
from bench.placement.scenarios import (
    LOAD_MULTIPLE,
    MAX_DOCUMENT_DELAY_S,
    RECHECK_DELAY_S,
)
from oleanderpier.placement import MIN_BOUNDED_MEAN, divide_servers
from oleanderpier.utils import ManualTimers

__all__ = ["LoadRatio", "LoadSamples"]


class LoadRatio(NamedTuple):
    """Load imbalance of a group of engines.

    Attributes:
        value: Maximum over mean of the requests in flight.
        over_bound: Whether the maximum exceeds ``ceil(LOAD_MULTIPLE * mean)``.
    """

    value: float
    over_bound: bool


class EngineView(NamedTuple):
    """The engines of a published list.

    Attributes:
        since_s: Time of publication, in seconds.
        pools: Names of the live engines, by pool.
    """

    since_s: float
    pools: dict[str, list[str]]


class LoadSamples:
    """Collects the max/mean load ratio, per pool and over all engines.

    While a new list of engines propagates, a host uses either the previous or the new
    one. The lower of the two ratios counts.

    Args:
        timers: The timer service.
        engines: The engines by name.
        list_published: Returns the published entries.

    Attributes:
        ratios: Ratio of the worst pool, one per sample.
        worst_overall_ratio: Highest ratio over all engines together.
        over_bound: Number of samples above the rounded bound.
        over_unrounded: Number of samples with a ratio above ``LOAD_MULTIPLE``.
        stayed_over: Number of those that were still above it on the recheck.
    """

    def __init__(
        self,
        timers: ManualTimers,
        engines: dict[str, Engine],
        list_published: Callable[[], list[dict]],
    ):
        self.ratios: list[float] = []
        self.worst_overall_ratio = 0.0
        self.over_bound = 0
        self.over_unrounded = 0
        self.stayed_over = 0
        self._timers = timers
        self._engines = engines
        self._list_published = list_published
        self._views: list[EngineView] = []

    def update_engines(self) -> None:
        """Apply the newly published list of engines."""
        pools = {
            pool.name: [s["name"] for s in pool.servers if s["state"] == "live"]
            for pool in divide_servers(self._list_published())
        }
        self._views.append(EngineView(self._timers.now(), pools))

    def record_sample(self) -> None:
        """Record one sample; schedule a recheck if it exceeds ``LOAD_MULTIPLE``."""
        ratio = self._compute_worst_ratio()
        if ratio is None:
            return
        self.ratios.append(ratio.value)
        self.over_bound += ratio.over_bound
        newest = [name for pool in self._views[-1].pools.values() for name in pool]
        overall = self._compute_ratio(newest)
        if overall is not None:
            self.worst_overall_ratio = max(self.worst_overall_ratio, overall.value)
        if ratio.value > LOAD_MULTIPLE:
            self.over_unrounded += 1
            self._timers.call_later(RECHECK_DELAY_S, self._recheck)

    def _recheck(self) -> None:
        ratio = self._compute_worst_ratio()
        self.stayed_over += ratio is not None and ratio.value > LOAD_MULTIPLE

    def _compute_worst_ratio(self) -> LoadRatio | None:
        now = self._timers.now()
        while (
            len(self._views) > 1 and now - self._views[1].since_s > MAX_DOCUMENT_DELAY_S
        ):
            del self._views[0]
        ratios = [self._compute_pool_ratio(name) for name in self._views[-1].pools]
        return max((ratio for ratio in ratios if ratio), default=None)

    def _compute_pool_ratio(self, pool: str) -> LoadRatio | None:
        views = [view.pools[pool] for view in self._views if pool in view.pools]
        ratios = [self._compute_ratio(names) for names in views]
        return None if None in ratios else min(ratios)

    def _compute_ratio(self, names: list[str]) -> LoadRatio | None:
        known = [self._engines[name] for name in names if name in self._engines]
        loads = [engine.in_flight for engine in known]
        mean = sum(loads) / max(1, len(loads))
        if mean < MIN_BOUNDED_MEAN:
            return None
        over_bound = max(loads) > math.ceil(LOAD_MULTIPLE * mean)
        return LoadRatio(max(loads) / mean, over_bound)
