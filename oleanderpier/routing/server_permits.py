"""Permits for requests to backend servers, granted by one owner for each server.

The module answers this load pattern: many hosts share few servers, and what the hosts
know about each other's load is older than a request takes. Several of them then send
to the same free slot, and the server rejects requests, or serves those first that came
first instead of the most urgent ones. One host, the owner, therefore counts the
requests of all hosts to a server exactly, and queues those that may wait.

The state is that of one owner, for all servers that it owns. All times are arguments,
in seconds on the monotonic clock; nothing is read or sent here. The caller

- sends each decision other than ``QUEUED`` to the host that asked;
- sends those that the other methods return to the hosts of the holders;
- calls ``remove_expired`` about every ``TICK_S``, since queued requests are also
  decided because time has passed.
"""

import heapq
from itertools import count

from oleanderpier.routing.permit_queue import QueuedDemand
from oleanderpier.routing.permit_records import (
    DecidedPermits,
    PermitDecision,
    PermitDemand,
    PermitHolder,
    PermitOutcome,
    PermitStatus,
    ServerKey,
    StatedLoad,
)
from oleanderpier.routing.permit_states import HeldPermit, PermitState
from oleanderpier.routing.rate_limits import LimitBuckets

__all__ = ["TICK_S", "ServerPermits"]

# Hosts wait 0.1 s beyond the longest wait for the reply, so that a decision that is
# one interval late still arrives in time.
TICK_S = 0.02
# While prompts of more tokens are in prefill, requests go to other servers. This is
# about 40 ms of prefill, within which a request beside them gets no event.
MAX_PREFILL_TOKENS = 4000
# Upper bound of the queue, as a multiple of the slots.
QUEUE_SLOTS = 4
# Differences in time that come from rounding.
ROUNDING_S = 1e-9
UNUSED_KEPT_S = 60.0
REMOVAL_INTERVAL_S = 5.0


