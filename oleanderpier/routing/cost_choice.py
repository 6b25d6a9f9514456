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
from collections.abc import Callable, Collection, Iterable
from itertools import islice
from typing import NamedTuple

from oleanderpier.routing.caches import CacheMap
from oleanderpier.routing.choice_records import Choice, ServerQuery
from oleanderpier.routing.costs import (
    DEFAULT_HELD_S,
    MILLISECONDS_PER_S,
    CopyCosts,
    PrefillEstimate,
    PrefillTimes,
    ServerCost,
    compute_slot_wait_ms,
    compute_usable_slots,
    list_cheapest,
    pick_by_room,
)
from oleanderpier.routing.eligibility import (
    NO_RESTRICTIONS,
    Eligibility,
    Restrictions,
)
from oleanderpier.routing.hash_order import score_server
from oleanderpier.routing.load_model import LoadModel, ServiceStats
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.roster import Roster
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["CostChooser"]

# The mean load of a service changes little in this time, and the loads behind it are
# reported less often.
STATS_LIFETIME_S = 0.2
# Servers that have the prompt cached, or are chosen at random, that are compared.
MAX_HOLDERS = 10
RANDOM_CANDIDATES = 8
# Servers that a prompt spreads to while those that have it cached have no room: few, so
# that it is read again seldom, and several, since all hosts spread it at once.
SPILL_WIDTH = 4
# The first servers in the hash order that are looked at for one of them.
HASH_CANDIDATES = 6
# Prompts whose hash order is kept.
MAX_HASH_ORDERS = 4096
# Shorter prefixes are not copied if the costs of copies are not known.
MIN_COPIED_TOKENS = 100
# Room that a server of another failure domain has to have more, in requests.
DOMAIN_PENALTY = 0.5

# Picks the server to copy from, of the ids of several, for a server.
PickCopySource = Callable[[Iterable[str], ServerEntry], ServerEntry | None]


class _Copy(NamedTuple):
    """A copy of cached tokens to a server, or that there is none.

    Attributes:
        source: The server to copy from, None without a copy.
        tokens: The tokens that are copied.
    """

    source: ServerEntry | None = None
    tokens: int = 0


