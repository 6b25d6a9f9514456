"""Chooses the backend server of a request.

The choice is designed for these load patterns:

- Many prompts share a prefix: a request goes to a server that has the prefix
  cached, or else to the first server in the rendezvous-hash order of the prefix,
  so that all hosts choose alike without coordination.
- Servers join and leave: cached prefixes stay where they are.
- One prompt gets much of the traffic: consistent hashing with bounded loads. The
  next server in the hash order takes the requests over the load bound.
- Some servers are slow or fail: their recent failures add to their weight.
- All servers are overloaded: the least loaded one gets the request.

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
from oleanderpier.routing.roster import RegistrationChange, Roster
from oleanderpier.utils import Timers

__all__ = ["Choice", "Chooser", "ServerQuery", "ServiceStats"]

# Load bound: a server is chosen for its cache only while its requests in flight
# are at most LOAD_BOUND_FACTOR times the mean of the service plus
# LOAD_BOUND_OFFSET. The users' limit is twice the mean plus three; the margin
# covers what other hosts send between two load reports.
LOAD_BOUND_FACTOR = 1.7
LOAD_BOUND_OFFSET = 2.0
# Weight added to a server whose requests all fail, in requests in flight.
FAILURE_PENALTY = 12.0
# Weight added to a server of another failure domain, in requests in flight,
# because traffic between failure domains is expensive.
DOMAIN_PENALTY = 0.5
# Shorter prefixes are computed again rather than copied. By the users' figures an
# engine reads 57 tokens in 1 ms and sets a copy up in 5.3 ms, so that a request
# breaks even at some 300 tokens. The minimum is a third of that: the request
# itself loses time, but the engine time that the copy saves goes to other requests.
MIN_COPIED_TOKENS = 100


# The statistics of a service are computed again after STATS_LIFETIME_S, or sooner,
# after as many choices as STATS_CHOICES_RATIO times its servers: until then the mean
# load changes by less than one request.
STATS_LIFETIME_S = 0.05
STATS_CHOICES_RATIO = 0.25


class ServerQuery(NamedTuple):
    """What a request requires of a server.

    Attributes:
        service: The name of the service.
        prefixes: The prefixes of its prompt that other requests share, from the
            shortest to the longest; empty if there are none.
    """

    service: str
    prefixes: tuple[PromptPrefix, ...] = ()

    @property
    def cache_key(self) -> str:
        """The key of the longest shared prefix, empty if there is none."""
        return self.prefixes[-1].key if self.prefixes else ""


class ServiceStats(NamedTuple):
    """Statistics over all servers of a service, cached since they cost O(servers).

    Attributes:
        mean_load: Requests in flight per server.
        load_bound: Largest weight of a server that is chosen for its cache, in
            requests in flight.
        min_failure_rate: The lowest failure rate of a server, 0 to 1.
        computed_s: When they were computed, on the monotonic clock.
    """

    mean_load: float
    load_bound: float
    min_failure_rate: float
    computed_s: float


class Choice(NamedTuple):
    """The server that was chosen, and the reason for the log.

    Attributes:
        server: The server.
        reason: ``cached`` (it has the longest shared prefix cached), ``hashed`` (no
            server has), ``spilled`` (the servers that have it are over the load
            bound or get no requests), ``least_loaded`` (there is no shared prefix, or
            all servers are over the bound) or ``last_resort`` (no healthy server is
            left to try).
        load: Requests in flight at it, over all hosts, as known to this host.
        stats: The statistics of the service that the choice used.
        copy_source: A server that has a longer prefix cached, from which the chosen
            server can copy it; None if there is none.
        own_load: The requests of this host in ``load``.
        load_age_s: Age of the oldest load report that was used, in seconds.
        cache_age_s: Seconds since the chosen server was last sent the longest
            shared prefix, None if never.
        server_state: The last change of the server's registration.
        server_state_age_s: Seconds since then.
    """

    server: ServerEntry
    reason: str
    load: int
    stats: ServiceStats
    copy_source: ServerEntry | None = None
    own_load: int = 0
    load_age_s: float = 0.0
    cache_age_s: float | None = None
    server_state: RegistrationChange = RegistrationChange.JOINED
    server_state_age_s: float = 0.0


class Chooser:
    """Chooses servers and counts this host's requests in flight.

    Args:
        roster: The backend servers by service.
        health: Failures and backoff of the servers.
        caches: Which servers have which prefixes cached.
        failure_domain: The failure domain of this host.
        count_remote_load: Returns the number of requests that the other hosts have
            in flight at a server.
        rng: The random number generator that breaks ties.
        timers: The timer service.
        get_load_age_s: Returns the age of the oldest report that
            ``count_remote_load`` counts, in seconds.

    Attributes:
        in_flight: This host's requests in flight, by server id.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        caches: CacheMap,
        failure_domain: str,
        count_remote_load: Callable[[str], int],
        rng: random.Random,
        timers: Timers,
        get_load_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._get_load_age_s = get_load_age_s
        self._timers = timers
        self._service_stats: dict[str, ServiceStats] = {}
        self._stats_choices_left: Counter[str] = Counter()
        self._roster = roster
        self._health = health
        self._caches = caches
        self._failure_domain = failure_domain
        self._count_remote_load = count_remote_load
        self._rng = rng
        self.in_flight: Counter[str] = Counter()

    def begin_request(self, query: ServerQuery, identity: str) -> None:
        """Record that a request is sent to a server."""
        self.in_flight[identity] += 1
        self._health.begin_trial(identity)
        for prefix in query.prefixes:
            self._caches.record_send(prefix.key, identity)

    def end_request(self, identity: str) -> None:
        """Record that a request at a server has ended."""
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def choose(self, query: ServerQuery, avoid: Iterable[str] = ()) -> Choice | None:
        """Return the best server for a request, or None if there is none.

        Args:
            query: What the request requires.
            avoid: Ids of the servers that were tried before; they are chosen only
                if no other is left.
        """
        choice = self._choose_server(query, avoid)
        if choice is None:
            return None
        identity = choice.server.identity
        state, state_since_s = self._roster.get_last_change(identity)
        return choice._replace(
            own_load=self.in_flight[identity],
            load_age_s=self._get_load_age_s(),
            cache_age_s=self._caches.get_entry_age_s(query.cache_key, identity),
            server_state=state,
            server_state_age_s=self._timers.now() - state_since_s,
        )

    def _choose_server(self, query: ServerQuery, avoid: Iterable[str]) -> Choice | None:
        """Return the best server, without the ages of the data behind the choice."""
        avoided = set(avoid)
        if query.cache_key and not avoided:
            choice = self._choose_holder_by_stats(query)
            if choice is not None:
                return choice
        usable = self._roster.list_usable(query.service)
        untried = [entry for entry in usable if entry.identity not in avoided]
        healthy = [
            entry
            for entry in untried
            if not self._health.is_backing_off(entry.identity)
        ]
        servers = healthy or untried or usable
        if not servers:
            return None
        loads = {
            entry.identity: self.count_in_flight(entry.identity) for entry in servers
        }
        stats = self._compute_stats(loads)
        weights = {
            identity: self._compute_weight(identity, load, stats.min_failure_rate)
            for identity, load in loads.items()
        }
        if healthy and not avoided:
            self._service_stats[query.service] = stats
            self._stats_choices_left[query.service] = int(
                STATS_CHOICES_RATIO * len(loads)
            )
        if healthy and query.cache_key:
            return self._choose_within_bound(query, servers, loads, weights, stats)
        server = self._pick_least_weight(servers, weights)
        reason = "least_loaded" if healthy else "last_resort"
        return Choice(server, reason, loads[server.identity], stats)

    def count_in_flight(self, identity: str) -> int:
        """Return the number of requests in flight at a server, of all hosts."""
        return self.in_flight[identity] + self._count_remote_load(identity)

    def _choose_holder_by_stats(self, query: ServerQuery) -> Choice | None:
        """Return a server that has the prefix cached, by the stored statistics.

        This avoids a pass over all servers. None if the statistics have expired, or
        if no healthy holder is within the load bound.
        """
        stats = self._service_stats.get(query.service)
        if stats is None or self._timers.now() >= stats.computed_s + STATS_LIFETIME_S:
            return None
        if self._stats_choices_left[query.service] <= 0:
            return None
        holders = [
            entry
            for identity in self._caches.list_holders(query.cache_key)
            if (entry := self._roster.get_entry(identity)) is not None
            and entry.service == query.service
            and not entry.leaving
            and not self._health.is_backing_off(identity)
            and self._compute_weight(
                identity, self.count_in_flight(identity), stats.min_failure_rate
            )
            <= stats.load_bound
        ]
        if not holders:
            return None
        self._stats_choices_left[query.service] -= 1
        server = _pick_by_hash(query.cache_key, holders)
        return Choice(server, "cached", self.count_in_flight(server.identity), stats)

    def _compute_stats(self, loads: dict[str, int]) -> ServiceStats:
        """Return the statistics of a service from the loads of its servers."""
        mean = sum(loads.values()) / len(loads)
        failure_rates = (self._health.get_failure_rate(identity) for identity in loads)
        return ServiceStats(
            mean,
            LOAD_BOUND_FACTOR * mean + LOAD_BOUND_OFFSET,
            min(failure_rates),
            self._timers.now(),
        )

    def _choose_within_bound(
        self,
        query: ServerQuery,
        servers: list[ServerEntry],
        loads: dict[str, int],
        weights: dict[str, float],
        stats: ServiceStats,
    ) -> Choice:
        """Return a server within the load bound that has the prefix cached.

        If none has, return the first one within the bound in the hash order of the
        prefix; if all are over the bound, the least loaded one.
        """
        below_bound = [
            entry for entry in servers if weights[entry.identity] <= stats.load_bound
        ]
        if not below_bound:
            server = self._pick_least_weight(servers, weights)
            return Choice(server, "least_loaded", loads[server.identity], stats)
        holder_ids = set(self._caches.list_holders(query.cache_key))
        holders = [entry for entry in below_bound if entry.identity in holder_ids]
        server = _pick_by_hash(query.cache_key, holders or below_bound)
        reason = "cached" if holders else "spilled" if holder_ids else "hashed"
        copy_source = None if holders else self._find_copy_source(query, server)
        return Choice(server, reason, loads[server.identity], stats, copy_source)

    def _find_copy_source(
        self, query: ServerQuery, server: ServerEntry
    ) -> ServerEntry | None:
        """Return the server to copy the longest possible prefix from.

        None if a copy would save fewer than ``MIN_COPIED_TOKENS``, or if no healthy
        server has such a prefix cached.
        """
        holders = {
            prefix: set(self._caches.list_holders(prefix.key))
            for prefix in query.prefixes
        }
        held_tokens = max(
            (
                prefix.tokens
                for prefix in query.prefixes
                if server.identity in holders[prefix]
            ),
            default=0,
        )
        for prefix in reversed(query.prefixes):
            if prefix.tokens - held_tokens < MIN_COPIED_TOKENS:
                return None
            copy_source = self._pick_nearest_healthy(holders[prefix], server)
            if copy_source is not None:
                return copy_source
        return None

    def _pick_nearest_healthy(
        self, holders: Iterable[str], server: ServerEntry
    ) -> ServerEntry | None:
        """Return a healthy holder, preferably of the server's failure domain."""
        healthy = [
            entry
            for identity in sorted(holders)
            if (entry := self._roster.get_entry(identity)) is not None
            and not self._health.is_recovering(identity)
        ]
        return min(
            healthy,
            key=lambda entry: entry.failure_domain != server.failure_domain,
            default=None,
        )

    def _pick_least_weight(
        self, servers: list[ServerEntry], weights: dict[str, float]
    ) -> ServerEntry:
        """Return the server of least weight, nearby ones first, ties at random."""

        def order(entry: ServerEntry) -> tuple[float, float]:
            remote = entry.failure_domain != self._failure_domain
            return weights[entry.identity] + DOMAIN_PENALTY * remote, self._rng.random()

        return min(servers, key=order)

    def _compute_weight(
        self, identity: str, load: int, min_failure_rate: float
    ) -> float:
        """Return a server's load plus a penalty for failing more than the best one."""
        failure_rate = self._health.get_failure_rate(identity)
        return load + FAILURE_PENALTY * (failure_rate - min_failure_rate)


def _pick_by_hash(key: str, servers: list[ServerEntry]) -> ServerEntry:
    """Return the first server in the rendezvous-hash order of a key."""
    return min(servers, key=lambda entry: _score_server(key, entry.identity))


def _score_server(key: str, identity: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{identity}".encode())
