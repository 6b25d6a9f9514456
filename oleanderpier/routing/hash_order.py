"""The rendezvous-hash order of servers, in which all hosts choose alike."""

import heapq

import xxhash

from oleanderpier.routing.records import ServerEntry

__all__ = ["list_first", "score_server"]


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
