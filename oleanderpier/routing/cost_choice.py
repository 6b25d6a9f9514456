"""Chooses servers of services under permits by what the choice costs the caller.

The module addresses these load patterns:

- Bursts: the servers that have a hot prompt cached are full, while others have free
  slots.
- Machines of uneven speed.
- Many hosts choose by loads that are 1 to 2 s old: equally good servers are chosen at
  random, and the wait at a server is that at the highest load that is likely.
- Calm traffic: requests stay with the servers that have their prompt cached.

A choice looks at a bounded number of servers, since a comparison of all 150 would take
too long: those that have the prompt cached, the first ones in the hash order of the
prompt, and some at random.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

from oleanderpier.routing.cache_copies import NO_COPY, CacheCopies, PickCopySource
from oleanderpier.routing.caches import CacheMap
from oleanderpier.routing.costs import (
    DEFAULT_HELD_S,
    MILLISECONDS_PER_S,
    CopyCosts,
    PrefillEstimate,
    PrefillTimes,
    ServerCost,
    compute_slot_wait_ms,
    compute_usable_slots,
    is_calm_holder,
    list_cheapest,
    pick_by_room,
)
from oleanderpier.routing.eligibility import (
    NO_RESTRICTIONS,
    Eligibility,
    Restrictions,
)
from oleanderpier.routing.hash_order import HashOrders
from oleanderpier.routing.load_model import LoadModel, ServiceStats
from oleanderpier.routing.records import ServerEntry, ServiceEntry
from oleanderpier.routing.requirements import Choice, ServerQuery
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["CostChooser"]

# Interval of the statistics over all servers of a service. The loads behind them are
# 1 to 2 s old.
STATS_INTERVAL_S = 0.25
# Servers that have the prompt cached, or are chosen at random, that are compared.
MAX_HOLDERS = 3
# How many times as many are looked at for those that may get the request.
HOLDERS_SEARCH_RATIO = 3
RANDOM_CANDIDATES = 4
# Servers that are compared if only few may get the request.
MAX_OTHERS = 20
# The first servers in the hash order that are compared. A prompt spreads to them while
# those that have it cached have no room: they are few, so that it is read again seldom,
# and several, since all hosts spread it at once.
HASH_CANDIDATES = 3
# Room that a server of another failure domain has to have more, in requests.
DOMAIN_PENALTY = 0.5


class _Inputs(NamedTuple):
    """What the costs of all servers in one choice have in common.

    Attributes:
        query: What the request requires.
        avoided: Ids of the servers that were tried before.
        restrictions: What the request excludes.
        cache_key: The key of the longest shared prefix, empty if there is none.
        is_held: Whether a server has the longest shared prefix cached.
        holder_loads: The load and the margin of the servers that have the longest
            prefix cached that any server has, by id.
        holder_tokens: The tokens of that prefix if it is the longest shared one, which
            those servers then have cached; else 0.
        shared_tokens: The tokens of the longest shared prefix.
        total_tokens: The tokens of the whole prompt.
        shared_load: The mean load of the servers that have the prompt cached.
        stats: The statistics of the service.
        estimate: How long the service takes to read a prompt.
        copy_costs: What copying takes, None if unknown.
        work_ms: The time until the first event, without the shared tokens.
        held_s: Mean time that a request is at a server, in seconds.
        now_s: The time.
    """

    query: ServerQuery
    avoided: Collection[str]
    restrictions: Restrictions
    cache_key: str
    is_held: bool
    holder_loads: dict[str, tuple[float, float]]
    holder_tokens: int
    shared_tokens: int
    total_tokens: int
    shared_load: float
    stats: ServiceStats
    estimate: PrefillEstimate
    copy_costs: CopyCosts | None
    work_ms: float
    held_s: float
    now_s: float


class CostChooser:
    """Chooses servers by their costs.

    Args:
        roster: The backend servers by service.
        caches: Which servers have which prefixes cached.
        eligibility: Which servers may get a request.
        model: The loads of the servers.
        statements: What the servers have stated.
        failure_domain: The failure domain of this host.
        pick_copy_source: Picks the server to copy from.
        rng: The random number generator that chooses among equal servers.
        timers: The timer service.

    Attributes:
        prefill_times: How long services take until the first event.
    """

    def __init__(
        self,
        roster: Roster,
        caches: CacheMap,
        eligibility: Eligibility,
        model: LoadModel,
        statements: ServerStatements,
        failure_domain: str,
        pick_copy_source: PickCopySource,
        rng: random.Random,
        timers: Timers,
    ) -> None:
        self.prefill_times = PrefillTimes()
        self._roster = roster
        self._caches = caches
        self._eligibility = eligibility
        self._model = model
        self._statements = statements
        self._failure_domain = failure_domain
        self._copies = CacheCopies(caches, pick_copy_source)
        self._rng = rng
        self._timers = timers
        self._stats: dict[str, ServiceStats] = {}
        self._hash_orders = HashOrders()

    def update_services(self, services: tuple[ServiceEntry, ...]) -> None:
        """Apply the services of the configuration whose cold servers have limits.

        If there is one, all services of the configuration are under permits.
        """
        self._statements.loads.set_all_under_permits(bool(services))
        self._copies.update_services(services)

    def choose(
        self,
        query: ServerQuery,
        avoided: Collection[str] = (),
        restrictions: Restrictions = NO_RESTRICTIONS,
    ) -> Choice | None:
        """Return the server that costs least, None if no untried one is healthy.

        Args:
            query: What the request requires.
            avoided: Ids of the servers that were tried before.
            restrictions: What the request excludes.
        """
        usable = self._roster.list_usable(query.service)
        if not usable:
            return None
        holders, holder_tokens = self._find_holders(query, restrictions)
        inputs = self._collect_inputs(
            query, avoided, restrictions, usable, holders, holder_tokens
        )
        costs = self._compute_costs(holders, inputs)
        for cost in costs:
            if is_calm_holder(cost):
                break
        else:
            costs = self._compare_others(holders, costs, inputs, usable)
        if not costs:
            return None
        reason, cheapest = _narrow(list_cheapest(costs), inputs)
        cost = pick_by_room(cheapest, self._rng)
        held_tokens, copy = inputs.shared_tokens, NO_COPY
        if not cost.holds_prompt:
            held_tokens = self._count_held(cost.server, query)
            copy = self._copies.plan(query, cost, held_tokens, inputs.estimate)
        uncached_tokens = inputs.total_tokens - held_tokens - copy.tokens
        return Choice(
            cost.server,
            reason,
            self._model.count_in_flight(cost.server.identity),
            inputs.stats,
            copy.source,
            uncached_tokens=uncached_tokens,
            cost=cost,
        )

    def _compare_others(
        self,
        holders: list[ServerEntry],
        costs: list[ServerCost],
        inputs: _Inputs,
        usable: list[ServerEntry],
    ) -> list[ServerCost]:
        """Return the costs of holders and of others, the first in hash order first.

        Args:
            holders: Servers that have the prompt cached.
            costs: Their costs.
            inputs: What the costs have in common.
            usable: All servers of the service.
        """
        seen = {entry.identity for entry in holders}
        for servers in (
            self._list_hashed(inputs.query, usable),
            self._sample(usable),
        ):
            others = [entry for entry in servers if entry.identity not in seen]
            costs = costs + self._compute_allowed_costs(others, inputs)
            if any(cost.is_free and not cost.holds_prompt for cost in costs):
                return costs
            seen.update(entry.identity for entry in others)
        if len(costs) < RANDOM_CANDIDATES:
            # Few of the servers may get the request, so that the samples missed them.
            eligible = self._eligibility.list_eligible(
                inputs.query.service, inputs.restrictions
            )
            others = [entry for entry in eligible if entry.identity not in seen]
            costs = costs + self._compute_allowed_costs(others[:MAX_OTHERS], inputs)
        return costs

    def record_first_event(self, choice: Choice, took_s: float) -> None:
        """Record the time until the first event of a request.

        A request that may have waited for a slot tells nothing of the speed: the server
        had requests waiting when it responded. Neither does one that waited for a copy.

        Args:
            choice: The choice of the server.
            took_s: The time since the request was sent, in seconds.
        """
        heard = self._statements.loads.get(choice.server)
        is_alike = heard is not None and not heard.load.waiting
        is_uneven = self._statements.loads.is_uneven(choice.server.service)
        if not is_uneven or choice.copy_source is not None or not is_alike:
            return
        self.prefill_times.record(
            choice.server.service,
            choice.uncached_tokens,
            MILLISECONDS_PER_S * took_s / (heard.load.slow_factor or 1.0),
        )

    def _collect_inputs(
        self,
        query: ServerQuery,
        avoided: Collection[str],
        restrictions: Restrictions,
        usable: list[ServerEntry],
        holders: list[ServerEntry],
        holder_tokens: int,
    ) -> _Inputs:
        """Return what the costs of all servers have in common."""
        stats = self._stats.get(query.service)
        if stats is None:
            if not self._stats:
                self._timers.subscribe(STATS_INTERVAL_S, self._update_stats)
            stats = self._model.compute_stats(query.service, usable, self._statements)
            self._stats[query.service] = stats
        held_s = self._model.residence_times.get_mean_s(query.service)
        estimate = self.prefill_times.estimate(query.service)
        base_ms = estimate.base_ms
        if not query.prompt_tokens:
            # The response begins when the work is done.
            base_ms = (held_s or 0.0) * MILLISECONDS_PER_S
        shared_tokens = query.shared_tokens
        total_tokens = query.total_tokens
        key = query.cache_key
        holder_loads = self._model.compute_loads(
            [entry.identity for entry in holders], stats
        )
        shared_load = self._estimate_shared_load(
            holder_loads, stats.load_limit, key, restrictions.excluded
        )
        return _Inputs(
            query,
            avoided,
            restrictions,
            key,
            bool(holder_tokens or self._caches.list_holders(key)),
            holder_loads,
            holder_tokens,
            shared_tokens,
            total_tokens,
            shared_load,
            stats,
            estimate,
            self._copies.get_costs(query.service),
            base_ms + estimate.compute_ms(total_tokens - shared_tokens),
            DEFAULT_HELD_S if held_s is None else held_s,
            self._timers.now(),
        )

    def _update_stats(self) -> None:
        """Compute the statistics of the services that were chosen from."""
        for service in list(self._stats):
            usable = self._roster.list_usable(service)
            if usable:
                self._stats[service] = self._model.compute_stats(
                    service, usable, self._statements
                )

    def _find_holders(
        self, query: ServerQuery, restrictions: Restrictions
    ) -> tuple[list[ServerEntry], int]:
        """Return servers that have the longest prefix cached that any server has.

        They may get the request. The second figure is the tokens of that prefix if it
        is the longest shared one, else 0.
        """
        get_entry, service = self._roster.get_entry, query.service
        for prefix in reversed(query.prefixes):
            identities = self._caches.list_holders(prefix.key)
            if len(identities) > MAX_HOLDERS:
                first = self._rng.randrange(len(identities))
                identities = identities[first:] + identities[:first]
            # The first ones suffice unless some of them may not get the request.
            for count in (MAX_HOLDERS, HOLDERS_SEARCH_RATIO * MAX_HOLDERS):
                holders = [
                    entry
                    for identity in identities[:count]
                    if (entry := get_entry(identity)) is not None
                    and entry.service == service
                ]
                allowed = self._eligibility.list_allowed(holders, restrictions)
                if len(allowed) >= MAX_HOLDERS or count >= len(identities):
                    break
            if allowed:
                is_longest = prefix is query.prefixes[-1]
                return allowed[:MAX_HOLDERS], prefix.tokens if is_longest else 0
        return [], 0

    def _list_hashed(
        self, query: ServerQuery, usable: list[ServerEntry]
    ) -> list[ServerEntry]:
        """Return the first servers in the hash order of the longest shared prefix."""
        key = query.cache_key
        if not key:
            return []
        first = self._hash_orders.list_first(key, usable, HASH_CANDIDATES)
        entries = (self._roster.get_entry(identity) for identity in first)
        return [entry for entry in entries if entry is not None]

    def _sample(self, usable: list[ServerEntry]) -> list[ServerEntry]:
        """Return some servers at random."""
        return self._rng.sample(usable, min(RANDOM_CANDIDATES, len(usable)))

    def _estimate_shared_load(
        self,
        holder_loads: dict[str, tuple[float, float]],
        load_limit: float,
        key: str,
        excluded: Collection[str],
    ) -> float:
        """Return the mean load of the servers that have a prompt cached.

        They share its requests: until the loads show it, all hosts send these to the
        one that seems to have most room. Those that refused the request count as full.

        Args:
            holder_loads: The loads of servers that have the prompt cached.
            load_limit: The load limit of the service.
            key: The key of the prompt.
            excluded: Ids of the servers that refused the request.
        """
        loads = [load for load, _ in holder_loads.values()]
        if excluded:
            loads += [
                self._statements.get_slots(entry)
                for identity in excluded
                if self._caches.holds(key, identity)
                and (entry := self._roster.get_entry(identity)) is not None
            ]
        if not loads:
            return 0.0
        mean = sum(loads) / len(loads)
        return mean if mean < load_limit else load_limit

    def _compute_allowed_costs(
        self, servers: list[ServerEntry], inputs: _Inputs
    ) -> list[ServerCost]:
        """Return the costs of those of several servers that may get the request."""
        allowed = self._eligibility.list_allowed(servers, inputs.restrictions)
        return self._compute_costs(allowed, inputs)

    def _compute_costs(
        self, servers: list[ServerEntry], inputs: _Inputs
    ) -> list[ServerCost]:
        """Return the costs of those of several servers that were not tried before."""
        stats, avoided, shared_load = inputs.stats, inputs.avoided, inputs.shared_load
        load_limit, held_s, work_ms = stats.load_limit, inputs.held_s, inputs.work_ms
        holder_loads, holder_tokens = inputs.holder_loads, inputs.holder_tokens
        own_domain, now_s = self._failure_domain, inputs.now_s
        get_slow_factor = self._statements.loads.get_slow_factor
        get_slots = self._statements.get_slots
        costs = []
        for server in servers:
            identity = server.identity
            if identity in avoided:
                continue
            slow_factor = get_slow_factor(server, now_s)
            slots = compute_usable_slots(get_slots(server), slow_factor)
            known_load = holder_loads.get(identity)
            load, margin = known_load or self._model.compute_load(identity, stats)
            is_over_limit = load + margin + 1.0 > load_limit
            holds_prompt, missing_ms = False, 0.0
            if known_load is not None and holder_tokens:
                holds_prompt = True
            elif inputs.cache_key:
                missing_ms = self._compute_missing_ms(server, inputs, slow_factor)
                holds_prompt = missing_ms is None
            expected_load = load
            if holds_prompt:
                missing_ms = 0.0
                if shared_load > load:
                    expected_load = shared_load
            wait_ms, highest_load = 0.0, expected_load + margin
            if highest_load + 1.0 > slots:
                wait_ms = compute_slot_wait_ms(highest_load, slots, held_s)
            if server.failure_domain != own_domain:
                load += DOMAIN_PENALTY
            costs.append(
                ServerCost(
                    server,
                    load,
                    slots if slots < load_limit else load_limit,
                    expected_load + 1.0 <= slots and not is_over_limit,
                    is_over_limit,
                    holds_prompt,
                    slow_factor,
                    wait_ms,
                    slow_factor * work_ms,
                    missing_ms,
                )
            )
        return costs

    def _compute_missing_ms(
        self, server: ServerEntry, inputs: _Inputs, slow_factor: float
    ) -> float | None:
        """Return the time to read or copy the shared tokens that a server lacks.

        None if it has the longest shared prefix cached.
        """
        missing_tokens = inputs.shared_tokens - self._count_held(server, inputs.query)
        if not missing_tokens:
            return None
        missing_ms = slow_factor * inputs.estimate.compute_ms(missing_tokens)
        if inputs.is_held and inputs.copy_costs is not None:
            copy_ms = inputs.copy_costs.compute_ms(missing_tokens)
            missing_ms = min(missing_ms, copy_ms)
        return missing_ms

    def _count_held(self, server: ServerEntry, query: ServerQuery) -> int:
        """Return the tokens of the longest prefix that a server has cached."""
        for prefix in reversed(query.prefixes):
            if self._caches.holds(prefix.key, server.identity):
                return prefix.tokens
        return 0


def _narrow(
    cheapest: list[ServerCost], inputs: _Inputs
) -> tuple[str, list[ServerCost]]:
    """Return the reason of a choice, and the servers that are left to choose from.

    Args:
        cheapest: The servers that cost nearly the least; those first in the hash order
            of the prompt come first.
        inputs: What the costs have in common.
    """
    if not inputs.cache_key:
        return "least_loaded", cheapest
    holders = [cost for cost in cheapest if cost.holds_prompt]
    if holders:
        return "cached", holders
    if not any(cost.is_free for cost in cheapest):
        return "least_loaded", cheapest
    if inputs.is_held:
        return "spilled", cheapest[:HASH_CANDIDATES]
    # As long as no server has the prompt, all hosts send it to the same one.
    return "hashed", cheapest[:1]