class _Inputs(NamedTuple):
    """What the costs of all servers in one choice have in common.

    Attributes:
        query: What the request requires.
        avoided: Ids of the servers that were tried before.
        restrictions: What the request excludes.
        is_held: Whether a server has the longest shared prefix cached.
        stats: The statistics of the service.
        estimate: How long the service takes to read a prompt.
        base_ms: The time until the first event, without the prompt.
        held_s: Mean time that a request is at a server, in seconds.
        now_s: The time.
    """

    query: ServerQuery
    avoided: Collection[str]
    restrictions: Restrictions
    is_held: bool
    stats: ServiceStats
    estimate: PrefillEstimate
    base_ms: float
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
        copy_costs: What copying takes, by service; a service may be missing.
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
        self.copy_costs: dict[str, CopyCosts] = {}
        self._roster = roster
        self._caches = caches
        self._eligibility = eligibility
        self._model = model
        self._statements = statements
        self._failure_domain = failure_domain
        self._pick_copy_source = pick_copy_source
        self._rng = rng
        self._timers = timers
        self._stats: dict[str, ServiceStats] = {}
        self._hash_orders: dict[str, tuple[list[ServerEntry], list[str]]] = {}

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
        inputs = self._collect_inputs(query, avoided, restrictions, usable)
        hashed = self._list_hashed(query, usable)
        holders = self._list_holders(query)
        seen = {entry.identity: entry for entry in (*hashed, *holders)}
        costs = self._compute_costs(list(seen.values()), inputs)
        if not any(cost.is_free and cost.holds_prompt for cost in costs):
            sampled = self._sample(usable, seen)
            costs += self._compute_costs(sampled, inputs)
            if not any(cost.is_free for cost in costs):
                seen.update((entry.identity, entry) for entry in sampled)
                costs += self._compute_costs(self._sample(usable, seen), inputs)
        if not costs:
            # Few of the servers may get the request.
            costs = self._compute_costs(usable, inputs)
        if not costs:
            return None
        reason, cheapest = _narrow(list_cheapest(costs), inputs)
        cost = pick_by_room(cheapest, self._rng)
        held_tokens = self._count_held(cost.server, query)
        copy = self._plan_copy(cost, held_tokens, inputs)
        uncached_tokens = query.total_tokens - held_tokens - copy.tokens
        return Choice(
            cost.server,
            reason,
            self._model.count_in_flight(cost.server.identity),
            inputs.stats,
            copy.source,
            uncached_tokens=uncached_tokens,
            cost=cost,
        )

    def record_first_event(
        self, server: ServerEntry, uncached_tokens: int, load: int, took_s: float
    ) -> None:
        """Record the time until the first event of a request.

        Requests that may have waited for a slot tell nothing of the speed.

        Args:
            server: The server.
            uncached_tokens: The tokens that it had to read.
            load: Requests in flight at it when it was chosen.
            took_s: The time, in seconds.
        """
        heard = self._statements.loads.get(server)
        slots = self._statements.get_slots(server)
        if heard is None or 2 * load > slots:
            return
        self.prefill_times.record(
            server.service,
            uncached_tokens,
            MILLISECONDS_PER_S * took_s / (heard.load.slow_factor or 1.0),
        )

    def _collect_inputs(
        self,
        query: ServerQuery,
        avoided: Collection[str],
        restrictions: Restrictions,
        usable: list[ServerEntry],
    ) -> _Inputs:
        """Return what the costs of all servers have in common."""
        now_s = self._timers.now()
        stats = self._stats.get(query.service)
        if stats is None or now_s >= stats.computed_s + STATS_LIFETIME_S:
            stats = self._model.compute_stats(query.service, usable, self._statements)
            self._stats[query.service] = stats
        held_s = self._model.residence_times.get_mean_s(query.service)
        estimate = self.prefill_times.estimate(query.service)
        base_ms = estimate.base_ms
        if not query.prompt_tokens:
            # The response begins when the work is done.
            base_ms = (held_s or 0.0) * MILLISECONDS_PER_S
        if held_s is None:
            held_s = DEFAULT_HELD_S
        is_held = bool(self._caches.list_holders(query.cache_key))
        return _Inputs(
            query,
            avoided,
            restrictions,
            is_held,
            stats,
            estimate,
            base_ms,
            held_s,
            now_s,
        )

    def _list_holders(self, query: ServerQuery) -> list[ServerEntry]:
        """Return servers that have the longest prefix cached that any server has."""
        for prefix in reversed(query.prefixes):
            identities = self._caches.list_holders(prefix.key)
            if len(identities) > MAX_HOLDERS:
                identities = self._rng.sample(identities, MAX_HOLDERS)
            holders = [
                entry
                for identity in identities
                if (entry := self._roster.get_entry(identity)) is not None
                and entry.service == query.service
            ]
            if holders:
                return holders
        return []

    def _list_hashed(
        self, query: ServerQuery, usable: list[ServerEntry]
    ) -> list[ServerEntry]:
        """Return the first servers in the hash order of the longest shared prefix."""
        key = query.cache_key
        if not key:
            return []
        known = self._hash_orders.get(key)
        # The list is another one after each change of a registration.
        if known is None or known[0] is not usable:
            order = sorted(
                usable,
                key=lambda entry: score_server(key, entry.identity),
            )
            if len(self._hash_orders) >= MAX_HASH_ORDERS:
                self._hash_orders.clear()
            known = (usable, [entry.identity for entry in order[:HASH_CANDIDATES]])
            self._hash_orders[key] = known
        entries = (self._roster.get_entry(identity) for identity in known[1])
        return [entry for entry in entries if entry is not None]

    def _sample(
        self, usable: list[ServerEntry], seen: dict[str, ServerEntry]
    ) -> list[ServerEntry]:
        """Return some servers at random, without those that were seen."""
        count = min(RANDOM_CANDIDATES + len(seen), len(usable))
        sampled = (
            entry
            for entry in self._rng.sample(usable, count)
            if entry.identity not in seen
        )
        return list(islice(sampled, RANDOM_CANDIDATES))

    def _compute_costs(
        self, servers: Iterable[ServerEntry], inputs: _Inputs
    ) -> list[ServerCost]:
        """Return the costs of those of several servers that may get the request."""
        return [
            self._compute_cost(server, inputs)
            for server in servers
            if server.identity not in inputs.avoided
            and self._eligibility.find_reason(server, inputs.restrictions) is None
        ]

    def _compute_cost(self, server: ServerEntry, inputs: _Inputs) -> ServerCost:
        identity = server.identity
        query, stats, estimate = inputs.query, inputs.stats, inputs.estimate
        slow_factor = self._statements.loads.get_slow_factor(server, inputs.now_s)
        slots = compute_usable_slots(self._statements.get_slots(server), slow_factor)
        load = self._model.compute_weight(identity, stats)
        highest_load = load + self._model.compute_margin(identity, stats)
        is_over_limit = highest_load + 1.0 > stats.load_limit
        work_ms = inputs.base_ms + estimate.compute_ms(
            query.total_tokens - query.shared_tokens
        )
        holds_prompt = bool(query.cache_key) and self._caches.holds(
            query.cache_key, identity
        )
        missing_ms = 0.0
        if query.prefixes and not holds_prompt:
            missing_tokens = query.shared_tokens - self._count_held(server, query)
            missing_ms = slow_factor * estimate.compute_ms(missing_tokens)
            copy_costs = self.copy_costs.get(query.service)
            if inputs.is_held and copy_costs is not None:
                missing_ms = min(missing_ms, copy_costs.compute_ms(missing_tokens))
        is_remote = server.failure_domain != self._failure_domain
        return ServerCost(
            server,
            load + DOMAIN_PENALTY * is_remote,
            min(slots, stats.load_limit),
            load + 1.0 <= slots and not is_over_limit,
            is_over_limit,
            holds_prompt,
            slow_factor,
            compute_slot_wait_ms(highest_load, slots, inputs.held_s),
            slow_factor * work_ms,
            missing_ms,
        )

    def _count_held(self, server: ServerEntry, query: ServerQuery) -> int:
        """Return the tokens of the longest prefix that a server has cached."""
        for prefix in reversed(query.prefixes):
            if self._caches.holds(prefix.key, server.identity):
                return prefix.tokens
        return 0

    def _plan_copy(self, cost: ServerCost, held_tokens: int, inputs: _Inputs) -> _Copy:
        """Return the copy that makes the first event arrive earlier, if any does."""
        copy_costs = self.copy_costs.get(inputs.query.service)
        for prefix in reversed(inputs.query.prefixes):
            tokens = prefix.tokens - held_tokens
            if copy_costs is None:
                is_useful = tokens >= MIN_COPIED_TOKENS
            else:
                prefill_ms = cost.slow_factor * inputs.estimate.compute_ms(tokens)
                is_useful = prefill_ms > copy_costs.compute_ms(tokens)
            if not is_useful:
                break
            holders = self._caches.list_holders(prefix.key)
            source = self._pick_copy_source(holders, cost.server)
            if source is not None:
                return _Copy(source, tokens)
        return _Copy()


def _narrow(
    cheapest: list[ServerCost], inputs: _Inputs
) -> tuple[str, list[ServerCost]]:
    """Return the reason of a choice, and the servers that are left to choose from.

    Args:
        cheapest: The servers that cost nearly the least; those first in the hash order
            of the prompt come first.
        inputs: What the costs have in common.
    """
    if not inputs.query.cache_key:
        return "least_loaded", cheapest
    holders = [cost for cost in cheapest if cost.holds_prompt]
    if holders:
        return "cached", holders
    if not any(cost.is_free for cost in cheapest):
        return "least_loaded", cheapest
    if inputs.is_held:
        return "spilled", cheapest[:SPILL_WIDTH]
    # As long as no server has the prompt, all hosts send it to the same one.
    return "hashed", cheapest[:1]
