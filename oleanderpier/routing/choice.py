"""Chooses the backend server of a request.

Load patterns that it answers: many prompts that share parts (a request goes
where a part was read lately, else where rendezvous hashing puts it, so that
hosts agree without talking), servers that come and go (what is cached stays
where it is), one prompt that gets much of the traffic (bounded loads: the next
in the hash order takes what is over the bound), a few slow or failing servers
(weights by recent failures), and a surge on all (least loaded).

References:
    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
    bounded loads", SODA 2018.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from oleanderpier.routing.caches import CacheMap
from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.records import PromptPrefix, ServerEntry
from oleanderpier.routing.roster import Roster
from oleanderpier.utils import Timers

__all__ = ["Choice", "Chooser", "ServerQuery"]

# Most requests in flight at a server that is chosen for its cache, as a
# multiple of the service's mean and a number beside it: the users' bound of
# twice the mean and three, less what other hosts send between two reports.
LOAD_MULTIPLE = 1.7
LOAD_ALLOWANCE = 2.0
# Requests in flight that a failure rate of 1 counts as.
FAILURE_WEIGHT = 12.0
# Requests in flight that a server of another failure domain counts as having
# beside its own, since traffic between failure domains is dear.
DOMAIN_WEIGHT = 0.5
# Fewer tokens are read again rather than copied: an engine reads 57 of them in
# a millisecond and sets a copy up in 5.3, by the users' figures. Up to a third
# of that is lost by the one request, for engine time that others get.
LEAST_COPIED_TOKENS = 100


# The mean load of a service is taken anew after so long, and after as many
# choices as this part of its servers: by then it has moved by less than one.
MEAN_KEPT_S = 0.05
MEAN_KEPT_SHARE = 0.25


class ServerQuery(NamedTuple):
    """What a request needs of a server.

    Attributes:
        service: The service.
        parts: The parts of its prompt that other requests share, from the
            prompt's start; empty for none.
    """

    service: str
    prefixes: tuple[PromptPrefix, ...] = ()

    @property
    def cache_key(self) -> str:
        """Name the longest shared part, empty for none."""
        return self.prefixes[-1].key if self.prefixes else ""


class Choice(NamedTuple):
    """The server that was chosen and why, for the log.

    Attributes:
        server: The server.
        reason: ``cached`` (it holds the key), ``hashed`` (nobody does),
            ``spilled`` (those who do are over the bound), ``least_loaded`` or
            ``last_resort``.
        load: Requests in flight at it, over all hosts, as known here.
        source: A server that holds more of the prompt's start than the chosen
            one, which can copy it from there; None if there is none.
        load_age_s: The age of the oldest report that the load counts.
        cache_age_s: How long ago the chosen server was last sent the key.
    """

    server: ServerEntry
    reason: str
    load: int
    copy_source: ServerEntry | None = None
    load_age_s: float = 0.0
    cache_age_s: float | None = None


class _ServiceLoad(NamedTuple):
    """A look at all servers of a service, which takes a while where they are many.

    Attributes:
        bound: The most requests in flight at a server chosen for its cache.
        best_rate: The least failure rate of any.
        until_s: When it is too old.
    """

    bound: float
    best_rate: float
    until_s: float


class Chooser:
    """Picks servers and counts this host's requests in flight.

    Args:
        roster: The servers that may be used.
        health: Which of them fail.
        caches: What they have cached.
        failure_domain: Where this host stands.
        count_elsewhere: Returns how many requests the other hosts have in
            flight at a server.
        rng: The source of randomness.
        timers: The timer service.
        get_load_age_s: Returns the age of the oldest report that
            ``count_elsewhere`` counts.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        caches: CacheMap,
        failure_domain: str,
        count_elsewhere: Callable[[str], int],
        rng: random.Random,
        timers: Timers,
        get_load_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._get_load_age_s = get_load_age_s
        self._timers = timers
        self._looks: dict[str, _ServiceLoad] = {}
        self._choices_left: Counter[str] = Counter()
        self._roster = roster
        self._health = health
        self._caches = caches
        self._failure_domain = failure_domain
        self._count_elsewhere = count_elsewhere
        self._rng = rng
        self.in_flight: Counter[str] = Counter()

    def begin_request(self, query: ServerQuery, identity: str) -> None:
        """Count a request that goes to a server."""
        self.in_flight[identity] += 1
        self._health.begin_trial(identity)
        for part in query.prefixes:
            self._caches.record_send(part.key, identity)

    def end_request(self, identity: str) -> None:
        """Count a request of a server as ended."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def choose(self, query: ServerQuery, avoid: Iterable[str] = ()) -> Choice | None:
        """Return the best server for a request, or None if there is none.

        Args:
            query: What the request needs.
            avoid: Ids of servers that were tried before.
        """
        choice = self._choose(query, avoid)
        if choice is None:
            return None
        return choice._replace(
            load_age_s=self._get_load_age_s(),
            cache_age_s=self._caches.get_entry_age_s(
                query.cache_key, choice.server.identity
            ),
        )

    def _choose(self, query: ServerQuery, avoid: Iterable[str]) -> Choice | None:
        """Return the best server, without the ages of what decided."""
        avoided = set(avoid)
        if query.cache_key and not avoided:
            choice = self._choose_holder(query)
            if choice is not None:
                return choice
        known = self._roster.list_usable(query.service)
        fresh = [entry for entry in known if entry.identity not in avoided]
        sound = [
            entry for entry in fresh if not self._health.is_backing_off(entry.identity)
        ]
        servers = sound or fresh or known
        if not servers:
            return None
        loads = {
            entry.identity: self.count_in_flight(entry.identity) for entry in servers
        }
        look = self._look(loads)
        weights = {
            identity: self._weigh(identity, load, look.best_rate)
            for identity, load in loads.items()
        }
        if sound and not avoided:
            self._looks[query.service] = look
            self._choices_left[query.service] = int(MEAN_KEPT_SHARE * len(loads))
        if sound and query.cache_key:
            return self._choose_cached(query, servers, loads, weights, look.bound)
        server = self._pick_lightest(servers, weights)
        reason = "least_loaded" if sound else "last_resort"
        return Choice(server, reason, loads[server.identity])

    def count_in_flight(self, identity: str) -> int:
        """Return the requests in flight at a server, of all hosts."""
        return self.in_flight[identity] + self._count_elsewhere(identity)

    def _choose_holder(self, query: ServerQuery) -> Choice | None:
        """Return a holder of the key without a look at all the other servers.

        None where none is within the bound, or the last look is too old.
        """
        look = self._looks.get(query.service)
        if look is None or self._timers.now() >= look.until_s:
            return None
        if self._choices_left[query.service] <= 0:
            return None
        holders = [
            entry
            for identity in self._caches.list_holders(query.cache_key)
            if (entry := self._roster.get(identity)) is not None
            and entry.service == query.service
            and not entry.leaving
            and not self._health.is_backing_off(identity)
            and self._weigh(identity, self.count_in_flight(identity), look.best_rate)
            <= look.bound
        ]
        if not holders:
            return None
        self._choices_left[query.service] -= 1
        server = _pick_first(query.cache_key, holders)
        return Choice(server, "cached", self.count_in_flight(server.identity))

    def _look(self, loads: dict[str, int]) -> _ServiceLoad:
        """Return what the loads of all servers of a service tell."""
        mean = sum(loads.values()) / len(loads)
        rates = (self._health.get_failure_rate(identity) for identity in loads)
        return _ServiceLoad(
            LOAD_MULTIPLE * mean + LOAD_ALLOWANCE,
            min(rates),
            self._timers.now() + MEAN_KEPT_S,
        )

    def _choose_cached(
        self,
        query: ServerQuery,
        servers: list[ServerEntry],
        loads: dict[str, int],
        weights: dict[str, float],
        bound: float,
    ) -> Choice:
        """Return a server that holds the key, or is next to hold it."""
        open_servers = [entry for entry in servers if weights[entry.identity] <= bound]
        if not open_servers:
            server = self._pick_lightest(servers, weights)
            return Choice(server, "least_loaded", loads[server.identity])
        held = set(self._caches.list_holders(query.cache_key))
        holders = [entry for entry in open_servers if entry.identity in held]
        server = _pick_first(query.cache_key, holders or open_servers)
        reason = "cached" if holders else "spilled" if held else "hashed"
        source = None if holders else self._find_source(query, server)
        return Choice(server, reason, loads[server.identity], source)

    def _find_source(
        self, query: ServerQuery, server: ServerEntry
    ) -> ServerEntry | None:
        """Return a server to copy the longest part from, None if none is worth it."""
        held = {
            part: set(self._caches.list_holders(part.key)) for part in query.prefixes
        }
        kept = max(
            (part.tokens for part in query.prefixes if server.identity in held[part]),
            default=0,
        )
        for part in reversed(query.prefixes):
            if part.tokens - kept < LEAST_COPIED_TOKENS:
                return None
            source = self._pick_source(held[part], server)
            if source is not None:
                return source
        return None

    def _pick_source(
        self, holders: Iterable[str], server: ServerEntry
    ) -> ServerEntry | None:
        """Return a sound server of some, one nearby if there is one."""
        sound = [
            entry
            for identity in sorted(holders)
            if (entry := self._roster.get(identity)) is not None
            and not self._health.is_recovering(identity)
        ]
        return min(
            sound,
            key=lambda entry: entry.failure_domain != server.failure_domain,
            default=None,
        )

    def _pick_lightest(
        self, servers: list[ServerEntry], weights: dict[str, float]
    ) -> ServerEntry:
        def weigh(entry: ServerEntry) -> tuple[float, float]:
            far = entry.failure_domain != self._failure_domain
            return weights[entry.identity] + DOMAIN_WEIGHT * far, self._rng.random()

        return min(servers, key=weigh)

    def _weigh(self, identity: str, load: int, best_rate: float) -> float:
        """Return a server's load, raised where it fails more than the best."""
        rate = self._health.get_failure_rate(identity)
        return load + FAILURE_WEIGHT * (rate - best_rate)


def _pick_first(key: str, servers: list[ServerEntry]) -> ServerEntry:
    """Return the first of some servers in a key's hash order."""
    return min(servers, key=lambda entry: _hash(key, entry.identity))


def _hash(key: str, identity: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{identity}".encode())
