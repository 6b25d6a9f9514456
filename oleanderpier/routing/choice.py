"""Chooses the backend server of a request.

The choice is designed for these load patterns:

- Many prompts share a prefix: a request goes to a server that has the prefix
  cached, or else to the first server in the rendezvous-hash order of the prefix,
  so that all hosts choose alike without coordination.
- Servers join and leave: cached prefixes stay where they are.
- One prompt gets much of the traffic: consistent hashing with bounded loads. The
  next server in the hash order takes the requests over the load limit, and the
  servers that have the prompt cached share its requests.
- Many hosts choose by the same loads, which are older than many requests take: the
  older they are, the further below the load limit has a server to be, and equally
  good servers are chosen at random.
- Some servers are slow or fail: their recent failures add to their weight.
- Servers leave or ask for time: they get no requests, whatever else speaks for them.
- Servers name a limit: the others serve what these do not take, up to what they run at
  a time. More would wait there until callers have given up.
- All servers are overloaded: the least loaded one gets the request.

References:
    V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
    bounded loads", SODA 2018.
"""

import random
from collections import Counter
from collections.abc import Iterable, Mapping

from oleanderpier.routing.caches import CacheMap
from oleanderpier.routing.copy_sources import CopySources
from oleanderpier.routing.cost_choice import CostChooser
from oleanderpier.routing.eligibility import (
    Eligibility,
    EvacuatedServer,
    Restrictions,
)
from oleanderpier.routing.evacuations import Evacuations
from oleanderpier.routing.health import ServerHealth
from oleanderpier.routing.load_model import (
    DEFAULT_LOAD_LIMIT_FACTOR,
    LoadModel,
    RemoteLoads,
    ServiceStats,
)
from oleanderpier.routing.prefill_choice import PrefillChoice, Replacement
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.requirements import Choice, ServerQuery
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["Chooser"]

# Weight added to a server of another failure domain, in requests in flight,
# because traffic between failure domains is expensive.
DOMAIN_PENALTY = 0.5
# The statistics of a service are computed again after STATS_LIFETIME_S, or sooner,
# after as many choices as STATS_CHOICES_RATIO times its servers: until then the mean
# load changes by less than one request.
STATS_LIFETIME_S = 0.05
STATS_CHOICES_RATIO = 0.25


