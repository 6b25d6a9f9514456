"""What a choice of a server costs the caller, in milliseconds until the first event.

The module addresses these load patterns:

- Machines of uneven speed: the same work takes longer on some servers.
- A hot prompt in a burst: the servers that have it cached are full, and reading it
  again at a server with a free slot is faster than the wait for a slot.
- Calm traffic: nobody waits, so that reading a prompt again or copying it only costs.

It is plain code. Times are arguments, and randomness comes from a ``random.Random``.
"""

import random
from bisect import bisect
from itertools import accumulate
from typing import NamedTuple

from oleanderpier.routing.records import ServerEntry

__all__ = ["CopyCosts", "PrefillEstimate", "PrefillTimes", "ServerCost"]

MILLISECONDS_PER_S = 1000.0
BITS_PER_BYTE = 8
# 1 Mbit/s, in bits per millisecond.
BITS_PER_MS = 1000.0
# Time until the first byte of a copied cache arrives.
COPY_SETUP_MS = 2.0

# Prompt tokens that an engine reads per millisecond, until it has been measured. The
# engines of the deployments read 57 to 112.
DEFAULT_TOKENS_PER_MS = 85.0
# A measurement outside of this range comes from waits or from caches that were not as
# this host believed.
MIN_TOKENS_PER_MS = 20.0
MAX_TOKENS_PER_MS = 1000.0
# Weight that each earlier measurement keeps at a new one: the last 500 count.
MEASUREMENT_DECAY = 0.998
# Weighted number of measurements from which on they count: the first 30.
MIN_MEASUREMENTS = 29.0
# Standard deviation of the uncached tokens from which on the speed can be told from
# the time that every request takes.
MIN_TOKENS_DEVIATION = 1000.0

# Mean time that a request is at a server, until one has ended.
DEFAULT_HELD_S = 0.1
# Costs that differ by less are equal: one step of an engine takes 2.8 to 3.3 ms.
EQUAL_COST_MS = 4.0
# The same if all servers are full, as a ratio: the waits are then estimates.
EQUAL_WAIT_RATIO = 0.25
# A server without room keeps a small share of the requests, so that one is found in
# any case.
MIN_PICKED_ROOM = 0.1
# How often the time to read shared tokens again counts while a server that has them
# cached has room: a prompt that is prefilled delays the caller, and about one of the
# 3 to 6 requests beside it still waits for its own first event.
REREAD_WEIGHT = 2.0


class CopyCosts(NamedTuple):
    """What copying cached tokens from server to server takes.

    Attributes:
        token_bytes: Bytes per token.
        link_mbps: Rate of the link between servers, in Mbit/s.

    Examples:
        >>> CopyCosts(token_bytes=1000, link_mbps=8000.0).compute_ms(10_000)
        12.0
    """

    token_bytes: float
    link_mbps: float

    def compute_ms(self, tokens: int) -> float:
        """Return the time that a copy of some tokens takes, in milliseconds."""
        bits = tokens * self.token_bytes * BITS_PER_BYTE
        return COPY_SETUP_MS + bits / (self.link_mbps * BITS_PER_MS)


class PrefillEstimate(NamedTuple):
    """How long a service takes until the first event.

    Attributes:
        base_ms: The time that each request takes, without its prompt.
        tokens_per_ms: Prompt tokens that are read per millisecond.
    """

    base_ms: float = 0.0
    tokens_per_ms: float = DEFAULT_TOKENS_PER_MS

    def compute_ms(self, tokens: int) -> float:
        """Return the time to read some tokens, in milliseconds."""
        return tokens / self.tokens_per_ms


DEFAULT_ESTIMATE = PrefillEstimate()


class _Sums(NamedTuple):
    """Weighted sums of the measurements, of which old ones count less.

    ``x`` are uncached tokens, and ``y`` milliseconds until the first event.
    """

    count: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0


class PrefillTimes:
    """Measures how long services take until the first event.

    The time is a linear function of the tokens that the server had not cached, fitted
    by least squares.

    Examples:
        >>> times = PrefillTimes()
        >>> for tokens in (0, 10_000) * 20:
        ...     times.record("engine", tokens, 50.0 + tokens / 100)
        >>> estimate = times.estimate("engine")
        >>> round(estimate.base_ms), round(estimate.tokens_per_ms)
        (50, 100)
    """

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def record(self, service: str, uncached_tokens: int, took_ms: float) -> None:
        """Record the time until the first event of a request that did not wait.

        Args:
            service: The service.
            uncached_tokens: The tokens that the server had to read.
            took_ms: The time, divided by the server's slow factor.
        """
        known = self._sums.get(service, _Sums())
        x, y = float(uncached_tokens), took_ms
        added = (1.0, x, y, x * x, x * y)
        self._sums[service] = _Sums(
            *(
                MEASUREMENT_DECAY * old + new
                for old, new in zip(known, added, strict=True)
            )
        )

    def get_lowest_tokens_per_ms(self) -> float:
        """Return the lowest speed of the services, 0 before a measurement."""
        speeds = [self.estimate(service).tokens_per_ms for service in self._sums]
        return min(speeds, default=0.0)

    def estimate(self, service: str) -> PrefillEstimate:
        """Return the estimate of a service, a default until enough was measured."""
        sums = self._sums.get(service)
        if sums is None or sums.count < MIN_MEASUREMENTS:
            return DEFAULT_ESTIMATE
        mean_x, mean_y = sums.x / sums.count, sums.y / sums.count
        variance = sums.xx / sums.count - mean_x * mean_x
        covariance = sums.xy / sums.count - mean_x * mean_y
        tokens_per_ms = DEFAULT_TOKENS_PER_MS
        if variance >= MIN_TOKENS_DEVIATION**2:
            tokens_per_ms = MAX_TOKENS_PER_MS
            if covariance > 0.0:
                tokens_per_ms = min(MAX_TOKENS_PER_MS, variance / covariance)
            tokens_per_ms = max(MIN_TOKENS_PER_MS, tokens_per_ms)
        base_ms = max(0.0, mean_y - mean_x / tokens_per_ms)
        return PrefillEstimate(base_ms, tokens_per_ms)


