"""How prompts that servers are reading, and slow servers, change a choice.

The module addresses these load patterns, of services whose servers are uneven:

- A long prompt is read beside short ones, which miss their latency targets.
- Two long prompts arrive at the same server and delay each other.
- Many hosts are sent the same prompt while no server has it cached. They have to agree
  on a server, or else the prompt is read more than once.
- The speed of machines changes many times a second.

The choice of a server for a service that is not uneven stays as it is.
"""

from collections.abc import Set
from typing import NamedTuple

from oleanderpier.routing.caches import CacheMap
from oleanderpier.routing.costs import MILLISECONDS_PER_S, PrefillTimes
from oleanderpier.routing.hash_order import iterate_first
from oleanderpier.routing.prefills import MIN_PREFILL_TOKENS
from oleanderpier.routing.records import ServerEntry
from oleanderpier.routing.requirements import Choice, LeftServer, ServerQuery
from oleanderpier.routing.statements import ServerStatements
from oleanderpier.utils import Timers

__all__ = ["PrefillChoice", "Replacement"]

# The servers in the hash order of a prompt that are compared. With more, hosts that
# know different prefills would agree less often.
HASH_CANDIDATES = 3
# The servers in this order that are looked at for a prompt that leaves its holder.
MAX_ORDER_SEARCH = 8
# A short prompt stays at its server if it waits there for less than this share of its
# latency target.
MAX_WAIT_SHARE = 1 / 3


class Replacement(NamedTuple):
    """The server of a request, and the one that it would have had.

    Attributes:
        server: The server.
        left: The server that it replaces, None if it replaces none.
    """

    server: ServerEntry
    left: LeftServer | None = None


