"""Rendezvous hashing: all hosts rank candidates alike without communication.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_text", "rank_candidates"]


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a text, equal in all processes.

    Examples:
        >>> hash_text("chat-1") == hash_text("chat-1")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return candidates in the order of their rendezvous hash for a key.

    Removing a candidate does not change the order of the others.

    Args:
        key: Identifier of what is to be placed.
        candidates: Names of the candidates.

    Returns:
        All candidates, highest priority first.
    """
    hash_bytes = xxhash.xxh3_64_intdigest
    return sorted(
        candidates, key=lambda name: (hash_bytes(f"{key}|{name}".encode()), name)
    )
