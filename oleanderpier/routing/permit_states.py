"""The state of one backend server at its owner.

The module answers this load pattern: servers are unevenly fast and change their speed
several times a second. The room at a server follows the speed that it states, and the
expected waits follow the times for which its slots were in use.
"""

import math
from typing import NamedTuple

from oleanderpier.routing.permit_queue import AGEING_S, PermitQueue, QueuedDemand
from oleanderpier.routing.permit_records import (
    DecidedPermits,
    PermitDemand,
    PermitHolder,
    PermitRate,
    PermitStatus,
    ServerKey,
    StatedLoad,
)

__all__ = ["HeldPermit", "PermitState"]

# Permits beyond the slots, as a part of them, so that no slot is idle for the 3 to 6 ms
# until the next request arrives.
EXTRA_RATIO = 0.2
# The speeds of the machines change every 600 ms.
SLOW_FACTOR_LIFETIME_S = 0.6
# Requests that take longer on average outlast a speed, so that fewer of them would
# leave slots idle when the machine is fast again.
MAX_SPEED_BOUND_S = SLOW_FACTOR_LIFETIME_S / 2
FIRST_MEAN_S = 0.1
# Weight of the latest sample in a moving average.
SAMPLE_WEIGHT = 0.1
# Hosts report the end of prefill only for requests with more uncached tokens; others
# take less than 12 ms.
MIN_PREFILL_TOKENS = 1000
# The slower of the known engines; used until the first prefill has ended.
FIRST_TOKENS_PER_S = 85_200.0
# How long a rate also applies to queries without one or with a higher one: hosts learn
# at different times that a server is cold.
RATE_KEPT_S = 1.0
# Bursts of a kind of request last several seconds.
RATE_DECAY_S = 1.0
# Weights are rescaled long before they exceed a float.
MAX_DECAYS = 100.0
# A queued request is expected to get at least this part of the room, however many more
# urgent ones arrive.
MIN_REMAINING = 0.05


class HeldPermit(NamedTuple):
    """A permit that is held.

    Attributes:
        workspace: The name of the workspace.
        granted_s: When it was granted.
        expires_s: When it expires without a release.
    """

    workspace: str
    granted_s: float
    expires_s: float


class _Prefill(NamedTuple):
    """A prompt that is in prefill.

    Attributes:
        tokens: Its tokens.
        total_tokens: Those of all prompts in prefill when it was sent, with its own.
        started_s: When it was sent.
    """

    tokens: int
    total_tokens: int
    started_s: float


class _ArrivalRates:
    """How many requests per second of each urgency arrive, decaying with their age.

    Each arrival adds a weight that grows with time, so that nothing needs to be
    reduced when time passes.
    """

    def __init__(self) -> None:
        self._weights: dict[tuple[int, bool], float] = {}
        self._since_s = 0.0

    def add(self, rank: tuple[int, bool], now_s: float) -> None:
        """Record an arrival."""
        if now_s - self._since_s > MAX_DECAYS * RATE_DECAY_S:
            factor = math.exp(max(-700.0, (self._since_s - now_s) / RATE_DECAY_S))
            self._weights = {
                key: value * factor for key, value in self._weights.items()
            }
            self._since_s = now_s
        weight = math.exp((now_s - self._since_s) / RATE_DECAY_S)
        self._weights[rank] = self._weights.get(rank, 0.0) + weight

    def compute_per_s_before(self, rank: tuple[int, bool], now_s: float) -> float:
        """Return the arrivals per second that come before those of a rank."""
        weights = sum([value for key, value in self._weights.items() if key < rank])
        if not weights:
            return 0.0
        decayed = math.exp(max(-700.0, (self._since_s - now_s) / RATE_DECAY_S))
        return weights * decayed / RATE_DECAY_S


