"""Ways of choosing an engine: the product's, a naive one, and two others."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from oleanderpier.routing import (
    CacheMap,
    Chooser,
    Roster,
    ServerEntry,
    ServerHealth,
    ServerQuery,
)
from oleanderpier.utils import Timers, rank_candidates

__all__ = ["POLICIES", "Picked", "Policy"]

SERVICE = "engines"
# The naive router's bound: its own mean in flight, times this, and one more.
NAIVE_MULTIPLE = 1.5


class Picked(NamedTuple):
    """An engine by name, and one to copy the prompt's start from, if any."""

    engine: str
    source: str | None = None


class Policy(Protocol):
    """One host's way of choosing."""

    def put(self, engine: str, leaving: bool | None) -> None:
        """Take that an engine is there, leaves, or (None) is gone."""

    def pick(self, query: ServerQuery, avoid: set[str]) -> Picked | None:
        """Return an engine, None if there is none."""

    def begin(self, query: ServerQuery, engine: str) -> None:
        """Count a request."""

    def end(self, engine: str, failed: bool) -> None:
        """Count its end."""

    def take_report(self) -> "Report":
        """Return what the other hosts are to hear."""

    def hear(self, host: int, report: "Report") -> None:
        """Take in another host's report."""


class Report(NamedTuple):
    """What hosts tell each other several times a second."""

    loads: dict[str, int]
    placements: list[tuple[str, str]]


class Present:
    """The product's own parts, wired as an entry host wires them.

    Args:
        timers: The timer service.
        rng: The source of randomness.
    """

    def __init__(self, timers: Timers, rng: random.Random) -> None:
        self._roster = Roster(timers)
        self._health = ServerHealth(timers)
        self._caches = CacheMap(timers)
        self._loads: dict[int, dict[str, int]] = {}
        self._chooser = Chooser(
            self._roster,
            self._health,
            self._caches,
            "d",
            self._count_elsewhere,
            rng,
            timers,
        )
        self._roster.subscribe_removed(self._caches.remove_server)

    def put(self, engine: str, leaving: bool | None) -> None:
        """Take that an engine is there, leaves, or (None) is gone."""
        entry = ServerEntry(engine, SERVICE, "", "d", bool(leaving), 0)
        self._roster.update_entry(engine, None if leaving is None else entry)

    def pick(self, query: ServerQuery, avoid: set[str]) -> Picked | None:
        """Return the product's choice."""
        choice = self._chooser.choose(query, avoid)
        if choice is None:
            return None
        source = choice.copy_source and choice.copy_source.identity
        return Picked(choice.server.identity, source)

    def begin(self, query: ServerQuery, engine: str) -> None:
        """Count a request."""
        self._chooser.begin_request(query, engine)

    def end(self, engine: str, failed: bool) -> None:
        """Count its end."""
        self._chooser.end_request(engine)
        if failed:
            self._health.record_unreachable(engine)
        else:
            self._health.record_response(engine, failed=False)

    def take_report(self) -> Report:
        """Return loads and placements."""
        return Report(dict(self._chooser.in_flight), self._caches.pop_updates())

    def hear(self, host: int, report: Report) -> None:
        """Take in another host's report."""
        self._loads[host] = report.loads
        self._caches.apply_updates(report.placements)

    def _count_elsewhere(self, engine: str) -> int:
        return sum(loads.get(engine, 0) for loads in self._loads.values())


class Alone:
    """A host that knows its own requests only, and hashes the last shared part.

    Args:
        timers: Not used.
        rng: The source of randomness.
    """

    def __init__(self, timers: Timers, rng: random.Random) -> None:
        self._rng = rng
        self._engines: list[str] = []
        self._in_flight: Counter[str] = Counter()

    def put(self, engine: str, leaving: bool | None) -> None:
        """Take that an engine is there, leaves, or (None) is gone."""
        known = [name for name in self._engines if name != engine]
        self._engines = known if leaving in (True, None) else [*known, engine]

    def pick(self, query: ServerQuery, avoid: set[str]) -> Picked | None:
        """Return the next in the key's order that is not over the bound."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        bound = NAIVE_MULTIPLE * self._in_flight.total() / len(engines) + 1
        order = rank_candidates(query.cache_key, engines)
        within = [name for name in order if self._in_flight[name] < bound]
        return Picked((within or order)[0])

    def begin(self, query: ServerQuery, engine: str) -> None:
        """Count a request."""
        self._in_flight[engine] += 1

    def end(self, engine: str, failed: bool) -> None:
        """Count its end."""
        self._in_flight[engine] -= 1

    def take_report(self) -> Report:
        """Tell nothing."""
        return Report({}, [])

    def hear(self, host: int, report: Report) -> None:
        """Hear nothing."""


class LeastLoaded(Alone):
    """A host that sends to the least loaded engine, caches or not."""

    def __init__(self, timers: Timers, rng: random.Random) -> None:
        super().__init__(timers, rng)
        self._loads: dict[int, dict[str, int]] = {}

    def pick(self, query: ServerQuery, avoid: set[str]) -> Picked | None:
        """Return the least loaded engine."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        return Picked(min(engines, key=lambda e: (self._count(e), self._rng.random())))

    def take_report(self) -> Report:
        """Return loads."""
        return Report(dict(self._in_flight), [])

    def hear(self, host: int, report: Report) -> None:
        """Take in another host's loads."""
        self._loads[host] = report.loads

    def _count(self, engine: str) -> int:
        elsewhere = sum(loads.get(engine, 0) for loads in self._loads.values())
        return self._in_flight[engine] + elsewhere


class TwoChoices(LeastLoaded):
    """A host that takes the less loaded of two engines in the key's order.

    References:
        M. Mitzenmacher, "The power of two choices in randomized load
        balancing", IEEE TPDS 12(10), 2001.
    """

    def pick(self, query: ServerQuery, avoid: set[str]) -> Picked | None:
        """Return the less loaded of the first two."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        first = rank_candidates(query.cache_key, engines)[:2]
        return Picked(min(first, key=self._count))


POLICIES: dict[str, Callable[[Timers, random.Random], Policy]] = {
    "present": Present,
    "naive": Alone,
    "least_loaded": LeastLoaded,
    "two_choices": TwoChoices,
}
