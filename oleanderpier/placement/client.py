"""The permit client of an entry host: requests, holds and releases permits."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from eliot import log_message
from expression import Error, Ok

from oleanderpier.configuration import WorkClass
from oleanderpier.placement.messages import (
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
    hash_name,
)
from oleanderpier.placement.owners import OwnerChange, OwnerTable
from oleanderpier.placement.pending import (
    FleetLoad,
    HeldPermit,
    PendingPermit,
    PermitCallback,
)
from oleanderpier.placement.pools import Pool, Topology
from oleanderpier.placement.queues import MAX_QUEUE_TIME_RATIO
from oleanderpier.placement.records import Outcome, Permit, PermitRequest
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Timers, hash_text, rank_candidates

__all__ = ["PermitClient"]

QUERY_TIMEOUT_S = 0.5
# Added to the owner's queue deadline before a queued query times out here.
QUEUED_REPLY_MARGIN_S = 0.1
RENEWAL_INTERVAL_S = 5.0
# Time for which this host uses its own share of a pool whose owner is silent.
SHARE_FALLBACK_S = 2.0
RETRY_AFTER_S = 1.0
# The published list should show the server as leaving within this time.
LEAVING_NOTICE_TTL_S = 30.0
MAX_RETRIES = 4
# The priority of a request is its first-token target in these units.
PRIORITY_UNITS_PER_S = 10
NUMBER_RANGE = 1 << 31


class PermitClient:
    """Gets permits from the owners of pools for one host's requests.

    Args:
        host: This host's name.
        timers: The timer service.
        rng: The source of randomness.
        send: Sends a message to a host, which may be this host.
        owners: The owners of pools, kept up to date by the caller.
        on_migrate: Called with the permit of a stream that should be resumed
            on another server. The callback requests a second permit, resumes
            the stream there and releases the first permit. None if streams
            can't be moved.
    """

    def __init__(
        self,
        host: str,
        timers: Timers,
        rng: random.Random,
        send: Callable[[str, Any], Any],
        owners: OwnerTable,
        on_migrate: Callable[[Permit], None] | None = None,
    ):
        self._host = host
        self._timers = timers
        self._rng = rng
        self._send = send
        self._owners = owners
        self._on_migrate = on_migrate
        self._topology = Topology([])
        self._classes: dict[str, WorkClass] = {}
        self._last_number = rng.randrange(NUMBER_RANGE)
        self._pending: dict[int, PendingPermit] = {}
        self._held: dict[int, HeldPermit] = {}
        self._held_by_pool: dict[int, set[int]] = {}
        self._fleet_loads: defaultdict[tuple[str, ...], FleetLoad]
        self._fleet_loads = defaultdict(FleetLoad)
        self._share_until_s: dict[int, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        timers.subscribe(RENEWAL_INTERVAL_S, self._renew_leases)

    def update_topology(self, topology: Topology) -> None:
        """Apply the pools of a newly published list of backend servers.

        Held permits move to the new pool of their server, and pending requests
        whose pools were removed get new ones. Must be called after the owners
        are updated.
        """
        self._topology = topology
        held = list(self._held.values())
        moved = {
            pool for permit in held if (pool := self._move_to_current_pool(permit))
        }
        self._send_renewals(moved)
        for pending in list(self._pending.values()):
            self._refresh_pools(pending)

    def update_classes(self, classes: Iterable[WorkClass]) -> None:
        """Apply the classes of work of a new configuration."""
        self._classes = {item["name"]: item for item in classes}

    def update_owners(self, changes: Iterable[OwnerChange]) -> None:
        """Send pending queries and renewals to the new owners of pools."""
        moved = {change.pool for change in changes}
        self._send_renewals(pool for pool in moved if self._held_by_pool.get(pool))
        for pool in moved:
            self._share_until_s.pop(pool, None)
        for pending in list(self._pending.values()):
            if pending.pools[0].number in moved:
                self._query_first_pool(pending)

    def request(self, request: PermitRequest, callback: PermitCallback) -> None:
        """Request a permit.

        Args:
            request: The request that needs a backend server.
            callback: Called exactly once, with the permit or with a failure
                that means the request was not run.
        """
        work_class = self._classes.get(request.work_class)
        if work_class is None:
            callback(Error(Failure(Code.CLASS_UNKNOWN, request.work_class)))
            return
        pools = self._rank_pools(request, work_class)
        if not pools:
            text = f"nothing provides {work_class['needs']}"
            failure = Failure(Code.NO_BACKEND_SERVER, text, RETRY_AFTER_S)
            callback(Error(failure))
            return
        deadline_s = self._timers.now() + work_class["first_token_s"]
        pending = PendingPermit(request, work_class, pools, deadline_s, callback)
        self._assign_number(pending)
        self._query_first_pool(pending)

    def release(self, permit: Permit, outcome: Outcome = Outcome.DONE) -> None:
        """Release a permit with its outcome; a second release has no effect."""
        held = self._held.pop(permit.number, None)
        if held is None:
            return
        permit = held.permit
        self._held_by_pool[permit.pool].discard(permit.number)
        self._send_release(self._find_owner(permit.pool), permit, outcome)

    def cancel(self, request: str) -> None:
        """Cancel a request that no longer needs a permit."""
        for pending in list(self._pending.values()):
            if pending.request.request == request:
                self._remove_pending(pending)

    def record_server_leaving(self, backend_server: str) -> None:
        """Reject permits for a leaving server, and send its owner a notice."""
        now = self._timers.now()
        self._leaving_until_s[backend_server] = now + LEAVING_NOTICE_TTL_S
        self._send_leaving_notice(backend_server)

    def list_held_permits(self) -> list[Permit]:
        """Return the permits that this host holds for its requests."""
        return [held.permit for held in self._held.values()]

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle a message from a pool's owner."""
        raise TypeError(f"permit client has no handler for {type(message).__name__}")

    @handle.register
    def _handle_grant(self, message: Grant, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            self._release_unused_grant(message, sender)
            return
        self._fleet_loads[pending.pools[0].provides].add_sample(message.load_percent)
        if not self._is_usable(message.backend_server):
            self._release_unused_grant(message, sender)
            self._retry(pending, message.backend_server)
            return
        self._hold_permit(pending, message.backend_server)

    @handle.register
    def _handle_refusal(self, message: Refusal, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        self._fleet_loads[pending.pools[0].provides].add_sample(message.load_percent)
        over_share = message.code is Code.WORKSPACE_OVER_SHARE
        if len(pending.pools) > 1 and not over_share:
            self._try_next_pool(pending)
            return
        self._fail(pending, message.code, message.retry_after_ms / 1000)

    @handle.register
    def _handle_queued(self, message: Queued, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        pending.timer.cancel()
        left_s = max(0.0, pending.deadline_s - self._timers.now())
        timeout_s = min(left_s, MAX_QUEUE_TIME_RATIO * left_s + QUEUED_REPLY_MARGIN_S)
        pending.timer = self._timers.call_later(
            timeout_s, lambda: self._query_next_host(pending)
        )

    @handle.register
    def _handle_not_owner(self, message: NotOwner, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        owner = message.owner
        if owner and owner not in pending.queried_hosts:
            self._send_query(pending, owner)
        else:
            self._query_next_host(pending)

    @handle.register
    def _handle_holdings_query(self, message: HoldingsQuery, sender: str) -> None:
        numbers = self._held_by_pool.get(message.pool, ())
        holdings = [self._make_holding(number) for number in sorted(numbers)]
        self._send(sender, HoldingsReply(message.pool, holdings))

    @handle.register
    def _handle_migrate(self, message: Migrate, sender: str) -> None:
        held = self._held.get(message.number)
        if held is not None and held.can_migrate and self._on_migrate is not None:
            self._on_migrate(held.permit)

    def _rank_pools(self, request: PermitRequest, work_class: WorkClass) -> list[Pool]:
        key = request.chat or f"{self._host}|{self._rng.random()}"
        return self._topology.rank_pools(work_class["kind"], work_class["needs"], key)

    def _move_to_current_pool(self, held: HeldPermit) -> int | None:
        """Move a permit to the current pool of its server.

        Returns:
            The number of the new pool; None if the permit was not moved.
        """
        permit = held.permit
        pool = self._topology.find_pool(permit.backend_server)
        if pool is None or pool.number == permit.pool:
            return None
        self._send_release(self._find_owner(permit.pool), permit, Outcome.ABANDONED)
        self._held_by_pool[permit.pool].discard(permit.number)
        self._held_by_pool.setdefault(pool.number, set()).add(permit.number)
        moved = permit._replace(pool=pool.number)
        self._held[permit.number] = held._replace(permit=moved)
        return pool.number

    def _refresh_pools(self, pending: PendingPermit) -> None:
        old_number = pending.pools[0].number
        current = self._topology.pools
        pools = [current[p.number] for p in pending.pools if p.number in current]
        pending.pools = pools or self._rank_pools(pending.request, pending.work_class)
        if not pending.pools:
            self._fail(pending, Code.NO_BACKEND_SERVER, RETRY_AFTER_S)
        elif pending.pools[0].number != old_number:
            self._query_first_pool(pending)

    def _find_owner(self, pool: int) -> str:
        return self._owners.find_owner(pool)

    def _query_first_pool(self, pending: PendingPermit) -> None:
        pending.queried_hosts = []
        pool = pending.pools[0].number
        owner = self._find_owner(pool)
        if not owner or self._share_until_s.get(pool, 0.0) > self._timers.now():
            self._grant_from_share(pending)
        else:
            self._send_query(pending, owner)

    def _send_query(self, pending: PendingPermit, host: str) -> None:
        self._assign_number(pending)
        pending.queried_hosts.append(host)
        pending.timer.cancel()
        left_s = pending.deadline_s - self._timers.now()
        if left_s <= 0:
            self._expire(pending)
            return
        request = pending.request
        chat = hash_text(request.chat) if request.chat else 0
        workspace = hash_name(request.workspace)
        pool = pending.pools[0]
        fleet_load_percent = 0
        if len(pending.pools) > 1:
            fleet_load_percent = self._fleet_loads[pool.provides].get_percent()
        pending.timer = self._timers.call_later(
            min(QUERY_TIMEOUT_S, left_s), lambda: self._query_next_host(pending)
        )
        target_ms = max(1, round(left_s * 1000))
        query = PermitQuery(
            pending.number,
            pool.number,
            chat,
            workspace,
            target_ms,
            fleet_load_percent,
            pending.avoid,
        )
        self._send(host, query)

    def _assign_number(self, pending: PendingPermit) -> None:
        self._pending.pop(pending.number, None)
        self._last_number = (self._last_number + 1) % NUMBER_RANGE
        pending.number = self._last_number
        self._pending[pending.number] = pending

    def _query_next_host(self, pending: PendingPermit) -> None:
        """Query the next host about a pool whose owner did not grant a permit.

        The first two hosts in the pool's rendezvous order are queried, at most
        two hosts in all; after that, this host uses its own share of the pool.
        """
        if pending.number not in self._pending:
            return
        if len(pending.queried_hosts) < 2:
            ranked_hosts = self._owners.rank_owners(pending.pools[0].number)[:2]
            for host in ranked_hosts:
                if host not in pending.queried_hosts:
                    self._send_query(pending, host)
                    return
        pool = pending.pools[0].number
        self._share_until_s[pool] = self._timers.now() + SHARE_FALLBACK_S
        self._grant_from_share(pending)

    def _grant_from_share(self, pending: PendingPermit) -> None:
        """Grant a permit locally, without the pool's owner.

        This host may use an equal share of each server's slots, by its own
        count of requests in flight.
        """
        pool = pending.pools[0]
        hosts = max(1, len(self._owners.hosts))
        in_flight = Counter(
            self._held[number].permit.backend_server
            for number in self._held_by_pool.get(pool.number, ())
        )
        shares = {s["name"]: max(1, s["slots"] // hosts) for s in pool.servers}
        free = [
            server["name"]
            for server in pool.servers
            if server["state"] == "live"
            and server["name"] != pending.avoid
            and not self._is_leaving(server["name"])
            and in_flight[server["name"]] < shares[server["name"]]
        ]
        log_message("placement:share_used", pool=pool.name, free=len(free))
        if not free:
            self._fail(pending, Code.TARGET_UNREACHABLE, RETRY_AFTER_S)
            return
        chat = hash_text(pending.request.chat)
        self._hold_permit(pending, rank_candidates(str(chat), free)[0])

    def _try_next_pool(self, pending: PendingPermit) -> None:
        del pending.pools[0]
        self._query_first_pool(pending)

    def _is_usable(self, backend_server: str) -> bool:
        """Return whether a server is published and not known to be leaving."""
        if self._is_leaving(backend_server):
            self._send_leaving_notice(backend_server)
            return False
        return self._topology.find_pool(backend_server) is not None

    def _retry(self, pending: PendingPermit, avoid: str) -> None:
        pending.avoid = avoid
        pending.retries += 1
        if pending.retries > MAX_RETRIES:
            self._fail(pending, Code.NO_BACKEND_SERVER, RETRY_AFTER_S)
        else:
            self._query_first_pool(pending)

    def _expire(self, pending: PendingPermit) -> None:
        if pending.number in self._pending:
            self._fail(pending, Code.TARGET_UNREACHABLE, RETRY_AFTER_S)

    def _remove_pending(self, pending: PendingPermit) -> None:
        self._pending.pop(pending.number, None)
        pending.timer.cancel()

    def _fail(self, pending: PendingPermit, code: Code, retry_after_s: float) -> None:
        self._remove_pending(pending)
        text = f"no permit for {pending.work_class['needs']}"
        pending.callback(Error(Failure(code, text, retry_after_s)))

    def _hold_permit(self, pending: PendingPermit, backend_server: str) -> None:
        self._remove_pending(pending)
        request = pending.request
        priority = round(pending.work_class["first_token_s"] * PRIORITY_UNITS_PER_S)
        pool = pending.pools[0].number
        permit = Permit(request.request, backend_server, priority, pending.number, pool)
        chat = hash_text(request.chat) if request.chat else 0
        workspace = hash_name(request.workspace)
        can_migrate = pending.work_class["repeatable"]
        held = HeldPermit(permit, chat, workspace, can_migrate)
        self._held[permit.number] = held
        self._held_by_pool.setdefault(pool, set()).add(permit.number)
        pending.callback(Ok(permit))

    def _release_unused_grant(self, grant: Grant, sender: str) -> None:
        """Release a granted permit that can't be used."""
        self._send(sender, Release(0, [], [], [grant.number]))

    def _send_release(self, owner: str, permit: Permit, outcome: Outcome) -> None:
        if not owner:
            return
        numbers = {item: [] for item in Outcome}
        numbers[outcome].append(permit.number)
        self._send(owner, Release(permit.pool, *numbers.values()))

    def _make_holding(self, number: int) -> Holding:
        held = self._held[number]
        return Holding(number, held.permit.backend_server, held.chat, held.workspace)

    def _is_leaving(self, backend_server: str) -> bool:
        until_s = self._leaving_until_s.get(backend_server)
        if until_s is None:
            return False
        if until_s <= self._timers.now():
            del self._leaving_until_s[backend_server]
            return False
        return True

    def _send_leaving_notice(self, backend_server: str) -> None:
        pool = self._topology.find_pool(backend_server)
        if pool is None:
            return
        owner = self._find_owner(pool.number)
        if owner:
            self._send(owner, LeavingNotice(pool.number, backend_server))

    def _renew_leases(self) -> None:
        for pool, numbers in list(self._held_by_pool.items()):
            if not numbers:
                del self._held_by_pool[pool]
        self._send_renewals(self._held_by_pool)

    def _send_renewals(self, pools: Iterable[int]) -> None:
        for pool in pools:
            owner = self._find_owner(pool)
            if owner:
                numbers = sorted(self._held_by_pool[pool])
                self._send(owner, Renewal(pool, numbers))
