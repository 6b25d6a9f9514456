"""The rendezvous-hash order of servers, in which all hosts choose alike."""

import heapq

import xxhash

from oleanderpier.routing.records import ServerEntry

__all__ = ["HashOrders", "list_first", "score_server"]

# Keys whose hash order is kept.
MAX_HASH_ORDERS = 4096


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
