"""The entry host's side: asks for permits, holds them and gives them back."""

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
from oleanderpier.placement.pending import FleetLoad, HeldPermit, Notify, PendingPermit
from oleanderpier.placement.pools import Pool, Topology
from oleanderpier.placement.queues import MAX_QUEUE_TIME_RATIO
from oleanderpier.placement.records import Outcome, Permit, PermitRequest
from oleanderpier.results import Code, Failure
from oleanderpier.utils import Timers, hash_text, rank_candidates

__all__ = ["PermitClient"]

ASK_TIMEOUT_S = 0.5
ANSWER_MARGIN_S = 0.1
RENEWAL_INTERVAL_S = 5.0
SHARE_HOLD_S = 2.0
SHARE_RETRY_AFTER_S = 1.0
LEAVING_NOTICE_S = 30.0
MAX_REPEATS = 4
PRIORITY_UNITS_PER_S = 10
NUMBER_RANGE = 1 << 31


class PermitClient:
    """Gets permits from the owners of pools for the requests of one host.

    Args:
        host: This host's name.
        timers: The timer service.
        rng: Source of randomness.
        send: Sends a message to a host, which may be this one.
        owners: The owners of pools, kept up to date by the caller.
        on_migrate: Called with the permit of a stream that should be resumed
            elsewhere: ask again, resume there, then release this permit. None
            if the caller cannot do so.
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
        self._number = rng.randrange(NUMBER_RANGE)
        self._pending: dict[int, PendingPermit] = {}
        self._held: dict[int, HeldPermit] = {}
        self._held_of_pool: dict[int, set[int]] = {}
        self._fleet_loads: defaultdict[tuple[str, ...], FleetLoad]
        self._fleet_loads = defaultdict(FleetLoad)
        self._share_until_s: dict[int, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        timers.subscribe(RENEWAL_INTERVAL_S, self._renew)

    def update_topology(self, topology: Topology) -> None:
        """Take the pools of a newly published list of backend servers.

        Permits follow their server to its new pool, and requests whose pool
        is gone look for another. To be called after the owners are updated.
        """
        self._topology = topology
        held = list(self._held.values())
        moved = {pool for permit in held if (pool := self._move(permit))}
        self._renew_pools(moved)
        for pending in list(self._pending.values()):
            self._refresh_pools(pending)

    def update_classes(self, classes: Iterable[WorkClass]) -> None:
        """Take the classes of work of a new configuration."""
        self._classes = {item["name"]: item for item in classes}

    def update_owners(self, changes: Iterable[OwnerChange]) -> None:
        """Ask again where the owner has changed, and renew what is held there."""
        moved = {change.pool for change in changes}
        self._renew_pools(pool for pool in moved if self._held_of_pool.get(pool))
        for pool in moved:
            self._share_until_s.pop(pool, None)
        for pending in list(self._pending.values()):
            if pending.pools[0].number in moved:
                self._start_pool(pending)

    def request(self, request: PermitRequest, notify: Notify) -> None:
        """Ask for a permit, and call back once with it or with a failure.

        Args:
            request: What needs a backend server.
            notify: Gets the permit, or a failure that means not run.
        """
        work_class = self._classes.get(request.work_class)
        if work_class is None:
            notify(Error(Failure(Code.CLASS_UNKNOWN, request.work_class)))
            return
        pools = self._order_pools(request, work_class)
        if not pools:
            text = f"nothing provides {work_class['needs']}"
            failure = Failure(Code.NO_BACKEND_SERVER, text, SHARE_RETRY_AFTER_S)
            notify(Error(failure))
            return
        deadline_s = self._timers.now() + work_class["first_token_s"]
        pending = PendingPermit(request, work_class, pools, deadline_s, notify)
        self._renumber(pending)
        self._start_pool(pending)

    def release(self, permit: Permit, outcome: Outcome = Outcome.DONE) -> None:
        """Give a permit back, with how it was used; again has no effect."""
        held = self._held.pop(permit.number, None)
        if held is None:
            return
        permit = held.permit
        self._held_of_pool[permit.pool].discard(permit.number)
        self._send_release(self._find_owner(permit.pool), permit, outcome)

    def cancel(self, request: str) -> None:
        """Forget a request that no longer needs a permit."""
        for pending in list(self._pending.values()):
            if pending.request.request == request:
                self._forget(pending)

    def note_leaving(self, backend_server: str) -> None:
        """Refuse permits for a server that is leaving, and tell its owner."""
        now = self._timers.now()
        self._leaving_until_s[backend_server] = now + LEAVING_NOTICE_S
        self._tell_leaving(backend_server)

    def list_held(self) -> list[Permit]:
        """Return the permits that this host holds."""
        return [held.permit for held in self._held.values()]

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take an owner's message."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _handle_grant(self, message: Grant, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            self._return_grant(message, sender)
            return
        self._fleet_loads[pending.pools[0].provides].note(message.load_percent)
        if not self._can_use(message.backend_server):
            self._return_grant(message, sender)
            self._repeat(pending, message.backend_server)
            return
        self._finish(pending, message.backend_server)

    @handle.register
    def _handle_refusal(self, message: Refusal, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        self._fleet_loads[pending.pools[0].provides].note(message.load_percent)
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
        answer_s = min(left_s, MAX_QUEUE_TIME_RATIO * left_s + ANSWER_MARGIN_S)
        pending.timer = self._timers.call_later(
            answer_s, lambda: self._ask_another(pending)
        )

    @handle.register
    def _handle_not_owner(self, message: NotOwner, sender: str) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        named = message.owner
        if named and named not in pending.tried:
            self._ask(pending, named)
        else:
            self._ask_another(pending)

    @handle.register
    def _handle_recount(self, message: HoldingsQuery, sender: str) -> None:
        numbers = self._held_of_pool.get(message.pool, ())
        holdings = [self._describe_holding(number) for number in sorted(numbers)]
        self._send(sender, HoldingsReply(message.pool, holdings))

    @handle.register
    def _handle_migrate(self, message: Migrate, sender: str) -> None:
        held = self._held.get(message.number)
        if held is not None and held.migrates and self._on_migrate is not None:
            self._on_migrate(held.permit)

    def _order_pools(self, request: PermitRequest, work_class: WorkClass) -> list[Pool]:
        key = request.chat or f"{self._host}|{self._rng.random()}"
        return self._topology.rank_pools(work_class["kind"], work_class["needs"], key)

    def _move(self, held: HeldPermit) -> int | None:
        """Return the pool that a permit's server has moved to, if it has."""
        permit = held.permit
        pool = self._topology.find_pool(permit.backend_server)
        if pool is None or pool.number == permit.pool:
            return None
        self._send_release(self._find_owner(permit.pool), permit, Outcome.ABANDONED)
        self._held_of_pool[permit.pool].discard(permit.number)
        self._held_of_pool.setdefault(pool.number, set()).add(permit.number)
        moved = permit._replace(pool=pool.number)
        self._held[permit.number] = held._replace(permit=moved)
        return pool.number

    def _refresh_pools(self, pending: PendingPermit) -> None:
        before = pending.pools[0].number
        known = self._topology.pools
        pools = [known[p.number] for p in pending.pools if p.number in known]
        pending.pools = pools or self._order_pools(pending.request, pending.work_class)
        if not pending.pools:
            self._fail(pending, Code.NO_BACKEND_SERVER, SHARE_RETRY_AFTER_S)
        elif pending.pools[0].number != before:
            self._start_pool(pending)

    def _find_owner(self, pool: int) -> str:
        return self._owners.find_owner(pool)

    def _start_pool(self, pending: PendingPermit) -> None:
        pending.tried = []
        pool = pending.pools[0].number
        owner = self._find_owner(pool)
        if not owner or self._share_until_s.get(pool, 0.0) > self._timers.now():
            self._use_share(pending)
        else:
            self._ask(pending, owner)

    def _ask(self, pending: PendingPermit, owner: str) -> None:
        self._renumber(pending)
        pending.tried.append(owner)
        pending.timer.cancel()
        left_s = pending.deadline_s - self._timers.now()
        if left_s <= 0:
            self._expire(pending)
            return
        request = pending.request
        chat = hash_text(request.chat) if request.chat else 0
        workspace = hash_name(request.workspace)
        pool = pending.pools[0]
        fleet_load = 0
        if len(pending.pools) > 1:
            fleet_load = self._fleet_loads[pool.provides].get_percent()
        pending.timer = self._timers.call_later(
            min(ASK_TIMEOUT_S, left_s), lambda: self._ask_another(pending)
        )
        target_ms = max(1, round(left_s * 1000))
        query = PermitQuery(
            pending.number,
            pool.number,
            chat,
            workspace,
            target_ms,
            fleet_load,
            pending.avoid,
        )
        self._send(owner, query)

    def _renumber(self, pending: PendingPermit) -> None:
        self._pending.pop(pending.number, None)
        self._number = (self._number + 1) % NUMBER_RANGE
        pending.number = self._number
        self._pending[pending.number] = pending

    def _ask_another(self, pending: PendingPermit) -> None:
        """Ask the next host in line, once; then use this host's own share."""
        if pending.number not in self._pending:
            return
        if len(pending.tried) < 2:
            ranked = self._owners.rank_owners(pending.pools[0].number)[:2]
            for host in ranked:
                if host not in pending.tried:
                    self._ask(pending, host)
                    return
        pool = pending.pools[0].number
        self._share_until_s[pool] = self._timers.now() + SHARE_HOLD_S
        self._use_share(pending)

    def _use_share(self, pending: PendingPermit) -> None:
        """Take a slot out of this host's equal part, by its own count."""
        pool = pending.pools[0]
        hosts = max(1, len(self._owners.hosts))
        taken = Counter(
            self._held[number].permit.backend_server
            for number in self._held_of_pool.get(pool.number, ())
        )
        part = {s["name"]: max(1, s["slots"] // hosts) for s in pool.servers}
        free = [
            server["name"]
            for server in pool.servers
            if server["state"] == "live"
            and server["name"] != pending.avoid
            and not self._is_leaving(server["name"])
            and taken[server["name"]] < part[server["name"]]
        ]
        log_message("placement:share_used", pool=pool.name, free=len(free))
        if not free:
            self._fail(pending, Code.TARGET_UNREACHABLE, SHARE_RETRY_AFTER_S)
            return
        chat = hash_text(pending.request.chat)
        self._finish(pending, rank_candidates(str(chat), free)[0])

    def _try_next_pool(self, pending: PendingPermit) -> None:
        del pending.pools[0]
        self._start_pool(pending)

    def _can_use(self, backend_server: str) -> bool:
        """Return whether a server is in this host's list and not leaving."""
        if self._is_leaving(backend_server):
            self._tell_leaving(backend_server)
            return False
        return self._topology.find_pool(backend_server) is not None

    def _repeat(self, pending: PendingPermit, avoid: str) -> None:
        pending.avoid = avoid
        pending.repeats += 1
        if pending.repeats > MAX_REPEATS:
            self._fail(pending, Code.NO_BACKEND_SERVER, SHARE_RETRY_AFTER_S)
        else:
            self._start_pool(pending)

    def _expire(self, pending: PendingPermit) -> None:
        if pending.number in self._pending:
            self._fail(pending, Code.TARGET_UNREACHABLE, SHARE_RETRY_AFTER_S)

    def _forget(self, pending: PendingPermit) -> None:
        self._pending.pop(pending.number, None)
        pending.timer.cancel()

    def _fail(self, pending: PendingPermit, code: Code, retry_after_s: float) -> None:
        self._forget(pending)
        text = f"no permit for {pending.work_class['needs']}"
        pending.notify(Error(Failure(code, text, retry_after_s)))

    def _finish(self, pending: PendingPermit, backend_server: str) -> None:
        self._forget(pending)
        request = pending.request
        priority = round(pending.work_class["first_token_s"] * PRIORITY_UNITS_PER_S)
        pool = pending.pools[0].number
        permit = Permit(request.request, backend_server, priority, pending.number, pool)
        chat = hash_text(request.chat) if request.chat else 0
        workspace = hash_name(request.workspace)
        migrates = pending.work_class["repeatable"]
        held = HeldPermit(permit, chat, workspace, migrates)
        self._held[permit.number] = held
        self._held_of_pool.setdefault(pool, set()).add(permit.number)
        pending.notify(Ok(permit))

    def _return_grant(self, grant: Grant, sender: str) -> None:
        """Give back a permit that came too late to be used."""
        self._send(sender, Release(0, [], [], [grant.number]))

    def _send_release(self, owner: str, permit: Permit, outcome: Outcome) -> None:
        if not owner:
            return
        numbers = {item: [] for item in Outcome}
        numbers[outcome].append(permit.number)
        self._send(owner, Release(permit.pool, *numbers.values()))

    def _describe_holding(self, number: int) -> Holding:
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

    def _tell_leaving(self, backend_server: str) -> None:
        pool = self._topology.find_pool(backend_server)
        if pool is None:
            return
        owner = self._find_owner(pool.number)
        if owner:
            self._send(owner, LeavingNotice(pool.number, backend_server))

    def _renew(self) -> None:
        for pool, numbers in list(self._held_of_pool.items()):
            if not numbers:
                del self._held_of_pool[pool]
        self._renew_pools(self._held_of_pool)

    def _renew_pools(self, pools: Iterable[int]) -> None:
        for pool in pools:
            owner = self._find_owner(pool)
            if owner:
                numbers = sorted(self._held_of_pool[pool])
                self._send(owner, Renewal(pool, numbers))