class ServerCost(NamedTuple):
    """What a request costs at one server.

    Attributes:
        server: The server.
        load: Its expected requests in flight.
        room: The requests in flight that it may hold, by its slots and by the limit.
        is_free: Whether it probably has a free slot, and the load limit is kept.
        is_over_limit: Whether the load limit may not be kept.
        holds_prompt: Whether it has the longest shared prefix cached.
        slow_factor: How long work takes on it, as a multiple of the usual time.
        wait_ms: The wait for a slot, at the highest load that is likely.
        work_ms: The time from the slot to the first event, without the missing tokens.
        missing_ms: The time to read the missing tokens, or to copy them.
    """

    server: ServerEntry
    load: float
    room: float
    is_free: bool
    is_over_limit: bool
    holds_prompt: bool
    slow_factor: float
    wait_ms: float
    work_ms: float
    missing_ms: float

    @property
    def total_ms(self) -> float:
        """The expected time until the first event."""
        return self.wait_ms + self.work_ms + self.missing_ms


def compute_usable_slots(slots: float, slow_factor: float) -> float:
    """Return how many requests a server runs without slowing down its callers.

    A server that takes 2.5 times as long gets as many fewer; a fast one has no more
    slots than it states.
    """
    slots /= slow_factor if slow_factor > 1.0 else 1.0
    return slots if slots > 1.0 else 1.0


def compute_slot_wait_ms(load: float, slots: float, held_s: float) -> float:
    """Return the wait for a slot of one more request, in milliseconds.

    Args:
        load: Requests in flight at the server.
        slots: How many it runs at a time, infinite if unknown.
        held_s: Mean time that a request is at the server, in seconds.
    """
    ahead = load + 1.0 - slots
    if ahead <= 0.0:
        return 0.0
    return ahead / slots * held_s * MILLISECONDS_PER_S


def is_calm_holder(cost: ServerCost) -> bool:
    """Return whether no other server can be better than one with the prompt cached."""
    return (
        cost.holds_prompt
        and cost.is_free
        and not cost.wait_ms
        and cost.slow_factor <= 1.0
    )


def list_cheapest(costs: list[ServerCost]) -> list[ServerCost]:
    """Return the servers that cost nearly the least, in the same order.

    Servers without a free slot are compared only if they have the prompt cached, or if
    no server has a free one. While a server that has the prompt cached has room, shared
    tokens that are read again or copied count ``REREAD_WEIGHT`` times.

    Args:
        costs: The costs of the servers, at least one.
    """
    free = [cost for cost in costs if cost.is_free]
    compared = costs
    tolerance = EQUAL_WAIT_RATIO
    if free:
        tolerance = 0.0
        if len(free) < len(costs):
            compared = [
                cost
                for cost in costs
                if cost.is_free or (cost.holds_prompt and not cost.is_over_limit)
            ]
    reread_weight = 1.0
    for cost in free:
        if cost.holds_prompt and not cost.wait_ms:
            reread_weight = REREAD_WEIGHT
            break
    totals = [
        cost.wait_ms
        + cost.work_ms
        + cost.missing_ms
        + (reread_weight - 1.0) * cost.missing_ms
        for cost in compared
    ]
    highest = min(totals) * (1.0 + tolerance) + EQUAL_COST_MS
    if max(totals) <= highest:
        return compared
    return [
        cost for cost, total in zip(compared, totals, strict=True) if total <= highest
    ]


def pick_by_room(costs: list[ServerCost], rng: random.Random) -> ServerCost:
    """Return one of several servers at random, in proportion to its room.

    All hosts choose by the same old loads. If they chose the best server alone, it
    would be full before the loads show it.
    """
    if len(costs) == 1:
        return costs[0]
    shares = [
        room if (room := cost.room - cost.load) > MIN_PICKED_ROOM else MIN_PICKED_ROOM
        for cost in costs
    ]
    # As ``rng.choices(costs, shares)`` does, in half of the time.
    bounds = list(accumulate(shares))
    return costs[bisect(bounds, rng.random() * bounds[-1], 0, len(costs) - 1)]
