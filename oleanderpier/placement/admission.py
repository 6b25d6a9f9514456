"""The owner's side: gives the permits of one pool and counts them exactly."""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from itertools import count, islice
from typing import Any

from eliot import log_message

from oleanderpier.placement.affinity import ChatAffinity
from oleanderpier.placement.ledger import GrantedPermit, PermitLedger
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
from oleanderpier.placement.pools import Pool
from oleanderpier.placement.queues import MAX_QUEUE_TIME_RATIO, FairQueue, QueuedQuery
from oleanderpier.results import Code
from oleanderpier.utils import Timers, rank_candidates

__all__ = ["Admission"]

GRACE_S = 0.3
MIGRATION_S = 2.0
SETTLE_S = 1.0
TICK_S = 0.5
PAUSE_S = 2.0
HOME_PART_OF_TARGET = 0.05
HOME_WAIT_S = 0.25
LOOKAHEAD = 8
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.1
NO_SERVER_RETRY_S = 5.0
MAX_LOAD_PERCENT = 1_000


class Admission:
    """Admits requests to one pool's backend servers.

    After taking a pool over (``begin_grace``), it first asks all hosts what
    they hold, and queues queries until they have answered or GRACE_S has passed.

    Args:
        pool: The pool and its servers.
        hosts: The hosts believed to be alive.
        timers: The timer service.
        answer: Sends a message to an entry host.
    """

    def __init__(
        self,
        pool: Pool,
        hosts: Iterable[str],
        timers: Timers,
        answer: Callable[[str, Any], Any],
    ):
        self.pool = pool
        self.homes = ChatAffinity()
        self.loads = PoolLoads()
        self.permits = PermitLedger(self.loads)
        self._timers = timers
        self._answer = answer
        self._queue = FairQueue()
        self._order = count()
        self._held_back: dict[int, QueuedQuery] = {}
        self._mean_hold_s: float | None = None
        self._awaited: set[str] = set()
        self._open_s = 0.0
        self._ticked_s = timers.now()
        self._hosts = set(hosts)
        self.loads.update(pool.servers, timers.now())
        self._ticks = timers.subscribe(TICK_S, self._tick)

    def close(self, owner: str) -> None:
        """End the ownership; queries that wait are sent to the next owner."""
        self._ticks.cancel()
        for waiting in [*self._queue, *self._held_back.values()]:
            self._queue.remove(waiting)
            self._answer(waiting.sender, NotOwner(waiting.query.number, owner))
        self._held_back.clear()

    def begin_grace(self) -> None:
        """Ask every host what it holds, and admit nothing for a while."""
        self._awaited = set(self._hosts)
        self._open_s = self._timers.now() + GRACE_S
        self._timers.call_later(GRACE_S, self._serve)
        for host in sorted(self._hosts):
            self._answer(host, HoldingsQuery(self.pool.number))

    def update_pool(self, pool: Pool) -> None:
        """Take the pool's newly published servers."""
        self.pool = pool
        self.loads.update(pool.servers, self._timers.now())
        self.permits.recount_servers()
        self._serve()

    def update_hosts(self, hosts: Iterable[str]) -> None:
        """Take the live hosts; permits of those that died are dropped."""
        alive = set(hosts)
        for host in self._hosts - alive:
            self._drop_host(host)
        self._hosts = alive
        self._serve()

    def update_load_multiple(self, load_multiple: float) -> None:
        """Take the multiple of the mean that no server may exceed."""
        self.loads.load_multiple = load_multiple
        self._serve()

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take a message about this pool from a host."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @handle.register
    def _handle_query(self, message: PermitQuery, sender: str) -> None:
        self.permits.drop(sender, message.number)
        now = self._timers.now()
        patience_s = message.target_ms / 1000 * MAX_QUEUE_TIME_RATIO
        waiting = QueuedQuery(now + patience_s, next(self._order), sender, message)
        self._admit(waiting)

    def _admit(self, waiting: QueuedQuery, may_wait: bool = True) -> None:
        """Grant, hold back, pass on or queue a query."""
        if self.is_open() and not self._queue:
            taking = self._find_taking(waiting.query)
            if may_wait and self._wait_for_home(waiting, taking):
                return
            if taking:
                self._grant(waiting, taking)
                return
            if waiting.query.fleet_load_percent:
                self._pass_on(waiting)
                return
        self._enqueue(waiting)
        self._serve()

    def _find_taking(self, query: PermitQuery) -> dict[str, ServerLoad]:
        """Return the servers that may take a query under both bounds."""
        taking = self.loads.find_open(self._timers.now())
        return self.loads.keep_below(taking, query.fleet_load_percent / 100)

    @handle.register
    def _handle_release(self, message: Release, sender: str) -> None:
        now = self._timers.now()
        for number in message.done:
            permit = self.permits.drop(sender, number)
            if permit is not None:
                self._note_hold_time(now - permit.granted_s)
                self._note_success(permit)
        for number in message.failed:
            permit = self.permits.drop(sender, number)
            if permit is not None:
                self._note_failure(permit)
        for number in message.abandoned:
            self.permits.drop(sender, number)
        self._serve()

    @handle.register
    def _handle_renewal(self, message: Renewal, sender: str) -> None:
        named = set(message.numbers)
        self.permits.renew(sender, named, self._timers.now())
        if named.difference(self.permits.list_numbers(sender)):
            self._answer(sender, HoldingsQuery(self.pool.number))
        self._serve()

    @handle.register
    def _handle_holdings(self, message: HoldingsReply, sender: str) -> None:
        now = self._timers.now()
        self.permits.renew(sender, {held.number for held in message.holdings}, now)
        for holding in message.holdings:
            self._take_holding(sender, holding)
        self._awaited.discard(sender)
        if not self._awaited:
            self._open_s = min(self._open_s, now)
        self._serve()

    @handle.register
    def _handle_leaving(self, message: LeavingNotice, sender: str) -> None:
        load = self.loads.servers.get(message.backend_server)
        if load is not None:
            load.note_leaving(self._timers.now())

    @handle.register
    def _handle_failure(self, message: FailureNotice, sender: str) -> None:
        self.note_failure(message.backend_server)

    def note_failure(self, backend_server: str) -> None:
        """Avoid a backend server that failed a request or a probe."""
        load = self.loads.servers.get(backend_server)
        if load is None:
            return
        now = self._timers.now()
        until_s = load.note_failure(now)
        self._timers.call_later(until_s - now, self._serve)
        log_message(
            "placement:server_avoided",
            backend_server=backend_server,
            failures=load.failures,
            for_s=round(until_s - now, 3),
        )

    def count_waiting(self) -> int:
        """Return how many queries wait."""
        return len(self._queue)

    def is_open(self) -> bool:
        """Return whether the grace after the takeover is over."""
        return self._timers.now() >= self._open_s

    def _enqueue(self, waiting: QueuedQuery) -> None:
        now = self._timers.now()
        wait_s = self._predict_wait(waiting)
        if now + wait_s > waiting.deadline_s:
            self._refuse(waiting, wait_s)
            return
        self._queue.push(waiting)
        self._answer(waiting.sender, Queued(waiting.query.number))
        self._timers.call_later(waiting.deadline_s - now, lambda: self._expire(waiting))

    def _expire(self, waiting: QueuedQuery) -> None:
        before = len(self._queue)
        self._queue.remove(waiting)
        if len(self._queue) < before:
            self._refuse(waiting, self._predict_wait(waiting))

    def _refuse(self, waiting: QueuedQuery, wait_s: float) -> None:
        number, workspace = waiting.query.number, waiting.query.workspace
        code = Code.TARGET_UNREACHABLE
        if self._is_over_share(workspace):
            code = Code.WORKSPACE_OVER_SHARE
        now = self._timers.now()
        if not any(s.is_usable(now) for s in self.loads.servers.values()):
            code = Code.NO_BACKEND_SERVER
        retry_ms = round(max(wait_s, MIN_RETRY_AFTER_S) * 1000)
        self._answer(
            waiting.sender, Refusal(number, code, retry_ms, self._measure_load())
        )

    def _pass_on(self, waiting: QueuedQuery) -> None:
        """Refuse what the entry host has a less loaded pool for."""
        retry_ms = round(MIN_RETRY_AFTER_S * 1000)
        load, code = self._measure_load(), Code.TARGET_UNREACHABLE
        self._answer(
            waiting.sender, Refusal(waiting.query.number, code, retry_ms, load)
        )

    def _is_over_share(self, workspace: int) -> bool:
        """Return whether a workspace has more than its part while others wait."""
        slots, _ = self.loads.sum_usable(self._timers.now())
        active = {*self._queue.list_workspaces(), *self.permits.workspaces}
        if not active - {workspace}:
            return False
        share = slots / len(active | {workspace})
        wanted = self.permits.workspaces[workspace] + self._queue.count_waiting(
            workspace
        )
        return wanted > share

    def _predict_wait(self, waiting: QueuedQuery) -> float:
        """Return the seconds until a query would be granted, as far as known."""
        now = self._timers.now()
        opens_s = max(0.0, self._open_s - now)
        slots, in_flight = self.loads.sum_usable(now)
        if not slots:
            usable_s = [
                s.avoided_until_s
                for s in self.loads.servers.values()
                if not s.is_leaving(now)
            ]
            return max(opens_s, min(usable_s, default=now + NO_SERVER_RETRY_S) - now)
        ahead = self._queue.count_ahead(waiting, self.permits.workspaces) + 1
        ahead -= max(0, slots - in_flight)
        if ahead <= 0 or not in_flight or self._mean_hold_s is None:
            return opens_s
        return opens_s + ahead * self._mean_hold_s / in_flight

    def _serve(self) -> None:
        """Grant whatever the servers may take, and keep them to the bound."""
        self._grant_homes()
        self._grant_waiting()
        if self.pool.kind == "engine" and self.is_open():
            excess = self.loads.find_excess(self._timers.now())
            for name, over in excess.items():
                self._migrate(name, over)

    def _migrate(self, backend_server: str, over: int) -> None:
        """Have streams of a server resumed elsewhere, the newest first.

        Those that began a moment ago come last, or one would be moved on and
        on; those that were already asked for are waited for.
        """
        now = self._timers.now()
        held = [
            (now - permit.granted_s < SETTLE_S, -permit.granted_s, host, number)
            for host, number, permit in self.permits
            if permit.backend_server == backend_server
        ]
        for _, _, host, number in sorted(held):
            asked_s = self.permits.migrating.get((host, number))
            if over > 0 and asked_s is None:
                self.permits.migrating[host, number] = now
                self._answer(host, Migrate(number))
                over -= 1
            elif asked_s is not None and now - asked_s < MIGRATION_S:
                over -= 1

    def _wait_for_home(
        self, waiting: QueuedQuery, taking: dict[str, ServerLoad]
    ) -> bool:
        """Hold a query back for a moment if only other servers may take it.

        Returns:
            Whether it is held back.
        """
        query = waiting.query
        homes = self.homes.find_servers(query.chat)
        if not homes or not taking or query.avoid:
            return False
        if any(home in taking for home in homes):
            return False
        wait_s = min(HOME_WAIT_S, query.target_ms / 1000 * HOME_PART_OF_TARGET)
        self._held_back[waiting.sequence] = waiting
        self._timers.call_later(wait_s, lambda: self._stop_waiting(waiting))
        return True

    def _stop_waiting(self, waiting: QueuedQuery) -> None:
        if self._held_back.pop(waiting.sequence, None) is not None:
            self._admit(waiting, may_wait=False)

    def _grant_homes(self) -> None:
        """Grant what was held back for a server that may take it now."""
        for waiting in list(self._held_back.values()):
            taking = self._find_taking(waiting.query)
            homes = self.homes.find_servers(waiting.query.chat)
            if self.is_open() and any(home in taking for home in homes):
                del self._held_back[waiting.sequence]
                self._grant(waiting, taking)

    def _grant_waiting(self) -> None:
        now = self._timers.now()
        while self._queue and now >= self._open_s:
            taking = self.loads.find_open(now)
            if not taking:
                return
            waiting = self._pick_waiting(taking)
            self._queue.remove(waiting)
            self._grant(waiting, taking)

    def _pick_waiting(self, taking: dict[str, ServerLoad]) -> QueuedQuery:
        """Return the query that is next in turn.

        Of the first few of its workspace, the one whose prefix is on a server
        with a free slot goes first.
        """
        turn = self._queue.iterate_in_grant_order(self.permits.workspaces)
        first = next(turn)
        for waiting in (first, *islice(turn, LOOKAHEAD - 1)):
            homes = self.homes.find_servers(waiting.query.chat)
            if homes and homes[0] in taking:
                return waiting
        return first

    def _grant(self, waiting: QueuedQuery, taking: dict[str, ServerLoad]) -> None:
        query, sender = waiting.query, waiting.sender
        server = self._choose_server(query, taking)
        now = self._timers.now()
        permit = GrantedPermit(server, query.chat, query.workspace, now)
        self.permits.add(sender, query.number, permit)
        if query.chat:
            self.homes.record_placement(query.chat, server)
        self._answer(sender, Grant(query.number, server, self._measure_load()))

    def _choose_server(self, query: PermitQuery, taking: dict[str, ServerLoad]) -> str:
        """Return the newest home that may take one more, else the least filled.

        Among equally filled servers the chat's rendezvous order decides.
        """
        names = [name for name in taking if name != query.avoid] or list(taking)
        for home in self.homes.find_servers(query.chat):
            if home in names:
                return home
        order = rank_candidates(str(query.chat), names)
        return min(order, key=lambda name: _fill(taking[name]))

    def _measure_load(self) -> int:
        slots, in_flight = self.loads.sum_usable(self._timers.now())
        if not slots:
            return MAX_LOAD_PERCENT
        percent = 100 * (in_flight + len(self._queue)) // slots
        return min(MAX_LOAD_PERCENT, percent)

    def _take_holding(self, host: str, holding: Holding) -> None:
        if holding.number in self.permits.list_numbers(host):
            return
        now = self._timers.now()
        server, chat = holding.backend_server, holding.chat
        permit = GrantedPermit(server, chat, holding.workspace, now)
        self.permits.add(host, holding.number, permit)
        if chat and not self.homes.find_servers(chat):
            self.homes.record_placement(chat, server)

    def _drop_host(self, host: str) -> None:
        self._awaited.discard(host)
        self.permits.drop_host(host)
        for waiting in [*self._queue, *self._held_back.values()]:
            if waiting.sender == host:
                self._queue.remove(waiting)
                self._held_back.pop(waiting.sequence, None)

    def _note_hold_time(self, hold_s: float) -> None:
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        self._mean_hold_s += HOLD_TIME_WEIGHT * (hold_s - self._mean_hold_s)

    def _note_success(self, permit: GrantedPermit) -> None:
        load = self.loads.servers.get(permit.backend_server)
        if load is not None and permit.granted_s >= load.avoided_until_s:
            load.failures = 0

    def _note_failure(self, permit: GrantedPermit) -> None:
        load = self.loads.servers.get(permit.backend_server)
        if load is not None and permit.granted_s >= load.avoided_until_s:
            self.note_failure(permit.backend_server)

    def _tick(self) -> None:
        """Drop expired leases, and start over if the process was paused."""
        now = self._timers.now()
        paused = now - self._ticked_s > TICK_S + PAUSE_S
        self._ticked_s = now
        if paused:
            self.begin_grace()
            return
        for host in self.permits.list_expired(now):
            self._drop_host(host)
        self._serve()


def _fill(load: ServerLoad) -> float:
    """Return the part of a server's slots that is taken."""
    return load.in_flight / load.slots