class ServerPermits:
    """The permits of the servers that a host owns.

    Examples:
        >>> permits = ServerPermits()
        >>> server = ServerKey("s1", 5)
        >>> first = PermitDemand(
        ...     PermitHolder("a", 1), 1, None, 0, "", False, 0, 0.0, 9.0
        ... )
        >>> permits.request(server, first, 10.0).outcome.name
        'GRANTED'
        >>> permits.count_in_flight(server, 10.0)
        1
        >>> permits.release(first.holder, 10.1)
        []
    """

    def __init__(self) -> None:
        self._states: dict[ServerKey, PermitState] = {}
        self._holders: dict[PermitHolder, PermitState] = {}
        # The servers with queued requests, or decisions that have not been returned.
        self._waiting: dict[ServerKey, PermitState] = {}
        self._buckets = LimitBuckets()
        # When permits expire, with the holder; released ones are ignored.
        self._expiries: list[tuple[float, int, PermitHolder]] = []
        self._sequence = count()
        self._removal_s = 0.0

    def request(
        self, server_key: ServerKey, query: PermitDemand, now_s: float
    ) -> PermitDecision:
        """Decide on a query, or queue it.

        A query that is repeated with the same holder gets the same permit or place in
        the queue.

        Args:
            server_key: The server.
            query: The query.
            now_s: The time.
        """
        state = self._states.get(server_key)
        if state is None:
            state = self._states[server_key] = PermitState(ServerKey(*server_key))
        known = self._holders.get(query.holder)
        if known is not None:
            return _repeat_decision(known, query.holder, now_s)
        state.record_query(query, now_s)
        in_flight = state.count_in_flight(now_s)
        if in_flight >= state.compute_room(now_s) or (
            state.queued
            and not state.queue.precedes(query, state.queue.find_first(now_s), now_s)
        ):
            return self._decide_without_room(state, query, now_s)
        wait_s = self._compute_token_wait_s(state, query, 0, now_s)
        if wait_s > 0:
            return PermitDecision(PermitOutcome.USED_UP, wait_s, in_flight)
        if query.max_wait_s <= 0 and state.prefill_tokens > MAX_PREFILL_TOKENS:
            wait_s = state.compute_prefill_wait_s(now_s)
            return PermitDecision(PermitOutcome.PREFILLING, wait_s, in_flight)
        state.record_arrival(query, now_s)
        return self._grant(state, query, now_s)

    def release(
        self, holder: PermitHolder, now_s: float, load: StatedLoad | None = None
    ) -> DecidedPermits:
        """Remove a permit whose request has ended, or a query whose caller has left.

        An unknown holder is ignored.

        Args:
            holder: The holder of the permit.
            now_s: The time.
            load: What the server stated last, None if nothing.

        Returns:
            The queued requests that are decided now.
        """
        state = self._holders.pop(holder, None)
        if state is None:
            return []
        queued = state.queued.pop(holder, None)
        if queued is not None:
            state.queue.remove(queued.query)
        else:
            state.end_permit(holder, now_s)
        if load is not None:
            state.record_load(load, now_s)
        return self._decide_queued(state, now_s)

    def end_prefill(self, holder: PermitHolder, now_s: float) -> DecidedPermits:
        """Record that the first event of a response has arrived.

        Args:
            holder: The holder of the permit.
            now_s: The time.

        Returns:
            The queued requests that are decided now.
        """
        state = self._holders.get(holder)
        if state is None:
            return []
        state.end_prefill(holder, now_s)
        return self._decide_queued(state, now_s)

    def remove_host(self, host: str, now_s: float) -> DecidedPermits:
        """Remove the permits and queries of a host that is gone.

        Args:
            host: The name of the host.
            now_s: The time.

        Returns:
            The queued requests of other hosts that are decided now.
        """
        return self._remove([key for key in self._holders if key.host == host], now_s)

    def remove_expired(self, now_s: float) -> DecidedPermits:
        """Remove permits that have expired, and decide what time has decided.

        Args:
            now_s: The time.

        Returns:
            The queued requests that are decided now.
        """
        holders = []
        while self._expiries and self._expiries[0][0] <= now_s:
            holder = heapq.heappop(self._expiries)[2]
            state = self._holders.get(holder)
            permit = state.permits.get(holder) if state is not None else None
            if permit is not None and permit.expires_s <= now_s:
                holders.append(holder)
        decided = self._remove(holders, now_s)
        for state in list(self._waiting.values()):
            decided += self._decide_queued(state, now_s) + self._review(state, now_s)
            if not state.queued:
                del self._waiting[state.key]
        if now_s >= self._removal_s:
            self._removal_s = now_s + REMOVAL_INTERVAL_S
            self._remove_unused(now_s)
        return decided

    def assume_in_flight(
        self, server_key: ServerKey, in_flight: int, until_s: float
    ) -> None:
        """Count at least some requests to a server, whose permits are not known here.

        A host that has just become the owner does not know the permits of the previous
        one.

        Args:
            server_key: The server.
            in_flight: The requests in flight that hosts report.
            until_s: Until when they count.
        """
        state = self._states.get(server_key)
        if state is None:
            state = self._states[server_key] = PermitState(ServerKey(*server_key))
        state.assumed = in_flight
        state.assumed_until_s = until_s

    def count_in_flight(self, server_key: ServerKey, now_s: float) -> int:
        """Return the requests that count as in flight at a server."""
        state = self._states.get(server_key)
        return 0 if state is None else state.count_in_flight(now_s)

    def get_status(self, server_key: ServerKey, now_s: float) -> PermitStatus | None:
        """Return what decisions on a server are based on, None if it is unknown."""
        state = self._states.get(server_key)
        return None if state is None else state.get_status(now_s)

    def count_queued(self) -> int:
        """Return the requests that wait for a permit of any server."""
        return sum(len(state.queued) for state in self._waiting.values())

    def _decide_without_room(
        self, state: PermitState, query: PermitDemand, now_s: float
    ) -> PermitDecision:
        """Queue a query, or refuse it with the expected wait."""
        in_flight = state.count_in_flight(now_s)
        ahead = state.queue.count_ahead(query, now_s) if state.queued else 0
        wait_s = max(
            state.compute_room_wait_s(query, ahead, 0.0, now_s),
            self._compute_token_wait_s(state, query, ahead, now_s),
        )
        if query.max_wait_s <= 0:
            return PermitDecision(PermitOutcome.FULL, wait_s, in_flight)
        if wait_s > query.max_wait_s or not self._make_place(state, query, now_s):
            return PermitDecision(PermitOutcome.WAIT_TOO_LONG, wait_s, in_flight)
        state.record_arrival(query, now_s)
        until_s = now_s + query.max_wait_s
        queued = QueuedDemand(query, now_s, next(self._sequence), until_s)
        state.queue.add(queued)
        state.queued[query.holder] = queued
        self._holders[query.holder] = state
        self._waiting[state.key] = state
        return PermitDecision(PermitOutcome.QUEUED, wait_s, in_flight)

    def _make_place(
        self, state: PermitState, query: PermitDemand, now_s: float
    ) -> bool:
        """Return whether there is a place in the queue.

        If the queue is full, a query that comes before the last one takes its place:
        many requests of a workspace, or repeats, don't keep out others.
        """
        if len(state.queued) < QUEUE_SLOTS * state.slots:
            return True
        last = state.queue.find_last(now_s)
        if not state.queue.precedes(query, last, now_s):
            return False
        waited_s = now_s - last.arrived_s
        wait_s = state.compute_room_wait_s(
            last.query, len(state.queued), waited_s, now_s
        )
        state.displaced.append(self._refuse(state, last, wait_s, now_s))
        return True

    def _decide_queued(self, state: PermitState, now_s: float) -> DecidedPermits:
        """Grant queued requests for which there is room, in order."""
        decided, state.displaced = state.displaced, []
        room = state.compute_room(now_s)
        while state.queued and state.count_in_flight(now_s) < room:
            first = state.queue.find_first(now_s)
            if now_s > first.until_s + ROUNDING_S:
                waited_s = now_s - first.arrived_s
                wait_s = state.compute_room_wait_s(first.query, 0, waited_s, now_s)
                decided.append(self._refuse(state, first, wait_s, now_s))
                continue
            if self._compute_token_wait_s(state, first.query, 0, now_s) > 0:
                break
            state.queue.remove(first.query)
            del state.queued[first.query.holder]
            decision = self._grant(state, first.query, now_s)
            decided.append((first.query.holder, decision))
        return decided

    def _review(self, state: PermitState, now_s: float) -> DecidedPermits:
        """Refuse the queued requests whose expected wait has become too long.

        This is a pass over the queue, and hundreds of releases may come per second.
        It is therefore done at intervals only.
        """
        decided: DecidedPermits = []
        ahead = 0
        for queued in state.queue.list_in_order(now_s):
            query, waited_s = queued.query, now_s - queued.arrived_s
            wait_s = max(
                state.compute_room_wait_s(query, ahead, waited_s, now_s),
                self._compute_token_wait_s(state, query, ahead, now_s),
            )
            if now_s + wait_s > queued.until_s + ROUNDING_S:
                decided.append(self._refuse(state, queued, wait_s, now_s))
            else:
                ahead += 1
        return decided

    def _refuse(
        self, state: PermitState, queued: QueuedDemand, wait_s: float, now_s: float
    ) -> tuple[PermitHolder, PermitDecision]:
        """Remove a queued request; return the decision."""
        holder = queued.query.holder
        state.queue.remove(queued.query)
        del state.queued[holder]
        del self._holders[holder]
        in_flight = state.count_in_flight(now_s)
        return holder, PermitDecision(PermitOutcome.WAIT_TOO_LONG, wait_s, in_flight)

    def _grant(
        self, state: PermitState, query: PermitDemand, now_s: float
    ) -> PermitDecision:
        rate = state.get_rate(now_s) or query.rate
        if rate is not None:
            self._buckets.acquire(state.key, rate.per_s, now_s, burst=rate.burst)
        expires_s = now_s + query.expires_after_s
        state.add_permit(query, HeldPermit(query.workspace, now_s, expires_s))
        self._holders[query.holder] = state
        expiry = (expires_s, next(self._sequence), query.holder)
        heapq.heappush(self._expiries, expiry)
        in_flight = state.count_in_flight(now_s)
        return PermitDecision(PermitOutcome.GRANTED, 0.0, in_flight)

    def _compute_token_wait_s(
        self, state: PermitState, query: PermitDemand, ahead: int, now_s: float
    ) -> float:
        """Return the seconds until the rate limit allows a request."""
        rate = state.get_rate(now_s) or query.rate
        if rate is None:
            return 0.0
        return self._buckets.compute_wait_s(
            state.key, rate.per_s, now_s, ahead, rate.burst
        )

    def _remove(self, holders: list[PermitHolder], now_s: float) -> DecidedPermits:
        """Remove permits and queries that end without a release."""
        touched: dict[ServerKey, PermitState] = {}
        for holder in holders:
            state = self._holders.pop(holder)
            touched[state.key] = state
            queued = state.queued.pop(holder, None)
            if queued is not None:
                state.queue.remove(queued.query)
            else:
                state.remove_permit(holder)
        decided: DecidedPermits = []
        for state in touched.values():
            decided += self._decide_queued(state, now_s)
        return decided

    def _remove_unused(self, now_s: float) -> None:
        """Remove the states of servers that nobody has asked for in a long time."""
        self._buckets.remove_expired(now_s)
        self._states = {
            key: state
            for key, state in self._states.items()
            if state.permits
            or key in self._waiting
            or now_s < max(state.used_s + UNUSED_KEPT_S, state.assumed_until_s)
        }


def _repeat_decision(
    state: PermitState, holder: PermitHolder, now_s: float
) -> PermitDecision:
    """Return the decision on a query that has been decided or queued before."""
    outcome = PermitOutcome.QUEUED
    if holder in state.permits:
        outcome = PermitOutcome.GRANTED
    return PermitDecision(outcome, 0.0, state.count_in_flight(now_s))
