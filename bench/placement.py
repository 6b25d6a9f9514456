"""Measures placement decisions against simpler routers and an all-knowing one.

All run the same seeded workload on ``ManualTimers``: chats that return after
pauses, a surge of two large workspaces, and engines that are replaced.

Run it with ``python -m bench.placement`` (``--size fleet`` for the size to
come, ``--json`` for programs).
"""

import json
import math
import random
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import click
import msgspec
from oleanderpier.placement import (
    BOUND_MEAN,
    FairQueue,
    Outcome,
    Permit,
    PermitRequest,
    Placement,
    limit_server,
)
from oleanderpier.placement.messages import Ask, shorten_name
from oleanderpier.placement.queues import Waiting
from oleanderpier.utils import (
    ManualTimers,
    decode_message,
    encode_message,
    hash_text,
    rank_candidates,
)

__all__ = ["ROUTERS", "Report", "Scenario", "run_scenario"]

PREFILL_TOKENS_PER_S = 8_000.0
DECODE_S_PER_TOKEN = 0.025
MESSAGE_DELAY_S = 0.0005
LOAD_REPORT_S = 1.0
CACHE_EVENT_LAG_S = 2.0
CACHE_EVENT_LOSS = 0.2
SAMPLE_S = 0.25
DOCUMENT_SPREAD_S = 2.0
DRAIN_S = 15.0
REACTION_S = 0.01
LOAD_MULTIPLE = 1.25
CLASSES = {"quick-verdict": 1.6, "season-review": 6.0}


class Scenario(NamedTuple):
    """Sizes and events of one run.

    Attributes:
        chats: How many chats are active at any time outside a surge.
        surge_chats: Further chats of the two large workspaces in the surge.
        surge_start_s, surge_end_s: When the surge's chats begin and end.
        replaced_a_minute: Part of the engines replaced each minute.
        warm_s: Samples and requests before this time are not counted.
    """

    hosts: int = 8
    engines: int = 9
    slots: int = 16
    failure_domains: int = 3
    workspaces: int = 10
    chats: int = 800
    pause_s: float = 30.0
    cache_tokens: int = 400_000
    surge_chats: int = 1_500
    surge_start_s: float = 150.0
    surge_end_s: float = 200.0
    replaced_a_minute: float = 0.05
    warm_s: float = 30.0
    length_s: float = 300.0
    seed: int = 1


class Report(NamedTuple):
    """What one run showed.

    Attributes:
        reuse: Prompt tokens of returning turns that came from a cache, as a
            part of those that a cache could have held.
        ratio_p50, ratio_p99, ratio_worst: Max/mean in flight over engines, in
            samples with a mean of at least 8.
        samples: How many such samples there were.
        over_bound: Samples in which an engine held more than 1.25 * mean.
        stayed_over: Those of them that were so 10 ms later, too.
        migrated: Streams that were resumed on another engine, as a part of
            all requests.
        refused, late: By class, as part of all requests of the class.
        quiet_on_time, surging_on_time: Requests on time during the surge, as a
            part of those asked, of quiet and of surging workspaces.
        control_bytes: Sent to other hosts, bytes a second a host.
    """

    router: str
    requests: int
    reuse: float
    ratio_p50: float
    ratio_p99: float
    ratio_worst: float
    samples: int
    over_bound: int
    stayed_over: int
    migrated: float
    refused: dict[str, float]
    late: dict[str, float]
    quiet_on_time: float
    surging_on_time: float
    control_bytes: float


class Turn(NamedTuple):
    """One request of a chat; ``reusable`` tokens were in an earlier turn."""

    number: int
    chat: str
    workspace: str
    work_class: str
    prompt: int
    reusable: int
    output: int


