"""Chooses the backend server of a request.

Load patterns that it answers: many prompts that share parts (affinity by
rendezvous hashing), one prompt that gets much of the traffic (bounded loads:
the next in the hash order takes what is over the bound), a few slow or failing
servers (weights by recent failures), and a surge on all (least loaded).

References:
    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
    bounded loads", SODA 2018.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.roster import Roster

__all__ = ["Choice", "Chooser", "Wish"]

# Most requests in flight at a server that is chosen for its cache, as a
# multiple of the service's mean and a number beside it; below the users'
# bound of twice the mean and three.
LOAD_MULTIPLE = 1.4
LOAD_ALLOWANCE = 2.0
# A server that fails all requests looks this much fuller than it is.
FAILURE_WEIGHT = 12.0
# Requests' worth of load by which a server of another failure domain has to be
# emptier before it is taken.
DOMAIN_WEIGHT = 0.5


class Wish(NamedTuple):
    """What a request needs of a server.

    Attributes:
        service: The service.
        cache_key: Names the cached part of its prompt, empty for none.
    """

    service: str
    cache_key: str


class Choice(NamedTuple):
    """The server that was chosen and why, for the log.

    Attributes:
        server: The server.
        reason: ``cached``, ``spilled``, ``least_loaded`` or ``last_resort``.
        load: Requests in flight at it, over all hosts, as known here.
    """

    server: ServerEntry
    reason: str
    load: int


class Chooser:
    """Picks servers and counts this host's requests in flight.

    Args:
        roster: The servers that may be used.
        health: Which of them fail.
        failure_domain: Where this host stands.
        count_elsewhere: Returns how many requests the other hosts have in
            flight at a server.
        rng: The source of randomness.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        failure_domain: str,
        count_elsewhere: Callable[[str], int],
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._health = health
        self._failure_domain = failure_domain
        self._count_elsewhere = count_elsewhere
        self._rng = rng
        self.in_flight: Counter[str] = Counter()

    def begin(self, identity: str) -> None:
        """Count a request that goes to a server."""
        self.in_flight[identity] += 1
        self._health.begin_trial(identity)

    def end(self, identity: str) -> None:
        """Count a request of a server as ended."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def choose(self, wish: Wish, avoid: Iterable[str] = ()) -> Choice | None:
        """Return the best server for a request, or None if there is none.

        Args:
            wish: What the request needs.
            avoid: Ids of servers that were tried before.
        """
        avoided = set(avoid)
        known = self._roster.list_usable(wish.service)
        fresh = [entry for entry in known if entry.identity not in avoided]
        sound = [
            entry for entry in fresh if not self._health.is_resting(entry.identity)
        ]
        servers = sound or fresh or known
        if not servers:
            return None
        loads = {entry.identity: self.count_load(entry.identity) for entry in servers}
        if not sound:
            server = self._pick_least_loaded(servers, loads)
            return Choice(server, "last_resort", loads[server.identity])
        if wish.cache_key:
            return self._choose_cached(wish, servers, loads)
        server = self._pick_least_loaded(servers, loads)
        return Choice(server, "least_loaded", loads[server.identity])

    def count_load(self, identity: str) -> int:
        """Return the requests in flight at a server, of all hosts."""
        return self.in_flight[identity] + self._count_elsewhere(identity)

    def _choose_cached(
        self, wish: Wish, servers: list[ServerEntry], loads: dict[str, int]
    ) -> Choice:
        """Return the first server in the key's order that is not over the bound."""
        mean = sum(loads.values()) / len(servers)
        bound = LOAD_MULTIPLE * mean + LOAD_ALLOWANCE
        ranked = sorted(
            servers, key=lambda entry: _hash(wish.cache_key, entry.identity)
        )
        for place, entry in enumerate(ranked):
            load = loads[entry.identity]
            if self._weigh(entry, load, servers) <= bound:
                return Choice(entry, "spilled" if place else "cached", load)
        server = self._pick_least_loaded(servers, loads)
        return Choice(server, "least_loaded", loads[server.identity])

    def _pick_least_loaded(
        self, servers: list[ServerEntry], loads: dict[str, int]
    ) -> ServerEntry:
        def weigh(entry: ServerEntry) -> tuple[float, float]:
            far = entry.failure_domain != self._failure_domain
            load = self._weigh(entry, loads[entry.identity], servers)
            return load + DOMAIN_WEIGHT * far, self._rng.random()

        return min(servers, key=weigh)

    def _weigh(
        self, entry: ServerEntry, load: int, servers: list[ServerEntry]
    ) -> float:
        """Return a server's load, raised if it fails more than the best one."""
        rate = self._health.get_failure_rate(entry.identity)
        if rate < 0.05:
            return load
        best = min(self._health.get_failure_rate(other.identity) for other in servers)
        return load + FAILURE_WEIGHT * (rate - best)


def _hash(key: str, identity: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{identity}".encode())
