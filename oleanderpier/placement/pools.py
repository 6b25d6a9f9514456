"""Division of backend servers into pools, identical on every host.

Servers that provide the same models or operations are one pool if there are at
most MAX_SINGLE_POOL_SERVERS of them. Otherwise each failure domain has its own
pools. A server's pool then depends only on its name and on the number of pools
in its failure domain, so that it stays the same while other servers are added
and removed.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from oleanderpier.configuration import BackendServer
from oleanderpier.placement.messages import hash_name
from oleanderpier.utils import hash_text, rank_candidates

__all__ = ["Pool", "Topology", "divide_servers", "rank_weighted"]

MAX_SINGLE_POOL_SERVERS = 16
TARGET_POOL_SERVERS = 12
MAX_POOL_CHOICES = 3
# Cached results, one for each server name and number of pools.
PARTITION_CACHE_SIZE = 32_768
HASH_RANGE = 2.0**64


class Pool(NamedTuple):
    """Backend servers that provide the same and share one owner host.

    Attributes:
        number: The hash of the pool's name, which identifies it on the wire.
        name: The pool's name, for operators.
        kind: ``engine`` or ``service``.
        provides: The models or operations, sorted.
        failure_domain: The failure domain of all its servers; "" if the pool
            is not limited to one.
        servers: The published entries of its servers, sorted by name.
    """

    number: int
    name: str
    kind: str
    provides: tuple[str, ...]
    failure_domain: str
    servers: tuple[BackendServer, ...]

    @property
    def slots(self) -> int:
        """The number of requests that the pool can run at once."""
        return sum(server["slots"] for server in self.servers)


def divide_servers(servers: Iterable[BackendServer]) -> list[Pool]:
    """Return the pools of a published list of backend servers.

    Args:
        servers: All backend servers. Each is assigned to exactly one pool.

    Returns:
        The pools, sorted by name.
    """
    groups = defaultdict(list)
    for server in servers:
        groups[server["kind"], tuple(sorted(server["provides"]))].append(server)
    pools = []
    for (kind, provides), members in groups.items():
        for domain, suffix, pool_servers in _split_group(members):
            name = f"{kind}:{'+'.join(provides)}{suffix}"
            ordered = tuple(sorted(pool_servers, key=lambda server: server["name"]))
            number = hash_name(name)
            pools.append(Pool(number, name, kind, provides, domain, ordered))
    return sorted(pools, key=lambda pool: pool.name)


def _split_group(
    members: list[BackendServer],
) -> list[tuple[str, str, list[BackendServer]]]:
    """Return the failure domain, name suffix and servers of each pool of a group."""
    if len(members) <= MAX_SINGLE_POOL_SERVERS:
        return [("", "", members)]
    domains = defaultdict(list)
    for server in members:
        domains[server["failure_domain"]].append(server)
    partitions = defaultdict(list)
    for domain, domain_servers in domains.items():
        count = max(1, round(len(domain_servers) / TARGET_POOL_SERVERS))
        for server in domain_servers:
            label = _choose_partition(server["name"], count)
            partitions[domain, label].append(server)
    return [
        (domain, f"@{domain}/{label}", partition)
        for (domain, label), partition in partitions.items()
    ]


@lru_cache(maxsize=PARTITION_CACHE_SIZE)
def _choose_partition(name: str, count: int) -> str:
    """Return the label of a server's pool in its failure domain."""
    return rank_candidates(name, map(str, range(count)))[0]


def rank_weighted(key: str, weights: dict[str, int]) -> list[str]:
    """Rank candidates for a key by weighted rendezvous hashing.

    Over many keys, each candidate is first in proportion to its weight.
    Changing the weight of a candidate only moves keys from or to it.

    Args:
        key: The key to place.
        weights: The weights of the candidates, all above 0.

    Returns:
        All candidates, best first.

    Examples:
        >>> rank_weighted("chat-1", {"a": 1})
        ['a']
    """

    def score(name: str) -> float:
        uniform = (hash_text(f"{key}|{name}") + 0.5) / HASH_RANGE
        return -math.log(uniform) / weights[name]

    return sorted(weights, key=lambda name: (score(name), name))


class Topology:
    """The pools of one published list, and the choice of pools for a chat.

    Args:
        servers: The published backend servers.

    Attributes:
        pools: The pools by number.
    """

    def __init__(self, servers: Iterable[BackendServer]):
        self.pools = {pool.number: pool for pool in divide_servers(servers)}
        self._pools_by_name = {pool.name: pool for pool in self.pools.values()}
        self._pools_by_server = {
            server["name"]: pool
            for pool in self.pools.values()
            for server in pool.servers
        }
        self._pool_slots: dict[tuple[str, str], dict[str, dict[str, int]]] = {}
        for pool in self.pools.values():
            for need in pool.provides:
                domains = self._pool_slots.setdefault((pool.kind, need), {})
                domains.setdefault(pool.failure_domain, {})[pool.name] = pool.slots

    def find_pool(self, backend_server: str) -> Pool | None:
        """Return the pool of a backend server, or None if it is not in the list."""
        return self._pools_by_server.get(backend_server)

    def rank_pools(self, kind: str, need: str, key: str) -> list[Pool]:
        """Return the pools to query for a key, best first.

        First ranks the failure domains, then the pools in the best two, which
        takes far fewer hashes than ranking all pools. The second pool is in
        the same failure domain as the first if there is one.

        Args:
            kind: ``engine`` or ``service``.
            need: The model or operation.
            key: The chat's id.

        Returns:
            Up to MAX_POOL_CHOICES pools; none if no server provides the need.
        """
        domains = self._pool_slots.get((kind, need), {})
        if len(domains) == 1:
            best_domains = list(domains)
        else:
            totals = {name: sum(slots.values()) for name, slots in domains.items()}
            best_domains = rank_weighted(key, totals)[:2]
        names = []
        for domain, count in zip(best_domains, (2, 1), strict=False):
            names += rank_weighted(key, domains[domain])[:count]
        return [self._pools_by_name[name] for name in names[:MAX_POOL_CHOICES]]
