"""Plays a load pattern against the permits of servers whose work takes time."""

import heapq
import random
from collections.abc import Callable
from itertools import count

from oleanderpier.routing import (
    PermitDecision,
    PermitDemand,
    PermitHolder,
    PermitOutcome,
    PermitRate,
    ServerKey,
    ServerPermits,
)
from oleanderpier.routing.server_permits import TICK_S

# Half of the 3 to 6 ms that a message and its reply take.
ONE_WAY_S = 0.002


def make_demand(
    number: int,
    *,
    host: str = "h1",
    slots: int = 4,
    rate: PermitRate | None = None,
    urgency: int = 0,
    workspace: str = "w1",
    is_repeat: bool = False,
    uncached_tokens: int = 0,
    max_wait_s: float = 0.0,
    expires_after_s: float = 30.0,
) -> PermitDemand:
    """Return a query."""
    return PermitDemand(
        PermitHolder(host, number),
        slots,
        rate,
        urgency,
        workspace,
        is_repeat,
        uncached_tokens,
        max_wait_s,
        expires_after_s,
    )


class PlayedServer:
    """A backend server that runs some requests at a time, in order of arrival.

    Attributes:
        slots: How many it runs at a time.
        at_server: The requests that run or wait at it.
        most: The largest number of ``at_server``.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.at_server = 0
        self.most = 0
        self._free_s = [0.0] * slots

    def begin(self, now_s: float, work_s: float) -> float:
        """Return when a request ends that arrives now."""
        self.at_server += 1
        self.most = max(self.most, self.at_server)
        end_s = max(now_s, heapq.heappop(self._free_s)) + work_s
        heapq.heappush(self._free_s, end_s)
        return end_s


class PlayedRequest:
    """What became of a request.

    Attributes:
        demand: Its last query.
        asked_s: When it was made.
        outcome: The last decision on it.
        expected_wait_s: The wait that was expected when it was queued, None if it was
            not.
        queued_s: When it was queued.
        decided_s: When it was decided.
        tried: The servers that had no room, with their expected waits.
    """

    def __init__(self, demand: PermitDemand, asked_s: float) -> None:
        self.demand = demand
        self.asked_s = asked_s
        self.outcome: PermitOutcome | None = None
        self.expected_wait_s: float | None = None
        self.queued_s = 0.0
        self.decided_s = 0.0
        self.tried: list[tuple[float, ServerKey]] = []


class PermitPlay:
    """A service whose requests all ask for permits.

    A request asks up to three servers at random, each without waiting. If none has
    room, it waits at the one with the shortest expected wait.

    Args:
        servers: The number of servers.
        slots: The slots of each.
        work_s: The time that a request takes; by up to a fifth more or less.
        seed: The seed of all random numbers.
    """

    def __init__(self, servers: int, slots: int, work_s: float, seed: int = 1) -> None:
        self.permits = ServerPermits()
        self.servers = {
            ServerKey(f"s{number}", 1): PlayedServer(slots) for number in range(servers)
        }
        self.requests: list[PlayedRequest] = []
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self._work_s = work_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._numbers = count()
        self._by_holder: dict[PermitHolder, tuple[PlayedRequest, ServerKey]] = {}

    def submit(
        self, at_s: float, demand: PermitDemand, max_wait_s: float
    ) -> PlayedRequest:
        """Make a request at a time; return its record."""
        request = PlayedRequest(demand, at_s)
        self.requests.append(request)
        self._call_at(at_s, lambda: self._ask(request, max_wait_s))
        return request

    def run(self, until_s: float) -> None:
        """Play until a time."""
        ticks = int(until_s / TICK_S)
        for number in range(ticks):
            self._call_at(number * TICK_S, self._remove_expired)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()

    def count(self, outcome: PermitOutcome, **fields) -> int:
        """Return the requests with an outcome whose query has some values."""
        return sum(
            request.outcome == outcome
            and all(getattr(request.demand, key) == fields[key] for key in fields)
            for request in self.requests
        )

    def _call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), callback))

    def _ask(self, request: PlayedRequest, max_wait_s: float) -> None:
        others = [
            key for key in self.servers if key not in {key for _, key in request.tried}
        ]
        waits = len(request.tried) == min(3, len(self.servers))
        key = min(request.tried)[1] if waits else self.rng.choice(others)
        holder = request.demand.holder._replace(number=next(self._numbers))
        request.demand = request.demand._replace(
            holder=holder, max_wait_s=max_wait_s if waits else 0.0
        )
        self._by_holder[holder] = (request, key)
        decision = self.permits.request(key, request.demand, self.now_s)
        if decision.outcome == PermitOutcome.QUEUED:
            request.expected_wait_s = decision.wait_s
            request.queued_s = self.now_s
        elif decision.outcome == PermitOutcome.GRANTED or waits:
            self._decide(holder, decision)
        else:
            request.tried.append((decision.wait_s, key))
            self._call_at(
                self.now_s + 2 * ONE_WAY_S, lambda: self._ask(request, max_wait_s)
            )

    def _decide(self, holder: PermitHolder, decision: PermitDecision) -> None:
        request, key = self._by_holder[holder]
        request.outcome = decision.outcome
        request.decided_s = self.now_s
        if decision.outcome == PermitOutcome.GRANTED:
            self._call_at(self.now_s + 2 * ONE_WAY_S, lambda: self._begin(holder, key))

    def _begin(self, holder: PermitHolder, key: ServerKey) -> None:
        server = self.servers[key]
        end_s = server.begin(self.now_s, self._work_s * self.rng.uniform(0.8, 1.2))
        self._call_at(end_s, lambda: self._end(holder, key))

    def _end(self, holder: PermitHolder, key: ServerKey) -> None:
        self.servers[key].at_server -= 1
        self._call_at(self.now_s + 2 * ONE_WAY_S, lambda: self._release(holder))

    def _release(self, holder: PermitHolder) -> None:
        for other, decision in self.permits.release(holder, self.now_s):
            self._decide(other, decision)

    def _remove_expired(self) -> None:
        for holder, decision in self.permits.remove_expired(self.now_s):
            self._decide(holder, decision)
