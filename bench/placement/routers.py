"""Routers that placement by pool owners is compared with."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING

from bench.placement.engines import Turn
from bench.placement.scenarios import (
    FIRST_TOKEN_TARGETS_S,
    LOAD_MULTIPLE,
    LOAD_REPORT_INTERVAL_S,
)
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
    "BoundedLoadRouter",
    "LeasedSharesRouter",
    "OracleRouter",
    "RandomRouter",
    "Router",
    "TwoChoicesRouter",
]


class Router:
    """Base class of routers; by default the entry host decides alone and at once.

    Args:
        world: The simulation that the router belongs to.

    Attributes:
        name: Name of the router, as in the command line and the report.
        migrations: Number of streams migrated between engines so far.
        names: Sorted names of the engines that are not leaving.
    """

    name = ""
    migrations = 0

    def __init__(self, world: "World"):
        self.world = world
        self.rng = random.Random(world.scenario.seed + 1)
        self.names: list[str] = []
        self.update_engines()

    def count_sent_bytes(self) -> int:
        """Return the number of bytes sent between hosts so far."""
        return 0

    def update_engines(self) -> None:
        """Apply the newly published list of engines."""
        self.names = sorted(engine.name for engine in self.world.list_live_engines())

    def handle_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Handle a cache event that arrives with a delay and may be lost.

        Args:
            name: Name of the engine.
            kind: ``stored`` or ``evicted``.
            chat: Name of the chat whose prefix is concerned.
        """

    def handle_immediate_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Handle a cache event without delay or loss; only the oracle uses it."""

    def kill_owner(self) -> None:
        """Kill the host that owns the first pool; do nothing without pool owners."""

    def place(self, turn: Turn, entry: str, on_assigned: Callable) -> None:
        """Place a turn.

        Args:
            turn: The turn.
            entry: Name of the entry host.
            on_assigned: Called with the name of the engine, or None if the turn is
                refused, and with a function to call when the stream has ended.
                Returns the stream, or None if there is none.
        """
        on_assigned(self.choose(turn), lambda: None)

    def choose(self, turn: Turn) -> str:
        """Return the engine for a turn."""
        raise NotImplementedError


class RandomRouter(Router):
    """Uniformly random choice."""

    name = "random"

    def choose(self, turn: Turn) -> str:
        """Return a random engine."""
        return self.rng.choice(self.names)


class AffinityRouter(Router):
    """Rendezvous hashing by chat, regardless of load."""

    name = "affinity"

    def choose(self, turn: Turn) -> str:
        """Return the first engine in the chat's rendezvous order."""
        return rank_candidates(turn.chat, self.names)[0]


class TwoChoicesRouter(Router):
    """The less loaded of two engines, according to periodic load reports."""

    name = "two choices"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._reported_loads: dict[str, int] = {}
        world.timers.subscribe(LOAD_REPORT_INTERVAL_S, self._publish_loads)

    def choose(self, turn: Turn) -> str:
        """Return the less loaded of the first two in the chat's rendezvous order."""
        candidates = rank_candidates(turn.chat, self.names)[:2]
        return min(candidates, key=lambda name: self._reported_loads.get(name, 0))

    def _publish_loads(self) -> None:
        self._reported_loads = {
            e.name: e.in_flight for e in self.world.list_live_engines()
        }


class BoundedLoadRouter(Router):
    """Rendezvous hashing with bounded loads, where hosts exchange no loads.

    An entry host knows only its own requests and applies the bound to them: no
    engine gets more than ``LOAD_MULTIPLE`` times the host's mean load per engine.
    """

    name = "bounded alone"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._in_flight_by_host = defaultdict(Counter)

    def place(self, turn: Turn, entry: str, on_assigned: Callable) -> None:
        """Place a turn on the first engine in rendezvous order below the bound."""
        in_flight = self._in_flight_by_host[entry]
        total = sum(in_flight[name] for name in self.names) + 1
        limit = math.ceil(LOAD_MULTIPLE * total / len(self.names))
        order = rank_candidates(turn.chat, self.names)
        engine = next(name for name in order if in_flight[name] < limit)
        in_flight[engine] += 1

        def release() -> None:
            in_flight[engine] -= 1

        on_assigned(engine, release)


