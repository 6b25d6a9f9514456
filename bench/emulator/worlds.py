"""One run of a pattern under a policy, on simulated time."""

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from bench.emulator.engines import Engine, Job
from bench.emulator.patterns import Pattern, RequestClass, Trouble
from bench.emulator.policies import Policy
from oleanderpier.routing import PromptPrefix, ServerQuery
from oleanderpier.utils import ManualTimers, Timers

__all__ = ["Outcome", "World", "run_pattern"]

REPORT_S = 0.25
# One way between hosts, and how long an entry outlives its engine.
LATENCY_S = 0.002
LISTED_S = 3.6
TICK_S = 0.05
WINDOW_S = 2.0
MOST_TRIES = 2
# The users' bound on an engine: this multiple of the mean, and this many.
LIMIT_MULTIPLE = 2.0
LIMIT_ALLOWANCE = 3.0
SERVICE = "engines"
PREFIX_SPREAD = 0.3


class Outcome(NamedTuple):
    """What a run showed.

    Attributes:
        requests: How many came.
        on_time: The part of their worth that was served on time.
        served: The part of the requests that was served at all.
        worst_window: The least part on time in any ``WINDOW_S``.
        p95_s: The 95th percentile of the time to the first event.
        read_again: Tokens of shared parts that were read again, by request.
        copied: Tokens copied, by request.
        over_limit: The part of the sends to an engine over the users' bound.
        choice_us: Processor time of a choice, in microseconds.
        windows: The part on time in each ``WINDOW_S``.
    """

    requests: int
    on_time: float
    served: float
    worst_window: float
    p95_s: float
    read_again: float
    copied: float
    over_limit: float
    choice_us: float
    windows: list[float]


class Request:
    """A request on its way.

    Attributes:
        first_s: When its first event came, None before.
        whole: Whether it ended whole.
    """

    def __init__(self, kind: RequestClass, query: ServerQuery, sent_s: float) -> None:
        self.kind = kind
        self.query = query
        self.sent_s = sent_s
        self.first_s: float | None = None
        self.whole = False
        self.lost = False
        self.tried: set[str] = set()

    @property
    def is_on_time(self) -> bool:
        """Whether it was served within its target."""
        target_s = self.kind["target_s"]
        return self.whole and self.first_s - self.sent_s <= target_s


