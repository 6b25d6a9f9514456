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

from oleanderpier.routing.permit_records import PermitRate, ServerKey
from oleanderpier.routing.records import ServerEntry

__all__ = [
    "LimitBuckets",
    "compute_burst",
    "compute_cold_rate",
    "compute_cold_share_per_s",
    "compute_owner_per_s",
    "compute_share_per_s",
]

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
# A cold server crashes well above its rate. Two hosts that both believe that they own
# it, and all hosts that can't ask, together stay under the users' bound: at 11 requests
# per second, 2 x (0.7 x 11 + 2) + 0.15 x 11 = 21.05 in any second, of 21.5 allowed.
COLD_OWNER_RATIO = 0.7
COLD_BURST = 2.0
COLD_SHARES_RATIO = 0.15


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
        server: ServerEntry | ServerKey,
        per_s: float,
        now_s: float,
        first_tokens: float = 0.0,
        burst: float | None = None,
    ) -> float:
        """Take a token for a request to a server.

        Args:
            server: The server.
            per_s: The tokens that are added per second.
            now_s: The time.
            first_tokens: What a new bucket holds. None as a rule, since another host
                may have granted requests until now.
            burst: The tokens that the bucket holds at most; see ``compute_burst`` for
                the default.

        Returns:
            0 if the request may be sent, else the seconds until the next token.
        """
        tokens = self._count(server, per_s, now_s, first_tokens, burst)
        granted = tokens >= 1.0
        key = (server.identity, server.born_ms)
        self._buckets[key] = _Bucket(tokens - granted, now_s)
        return 0.0 if granted else (1.0 - tokens) / per_s

    def compute_wait_s(
        self,
        server: ServerEntry | ServerKey,
        per_s: float,
        now_s: float,
        ahead: int = 0,
        burst: float | None = None,
    ) -> float:
        """Return the seconds until there is a token for a request, and take none.

        Args:
            server: The server.
            per_s: The tokens that are added per second.
            now_s: The time.
            ahead: How many other requests take a token before.
            burst: The tokens that the bucket holds at most; see ``compute_burst`` for
                the default.
        """
        tokens = self._count(server, per_s, now_s, 0.0, burst)
        # The tokens of a new bucket count from now.
        key = (server.identity, server.born_ms)
        self._buckets[key] = _Bucket(tokens, now_s)
        return max(0.0, (1.0 + ahead - tokens) / per_s)

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

    def _count(
        self,
        server: ServerEntry | ServerKey,
        per_s: float,
        now_s: float,
        first_tokens: float,
        burst: float | None,
    ) -> float:
        """Return the tokens in the bucket of a server."""
        capacity = compute_burst(per_s) if burst is None else burst
        bucket = self._buckets.get((server.identity, server.born_ms))
        if bucket is None:
            return min(first_tokens, capacity)
        added = per_s * max(0.0, now_s - bucket.updated_s)
        return min(bucket.tokens + added, capacity)


def compute_burst(per_s: float) -> float:
    """Return the tokens that the bucket of a limit that a server names may hold.

    Args:
        per_s: The tokens that are added per second.
    """
    return max(MIN_CAPACITY, BURST_S * per_s)


def compute_cold_rate(per_s: float) -> PermitRate:
    """Return the rate that the owner of a cold server grants.

    Args:
        per_s: The requests per second that the server takes from all hosts.
    """
    return PermitRate(COLD_OWNER_RATIO * per_s, COLD_BURST)


def compute_cold_share_per_s(per_s: float, hosts: int) -> float:
    """Return the requests per second that a host sends to a cold server unasked.

    Args:
        per_s: The requests per second that the server takes from all hosts.
        hosts: The number of hosts.
    """
    return COLD_SHARES_RATIO * per_s / max(1, hosts)


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