class PrefillChoice:
    """Prefers servers that are reading no long prompt and are not slow.

    Args:
        statements: The prompts that servers are reading, and the speeds that they have
            stated.
        caches: Which servers have which prefixes cached.
        prefill_times: How long services take to read prompts.
        timers: The timer service.
    """

    def __init__(
        self,
        statements: ServerStatements,
        caches: CacheMap,
        prefill_times: PrefillTimes,
        timers: Timers,
    ) -> None:
        self._get_slots = statements.get_slots
        self._prefills = statements.prefills
        self._loads = statements.loads
        self._caches = caches
        self._prefill_times = prefill_times
        self._timers = timers

    def estimate_s(self, server: ServerEntry, tokens: int) -> float:
        """Return how long a server takes to read some tokens, in seconds."""
        estimate = self._prefill_times.estimate(server.service)
        slow_factor = self._loads.get_slow_factor(server, self._timers.now())
        return slow_factor * estimate.compute_ms(tokens) / MILLISECONDS_PER_S

    def count_uncached(self, query: ServerQuery, choice: Choice) -> int:
        """Return the tokens of a prompt that the chosen server has to read.

        0 if the service is neither uneven nor under permits.
        """
        if choice.cost is not None or not self._loads.is_uneven(query.service):
            return choice.uncached_tokens
        return self._count_uncached(query, choice.server, choice.copy_source)

    def list_idle(self, servers: list[ServerEntry]) -> list[ServerEntry]:
        """Return those of several equally good servers that read no long prompt.

        All of them if each reads one, or if the service is not uneven.

        Args:
            servers: Servers of one service, at least one.
        """
        if len(servers) == 1 or not self._loads.is_uneven(servers[0].service):
            return servers
        reading = self._prefills.list_reading(self._timers.now())
        return _omit(servers, reading)

    def list_soonest(
        self, servers: list[ServerEntry], mean_load: float = 0.0
    ) -> list[ServerEntry]:
        """Return the servers of ``list_idle`` that are not slow, or all of these.

        Slow servers are left out only while the others have slots for their requests:
        all hosts avoid them at once, and a small service in heavy use would refuse what
        the slow servers still can take.

        Args:
            servers: Servers of one service, at least one.
            mean_load: Expected requests in flight per server of the service.
        """
        idle = self.list_idle(servers)
        if len(idle) == 1 or not self._loads.is_uneven(idle[0].service):
            return idle
        others = _omit(idle, self._loads.list_slow(self._timers.now()))
        if len(others) == len(idle):
            return idle
        # The servers of a service run equally many requests at a time.
        expected_load = mean_load * len(idle) / len(others) + 1.0
        if expected_load > self._get_slots(others[0]):
            return idle
        return others

    def pick_hashed(
        self, query: ServerQuery, servers: list[ServerEntry]
    ) -> Replacement:
        """Return the server of a prompt that none of several servers has cached.

        It is the first one in the hash order of the prompt, or one of the next if the
        first one is reading a long prompt or is slow.

        Args:
            query: What the request requires.
            servers: The servers, at least one.
        """
        order = iterate_first(query.cache_key, servers, HASH_CANDIDATES)
        if not self._loads.is_uneven(query.service):
            return Replacement(next(order))
        now_s = self._timers.now()
        first = []
        for server in order:
            first.append(server)
            if self._is_idle(server, now_s):
                break
        else:
            # A slow one is better than one that is reading a long prompt.
            server = min(
                first, key=lambda entry: self._prefills.get_remaining_s(entry, now_s)
            )
        if server is first[0]:
            return Replacement(server)
        return Replacement(server, self._describe_left(first[0]))

    def may_leave(self, query: ServerQuery, holder: ServerEntry) -> bool:
        """Return whether a request is better served elsewhere than where it is cached.

        It is if the server reads long prompts for too long, and the whole prompt is so
        short that it delays nobody when it is read again.
        """
        if not self._loads.is_uneven(query.service):
            return False
        remaining_s = self._prefills.get_remaining_s(holder, self._timers.now())
        return (
            0.0 < MAX_WAIT_SHARE * query.target_s < remaining_s
            and query.total_tokens < MIN_PREFILL_TOKENS
            and self._estimate_usual_s(query) < remaining_s
        )

    def replace_holder(
        self, query: ServerQuery, holder: ServerEntry, servers: list[ServerEntry]
    ) -> Replacement:
        """Return the server that reads a short prompt again, or the one that has it.

        Args:
            query: What the request requires.
            holder: A server that has the prompt cached.
            servers: The servers that may get the request.
        """
        if not self.may_leave(query, holder):
            return Replacement(holder)
        now_s = self._timers.now()
        for entry in iterate_first(query.cache_key, servers, MAX_ORDER_SEARCH):
            if self._is_idle(entry, now_s):
                return Replacement(entry, self._describe_left(holder))
        return Replacement(holder)

    def _is_idle(self, server: ServerEntry, now_s: float) -> bool:
        """Return whether a server is not slow and is reading no long prompt."""
        return self._prefills.get(server, now_s) is None and not self._loads.is_slow(
            server, now_s
        )

    def _estimate_usual_s(self, query: ServerQuery) -> float:
        """Return how long a server of the usual speed takes to read a shared prompt."""
        estimate = self._prefill_times.estimate(query.service)
        return estimate.compute_ms(query.shared_tokens) / MILLISECONDS_PER_S

    def _count_uncached(
        self, query: ServerQuery, server: ServerEntry, copy_source: ServerEntry | None
    ) -> int:
        holds = self._caches.holds
        for prefix in reversed(query.prefixes):
            if holds(prefix.key, server.identity) or (
                copy_source is not None and holds(prefix.key, copy_source.identity)
            ):
                return query.total_tokens - prefix.tokens
        return query.total_tokens

    def _describe_left(self, server: ServerEntry) -> LeftServer:
        """Return a server that a request leaves, and what is known of it."""
        now_s = self._timers.now()
        prefill = self._prefills.get(server, now_s)
        slow_factor = self._loads.get_slow_factor(server, now_s)
        if prefill is not None:
            remaining_s = prefill.until_s - now_s
            return LeftServer(server, remaining_s, slow_factor, now_s - prefill.known_s)
        speed = self._loads.get_speed(server)
        age_s = 0.0 if speed is None else now_s - speed.heard_s
        return LeftServer(server, 0.0, slow_factor, age_s)


def _omit(servers: list[ServerEntry], omitted: Set[str]) -> list[ServerEntry]:
    """Return the servers that are not to be omitted, or all if none is left."""
    if not omitted:
        return servers
    kept = [entry for entry in servers if entry.identity not in omitted]
    return kept or servers
