"""Simpler routers to compare with, and an oracle."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

from bench.placement.engines import Turn
from bench.placement.scenarios import CLASSES, LOAD_MULTIPLE, LOAD_REPORT_S
from oleanderpier.placement import (
    MIN_BOUNDED_MEAN,
    FairQueue,
    PermitQuery,
    QueuedQuery,
    compute_server_limit,
    hash_name,
)
from oleanderpier.utils import rank_candidates

if TYPE_CHECKING:
    from bench.placement.world import World

__all__ = [
    "AffinityRouter",
    "BoundedRouter",
    "OracleRouter",
    "RandomRouter",
    "Router",
    "SharesRouter",
    "TwoChoicesRouter",
]


class Router:
    """Base of the routers that decide at once, at the entry host alone."""

    name = ""
    migrations = 0

    def __init__(self, world: "World"):
        self.world = world
        self.rng = random.Random(world.scenario.seed + 1)
        self.names: list[str] = []
        self.update_engines()

    def count_bytes(self) -> int:
        """Return the bytes that all hosts have sent to other hosts."""
        return 0

    def update_engines(self) -> None:
        """Take the published engines."""
        self.names = sorted(engine.name for engine in self.world.list_live())

    def note_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Take a late cache event."""

    def note_exact_cache(self, name: str, kind: str, chat: str) -> None:
        """Take a cache event without delay, for the oracle."""

    def kill_owner(self) -> None:
        """Kill the host that owns the first pool, where there is one."""

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Choose an engine and call back with it."""
        assigned(self.choose(turn), lambda: None)

    def choose(self, turn: Turn) -> str:
        """Return the engine for a turn."""
        raise NotImplementedError


class RandomRouter(Router):
    """Any engine."""

    name = "random"

    def choose(self, turn: Turn) -> str:
        """Return any engine."""
        return self.rng.choice(self.names)


class AffinityRouter(Router):
    """The first engine in the chat's rendezvous order."""

    name = "affinity"

    def choose(self, turn: Turn) -> str:
        """Return the chat's own engine."""
        return rank_candidates(turn.chat, self.names)[0]


class TwoChoicesRouter(Router):
    """The less loaded of two engines, by load reports that lag."""

    name = "two choices"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._reported: dict[str, int] = {}
        world.timers.subscribe(LOAD_REPORT_S, self._report)

    def choose(self, turn: Turn) -> str:
        """Return the less loaded of the first two in the chat's order."""
        two = rank_candidates(turn.chat, self.names)[:2]
        return min(two, key=lambda name: self._reported.get(name, 0))

    def _report(self) -> None:
        self._reported = {e.name: e.in_flight for e in self.world.list_live()}


class BoundedRouter(Router):
    """Rendezvous hashing with bounded loads, each host on its own count.

    An entry host sees only its own requests, so that it applies the bound to
    them: no engine has more than the multiple of the host's own mean.
    """

    name = "bounded alone"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._own = defaultdict(Counter)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Choose the first engine that is under the host's own bound."""
        own = self._own[entry]
        total = sum(own[name] for name in self.names) + 1
        limit = math.ceil(LOAD_MULTIPLE * total / len(self.names))
        order = rank_candidates(turn.chat, self.names)
        chosen = next(name for name in order if own[name] < limit)
        own[chosen] += 1

        def release() -> None:
            own[chosen] -= 1

        assigned(chosen, release)


