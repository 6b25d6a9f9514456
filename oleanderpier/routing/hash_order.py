"""The rendezvous-hash order of servers, in which all hosts choose alike."""

import xxhash

__all__ = ["score_server"]


def score_server(key: str, identity: str) -> int:
    """Return the position of a server in the order of a key; the lowest is first."""
    return xxhash.xxh3_64_intdigest(f"{key}|{identity}".encode())
