"""Admission control at a pool's owner: grants and counts the pool's permits."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from itertools import count, islice
from typing import Any

from eliot import log_message

from oleanderpier.placement.affinity import ChatAffinity
from oleanderpier.placement.loads import PoolLoads, ServerLoad
from oleanderpier.placement.messages import (
    FailureNotice,
    Grant,
    Holding,
    HoldingsQuery,
    HoldingsReply,
    LeavingNotice,
    Migrate,
    NotOwner,
    PermitQuery,
    Queued,
    Refusal,
    Release,
    Renewal,
)
from oleanderpier.placement.permits import GrantedPermit, PermitTable
from oleanderpier.placement.pools import Pool
from oleanderpier.placement.queues import MAX_QUEUE_TIME_RATIO, FairQueue, QueuedQuery
from oleanderpier.results import Code
from oleanderpier.utils import Timers, rank_candidates

__all__ = ["AdmissionController"]

TAKEOVER_GRACE_S = 0.3
# Time after which a requested migration no longer counts as under way.
MIGRATION_TIMEOUT_S = 2.0
# Younger streams are migrated last, so that a stream is not moved repeatedly.
MIN_MIGRATION_AGE_S = 1.0
TICK_INTERVAL_S = 0.5
# A tick that is late by more than this means that the process was paused.
MIN_PAUSE_S = 2.0
# Part of the time left until the target that a query may wait for its server.
AFFINITY_WAIT_RATIO = 0.05
MAX_AFFINITY_WAIT_S = 0.25
LOOKAHEAD_COUNT = 8
# Weight of a new sample in the moving average of the time a permit is held.
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.1
NO_SERVER_RETRY_S = 5.0
MAX_LOAD_PERCENT = 1_000


class AdmissionController:
    """Admits requests to the backend servers of one pool.

    A new owner calls ``begin_grace_period``, which asks all live hosts for the
    permits that they hold. Queries are queued until all hosts have replied or
    TAKEOVER_GRACE_S has passed.

    Args:
        pool: The pool and its servers.
        hosts: The live hosts.
        timers: The timer service.
        send: Sends a message to an entry host.

    Attributes:
        pool: The pool and its servers.
        affinity: The servers that are likely to have a chat's prefix cached.
        loads: The loads of the pool's servers.
        permits: The granted permits.
    """

    def __init__(
        self,
        pool: Pool,
        hosts: Iterable[str],
        timers: Timers,
        send: Callable[[str, Any], Any],
    ):
        self.pool = pool
        self.affinity = ChatAffinity()
        self.loads = PoolLoads()
        self.permits = PermitTable(self.loads)
        self._timers = timers
        self._send = send
        self._queue = FairQueue()
        self._next_sequence = count()
        self._affinity_waits: dict[int, QueuedQuery] = {}
        self._mean_hold_s: float | None = None
        self._awaited_hosts: set[str] = set()
        self._grace_until_s = 0.0
        self._last_tick_s = timers.now()
        self._hosts = set(hosts)
        self.loads.update_servers(pool.servers, timers.now())
        self._tick_subscription = timers.subscribe(TICK_INTERVAL_S, self._tick)

    def close(self, owner: str) -> None:
        """End the ownership and redirect the queued queries.

        Args:
            owner: The new owner, or "" if there is none.
        """
        self._tick_subscription.cancel()
        for queued in [*self._queue, *self._affinity_waits.values()]:
            self._queue.remove(queued)
            self._send(queued.sender, NotOwner(queued.query.number, owner))
        self._affinity_waits.clear()

    def begin_grace_period(self) -> None:
        """Ask all live hosts for their permits; grant none until they reply."""
        self._awaited_hosts = set(self._hosts)
        self._grace_until_s = self._timers.now() + TAKEOVER_GRACE_S
        self._timers.call_later(TAKEOVER_GRACE_S, self._process_queue)
        for host in sorted(self._hosts):
            self._send(host, HoldingsQuery(self.pool.number))

    def update_pool(self, pool: Pool) -> None:
        """Apply the newly published servers of the pool."""
        self.pool = pool
        self.loads.update_servers(pool.servers, self._timers.now())
        self.permits.recount_servers()
        self._process_queue()

    def update_hosts(self, hosts: Iterable[str]) -> None:
        """Apply the live hosts and remove the permits of hosts that died."""
        live_hosts = set(hosts)
        for host in self._hosts - live_hosts:
            self._remove_host(host)
        self._hosts = live_hosts
        self._process_queue()

    def update_load_multiple(self, load_multiple: float) -> None:
        """Apply the maximum ratio of a server's load to the mean."""
        self.loads.load_multiple = load_multiple
        self._process_queue()

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message about this pool from a host."""
        raise TypeError(f"admission has no handler for {type(message).__name__}")

    @handle.register
    def _handle_query(self, message: PermitQuery, sender: str) -> None:
        self.permits.remove(sender, message.number)
        now = self._timers.now()
        max_wait_s = message.target_ms / 1000 * MAX_QUEUE_TIME_RATIO
        queued = QueuedQuery(
            now + max_wait_s, next(self._next_sequence), sender, message
        )
        self._admit(queued)

    def _admit(self, queued: QueuedQuery, may_wait_for_affinity: bool = True) -> None:
        """Grant, delay, refuse or queue a query."""
        if self.is_admitting() and not self._queue:
            available = self._find_available(queued.query)
            if may_wait_for_affinity and self._wait_for_affinity(queued, available):
                return
            if available:
                self._grant(queued, available)
                return
            if queued.query.fleet_load_percent:
                self._refuse_overloaded(queued)
                return
        self._enqueue(queued)
        self._process_queue()

    def _find_available(self, query: PermitQuery) -> dict[str, ServerLoad]:
        """Return the servers within the bounds of the pool's and the fleet's mean."""
        available = self.loads.find_available(self._timers.now())
        return self.loads.filter_by_fleet_load(
            available, query.fleet_load_percent / 100
        )

    @handle.register
    def _handle_release(self, message: Release, sender: str) -> None:
        now = self._timers.now()
        for number in message.done:
            permit = self.permits.remove(sender, number)
            if permit is not None:
                self._record_hold_time(now - permit.granted_s)
                self._record_success(permit)
        for number in message.failed:
            permit = self.permits.remove(sender, number)
            if permit is not None:
                self._record_failure(permit)
        for number in message.abandoned:
            self.permits.remove(sender, number)
        self._process_queue()

    @handle.register
    def _handle_renewal(self, message: Renewal, sender: str) -> None:
        held_numbers = set(message.numbers)
        self.permits.renew(sender, held_numbers, self._timers.now())
        if held_numbers.difference(self.permits.list_numbers(sender)):
            self._send(sender, HoldingsQuery(self.pool.number))
        self._process_queue()

    @handle.register
    def _handle_holdings(self, message: HoldingsReply, sender: str) -> None:
        now = self._timers.now()
        self.permits.renew(sender, {held.number for held in message.holdings}, now)
        for holding in message.holdings:
            self._add_holding(sender, holding)
        self._awaited_hosts.discard(sender)
        if not self._awaited_hosts:
            self._grace_until_s = min(self._grace_until_s, now)
        self._process_queue()

    @handle.register
    def _handle_leaving(self, message: LeavingNotice, sender: str) -> None:
        load = self.loads.servers.get(message.backend_server)
        if load is not None:
            load.record_leaving(self._timers.now())

    @handle.register
    def _handle_failure(self, message: FailureNotice, sender: str) -> None:
        self.record_server_failure(message.backend_server)

    def record_server_failure(self, backend_server: str) -> None:
        """Back off from a server that failed a request or a probe."""
        load = self.loads.servers.get(backend_server)
        if load is None:
            return
        now = self._timers.now()
        avoided_until_s = load.record_failure(now)
        self._timers.call_later(avoided_until_s - now, self._process_queue)
        log_message(
            "placement:server_avoided",
            backend_server=backend_server,
            failures=load.failures,
            for_s=round(avoided_until_s - now, 3),
        )

    def count_queued(self) -> int:
        """Return the number of queued queries."""
        return len(self._queue)

    def is_admitting(self) -> bool:
        """Return whether the grace period after the takeover has ended."""
        return self._timers.now() >= self._grace_until_s

    def _enqueue(self, queued: QueuedQuery) -> None:
        now = self._timers.now()
        wait_s = self._predict_wait(queued)
        if now + wait_s > queued.deadline_s:
            self._refuse(queued, wait_s)
            return
        self._queue.push(queued)
        self._send(queued.sender, Queued(queued.query.number))
        self._timers.call_later(queued.deadline_s - now, lambda: self._expire(queued))

    def _expire(self, queued: QueuedQuery) -> None:
        before = len(self._queue)
        self._queue.remove(queued)
        if len(self._queue) < before:
            self._refuse(queued, self._predict_wait(queued))

    def _refuse(self, queued: QueuedQuery, wait_s: float) -> None:
        number, workspace = queued.query.number, queued.query.workspace
        code = Code.TARGET_UNREACHABLE
        if self._is_over_share(workspace):
            code = Code.WORKSPACE_OVER_SHARE
        now = self._timers.now()
        if not any(s.is_usable(now) for s in self.loads.servers.values()):
            code = Code.NO_BACKEND_SERVER
        retry_ms = round(max(wait_s, MIN_RETRY_AFTER_S) * 1000)
        self._send(
            queued.sender, Refusal(number, code, retry_ms, self._compute_load_percent())
        )

    def _refuse_overloaded(self, queued: QueuedQuery) -> None:
        """Refuse a query whose entry host can ask a less loaded pool."""
        retry_ms = round(MIN_RETRY_AFTER_S * 1000)
        load_percent, code = self._compute_load_percent(), Code.TARGET_UNREACHABLE
        self._send(
            queued.sender, Refusal(queued.query.number, code, retry_ms, load_percent)
        )

    def _is_over_share(self, workspace: int) -> bool:
        """Return whether a workspace exceeds an equal share of the pool's slots.

        The share is counted over the workspaces with permits or queued
        queries; a workspace that is alone has no limit.
        """
        slots, _ = self.loads.sum_usable(self._timers.now())
        active = {*self._queue.list_workspaces(), *self.permits.in_flight_by_workspace}
        if not active - {workspace}:
            return False
        share = slots / len(active | {workspace})
        demand = self.permits.in_flight_by_workspace[
            workspace
        ] + self._queue.count_queued(workspace)
        return demand > share

    def _predict_wait(self, queued: QueuedQuery) -> float:
        """Return the expected time until a query is granted, in seconds.

        Assumes that permits are held for the average time. Without a usable
        server, it is the time until the first backoff ends.
        """
        now = self._timers.now()
        grace_s = max(0.0, self._grace_until_s - now)
        slots, in_flight = self.loads.sum_usable(now)
        if not slots:
            retry_times_s = [
                s.avoided_until_s
                for s in self.loads.servers.values()
                if not s.is_leaving(now)
            ]
            return max(
                grace_s, min(retry_times_s, default=now + NO_SERVER_RETRY_S) - now
            )
        ahead = self._queue.count_ahead(queued, self.permits.in_flight_by_workspace) + 1
        ahead -= max(0, slots - in_flight)
        if ahead <= 0 or not in_flight or self._mean_hold_s is None:
            return grace_s
        return grace_s + ahead * self._mean_hold_s / in_flight

    def _process_queue(self) -> None:
        """Grant all waiting queries that servers may take, then enforce the bound.

        Migrations are requested only in pools of engines, whose streams can be
        resumed on another server.
        """
        self._grant_affinity_waits()
        self._grant_queued()
        if self.pool.kind == "engine" and self.is_admitting():
            excess = self.loads.find_excess(self._timers.now())
            for name, excess_count in excess.items():
                self._request_migrations(name, excess_count)

    def _request_migrations(self, backend_server: str, excess: int) -> None:
        """Request that streams of a server be resumed on other servers.

        The newest streams go first, except that streams younger than
        MIN_MIGRATION_AGE_S go last: otherwise the same stream would be moved
        repeatedly. Migrations already under way count towards the excess.

        Args:
            backend_server: The server that exceeds the bound.
            excess: The number of requests above the bound.
        """
        now = self._timers.now()
        candidates = [
            (
                now - permit.granted_s < MIN_MIGRATION_AGE_S,
                -permit.granted_s,
                host,
                number,
            )
            for host, number, permit in self.permits
            if permit.backend_server == backend_server
        ]
        for _, _, host, number in sorted(candidates):
            requested_s = self.permits.migration_requested_s.get((host, number))
            if excess > 0 and requested_s is None:
                self.permits.migration_requested_s[host, number] = now
                self._send(host, Migrate(number))
                excess -= 1
            elif requested_s is not None and now - requested_s < MIGRATION_TIMEOUT_S:
                excess -= 1

    def _wait_for_affinity(
        self, queued: QueuedQuery, available: dict[str, ServerLoad]
    ) -> bool:
        """Delay a query briefly if its chat's servers can't take it now.

        Returns:
            Whether the query is delayed.
        """
        query = queued.query
        cached_on = self.affinity.find_servers(query.chat)
        if not cached_on or not available or query.avoid:
            return False
        if any(server in available for server in cached_on):
            return False
        wait_s = min(MAX_AFFINITY_WAIT_S, query.target_ms / 1000 * AFFINITY_WAIT_RATIO)
        self._affinity_waits[queued.sequence] = queued
        self._timers.call_later(wait_s, lambda: self._end_affinity_wait(queued))
        return True

    def _end_affinity_wait(self, queued: QueuedQuery) -> None:
        if self._affinity_waits.pop(queued.sequence, None) is not None:
            self._admit(queued, may_wait_for_affinity=False)

    def _grant_affinity_waits(self) -> None:
        """Grant the delayed queries whose chat's servers may take them now."""
        for queued in list(self._affinity_waits.values()):
            available = self._find_available(queued.query)
            cached_on = self.affinity.find_servers(queued.query.chat)
            if self.is_admitting() and any(server in available for server in cached_on):
                del self._affinity_waits[queued.sequence]
                self._grant(queued, available)

    def _grant_queued(self) -> None:
        now = self._timers.now()
        while self._queue and now >= self._grace_until_s:
            available = self.loads.find_available(now)
            if not available:
                return
            queued = self._pick_next(available)
            self._queue.remove(queued)
            self._grant(queued, available)

    def _pick_next(self, available: dict[str, ServerLoad]) -> QueuedQuery:
        """Return the query to grant next.

        Of the next LOOKAHEAD_COUNT queries in grant order, it is the first
        whose chat was last placed on an available server, if there is one.
        """
        grant_order = self._queue.iterate_in_grant_order(
            self.permits.in_flight_by_workspace
        )
        first = next(grant_order)
        for queued in (first, *islice(grant_order, LOOKAHEAD_COUNT - 1)):
            cached_on = self.affinity.find_servers(queued.query.chat)
            if cached_on and cached_on[0] in available:
                return queued
        return first

    def _grant(self, queued: QueuedQuery, available: dict[str, ServerLoad]) -> None:
        query, sender = queued.query, queued.sender
        server = self._choose_server(query, available)
        now = self._timers.now()
        permit = GrantedPermit(server, query.chat, query.workspace, now)
        self.permits.add(sender, query.number, permit)
        if query.chat:
            self.affinity.record_placement(query.chat, server)
        self._send(sender, Grant(query.number, server, self._compute_load_percent()))

    def _choose_server(
        self, query: PermitQuery, available: dict[str, ServerLoad]
    ) -> str:
        """Return the backend server for a query.

        It is the chat's most recent server that is available, else the server
        with the lowest ratio of requests to slots. The chat's rendezvous order
        breaks ties.
        """
        names = [name for name in available if name != query.avoid] or list(available)
        for server in self.affinity.find_servers(query.chat):
            if server in names:
                return server
        order = rank_candidates(str(query.chat), names)
        return min(order, key=lambda name: _compute_fill_ratio(available[name]))

    def _compute_load_percent(self) -> int:
        slots, in_flight = self.loads.sum_usable(self._timers.now())
        if not slots:
            return MAX_LOAD_PERCENT
        percent = 100 * (in_flight + len(self._queue)) // slots
        return min(MAX_LOAD_PERCENT, percent)

    def _add_holding(self, host: str, holding: Holding) -> None:
        if holding.number in self.permits.list_numbers(host):
            return
        now = self._timers.now()
        server, chat = holding.backend_server, holding.chat
        permit = GrantedPermit(server, chat, holding.workspace, now)
        self.permits.add(host, holding.number, permit)
        if chat and not self.affinity.find_servers(chat):
            self.affinity.record_placement(chat, server)

    def _remove_host(self, host: str) -> None:
        self._awaited_hosts.discard(host)
        self.permits.remove_host(host)
        for queued in [*self._queue, *self._affinity_waits.values()]:
            if queued.sender == host:
                self._queue.remove(queued)
                self._affinity_waits.pop(queued.sequence, None)

    def _record_hold_time(self, hold_s: float) -> None:
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        self._mean_hold_s += HOLD_TIME_WEIGHT * (hold_s - self._mean_hold_s)

    def _record_success(self, permit: GrantedPermit) -> None:
        load = self.loads.servers.get(permit.backend_server)
        if load is not None and permit.granted_s >= load.avoided_until_s:
            load.failures = 0

    def _record_failure(self, permit: GrantedPermit) -> None:
        load = self.loads.servers.get(permit.backend_server)
        if load is not None and permit.granted_s >= load.avoided_until_s:
            self.record_server_failure(permit.backend_server)

    def _tick(self) -> None:
        """Remove expired leases, or start over after a pause of the process.

        The permits are outdated after a pause, so a new grace period begins.
        """
        now = self._timers.now()
        paused = now - self._last_tick_s > TICK_INTERVAL_S + MIN_PAUSE_S
        self._last_tick_s = now
        if paused:
            self.begin_grace_period()
            return
        for host in self.permits.list_expired_hosts(now):
            self._remove_host(host)
        self._process_queue()


def _compute_fill_ratio(load: ServerLoad) -> float:
    """Return the ratio of a server's requests in flight to its slots."""
    return load.in_flight / load.slots