class PermitState:
    """The permits and the queue of one server.

    Args:
        key: The server.

    Attributes:
        key: The server.
        slots: How many requests it runs at a time, 0 if unknown.
        permits: The permits that are held, by holder.
        queue: The queries that wait.
        queued: The queries that wait, by holder.
        displaced: Refusals of queries that lost their place in the queue, not yet
            returned.
        prefill_tokens: The tokens of the prompts in prefill.
        assumed: Counted as in flight at least, until ``assumed_until_s``.
        assumed_until_s: See ``assumed``.
        used_s: When the last query arrived.
    """

    def __init__(self, key: ServerKey) -> None:
        self.key = key
        self.slots = 0
        self.permits: dict[PermitHolder, HeldPermit] = {}
        self._held: dict[str, int] = {}
        self.queue = PermitQueue(self._held)
        self.queued: dict[PermitHolder, QueuedDemand] = {}
        self.displaced: DecidedPermits = []
        self.prefill_tokens = 0
        self.assumed = 0
        self.assumed_until_s = -math.inf
        self.used_s = -math.inf
        self._prefills: dict[PermitHolder, _Prefill] = {}
        self._tokens_per_s = FIRST_TOKENS_PER_S
        self._mean_s = FIRST_MEAN_S
        self._slow_factor = 1.0
        self._slow_heard_s = -math.inf
        self._arrivals = _ArrivalRates()
        self._rate: PermitRate | None = None
        self._rate_until_s = -math.inf

    def record_query(self, query: PermitDemand, now_s: float) -> None:
        """Record what a query says about the server.

        Args:
            query: The query.
            now_s: The time.
        """
        self.used_s = now_s
        if query.slots > 0:
            self.slots = query.slots
        rate = query.rate
        if rate is None:
            return
        known = self.get_rate(now_s)
        if known is None or rate.per_s <= known.per_s:
            self._rate = rate
            self._rate_until_s = now_s + RATE_KEPT_S

    def record_load(self, load: StatedLoad, now_s: float) -> None:
        """Record what the server has stated.

        Args:
            load: The statement.
            now_s: The time.
        """
        if load.slots is not None and load.slots > 0:
            self.slots = load.slots
        if load.slow_factor is not None and load.slow_factor > 0:
            # A server that is faster than usual has no more slots than it states.
            self._slow_factor = max(1.0, load.slow_factor)
            self._slow_heard_s = now_s

    def get_rate(self, now_s: float) -> PermitRate | None:
        """Return the rate that queries have named lately, None if none has."""
        return self._rate if now_s <= self._rate_until_s else None

    def count_in_flight(self, now_s: float) -> int:
        """Return the requests that count as in flight."""
        held = len(self.permits)
        return max(held, self.assumed) if now_s < self.assumed_until_s else held

    def compute_room(self, now_s: float) -> float:
        """Return how many permits may be held, infinite if the slots are unknown."""
        if not self.slots:
            return math.inf
        return _add_extra(self._compute_usable_slots(now_s))

    def record_arrival(self, query: PermitDemand, now_s: float) -> None:
        """Record a query that was granted or queued."""
        self._arrivals.add((query.urgency, query.is_repeat), now_s)

    def compute_room_wait_s(
        self, query: PermitDemand, ahead: int, waited_s: float, now_s: float
    ) -> float:
        """Return the expected seconds until there is room for a request.

        Before a request come those ahead of it in the queue, and the more urgent ones
        that arrive while it waits. The latter can't delay a first attempt for longer
        than ageing takes to make it as urgent.

        Args:
            query: The query.
            ahead: How many queued requests come before.
            waited_s: How long it has been in the queue.
            now_s: The time.
        """
        if not self.slots:
            return 0.0
        usable = self._compute_usable_slots(now_s)
        step_s = self._mean_s / usable
        missing = 1 + ahead + self.count_in_flight(now_s) - _add_extra(usable)
        if missing <= 0:
            return 0.0
        wait_s = missing * step_s
        is_repeat, urgency = query.is_repeat, query.urgency
        ageing_s = math.inf if is_repeat else AGEING_S * urgency - waited_s
        if ageing_s <= 0.0:
            return wait_s
        before_per_s = self._arrivals.compute_per_s_before((urgency, is_repeat), now_s)
        longer_s = wait_s / max(MIN_REMAINING, 1.0 - before_per_s * step_s)
        return min(longer_s, wait_s + ageing_s)

    def compute_prefill_wait_s(self, now_s: float) -> float:
        """Return the expected seconds until the prompts in prefill are processed."""
        if not self._prefills:
            return 0.0
        started_s = next(iter(self._prefills.values())).started_s
        return max(0.0, started_s + self.prefill_tokens / self._tokens_per_s - now_s)

    def add_permit(self, query: PermitDemand, permit: HeldPermit) -> None:
        """Add a permit that is granted."""
        self.permits[query.holder] = permit
        self._held[query.workspace] = self._held.get(query.workspace, 0) + 1
        tokens = query.uncached_tokens
        if tokens > MIN_PREFILL_TOKENS:
            self.prefill_tokens += tokens
            self._prefills[query.holder] = _Prefill(
                tokens, self.prefill_tokens, permit.granted_s
            )

    def end_permit(self, holder: PermitHolder, now_s: float) -> None:
        """Remove a permit whose request has ended, and measure how long it was held.

        With more permits than slots, some requests wait at the server. The mean is that
        of the time for which a slot was in use, which is a part of the time for which
        the permit was held.
        """
        held_s = now_s - self.permits[holder].granted_s
        if self.slots:
            usable = self._compute_usable_slots(now_s)
            held_s *= min(1.0, usable / len(self.permits))
        self._mean_s += SAMPLE_WEIGHT * (max(0.0, held_s) - self._mean_s)
        self.remove_permit(holder)

    def remove_permit(self, holder: PermitHolder) -> None:
        """Remove a permit."""
        permit = self.permits.pop(holder)
        held = self._held[permit.workspace] - 1
        if held:
            self._held[permit.workspace] = held
        else:
            del self._held[permit.workspace]
        prefill = self._prefills.pop(holder, None)
        if prefill is not None:
            self.prefill_tokens -= prefill.tokens

    def end_prefill(self, holder: PermitHolder, now_s: float) -> None:
        """Record that the prompt of a request has been processed."""
        prefill = self._prefills.pop(holder, None)
        if prefill is None:
            return
        self.prefill_tokens -= prefill.tokens
        per_s = prefill.total_tokens / max(0.001, now_s - prefill.started_s)
        self._tokens_per_s += SAMPLE_WEIGHT * (per_s - self._tokens_per_s)

    def get_status(self, now_s: float) -> PermitStatus:
        """Return what the decisions are based on."""
        return PermitStatus(
            in_flight=self.count_in_flight(now_s),
            queued=len(self.queued),
            room=self.compute_room(now_s),
            slots=self.slots,
            slow_factor=self._get_slow_factor(now_s),
            slow_factor_age_s=now_s - self._slow_heard_s,
            slot_s=self._mean_s,
            prefill_tokens=self.prefill_tokens,
        )

    def _compute_usable_slots(self, now_s: float) -> float:
        """Return how many requests the server runs at its present speed."""
        if self._mean_s > MAX_SPEED_BOUND_S:
            return float(self.slots)
        return max(1.0, self.slots / self._get_slow_factor(now_s))

    def _get_slow_factor(self, now_s: float) -> float:
        """Return how long work takes there, 1 if that is unknown or too old."""
        # 1e-9 for rounding, as above.
        if now_s - self._slow_heard_s > SLOW_FACTOR_LIFETIME_S + 1e-9:
            return 1.0
        return self._slow_factor


def _add_extra(usable: float) -> int:
    """Return how many permits are held for some slots, with those beyond them."""
    # 1e-9 for rounding: 1.2 times 5 is 6.
    return math.ceil(usable * (1.0 + EXTRA_RATIO) - 1e-9)
