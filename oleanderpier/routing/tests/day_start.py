"""Replays the first seconds of a day, when all prompts are read for the first time.

Many hosts send to engines that read prompts in the order of their arrival, between the
tokens of the other requests. Hosts learn of the requests of others with a delay.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from oleanderpier.routing import Choice, LoadStatement, PromptPrefix, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture

__all__ = ["KINDS", "DayStart", "Kind", "Result"]

SERVERS = 56
SLOTS = 16
TOKENS_PER_MS = 112.0
# Time until the first event besides the prompts, and from then to the end.
BASE_S = 0.1
RUN_S = 0.4
# Delay of notices, and of reports with cached prompts and loads.
NOTICE_S = 0.003
REPORT_S = 0.05
# Machines are slow for this time, in this share of it.
SPEED_S = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
RENEWAL_S = 0.3


class Kind(NamedTuple):
    """One kind of request of the homework deployment.

    Attributes:
        name: Its name.
        per_s: Requests per second.
        prompts: Pairs of the number of prompts and their shared tokens.
        own_tokens: The tokens of each request alone.
        target_s: The latency target.
    """

    name: str
    per_s: float
    prompts: tuple[tuple[int, int], ...]
    own_tokens: int
    target_s: float


KINDS = (
    Kind("long", 112.0, ((1, 512), (501, 10_000)), 1_300, 0.545),
    Kind("short", 62.0, ((80, 119), (277, 580)), 130, 0.319),
    Kind("tags", 198.0, ((16, 341), (591, 1_700)), 360, 0.422),
)


class Result(NamedTuple):
    """How the requests of one kind were served.

    Attributes:
        p50_s: Median time to the first event.
        p99_s: 99th percentile.
        in_target: The share that met the target.
    """

    p50_s: float
    p99_s: float
    in_target: float


class _Server:
    """An engine that reads prompts one after the other."""

    def __init__(self) -> None:
        self.read_until_s = 0.0
        self.ends_s: list[float] = []
        self.cached: set[str] = set()


class DayStart:
    """Hosts and engines that know nothing yet.

    Args:
        has_notices: Whether the hosts use notices. Without them the service is not
            known to be uneven, and servers are chosen as without this feature.
        hosts: The number of hosts.
        lost_ratio: The share of the notices that are lost.
        seed: The seed of arrivals and speeds.

    Attributes:
        read_tokens: The tokens that the engines have read.
        notices: How many notices of long prompts were sent.
        left: How many requests left a server because of a prompt or its speed.
    """

    def __init__(
        self, has_notices: bool, hosts: int = 20, lost_ratio: float = 0.0, seed: int = 1
    ) -> None:
        self.read_tokens = 0
        self.notices = 0
        self.left = 0
        self._has_notices = has_notices
        self._lost_ratio = lost_ratio
        self._rng = random.Random(seed)
        self._network_rng = random.Random(seed)
        self._seed = seed
        self._hosts = [RoutingFixture(SERVERS, REPORT_S) for _ in range(hosts)]
        for number, host in enumerate(self._hosts):
            host.chooser._rng.seed(number)
            host.statements.loads.allow_permits(False)
            # The configuration limits the requests to cold servers.
            host.statements.loads.set_all_under_permits(has_notices)
        self._servers = {f"s{number}": _Server() for number in range(SERVERS)}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._told_s: dict[str, float] = {}
        self._now_s = 0.0
        self._times: dict[str, list[tuple[float, float]]] = {}

    def run(self, duration_s: float) -> dict[str, Result]:
        """Send requests for some seconds; return how each kind was served."""
        self._report()
        for kind in KINDS:
            arrival_s = 0.0
            while (
                arrival_s := arrival_s + self._rng.expovariate(kind.per_s)
            ) < duration_s:
                self._plan_arrival(arrival_s, kind)
        while self._events and self._events[0][0] < duration_s:
            at_s, _, act = heapq.heappop(self._events)
            for host in self._hosts:
                host.timers.advance(at_s - self._now_s)
            self._now_s = at_s
            act()
        return {name: _summarize(times) for name, times in self._times.items()}

    def _plan_arrival(self, arrival_s: float, kind: Kind) -> None:
        host = self._rng.choice(self._hosts)
        group = self._rng.choices(kind.prompts, [count for count, _ in kind.prompts])[0]
        key = f"{kind.name}-{group[1]}-{self._rng.randrange(group[0])}"
        query = ServerQuery(
            ENGINE,
            (PromptPrefix(key, group[1]),),
            None,
            group[1] + kind.own_tokens,
            kind.target_s,
        )
        self._call_at(arrival_s, lambda: self._send(host, kind, query))

    def _call_at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _get_slow_factor(self, identity: str) -> float:
        period = int(self._now_s / SPEED_S)
        draw = random.Random(f"{self._seed}-{identity}-{period}").random()
        return SLOW_FACTOR if draw < SLOW_SHARE else 1.0

    def _report(self) -> None:
        """Let all hosts know the loads of now, after the delay of reports."""
        loads = {}
        for identity, server in self._servers.items():
            server.ends_s = [end_s for end_s in server.ends_s if end_s > self._now_s]
            loads[identity] = len(server.ends_s)

        def apply() -> None:
            for host in self._hosts:
                host.remote_loads.in_flight = loads

        self._call_at(self._now_s + REPORT_S, apply)
        self._call_at(self._now_s + REPORT_S, self._report)

    def _send(self, host: RoutingFixture, kind: Kind, query: ServerQuery) -> None:
        choice = host.chooser.choose(query)
        identity = choice.server.identity
        self.left += choice.left is not None
        self._announce(host, choice)
        host.caches.record_send(query.cache_key, identity)
        self._call_at(
            self._now_s + REPORT_S, lambda: self._share_cache(query.cache_key, identity)
        )
        slow_factor = self._get_slow_factor(identity)
        server = self._servers[identity]
        tokens = query.total_tokens
        source = choice.copy_source
        if query.cache_key in server.cached or (
            source and query.cache_key in self._servers[source.identity].cached
        ):
            tokens -= query.shared_tokens
        server.cached.add(query.cache_key)
        self.read_tokens += tokens
        read_s = slow_factor * tokens / TOKENS_PER_MS / 1000
        server.read_until_s = max(server.read_until_s, self._now_s) + read_s
        first_s = server.read_until_s + slow_factor * BASE_S
        server.ends_s.append(first_s + slow_factor * RUN_S)
        took_s = first_s - self._now_s
        self._times.setdefault(kind.name, []).append((took_s, kind.target_s))
        self._call_at(first_s, lambda: self._hear_speed(host, choice))

    def _share_cache(self, key: str, identity: str) -> None:
        for host in self._hosts:
            host.caches.apply_updates([(key, identity)])

    def _announce(self, sender: RoutingFixture, choice: Choice) -> None:
        """Tell all hosts of a long prompt."""
        tokens, server = choice.uncached_tokens, choice.server
        if not self._has_notices or tokens < 4000:
            return
        self.notices += 1
        expected_s = sender.chooser.prefill_choice.estimate_s(server, tokens)

        def record(host: RoutingFixture) -> None:
            host.statements.prefills.record(server, tokens, expected_s, self._now_s)

        record(sender)
        self._tell_others(sender, record)

    def _hear_speed(self, host: RoutingFixture, choice: Choice) -> None:
        """Let a host read the speed of a server, and tell the others if it is slow."""
        if not self._has_notices:
            return
        server, heard_s = choice.server, self._now_s
        slow_factor = self._get_slow_factor(server.identity)
        load = LoadStatement(0, 0, SLOTS, slow_factor)
        host.statements.loads.record(server, load, heard_s)
        told_s = self._told_s.get(server.identity, -RENEWAL_S)
        if slow_factor > 1.0 and heard_s - told_s >= RENEWAL_S:
            self._told_s[server.identity] = heard_s
            self._tell_others(
                host,
                lambda other: other.statements.loads.record_speed(
                    server, slow_factor, heard_s
                ),
            )

    def _tell_others(
        self, sender: RoutingFixture, record: Callable[[RoutingFixture], None]
    ) -> None:
        for host in self._hosts:
            if host is not sender and self._network_rng.random() >= self._lost_ratio:
                self._call_at(self._now_s + NOTICE_S, lambda host=host: record(host))


def _summarize(times: list[tuple[float, float]]) -> Result:
    took_s = sorted(took for took, _ in times)
    met = sum(took <= target for took, target in times)
    return Result(
        took_s[len(took_s) // 2], took_s[int(0.99 * len(took_s))], met / len(times)
    )
