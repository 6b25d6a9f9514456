"""Divides backend servers into pools, alike on every host.

Servers that provide the same are one pool while they are few. Beyond that
each failure domain has its own pools, and a server's pool depends on its own
name and on the number of pools, so that other servers coming and going
leave it where it is.
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

SINGLE_POOL_SERVERS = 16
TARGET_POOL_SERVERS = 12
POOL_CHOICES = 3
LABEL_CACHE = 32_768
HASH_RANGE = 2.0**64


class Pool(NamedTuple):
    """Backend servers that provide the same and are counted together.

    Attributes:
        number: The pool's number on the wire.
        name: Its name for people.
        kind: ``engine`` or ``service``.
        provides: Models or operations, sorted.
        failure_domain: Where all its servers are; "" if in several.
        servers: Its servers, by name.
    """

    number: int
    name: str
    kind: str
    provides: tuple[str, ...]
    failure_domain: str
    servers: tuple[BackendServer, ...]

    @property
    def slots(self) -> int:
        """Requests that the pool runs at once."""
        return sum(server["slots"] for server in self.servers)


def divide_servers(servers: Iterable[BackendServer]) -> list[Pool]:
    """Return the pools of a published list of backend servers.

    Args:
        servers: All backend servers, each of which gets into one pool.

    Returns:
        The pools, sorted by name.
    """
    groups = defaultdict(list)
    for server in servers:
        groups[server["kind"], tuple(sorted(server["provides"]))].append(server)
    pools = []
    for (kind, provides), members in groups.items():
        for domain, part, chunk in _split_group(members):
            name = f"{kind}:{'+'.join(provides)}{part}"
            ordered = tuple(sorted(chunk, key=lambda server: server["name"]))
            number = hash_name(name)
            pools.append(Pool(number, name, kind, provides, domain, ordered))
    return sorted(pools, key=lambda pool: pool.name)


def _split_group(
    members: list[BackendServer],
) -> list[tuple[str, str, list[BackendServer]]]:
    if len(members) <= SINGLE_POOL_SERVERS:
        return [("", "", members)]
    domains = defaultdict(list)
    for server in members:
        domains[server["failure_domain"]].append(server)
    parts = defaultdict(list)
    for domain, inside in domains.items():
        count = max(1, round(len(inside) / TARGET_POOL_SERVERS))
        for server in inside:
            label = _choose_label(server["name"], count)
            parts[domain, label].append(server)
    return [(domain, f"@{domain}/{i}", part) for (domain, i), part in parts.items()]


@lru_cache(maxsize=LABEL_CACHE)
def _choose_label(name: str, count: int) -> str:
    """Return which of a failure domain's pools a server is in."""
    return rank_candidates(name, map(str, range(count)))[0]


def rank_weighted(key: str, weights: dict[str, int]) -> list[str]:
    """Return the candidates in a key's order, heavier ones first more often.

    Changing one weight moves only keys from or to that candidate.

    Args:
        key: What is to be placed.
        weights: Candidates with their weights, all above 0.

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
    """The pools of one published list, and which suit a chat.

    Args:
        servers: The published backend servers.
    """

    def __init__(self, servers: Iterable[BackendServer]):
        self.pools = {pool.number: pool for pool in divide_servers(servers)}
        self._by_name = {pool.name: pool for pool in self.pools.values()}
        self._pool_of = {
            server["name"]: pool
            for pool in self.pools.values()
            for server in pool.servers
        }
        self._weights: dict[tuple[str, str], dict[str, dict[str, int]]] = {}
        for pool in self.pools.values():
            for need in pool.provides:
                domains = self._weights.setdefault((pool.kind, need), {})
                domains.setdefault(pool.failure_domain, {})[pool.name] = pool.slots

    def find_pool(self, backend_server: str) -> Pool | None:
        """Return the pool of a backend server, or None if it has none."""
        return self._pool_of.get(backend_server)

    def rank_pools(self, kind: str, need: str, key: str) -> list[Pool]:
        """Return the pools to try for a key, best first.

        The failure domain is chosen first, then the pool in it, which takes
        far fewer hashes than ranking all pools. The second choice is in the
        same failure domain where that has another pool.

        Args:
            kind: ``engine`` or ``service``.
            need: The model or operation.
            key: A chat's id.

        Returns:
            Up to POOL_CHOICES pools; none if nothing provides the need.
        """
        domains = self._weights.get((kind, need), {})
        if len(domains) == 1:
            chosen = list(domains)
        else:
            totals = {name: sum(parts.values()) for name, parts in domains.items()}
            chosen = rank_weighted(key, totals)[:2]
        names = []
        for domain, count in zip(chosen, (2, 1), strict=False):
            names += rank_weighted(key, domains[domain])[:count]
        return [self._by_name[name] for name in names[:POOL_CHOICES]]