class SharesRouter(Router):
    """Leased shares: each host may use its equal part of each engine's slots."""

    name = "leased shares"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._own = defaultdict(Counter)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Choose the first engine with a slot of this host's share."""
        own = self._own[entry]
        share = max(1, self.world.scenario.slots // self.world.scenario.hosts)
        order = rank_candidates(turn.chat, self.names)
        chosen = next((name for name in order if own[name] < share), None)
        if chosen is None:
            assigned(None, lambda: None)
            return
        own[chosen] += 1

        def release() -> None:
            own[chosen] -= 1

        assigned(chosen, release)


class OracleRouter(Router):
    """Sees all loads and caches without delay, and keeps the same bound.

    One place decides for all engines. It cannot move what runs.
    """

    name = "oracle"

    def __init__(self, world: "World"):
        self._in_flight: Counter[str] = Counter()
        self._levels: dict[int, dict[str, None]] = defaultdict(dict)
        self._holders: dict[str, set[str]] = defaultdict(set)
        self._queue = FairQueue()
        self._workspaces: Counter[int] = Counter()
        self._queries: dict[int, tuple[Turn, Callable]] = {}
        self._total = 0
        super().__init__(world)

    def update_engines(self) -> None:
        """Take the published engines, at once."""
        super().update_engines()
        self._levels.clear()
        for name in self.names:
            self._levels[self._in_flight[name]][name] = None
        self._total = sum(self._in_flight[name] for name in self.names)

    def note_exact_cache(self, name: str, kind: str, chat: str) -> None:
        """Keep the exact list of who holds what."""
        if kind == "stored":
            self._holders[chat].add(name)
        else:
            self._holders[chat].discard(name)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Choose the fullest cache under the bound; else queue."""
        now = self.world.timers.now()
        deadline_s = now + CLASSES[turn.work_class] / 2
        query = PermitQuery(turn.number, 0, 0, hash_name(turn.workspace), 0)
        waiting = QueuedQuery(deadline_s, turn.number, entry, query)
        self._queries[turn.number] = (turn, assigned)
        self._queue.push(waiting)
        self._serve()
        if turn.number in self._queries:
            self.world.timers.call_later(
                deadline_s - now, lambda: self._expire(waiting)
            )

    def _expire(self, waiting: QueuedQuery) -> None:
        if waiting.query.number in self._queries:
            self._queue.remove(waiting)
            _, assigned = self._queries.pop(waiting.query.number)
            assigned(None, lambda: None)

    def _serve(self) -> None:
        while self._queue:
            mean = self._total / len(self.names)
            limit = compute_server_limit(mean, MIN_BOUNDED_MEAN, LOAD_MULTIPLE)
            limit = min(self.world.scenario.slots, limit)
            least = min(level for level, names in self._levels.items() if names)
            if least >= limit:
                return
            turn_order = self._queue.iterate_in_grant_order(self._workspaces)
            heads = list(islice(turn_order, 8))
            self._grant(*self._pick(heads, limit, next(iter(self._levels[least]))))

    def _pick(
        self, heads: list[QueuedQuery], limit: int, least_filled: str
    ) -> tuple[QueuedQuery, str]:
        """Return the first of the next few whose prefix is to be had whole."""
        choices = []
        for waiting in heads:
            turn = self._queries[waiting.query.number][0]
            best = self._find_best(turn, limit, least_filled)
            if self._count_missing(turn, best) <= 0:
                return waiting, best
            choices.append((waiting, best))
        return choices[0]

    def _find_best(self, turn: Turn, limit: int, least_filled: str) -> str:
        holders = [
            name
            for name in sorted(self._holders[turn.chat])
            if self._in_flight[name] < limit
            and name in self._levels[self._in_flight[name]]
        ]
        return min(
            [least_filled, *holders],
            key=lambda name: (self._count_missing(turn, name), self._in_flight[name]),
        )

    def _count_missing(self, turn: Turn, name: str) -> int:
        return turn.reusable - self.world.engines[name].cache.get(turn.chat, 0)

    def _grant(self, waiting: QueuedQuery, chosen: str) -> None:
        self._queue.remove(waiting)
        _, assigned = self._queries.pop(waiting.query.number)
        workspace = waiting.query.workspace
        self._count(chosen, 1)
        self._workspaces[workspace] += 1

        def release() -> None:
            self._count(chosen, -1)
            self._workspaces[workspace] -= 1
            self._serve()

        assigned(chosen, release)

    def _count(self, name: str, change: int) -> None:
        level = self._in_flight[name]
        self._in_flight[name] += change
        if self._levels[level].pop(name, 0) is None:
            self._levels[level + change][name] = None
            self._total += change