class World:
    """The engines, the hosts and the load of one run.

    Args:
        pattern: Sizes, load and troubles.
        make_policy: Makes one host's policy.
        seed: Chooses the requests.
    """

    def __init__(
        self,
        pattern: Pattern,
        make_policy: Callable[[Timers, random.Random], Policy],
        seed: int,
    ) -> None:
        self._pattern = pattern
        self._make_policy = make_policy
        self.timers = ManualTimers()
        self._rng = random.Random(seed)
        self._engines: dict[str, Engine] = {}
        self._leaving: set[str] = set()
        self._policies: list[Policy | None] = []
        self._requests: list[Request] = []
        self._counts: Counter[str] = Counter()
        self._ever_read: set[str] = set()
        self._choice_s = 0.0
        self._rates = {kind["name"]: 1.0 for kind in pattern["classes"]}
        self._hot: dict[str, float] = {}
        for _ in range(pattern["hosts"]):
            self._policies.append(self._make_host())
        for _ in range(pattern["engines"]):
            self._join()

    def run(self) -> Outcome:
        """Let the load come, and return what it showed."""
        pattern, timers = self._pattern, self.timers
        for kind in pattern["classes"]:
            self._plan_arrival(kind)
        for trouble in pattern["troubles"]:
            timers.call_later(
                trouble["at_s"], lambda trouble=trouble: self._happen(trouble)
            )
        timers.subscribe(REPORT_S, self._report)
        longest_s = max(kind["deadline_s"] for kind in pattern["classes"])
        for _ in range(round((pattern["length_s"] + longest_s) / TICK_S)):
            timers.advance(TICK_S)
        return self._summarize()

    def _make_host(self) -> Policy:
        policy = self._make_policy(self.timers, random.Random(self._rng.random()))
        for name in self._engines:
            policy.put(name, name in self._leaving)
        return policy

    def _list_hosts(self) -> list[int]:
        return [n for n, policy in enumerate(self._policies) if policy is not None]

    def _tell_all(self, engine: str, leaving: bool | None) -> None:
        for policy in self._policies:
            if policy is not None:
                policy.put(engine, leaving)

    def _join(self) -> None:
        name = f"e{len(self._engines)}"
        pattern = self._pattern
        self._engines[name] = Engine(
            self.timers, pattern["slots"], pattern["capacity_tokens"]
        )
        self._tell_all(name, False)

    def _plan_arrival(self, kind: RequestClass) -> None:
        rate = kind["per_s"] * self._rates[kind["name"]]
        self.timers.call_later(self._rng.expovariate(rate), lambda: self._arrive(kind))

    def _arrive(self, kind: RequestClass) -> None:
        if self.timers.now() >= self._pattern["length_s"]:
            return
        self._plan_arrival(kind)
        request = Request(kind, self._make_query(kind), self.timers.now())
        self._requests.append(request)
        hosts = self._list_hosts()
        if hosts:
            self._send(request, self._rng.choice(hosts))

    def _make_query(self, kind: RequestClass) -> ServerQuery:
        """Return a prompt: things of each level, those of the last skewed a little."""
        last = kind["chain"][-1]
        thing = int(last["things"] * self._rng.random() ** (1 + PREFIX_SPREAD))
        if self._rng.random() < self._hot.get(kind["name"], 0.0):
            thing = 0
        parts, tokens = [], 0
        for level in kind["chain"]:
            tokens += level["tokens"]
            key = f"{kind['name']}-{level['tokens']}-{thing % level['things']}"
            parts.append(PromptPrefix(key, tokens))
        return ServerQuery(SERVICE, tuple(parts))

    def _send(self, request: Request, host: int) -> None:
        policy = self._policies[host]
        if policy is None or len(request.tried) >= MOST_TRIES:
            request.lost = True
            return
        began_s = time.process_time()
        picked = policy.pick(request.query, request.tried)
        self._choice_s += time.process_time() - began_s
        self._counts["choices"] += 1
        if picked is None:
            request.lost = True
            return
        request.tried.add(picked.engine)
        policy.begin(request.query, picked.engine)
        self._note_limit(picked.engine)
        engine = self._engines[picked.engine]
        source = self._engines.get(picked.source) if picked.source else None

        def end(whole: bool) -> None:
            if self._policies[host] is not policy:
                return
            policy.end(picked.engine, failed=not whole)
            request.whole = whole
            if not whole:
                self._send(request, host)

        if not engine.alive:
            self.timers.call_later(LATENCY_S, lambda: end(False))
            return
        job = self._make_job(request, end)
        self._note_cost(request, engine.submit(job, source))

    def _make_job(self, request: Request, end: Callable[[bool], None]) -> Job:
        kind, per_event = request.kind, self._pattern["tokens_an_event"]
        events = max(1, round(self._rng.expovariate(1 / kind["events"])))

        def note_event(number: int) -> None:
            if request.first_s is None:
                request.first_s = self.timers.now()

        return Job(
            request.query.prefixes,
            max(1, round(self._rng.expovariate(1 / kind["own_tokens"]))),
            events * per_event,
            per_event,
            note_event,
            end,
        )

    def _note_cost(self, request: Request, cost) -> None:
        key = request.query.cache_key
        if key in self._ever_read:
            self._counts["again"] += cost.again
        self._ever_read.add(key)
        self._counts["copied"] += cost.copied

    def _note_limit(self, engine: str) -> None:
        loads = [e.count_jobs() for e in self._engines.values() if e.alive]
        mean = sum(loads) / max(1, len(loads))
        over = self._engines[engine].count_jobs() > (
            LIMIT_MULTIPLE * mean + LIMIT_ALLOWANCE
        )
        self._counts["sends"] += 1
        self._counts["over"] += over

    def _report(self) -> None:
        """Let each host tell the others, who hear it a moment later."""
        for host in self._list_hosts():
            report = self._policies[host].take_report()
            self.timers.call_later(
                LATENCY_S, lambda host=host, report=report: self._hear(host, report)
            )

    def _hear(self, sender: int, report) -> None:
        for host in self._list_hosts():
            if host != sender:
                self._policies[host].hear(sender, report)

    def _happen(self, trouble: Trouble) -> None:
        _TROUBLES[trouble["kind"]](self, trouble)

    def _list_usable(self) -> list[str]:
        return [
            name
            for name, engine in self._engines.items()
            if engine.alive and name not in self._leaving
        ]

    def _list_names(self, trouble: Trouble) -> list[str]:
        return [trouble["name"]] if "name" in trouble else list(self._rates)

    def _burst(self, trouble: Trouble) -> None:
        names = self._list_names(trouble)
        for name in names:
            self._rates[name] *= trouble["x"]

        def end() -> None:
            for name in names:
                self._rates[name] /= trouble["x"]

        self.timers.call_later(trouble["for_s"], end)

    def _heat(self, trouble: Trouble) -> None:
        for name in self._list_names(trouble):
            self._hot[name] = trouble["share"]
        self.timers.call_later(trouble["for_s"], self._hot.clear)

    def _crash(self, trouble: Trouble) -> None:
        for name in self._list_usable()[: trouble["count"]]:
            self._engines[name].crash()
            self.timers.call_later(
                LISTED_S, lambda name=name: self._tell_all(name, None)
            )

    def _slow(self, trouble: Trouble) -> None:
        engines = [self._engines[n] for n in self._list_usable()[: trouble["count"]]]
        for engine in engines:
            engine.slow = trouble["x"]

        def end() -> None:
            for engine in engines:
                engine.slow = 1.0

        self.timers.call_later(trouble["for_s"], end)

    def _add(self, trouble: Trouble) -> None:
        for _ in range(trouble["count"]):
            self._join()

    def _leave(self, trouble: Trouble) -> None:
        for name in self._list_usable()[: trouble["count"]]:
            self._leaving.add(name)
            self._tell_all(name, True)

    def _kill_hosts(self, trouble: Trouble) -> None:
        count = round(trouble["share"] * len(self._policies))
        for host in range(count):
            self._policies[host] = None

        def restart() -> None:
            for host in range(count):
                self._policies[host] = self._make_host()

        self.timers.call_later(trouble["for_s"], restart)

    def _summarize(self) -> Outcome:
        requests, counts = self._requests, self._counts
        first_s = sorted(r.first_s - r.sent_s for r in requests if r.first_s)
        windows = [
            _rate([r for r in requests if int(r.sent_s / WINDOW_S) == index])
            for index in range(int(self._pattern["length_s"] / WINDOW_S))
        ]
        return Outcome(
            requests=len(requests),
            on_time=_rate(requests),
            served=sum(r.whole for r in requests) / len(requests),
            worst_window=min(windows),
            p95_s=first_s[int(0.95 * len(first_s))],
            read_again=counts["again"] / len(requests),
            copied=counts["copied"] / len(requests),
            over_limit=counts["over"] / counts["sends"],
            choice_us=1e6 * self._choice_s / counts["choices"],
            windows=windows,
        )


def run_pattern(
    pattern: Pattern,
    make_policy: Callable[[Timers, random.Random], Policy],
    seed: int,
) -> Outcome:
    """Run a pattern under a policy."""
    return World(pattern, make_policy, seed).run()


def _rate(requests: list[Request]) -> float:
    """Return the part of some requests' worth that was served on time."""
    worth = sum(r.kind["worth"] for r in requests)
    on_time = sum(r.kind["worth"] for r in requests if r.is_on_time)
    return on_time / worth if worth else 1.0


_TROUBLES = {
    "burst": World._burst,
    "hot_key": World._heat,
    "crash": World._crash,
    "slow": World._slow,
    "join": World._add,
    "leave": World._leave,
    "herd_kill": World._kill_hosts,
}
