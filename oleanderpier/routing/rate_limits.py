"""Limits on the requests per second that backend servers take from all hosts together.

The module answers this load pattern: servers in need take fewer requests than the
hosts would send, and how many each host would send is unequal and changes faster than
hosts report. One host, the owner of a server's limit, therefore counts the requests of
all hosts in a token bucket. While a host can't ask the owner, it uses its share, so
that the sum over all hosts stays within the users' bound whichever of them can ask.

All times are arguments, in seconds on the monotonic clock.

References:
    A. S. Tanenbaum and D. J. Wetherall, "Computer Networks", section 5.3, token bucket.
"""

from typing import NamedTuple

from oleanderpier.routing.records import ServerEntry

__all__ = ["LimitBuckets", "compute_owner_per_s", "compute_share_per_s"]

# A bucket holds what a server takes in this time, so that requests that arrive at
# uneven intervals use the whole limit.
BURST_S = 1.0
MIN_CAPACITY = 2.0
# The shares of all hosts together, as a part of the limit. The users allow one and a
# half times the limit, of which the owner may grant the whole one meanwhile.
SHARES_RATIO = 0.5
# A server that takes fewer gets as many nevertheless: only the response to a request
# shows that its limit has ended.
MIN_RATE_PER_S = 0.2
BUCKET_KEPT_S = 60.0


class _Bucket(NamedTuple):
    """The state of a token bucket.

    Attributes:
        tokens: How many requests it allowed at ``updated_s``.
        updated_s: When it was computed.
    """

    tokens: float
    updated_s: float


class LimitBuckets:
    """A token bucket for each server that names a limit.

    Examples:
        >>> server = ServerEntry("s1", "engine", "10.0.0.7:80", "duluth", False, 5)
        >>> buckets = LimitBuckets()
        >>> buckets.acquire(server, 2.0, now_s=10.0)
        0.5
        >>> buckets.acquire(server, 2.0, now_s=10.5)
        0.0
    """

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def acquire(
        self,
        server: ServerEntry,
        per_s: float,
        now_s: float,
        first_tokens: float = 0.0,
    ) -> float:
        """Take a token for a request to a server.

        Args:
            server: The server.
            per_s: The tokens that are added per second.
            now_s: The time.
            first_tokens: What a new bucket holds. None as a rule, since another host
                may have granted requests until now.

        Returns:
            0 if the request may be sent, else the seconds until the next token.
        """
        key = (server.identity, server.born_ms)
        bucket = self._buckets.get(key, _Bucket(first_tokens, now_s))
        added = per_s * max(0.0, now_s - bucket.updated_s)
        tokens = min(bucket.tokens + added, max(MIN_CAPACITY, BURST_S * per_s))
        granted = tokens >= 1.0
        self._buckets[key] = _Bucket(tokens - granted, now_s)
        return 0.0 if granted else (1.0 - tokens) / per_s

    def remove(self, server: ServerEntry) -> None:
        """Remove the bucket of a server, if it has one."""
        self._buckets.pop((server.identity, server.born_ms), None)

    def remove_expired(self, now_s: float) -> None:
        """Remove the buckets that have not been used for long."""
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now_s < bucket.updated_s + BUCKET_KEPT_S
        }


def compute_owner_per_s(per_s: float) -> float:
    """Return the requests per second that the owner of a limit grants.

    Args:
        per_s: The requests per second that a server takes from all hosts.
    """
    return max(MIN_RATE_PER_S, per_s)


def compute_share_per_s(per_s: float, hosts: int) -> float:
    """Return the requests per second that a host sends without asking the owner.

    Args:
        per_s: The requests per second that a server takes from all hosts.
        hosts: The number of hosts.
    """
    return SHARES_RATIO * compute_owner_per_s(per_s) / max(1, hosts)
