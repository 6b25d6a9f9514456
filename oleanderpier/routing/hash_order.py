"""The rendezvous-hash order of servers, in which all hosts choose alike."""

import heapq
from collections.abc import Iterator

import xxhash

from oleanderpier.routing.records import ServerEntry

__all__ = ["HashOrders", "iterate_first", "list_first", "score_server"]

# Keys whose hash order is kept.
MAX_HASH_ORDERS = 4096
# Above every score.
MAX_SCORE = 2**64
# Servers whose encoded ids are kept.
MAX_SUFFIXES = 4096

# The encoded ids of servers, since encoding them takes as long as hashing them.
_suffixes: dict[str, bytes] = {}


class HashOrders:
    """Keeps the first servers in the order of each key, until the servers change."""

    def __init__(self) -> None:
        self._first: dict[str, tuple[list[ServerEntry], list[str]]] = {}

    def list_first(self, key: str, servers: list[ServerEntry], count: int) -> list[str]:
        """Return the ids of the first servers in the order of a key.

        Args:
            key: The key.
            servers: The servers; another list after each change.
            count: How many to return, always the same.
        """
        known = self._first.get(key)
        if known is None or known[0] is not servers:
            if known is not None or len(self._first) >= MAX_HASH_ORDERS:
                self._first.clear()
            known = self._first[key] = (servers, list_first(key, servers, count))
        return known[1]


def score_server(key: str, identity: str) -> int:
    """Return the position of a server in the order of a key; the lowest is first."""
    return xxhash.xxh3_64_intdigest(f"{key}|{identity}".encode())


def list_first(key: str, servers: list[ServerEntry], count: int) -> list[str]:
    """Return the ids of the first servers in the order of a key.

    It has the order of ``score_server``, without a call for each server.
    """
    compute = xxhash.xxh3_64_intdigest
    scores = [
        (compute(f"{key}|{entry.identity}".encode()), entry.identity)
        for entry in servers
    ]
    return [identity for _, identity in heapq.nsmallest(count, scores)]


def iterate_first(
    key: str, servers: list[ServerEntry], count: int
) -> Iterator[ServerEntry]:
    """Yield the first servers in the order of a key, each found when it is asked for.

    It has the order of ``score_server``. The first one is usually enough.
    """
    prefix, compute, suffixes = key.encode(), xxhash.xxh3_64_intdigest, _suffixes
    try:
        scores = [compute(prefix + suffixes[entry.identity]) for entry in servers]
    except KeyError:
        _add_suffixes(servers)
        scores = [compute(prefix + suffixes[entry.identity]) for entry in servers]
    for _ in range(min(count, len(scores))):
        index = scores.index(min(scores))
        scores[index] = MAX_SCORE
        yield servers[index]


def _add_suffixes(servers: list[ServerEntry]) -> None:
    """Encode the ids of servers, and drop the others if there are too many."""
    if len(_suffixes) + len(servers) > MAX_SUFFIXES:
        _suffixes.clear()
    for entry in servers:
        _suffixes[entry.identity] = f"|{entry.identity}".encode()