class Chooser:
    """Chooses servers and counts this host's requests in flight.

    Args:
        roster: The backend servers by service.
        health: Failures and backoff of the servers.
        caches: Which servers have which prefixes cached.
        failure_domain: The failure domain of this host.
        remote_loads: The requests in flight of the other hosts.
        rng: The random number generator that breaks ties.
        timers: The timer service.
        load_limit_factor: The users' limit on a server's requests in flight, as a
            multiple of the mean of its service.
        statements: What the servers have said of whether they want requests.
        evacuations: The evacuated failure domains.
        regions: The region of each failure domain.

    Attributes:
        in_flight: This host's requests in flight, by server id.
        costs: Chooses the servers of services under permits.
        prefill_choice: Prefers servers that are reading no long prompt.
    """

    def __init__(
        self,
        roster: Roster,
        health: ServerHealth,
        caches: CacheMap,
        failure_domain: str,
        remote_loads: RemoteLoads,
        rng: random.Random,
        timers: Timers,
        load_limit_factor: float = DEFAULT_LOAD_LIMIT_FACTOR,
        statements: ServerStatements | None = None,
        evacuations: Evacuations | None = None,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._timers = timers
        self._service_stats: dict[str, ServiceStats] = {}
        self._stats_choices_left: Counter[str] = Counter()
        self._roster = roster
        self._health = health
        self._caches = caches
        self._failure_domain = failure_domain
        self._rng = rng
        self._statements = statements or ServerStatements()
        self._model = LoadModel(roster, health, remote_loads, timers, load_limit_factor)
        self.in_flight = self._model.in_flight
        self._evacuations = Evacuations(timers) if evacuations is None else evacuations
        self._eligibility = Eligibility(
            roster,
            health,
            self._statements,
            timers,
            self.count_in_flight,
            self._evacuations,
            regions or {},
        )
        self._copy_sources = CopySources(roster, health, caches, self._eligibility)
        self.costs = CostChooser(
            roster,
            caches,
            self._eligibility,
            self._model,
            self._statements,
            failure_domain,
            self._copy_sources.pick_nearest,
            rng,
            timers,
        )
        self.prefill_choice = PrefillChoice(
            self._statements, caches, self.costs.prefill_times, timers
        )

    def begin_request(self, query: ServerQuery, identity: str) -> None:
        """Record that a request is sent to a server."""
        self.in_flight[identity] += 1
        self._health.begin_trial(identity)
        for prefix in query.prefixes:
            self._caches.record_send(prefix.key, identity)

    def end_request(self, identity: str, took_s: float | None = None) -> None:
        """Record that a request at a server has ended.

        Args:
            identity: The server's id.
            took_s: The seconds that it was in flight; None if that is not known.
        """
        entry = self._roster.get_entry(identity)
        if entry is not None and took_s is not None:
            self._model.residence_times.record_duration(entry.service, took_s)
        self.in_flight[identity] -= 1
        if self.in_flight[identity] <= 0:
            del self.in_flight[identity]

    def choose(
        self,
        query: ServerQuery,
        avoid: Iterable[str] = (),
        excluded: Iterable[str] = (),
    ) -> Choice | None:
        """Return the best server for a request, or None if there is none.

        Args:
            query: What the request requires.
            avoid: Ids of the servers that were tried before; they are chosen only
                if no other is left.
            excluded: Ids of the servers that refused the request; they are never
                chosen.
        """
        choice = self._choose_server(query, set(avoid), frozenset(excluded))
        if choice is None:
            return None
        identity = choice.server.identity
        state, state_since_s = self._roster.get_last_change(identity)
        # Not by ``_replace``, which takes twice as long.
        return Choice(
            choice.server,
            choice.reason,
            choice.load,
            choice.stats,
            choice.copy_source,
            own_load=self.in_flight.get(identity, 0),
            load_age_s=self._model.get_age_s(),
            cache_age_s=self._caches.get_entry_age_s(query.cache_key, identity),
            server_state=state,
            server_state_age_s=self._timers.now() - state_since_s,
            limit=self._statements.get_limit(choice.server),
            evacuated=self._find_evacuated_holder(query),
            uncached_tokens=self.prefill_choice.count_uncached(query, choice),
            cost=choice.cost,
            left=choice.left,
        )

    def has_left(self, server: ServerEntry) -> bool:
        """Return whether a server leaves or is evacuated since it was chosen."""
        return self._eligibility.has_left(server)

    def confirm_source(self, choice: Choice) -> Choice:
        """Return a choice without its copy source if that is evacuated by now."""
        source = choice.copy_source
        if source is None or self._eligibility.may_be_source(source):
            return choice
        return choice._replace(copy_source=None)

    def has_other(self, query: ServerQuery, tried: Iterable[str]) -> bool:
        """Return whether a healthy server is left besides those that were tried."""
        untried = self._eligibility.list_eligible(
            query.service, Restrictions(frozenset(tried), regions=query.regions)
        )
        return bool(self._eligibility.list_healthy(untried))

    def has_stood_still(self) -> bool:
        """Return whether this host chooses no server, since it just stood still."""
        return self._evacuations.are_unconfirmed()

    def get_shortest_wait_s(self, query: ServerQuery) -> float | None:
        """Return after how long the first server of a service wants requests.

        None if it has no servers that the request may reach, or if all of them leave.
        """
        restrictions = Restrictions(regions=query.regions)
        servers = [
            entry
            for entry in self._roster.list_usable(query.service)
            if self._eligibility.may_be_reached(entry, restrictions)
        ]
        return self._statements.get_shortest_wait_s(servers, self._timers.now())

    def find_evacuated(
        self, query: ServerQuery, excluded: Iterable[str] = ()
    ) -> EvacuatedServer | None:
        """Return a server that would get a request if there were no evacuation.

        Args:
            query: What the request requires.
            excluded: Ids of the servers that refused the request.
        """
        return self._eligibility.find_evacuated(
            self._roster.list_usable(query.service),
            Restrictions(frozenset(excluded), regions=query.regions),
        )

    def _find_evacuated_holder(self, query: ServerQuery) -> EvacuatedServer | None:
        """Return an evacuated server that has the longest shared prefix cached."""
        if not self._evacuations or not query.cache_key:
            return None
        return self._eligibility.find_evacuated(
            self._list_holders(query), Restrictions(regions=query.regions)
        )

    def _list_holders(self, query: ServerQuery) -> list[ServerEntry]:
        """Return the servers of a service that have the longest prefix cached."""
        return [
            entry
            for identity in self._caches.list_holders(query.cache_key)
            if (entry := self._roster.get_entry(identity)) is not None
            and entry.service == query.service
        ]

    def _choose_server(
        self, query: ServerQuery, avoided: set[str], excluded: frozenset[str]
    ) -> Choice | None:
        """Return the best server, without the ages of the data behind the choice."""
        under_permits = self._statements.loads.is_under_permits(query.service)
        if query.cache_key and not (avoided or under_permits):
            choice = self._choose_holder_by_stats(query, excluded)
            if choice is not None:
                return choice
        registered = self._roster.list_registered(query.service)
        excludes_full = not avoided and self._statements.has_limited(registered)
        restrictions = Restrictions(excluded, excludes_full, query.regions)
        if under_permits:
            choice = self.costs.choose(query, avoided, restrictions)
            if choice is not None:
                return choice
        usable = self._eligibility.list_eligible(query.service, restrictions)
        untried = [entry for entry in usable if entry.identity not in avoided]
        healthy = self._eligibility.list_healthy(untried)
        servers = healthy or untried or usable
        if not servers:
            return None
        stats = self._model.compute_stats(query.service, servers, self._statements)
        if healthy and not avoided:
            self._service_stats[query.service] = stats
            self._stats_choices_left[query.service] = int(
                STATS_CHOICES_RATIO * len(servers)
            )
        weights = self._compute_weights(servers, stats)
        if healthy and query.cache_key:
            choice = self._choose_by_prefix(query, servers, weights, stats)
            if choice is not None:
                return choice
        server = self._pick_least_loaded(servers, weights, stats)
        reason = "least_loaded" if healthy else "last_resort"
        may_copy = bool(healthy) and stats.is_uneven
        copy_source = self._copy_sources.find(query, server) if may_copy else None
        return self._make_choice(server, reason, stats, copy_source)

    def count_in_flight(self, identity: str) -> int:
        """Return the number of requests in flight at a server, of all hosts."""
        return self._model.count_in_flight(identity)

    def _make_choice(
        self,
        server: ServerEntry,
        reason: str,
        stats: ServiceStats,
        copy_source: ServerEntry | None = None,
    ) -> Choice:
        load = self.count_in_flight(server.identity)
        return Choice(server, reason, load, stats, copy_source)

    def _compute_weights(
        self, servers: list[ServerEntry], stats: ServiceStats
    ) -> dict[str, float]:
        return {
            entry.identity: self._model.compute_weight(entry.identity, stats)
            for entry in servers
        }

    def _list_below_limit(
        self,
        servers: list[ServerEntry],
        weights: dict[str, float],
        stats: ServiceStats,
    ) -> list[ServerEntry]:
        """Return the servers that one more request hardly puts over the load limit."""
        return [
            entry
            for entry in servers
            if weights[entry.identity]
            + self._model.compute_margin(entry.identity, stats)
            + 1.0
            <= stats.load_limit
        ]

    def _choose_holder_by_stats(
        self, query: ServerQuery, excluded: frozenset[str]
    ) -> Choice | None:
        """Return a server that has the prefix cached, by the stored statistics.

        This avoids a pass over all servers. None if the statistics have expired, or
        if no healthy holder is within the load limit.
        """
        stats = self._service_stats.get(query.service)
        if stats is None or self._timers.now() >= stats.computed_s + STATS_LIFETIME_S:
            return None
        if self._stats_choices_left[query.service] <= 0:
            return None
        restrictions = Restrictions(excluded, stats.has_limits, query.regions)
        holders = self._eligibility.list_allowed(
            self._list_holders(query), restrictions
        )
        weights = self._compute_weights(holders, stats)
        below_limit = self._list_below_limit(holders, weights, stats)
        if not below_limit:
            return None
        holder = self._pick_by_headroom(below_limit, weights, stats)
        usable = self._roster.list_usable(query.service)
        chosen = self.prefill_choice.replace_holder(query, holder, usable)
        if chosen.left is not None:
            others = self._eligibility.list_allowed([chosen.server], restrictions)
            weights = self._compute_weights(others, stats)
            if not self._list_below_limit(others, weights, stats):
                return None
        self._stats_choices_left[query.service] -= 1
        return self._make_choice_by_prefix(query, chosen, stats)

    def _choose_by_prefix(
        self,
        query: ServerQuery,
        servers: list[ServerEntry],
        weights: dict[str, float],
        stats: ServiceStats,
    ) -> Choice | None:
        """Return a server below the load limit that has the prefix cached.

        If none has, return the first one below the limit in the hash order of the
        prefix, or None if there is none.
        """
        below_limit = self._list_below_limit(servers, weights, stats)
        if not below_limit:
            return None
        holder_ids = set(self._caches.list_holders(query.cache_key))
        holders = [entry for entry in below_limit if entry.identity in holder_ids]
        if holders:
            holder = self._pick_by_headroom(holders, weights, stats)
            chosen = self.prefill_choice.replace_holder(query, holder, below_limit)
        else:
            chosen = self.prefill_choice.pick_hashed(query, below_limit)
        return self._make_choice_by_prefix(query, chosen, stats)

    def _make_choice_by_prefix(
        self, query: ServerQuery, chosen: Replacement, stats: ServiceStats
    ) -> Choice:
        key, server = query.cache_key, chosen.server
        if self._caches.holds(key, server.identity):
            return self._make_choice(server, "cached", stats)
        reason = "spilled" if self._caches.list_holders(key) else "hashed"
        copy_source = self._copy_sources.find(query, server)
        choice = self._make_choice(server, reason, stats, copy_source)
        return choice._replace(left=chosen.left)

    def _pick_by_headroom(
        self,
        servers: list[ServerEntry],
        weights: dict[str, float],
        stats: ServiceStats,
    ) -> ServerEntry:
        """Return one of several servers, at random in proportion to its headroom.

        If all hosts chose the same one until their loads show that it is full, it
        would get too many requests in the meantime. In proportion to the headroom, a
        server's rate changes less than its load does, so that the loads do not
        oscillate, however old they are. All servers must be below the limit.
        """
        servers = self.prefill_choice.list_idle(servers)
        if len(servers) == 1:
            return servers[0]
        headrooms = [stats.load_limit - weights[entry.identity] for entry in servers]
        return self._rng.choices(servers, headrooms)[0]

    def _pick_least_loaded(
        self,
        servers: list[ServerEntry],
        weights: dict[str, float],
        stats: ServiceStats,
    ) -> ServerEntry:
        """Return a server with a low load, nearby ones preferred, ties at random.

        It is the least loaded one only if the loads are known exactly, for the reason
        given in ``_pick_by_headroom``.
        """
        order = {
            entry.identity: weights[entry.identity]
            + DOMAIN_PENALTY * (entry.failure_domain != self._failure_domain)
            for entry in servers
        }
        least = min(order.values())
        prefer = self.prefill_choice.list_soonest
        if stats.survival == 1.0:
            equal = [entry for entry in servers if order[entry.identity] == least]
            return self._rng.choice(prefer(equal, stats.mean_load))
        below_limit = [
            entry for entry in servers if order[entry.identity] + 1 <= stats.load_limit
        ]
        if below_limit:
            chosen = prefer(below_limit, stats.mean_load)
            return self._pick_by_headroom(chosen, order, stats)
        shares = [1 / (1 + order[entry.identity] - least) for entry in servers]
        return self._rng.choices(servers, shares)[0]