class Stream:
    """A turn that runs, on one engine after another if it is migrated."""

    def __init__(self, turn: Turn, on_first: Callable, on_end: Callable):
        self.turn = turn
        self.on_first = on_first
        self.on_end = on_end
        self.engine: Engine | None = None
        self.left = turn.output
        self.runs = 0
        self._decodes_from_s: float | None = None

    def start(self, now: float) -> float:
        """Return how long the engine is busy, counting the cached prefix."""
        generated = self.turn.output - self.left
        prompt = self.turn.prompt + generated
        reused = min(self.engine.cache.get(self.turn.chat, 0), prompt)
        prefill_s = (prompt - reused) / PREFILL_TOKENS_PER_S
        self._decodes_from_s = now + prefill_s
        if self.on_first is not None:
            self.on_first(prefill_s, reused)
            self.on_first = None
        return prefill_s + self.left * DECODE_S_PER_TOKEN

    def migrate(self, engine: "Engine", now: float) -> None:
        """Resume on another engine from the offset that was reached."""
        self.engine.drop(self)
        if self._decodes_from_s is not None:
            done = int(max(0.0, now - self._decodes_from_s) / DECODE_S_PER_TOKEN)
            self.left = max(1, self.left - done)
        self._decodes_from_s = None
        engine.submit(self)


class Engine:
    """A model engine: slots, a queue behind them, and a bounded prefix cache."""

    def __init__(self, name: str, slots: int, cache_tokens: int, timers: ManualTimers):
        self.name = name
        self.slots = slots
        self.running: set[Stream] = set()
        self.waiting: deque[Stream] = deque()
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.on_cache_event: Callable[[str, str, str], None] = lambda *_: None
        self._cache_tokens = cache_tokens
        self._cached = 0
        self._timers = timers

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return len(self.running) + len(self.waiting)

    def submit(self, stream: Stream) -> None:
        """Run a stream, after others if all slots are taken."""
        stream.engine = self
        self.waiting.append(stream)
        self._fill_slots()

    def drop(self, stream: Stream) -> None:
        """Cancel a stream."""
        if stream in self.running:
            self.running.remove(stream)
        else:
            self.waiting.remove(stream)
        stream.runs += 1
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            stream = self.waiting.popleft()
            self.running.add(stream)
            busy_s = stream.start(self._timers.now())
            run = stream.runs
            self._timers.call_later(
                busy_s, lambda stream=stream, run=run: self._end(stream, run)
            )

    def _end(self, stream: Stream, run: int) -> None:
        if stream.runs != run:
            return
        self.running.remove(stream)
        self._store(stream.turn.chat, stream.turn.prompt + stream.turn.output)
        self._fill_slots()
        stream.on_end()

    def _store(self, chat: str, tokens: int) -> None:
        self._cached += tokens - self.cache.pop(chat, 0)
        self.cache[chat] = tokens
        self.on_cache_event(self.name, "stored", chat)
        while self._cached > self._cache_tokens:
            evicted, size = self.cache.popitem(last=False)
            self._cached -= size
            self.on_cache_event(self.name, "evicted", evicted)


