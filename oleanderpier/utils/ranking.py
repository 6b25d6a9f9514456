"""Rendezvous hashing: every host ranks candidates alike, without talking.

References:
    D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_text", "rank_candidates"]


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in every process.

    Examples:
        >>> hash_text("chat-1") == hash_text("chat-1")
        True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in the order in which they suit a key.

    Removing a candidate leaves the order of the others unchanged.

    Args:
        key: What is to be placed.
        candidates: Names to rank.

    Returns:
        All candidates, best first.
    """
    digest = xxhash.xxh3_64_intdigest
    return sorted(candidates, key=lambda name: (digest(f"{key}|{name}".encode()), name))
