"""Replays the traffic of many hosts to servers with slots, without a network."""

import heapq
import random
from typing import NamedTuple

from oleanderpier.routing import Choice, LoadStatement, PromptPrefix, ServerQuery
from oleanderpier.routing.tests.fakes import ENGINE, RoutingFixture, make_server

__all__ = ["PromptKind", "Replay", "Sent"]

SLOTS = 16
TOKENS_PER_MS = 112.0
# The time until the first event of a request without a prompt, and the time that it
# runs afterwards.
BASE_S = 0.1
RUN_S = 0.4
# How many permits the owner of a server gives out, and how many choices a request makes
# among servers without room.
PERMITS = 20
MAX_REFUSED_CHOICES = 3


class PromptKind(NamedTuple):
    """One kind of request.

    Attributes:
        name: Its name, of which the keys of its prompts are made.
        per_s: Requests per second.
        prompts: How many different prompts there are.
        shared_tokens: The tokens that the requests with a prompt share.
        own_tokens: The tokens of each request alone.
    """

    name: str
    per_s: float
    prompts: int
    shared_tokens: int
    own_tokens: int


class Sent(NamedTuple):
    """A request that was sent.

    Attributes:
        kind: The name of its kind.
        choice: Its server and why.
        in_flight: The requests at the server before it.
        first_event_s: The seconds until its first event.
        was_read: Whether the server had to read the shared tokens.
    """

    kind: str
    choice: Choice
    in_flight: int
    first_event_s: float
    was_read: bool


class _Server:
    """A server with slots, of which each runs one request after the other."""

    def __init__(self) -> None:
        self.slots_free_s = [0.0] * SLOTS
        self.cached: set[str] = set()
        self.ends_s: list[float] = []

    def count_in_flight(self, now_s: float) -> int:
        """Return the requests that run or wait."""
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
        return len(self.ends_s)

    def run(self, work_s: float, run_s: float, now_s: float) -> float:
        """Run a request in the first free slot; return the time to its first event."""
        start_s = max(now_s, heapq.heappop(self.slots_free_s))
        end_s = start_s + work_s + run_s
        heapq.heappush(self.slots_free_s, end_s)
        self.ends_s.append(end_s)
        return start_s + work_s - now_s


class Replay:
    """Many hosts that send to the same servers, and choose by loads of one age.

    No host has more than a few requests in flight itself, so that one chooser without
    own requests stands for all of them.

    Args:
        servers: The number of servers.
        load_age_s: The age of the loads.
        by_costs: Whether the servers state their speed, so that servers are chosen by
            their costs. In both cases owners refuse requests to servers without room.
        seed: The seed of the arrivals.

    Attributes:
        slow_factors: How long work takes, by server number; 1 if it is missing.
    """

    def __init__(
        self, servers: int, load_age_s: float, by_costs: bool, seed: int = 1
    ) -> None:
        self.fixture = RoutingFixture(servers, load_age_s)
        self.slow_factors: dict[int, float] = {}
        self._servers = [_Server() for _ in range(servers)]
        self._load_age_s = load_age_s
        self._by_costs = by_costs
        self._rng = random.Random(seed)
        self._snapshots: list[tuple[float, dict[str, int]]] = []
        for number in range(servers):
            server = make_server(f"s{number}")
            self.fixture.statements.record_slots(server, SLOTS)
            if by_costs:
                load = LoadStatement(0, 0, SLOTS, 1.0)
                self.fixture.statements.loads.record(server, load, 0.0)

    def run(self, duration_s: float, kinds: list[PromptKind]) -> list[Sent]:
        """Send requests for some seconds, and return them."""
        timers = self.fixture.timers
        until_s = timers.now() + duration_s
        total_per_s = sum(kind.per_s for kind in kinds)
        sent = []
        while timers.now() < until_s:
            timers.advance(self._rng.expovariate(total_per_s))
            self._report()
            (kind,) = self._rng.choices(kinds, [kind.per_s for kind in kinds])
            sent.append(self._send(kind))
        return sent

    def _report(self) -> None:
        """Let the hosts know the loads of some time ago."""
        now_s = self.fixture.timers.now()
        if not self._snapshots or now_s >= self._snapshots[-1][0] + 0.05:
            loads = {
                f"s{number}": server.count_in_flight(now_s)
                for number, server in enumerate(self._servers)
            }
            self._snapshots.append((now_s, loads))
        while (
            len(self._snapshots) > 1
            and self._snapshots[1][0] <= now_s - self._load_age_s
        ):
            self._snapshots.pop(0)
        if self._snapshots[0][0] <= now_s - self._load_age_s:
            self.fixture.remote_loads.in_flight = self._snapshots[0][1]

    def _choose(self, query: ServerQuery, now_s: float) -> Choice:
        """Return the choice of a server whose owner has room, if one is found."""
        choice = first = self.fixture.chooser.choose(query)
        excluded: set[str] = set()
        while len(excluded) < MAX_REFUSED_CHOICES:
            server = self._servers[int(choice.server.identity[1:])]
            if server.count_in_flight(now_s) < PERMITS:
                return choice
            excluded.add(choice.server.identity)
            choice = self.fixture.chooser.choose(query, excluded=excluded) or first
        return choice

    def _send(self, kind: PromptKind) -> Sent:
        now_s = self.fixture.timers.now()
        chooser = self.fixture.chooser
        key = f"{kind.name}-{self._rng.randrange(kind.prompts)}"
        query = ServerQuery(
            ENGINE,
            (PromptPrefix(key, kind.shared_tokens),),
            prompt_tokens=kind.shared_tokens + kind.own_tokens,
        )
        choice = self._choose(query, now_s)
        number = int(choice.server.identity[1:])
        server = self._servers[number]
        slow_factor = self.slow_factors.get(number, 1.0)
        in_flight = server.count_in_flight(now_s)
        was_read = key not in server.cached
        server.cached.add(key)
        tokens = kind.own_tokens + was_read * kind.shared_tokens
        work_s = slow_factor * (BASE_S + tokens / TOKENS_PER_MS / 1000)
        first_event_s = server.run(work_s, slow_factor * RUN_S, now_s)
        chooser.begin_request(query, choice.server.identity)
        chooser.end_request(choice.server.identity, first_event_s + RUN_S)
        if self._by_costs:
            running, waiting = min(SLOTS, in_flight + 1), max(0, in_flight + 1 - SLOTS)
            load = LoadStatement(running, waiting, SLOTS, slow_factor)
            self.fixture.statements.loads.record(choice.server, load, now_s)
            chooser.costs.record_first_event(choice, first_event_s)
        return Sent(kind.name, choice, in_flight, first_event_s, was_read)