class LeasedSharesRouter(Router):
    """Rendezvous hashing; each host leases an equal share of each engine's slots."""

    name = "leased shares"

    def __init__(self, world: "World"):
        super().__init__(world)
        self._in_flight_by_host = defaultdict(Counter)

    def place(self, turn: Turn, entry: str, on_assigned: Callable) -> None:
        """Place a turn on the first engine with a free slot in the host's share."""
        in_flight = self._in_flight_by_host[entry]
        share = max(1, self.world.scenario.slots // self.world.scenario.hosts)
        order = rank_candidates(turn.chat, self.names)
        engine = next((name for name in order if in_flight[name] < share), None)
        if engine is None:
            on_assigned(None, lambda: None)
            return
        in_flight[engine] += 1

        def release() -> None:
            in_flight[engine] -= 1

        on_assigned(engine, release)


class OracleRouter(Router):
    """Central router that knows all loads and caches without delay.

    It keeps the same load bound as the pool owners. It does not migrate streams.
    """

    name = "oracle"

    def __init__(self, world: "World"):
        self._in_flight: Counter[str] = Counter()
        self._engines_by_load: dict[int, dict[str, None]] = defaultdict(dict)
        self._engines_by_chat: dict[str, set[str]] = defaultdict(set)
        self._queue = FairQueue()
        self._in_flight_by_workspace: Counter[int] = Counter()
        self._queries: dict[int, tuple[Turn, Callable]] = {}
        self._total_in_flight = 0
        super().__init__(world)

    def update_engines(self) -> None:
        """Apply the newly published list of engines, without delay."""
        super().update_engines()
        self._engines_by_load.clear()
        for name in self.names:
            self._engines_by_load[self._in_flight[name]][name] = None
        self._total_in_flight = sum(self._in_flight[name] for name in self.names)

    def handle_immediate_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Update which engines cache the chat."""
        if kind == "stored":
            self._engines_by_chat[chat].add(name)
        else:
            self._engines_by_chat[chat].discard(name)

    def place(self, turn: Turn, entry: str, on_assigned: Callable) -> None:
        """Queue a turn and grant what the load bound allows.

        A turn that is still queued after half of its first-token target is refused.
        """
        now = self.world.timers.now()
        deadline_s = now + FIRST_TOKEN_TARGETS_S[turn.work_class] / 2
        query = PermitQuery(turn.number, 0, 0, hash_name(turn.workspace), 0)
        queued = QueuedQuery(deadline_s, turn.number, entry, query)
        self._queries[turn.number] = (turn, on_assigned)
        self._queue.push(queued)
        self._grant_queued()
        if turn.number in self._queries:
            self.world.timers.call_later(deadline_s - now, lambda: self._expire(queued))

    def _expire(self, queued: QueuedQuery) -> None:
        if queued.query.number in self._queries:
            self._queue.remove(queued)
            _, on_assigned = self._queries.pop(queued.query.number)
            on_assigned(None, lambda: None)

    def _grant_queued(self) -> None:
        while self._queue:
            mean = self._total_in_flight / len(self.names)
            limit = compute_server_limit(mean, MIN_BOUNDED_MEAN, LOAD_MULTIPLE)
            limit = min(self.world.scenario.slots, limit)
            min_load = min(
                level for level, names in self._engines_by_load.items() if names
            )
            if min_load >= limit:
                return
            grant_order = self._queue.iterate_in_grant_order(
                self._in_flight_by_workspace
            )
            candidates = list(islice(grant_order, 8))
            self._grant(
                *self._choose_assignment(
                    candidates, limit, next(iter(self._engines_by_load[min_load]))
                )
            )

    def _choose_assignment(
        self, candidates: list[QueuedQuery], limit: int, least_loaded: str
    ) -> tuple[QueuedQuery, str]:
        """Return the next queued turn to grant, and the engine for it.

        That is the first candidate whose whole prefix is cached on an available
        engine, or else the first candidate.
        """
        choices = []
        for queued in candidates:
            turn = self._queries[queued.query.number][0]
            engine = self._find_best_engine(turn, limit, least_loaded)
            if self._count_missing_tokens(turn, engine) <= 0:
                return queued, engine
            choices.append((queued, engine))
        return choices[0]

    def _find_best_engine(self, turn: Turn, limit: int, least_loaded: str) -> str:
        holders = [
            name
            for name in sorted(self._engines_by_chat[turn.chat])
            if self._in_flight[name] < limit
            and name in self._engines_by_load[self._in_flight[name]]
        ]
        return min(
            [least_loaded, *holders],
            key=lambda name: (
                self._count_missing_tokens(turn, name),
                self._in_flight[name],
            ),
        )

    def _count_missing_tokens(self, turn: Turn, name: str) -> int:
        return turn.reusable_tokens - self.world.engines[name].cached_tokens.get(
            turn.chat, 0
        )

    def _grant(self, queued: QueuedQuery, engine: str) -> None:
        self._queue.remove(queued)
        _, on_assigned = self._queries.pop(queued.query.number)
        workspace = queued.query.workspace
        self._change_load(engine, 1)
        self._in_flight_by_workspace[workspace] += 1

        def release() -> None:
            self._change_load(engine, -1)
            self._in_flight_by_workspace[workspace] -= 1
            self._grant_queued()

        on_assigned(engine, release)

    def _change_load(self, name: str, change: int) -> None:
        load = self._in_flight[name]
        self._in_flight[name] += change
        if self._engines_by_load[load].pop(name, 0) is None:
            self._engines_by_load[load + change][name] = None
            self._total_in_flight += change