class World:
    """The engines, and the workload that is routed to them."""

    def __init__(self, scenario: Scenario, router_class: type):
        self.scenario = scenario
        self.timers = ManualTimers()
        self.rng = random.Random(scenario.seed)
        self.engines: dict[str, Engine] = {}
        self.published: dict[str, dict] = {}
        self._next_engine = 0
        for _ in range(scenario.engines):
            self._add_engine()
        self.router = router_class(self)
        self._turns = 0
        self._chats = 0
        self._tokens = Counter()
        self._ratios: list[float] = []
        self._over_bound = 0
        self._stayed_over = 0
        self._views: list[tuple[float, frozenset[str]]] = []
        self._asked, self._refused, self._late = Counter(), Counter(), Counter()
        self._surge = defaultdict(Counter)

    def run(self) -> Report:
        """Run the scenario and return what it showed."""
        scenario, timers = self.scenario, self.timers
        timers.advance(1.0)
        for _ in range(scenario.chats):
            self._start_chat(self._choose_workspace(), lambda: True)
        if scenario.surge_chats:
            timers.call_later(scenario.surge_start_s, self._start_surge)
        if scenario.replaced_a_minute:
            every_s = 60 / (scenario.replaced_a_minute * scenario.engines)
            timers.subscribe(every_s, self._replace_engine)
        timers.subscribe(SAMPLE_S, self._sample)
        timers.advance(scenario.warm_s)
        bytes_before = self.router.count_bytes()
        timers.advance(scenario.length_s - scenario.warm_s)
        sent = self.router.count_bytes() - bytes_before
        counted_s = scenario.length_s - scenario.warm_s
        return self._report(sent / counted_s / scenario.hosts)

    def list_live(self) -> list[Engine]:
        """Return the engines that are not leaving."""
        return [
            engine
            for name, engine in self.engines.items()
            if self.published[name]["state"] == "live"
        ]

    def _report(self, control_bytes: float) -> Report:
        ratios = sorted(self._ratios) or [0.0]

        def part(counter: Counter) -> dict[str, float]:
            return {name: counter[name] / max(1, self._asked[name]) for name in CLASSES}

        on_time = [
            self._surge[kind]["on_time"] / max(1, self._surge[kind]["asked"])
            for kind in ("quiet", "surging")
        ]
        return Report(
            self.router.name,
            self._asked.total(),
            self._tokens["reused"] / max(1, self._tokens["reusable"]),
            ratios[len(ratios) // 2],
            ratios[math.ceil(0.99 * len(ratios)) - 1],
            ratios[-1],
            len(self._ratios),
            self._over_bound,
            self._stayed_over,
            self.router.migrations / max(1, self._turns),
            part(self._refused),
            part(self._late),
            *on_time,
            control_bytes,
        )

    def _add_engine(self) -> None:
        index, scenario = self._next_engine, self.scenario
        self._next_engine += 1
        name = f"engine-{index}"
        self.engines[name] = Engine(
            name, scenario.slots, scenario.cache_tokens, self.timers
        )
        self.engines[name].on_cache_event = self._emit_cache_event
        self.published[name] = {
            "name": name,
            "failure_domain": f"domain-{index % scenario.failure_domains}",
            "kind": "engine",
            "address": "127.0.0.1",
            "port": 1,
            "provides": ["share-explainer"],
            "slots": scenario.slots,
            "state": "live",
            "checks_fencing": True,
        }

    def _replace_engine(self) -> None:
        leaving = self.rng.choice(self.list_live()).name
        failure_domain = self.published[leaving]["failure_domain"]
        self.published[leaving] = {**self.published[leaving], "state": "leaving"}
        self._add_engine()
        newest = next(reversed(self.published))
        self.published[newest]["failure_domain"] = failure_domain
        self.router.update_engines()
        self.timers.call_later(DRAIN_S, lambda: self._remove_engine(leaving))

    def _remove_engine(self, name: str) -> None:
        del self.published[name]
        del self.engines[name]
        self.router.update_engines()

    def _emit_cache_event(self, name: str, kind: str, chat: str) -> None:
        if self.rng.random() < CACHE_EVENT_LOSS:
            return
        self.timers.call_later(
            CACHE_EVENT_LAG_S, lambda: self.router.note_cache_event(name, kind, chat)
        )

    def _choose_workspace(self) -> str:
        index = self.rng.choice(
            [0] * 3 + [1] * 3 + list(range(self.scenario.workspaces))
        )
        return f"workspace-{index}"

    def _start_surge(self) -> None:
        end_s = self.scenario.surge_end_s

        def goes_on() -> bool:
            return self.timers.now() < end_s

        for index in range(self.scenario.surge_chats):
            self._start_chat(f"workspace-{index % 2}", goes_on)

    def _start_chat(self, workspace: str, goes_on: Callable[[], bool]) -> None:
        rng = self.rng
        self._chats += 1
        chat = f"chat-{self._chats}"
        work_class = rng.choice(list(CLASSES))
        state = {"prompt": rng.randrange(300, 3_000), "reusable": 0}
        host = f"host-{rng.randrange(self.scenario.hosts)}"

        def ask() -> None:
            if not goes_on():
                return
            self._turns += 1
            output = round(rng.uniform(60, 200))
            turn = Turn(
                self._turns, chat, workspace, work_class, output=output, **state
            )
            entry = (
                host
                if rng.random() < 0.8
                else f"host-{rng.randrange(self.scenario.hosts)}"
            )
            self._send_turn(turn, entry, ended)

        def ended(turn: Turn, ran: bool) -> None:
            if ran:
                state["reusable"] = turn.prompt + turn.output
                state["prompt"] = state["reusable"] + rng.randrange(20, 300)
            if rng.random() < 0.08:
                self._start_chat(workspace, goes_on)
            else:
                self.timers.call_later(rng.expovariate(1 / self.scenario.pause_s), ask)

        self.timers.call_later(rng.uniform(0, self.scenario.pause_s), ask)

    def _send_turn(self, turn: Turn, entry: str, ended: Callable) -> None:
        timers = self.timers
        asked_s = timers.now()
        counted = asked_s >= self.scenario.warm_s
        in_surge = self.scenario.surge_start_s < asked_s < self.scenario.surge_end_s
        surging = turn.workspace in ("workspace-0", "workspace-1")
        surge = self._surge["surging" if surging else "quiet"]
        self._asked[turn.work_class] += counted
        surge["asked"] += in_surge

        def assigned(engine: str | None, release: Callable[[], None]) -> Any:
            if engine is None or engine not in self.engines:
                release()
                self._refused[turn.work_class] += counted
                ended(turn, False)
                return None
            stream = Stream(turn, first, lambda: finish(release))
            self.engines[engine].submit(stream)
            return stream

        def first(prefill_s: float, reused: int) -> None:
            on_time = timers.now() + prefill_s - asked_s <= CLASSES[turn.work_class]
            self._late[turn.work_class] += counted and not on_time
            surge["on_time"] += in_surge and on_time
            if counted:
                self._tokens["reused"] += reused
                self._tokens["reusable"] += turn.reusable

        def finish(release: Callable[[], None]) -> None:
            release()
            ended(turn, True)

        self.router.place(turn, entry, assigned)

    def _sample(self) -> None:
        if self.timers.now() < self.scenario.warm_s:
            return
        ratio = self._measure_ratio()
        if ratio is None:
            return
        self._ratios.append(ratio)
        if ratio > LOAD_MULTIPLE:
            self._over_bound += 1
            self.timers.call_later(REACTION_S, self._sample_again)

    def _sample_again(self) -> None:
        ratio = self._measure_ratio()
        self._stayed_over += ratio is not None and ratio > LOAD_MULTIPLE

    def _measure_ratio(self) -> float | None:
        """Return max/mean in flight, or None if the mean is too low.

        While a new list spreads, hosts go by the one before or by the new
        one; the lesser ratio counts.
        """
        now = self.timers.now()
        live = frozenset(engine.name for engine in self.list_live())
        if not self._views or self._views[-1][1] != live:
            self._views.append((now, live))
        while len(self._views) > 1 and now - self._views[1][0] > DOCUMENT_SPREAD_S:
            del self._views[0]
        ratios = [self._compare_loads(names) for _, names in self._views]
        return None if None in ratios else min(ratios)

    def _compare_loads(self, names: frozenset[str]) -> float | None:
        loads = [self.engines[name].in_flight for name in names if name in self.engines]
        mean = sum(loads) / len(loads)
        return max(loads) / mean if mean >= BOUND_MEAN else None


class Router:
    """Base of the routers that decide at once, at the entry host alone."""

    name = ""
    migrations = 0

    def __init__(self, world: World):
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

    def __init__(self, world: World):
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

    def __init__(self, world: World):
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

    def __init__(self, world: World):
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


class AllKnowingRouter(Router):
    """Sees all loads and caches without delay, and keeps the same bound."""

    name = "all-knowing"

    def __init__(self, world: World):
        self._in_flight: Counter[str] = Counter()
        self._queue = FairQueue()
        self._workspaces: Counter[int] = Counter()
        self._asks: dict[int, tuple[Turn, Callable]] = {}
        super().__init__(world)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Choose the fullest cache under the bound; else queue."""
        now = self.world.timers.now()
        deadline_s = now + CLASSES[turn.work_class] / 2
        ask = Ask(turn.number, 0, 0, shorten_name(turn.workspace), 0)
        waiting = Waiting(deadline_s, turn.number, entry, ask)
        self._asks[turn.number] = (turn, assigned)
        self._queue.push(waiting)
        self._serve()
        if turn.number in self._asks:
            self.world.timers.call_later(
                deadline_s - now, lambda: self._expire(waiting)
            )

    def _expire(self, waiting: Waiting) -> None:
        if waiting.ask.number in self._asks:
            self._queue.remove(waiting)
            _, assigned = self._asks.pop(waiting.ask.number)
            assigned(None, lambda: None)

    def _serve(self) -> None:
        while self._queue:
            total = sum(self._in_flight[name] for name in self.names)
            mean = total / len(self.names)
            limit = limit_server(mean, BOUND_MEAN, LOAD_MULTIPLE)
            limit = min(self.world.scenario.slots, limit)
            taking = [name for name in self.names if self._in_flight[name] < limit]
            if not taking:
                return
            turn_order = self._queue.iterate_fairly(self._workspaces)
            heads = [waiting for waiting, _ in zip(turn_order, range(8), strict=False)]
            self._grant(*self._pick(heads, taking))

    def _pick(self, heads: list[Waiting], taking: list[str]) -> tuple[Waiting, str]:
        engines = self.world.engines

        def missing(waiting: Waiting, name: str) -> int:
            turn = self._asks[waiting.ask.number][0]
            return turn.reusable - engines[name].cache.get(turn.chat, 0)

        choices = []
        for index, waiting in enumerate(heads):
            best = min(
                taking, key=lambda n: (missing(waiting, n), self._in_flight[n], n)
            )
            choices.append((missing(waiting, best) > 0, index, waiting, best))
        _, _, waiting, best = min(choices)
        return waiting, best

    def _grant(self, waiting: Waiting, chosen: str) -> None:
        self._queue.remove(waiting)
        turn, assigned = self._asks.pop(waiting.ask.number)
        workspace = waiting.ask.workspace
        self._in_flight[chosen] += 1
        self._workspaces[workspace] += 1

        def release() -> None:
            self._in_flight[chosen] -= 1
            self._workspaces[workspace] -= 1
            self._serve()

        assigned(chosen, release)


class Outbox:
    """Sends between hosts with a delay, and counts the bytes."""

    def __init__(self, host: str, router: "OwnerRouter"):
        self._host = host
        self._router = router

    def send(self, host: str, message: Any) -> bool:
        """Hand a message to the wire."""
        data = encode_message(message)
        self._router.bytes_sent += len(data)
        self._router.sent[type(message).__name__] += len(data)

        def deliver() -> None:
            self._router.placements[host].handle(self._host, decode_message(data))

        self._router.world.timers.call_later(MESSAGE_DELAY_S, deliver)
        return True


class OwnerRouter(Router):
    """The package: permits from the pools' owner hosts."""

    name = "pool owners"
    migrates = True

    def __init__(self, world: World):
        self.bytes_sent = 0
        self.sent: Counter[str] = Counter()
        self.migrations = 0
        self._permits: dict[int, Permit] = {}
        self._streams: dict[tuple[str, int], Stream] = {}
        self.placements: dict[str, Placement] = {}
        self._spread = random.Random(world.scenario.seed + 2)
        names = [f"host-{i}" for i in range(world.scenario.hosts)]
        for index, name in enumerate(names):
            self.placements[name] = Placement(
                name,
                world.timers,
                random.Random(index),
                Outbox(name, self),
                partial(self._migrate, name) if self.migrates else None,
            )
        super().__init__(world)
        configuration = {
            "version": 1,
            "classes": [
                {
                    "name": name,
                    "kind": "engine",
                    "needs": "share-explainer",
                    "repeatable": True,
                    "first_token_s": target_s,
                    "between_tokens_s": 0.1,
                    "whole_s": 60.0,
                }
                for name, target_s in CLASSES.items()
            ],
            "workspaces": [],
            "load_multiple": LOAD_MULTIPLE,
        }
        for placement in self.placements.values():
            placement.update_configuration(configuration)
            placement.update_hosts(names)

    def count_bytes(self) -> int:
        """Return the bytes that all hosts have sent to other hosts."""
        return self.bytes_sent

    def update_engines(self) -> None:
        """Hand the published engines to each host at a time of its own."""
        servers = list(self.world.published.values())
        for placement in self.placements.values():
            delay_s = self._spread.uniform(0, DOCUMENT_SPREAD_S)
            if not self.world.timers.now():
                delay_s = 0.0
            self.world.timers.call_later(
                delay_s,
                lambda placement=placement: placement.update_backend_servers(servers),
            )

    def note_cache_event(self, name: str, kind: str, chat: str) -> None:
        """Hand a late cache event to the host that reads the engine's."""
        for placement in self.placements.values():
            if placement.owns_pool_of(name):
                placement.note_cache_event(name, kind, chat)

    def place(self, turn: Turn, entry: str, assigned: Callable) -> None:
        """Ask the entry host's placement for a permit."""
        placement = self.placements[entry]

        def granted(permit: Permit | None) -> None:
            if permit is None:
                assigned(None, lambda: None)
                return
            self._permits[turn.number] = permit
            self._streams[entry, permit.number] = assigned(
                permit.backend_server, release
            )

        def release() -> None:
            permit = self._permits.pop(turn.number)
            self._streams.pop((entry, permit.number), None)
            placement.release(permit)

        self._request(turn, entry, granted)

    def _request(self, turn: Turn, entry: str, granted: Callable) -> None:
        request = PermitRequest(
            str(turn.number), turn.chat, turn.workspace, turn.work_class
        )

        def notify(result: Any) -> None:
            granted(result.ok if result.is_ok() else None)

        self.placements[entry].request(request, notify)

    def _migrate(self, entry: str, permit: Permit) -> None:
        stream = self._streams.get((entry, permit.number))
        if stream is None:
            return
        turn, placement = stream.turn, self.placements[entry]

        def granted(other: Permit | None) -> None:
            if other is None:
                return
            if self._permits.get(turn.number) is not permit:
                placement.release(other, Outcome.ABANDONED)
                return
            self.migrations += 1
            self._permits[turn.number] = other
            del self._streams[entry, permit.number]
            self._streams[entry, other.number] = stream
            stream.migrate(
                self.world.engines[other.backend_server], self.world.timers.now()
            )
            placement.release(permit, Outcome.ABANDONED)

        self._request(turn, entry, granted)


class OwnerWithoutMigrationRouter(OwnerRouter):
    """The package, where streams cannot be resumed elsewhere."""

    name = "pool owners, no migration"
    migrates = False


ROUTERS: dict[str, type] = {
    router.name: router
    for router in (
        RandomRouter,
        AffinityRouter,
        TwoChoicesRouter,
        BoundedRouter,
        SharesRouter,
        AllKnowingRouter,
        OwnerRouter,
        OwnerWithoutMigrationRouter,
    )
}


def run_scenario(scenario: Scenario, router: str) -> Report:
    """Run a scenario with the router of a name and return its report."""
    return World(scenario, ROUTERS[router]).run()
