"""One host's part in placement: its client, and the pools that it owns."""

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any, Literal, NamedTuple

from eliot import log_message

from oleanderpier.configuration import BackendServer, ConfigurationDocument, WorkClass
from oleanderpier.placement.admission import Admission
from oleanderpier.placement.client import PermitClient
from oleanderpier.placement.loads import DEFAULT_LOAD_MULTIPLE
from oleanderpier.placement.messages import (
    FailureNotice,
    HoldingsReply,
    LeavingNotice,
    NotOwner,
    PermitQuery,
    Release,
    Renewal,
)
from oleanderpier.placement.owners import OwnerChange, OwnerTable
from oleanderpier.placement.pending import Notify
from oleanderpier.placement.pools import Topology
from oleanderpier.placement.records import (
    Explanation,
    Outcome,
    Permit,
    PermitRequest,
    ServerStatus,
)
from oleanderpier.utils import Outbox, Timers, hash_text, rank_candidates

__all__ = ["Placement", "PoolStatus"]


class PoolStatus(NamedTuple):
    """A pool that this host owns, for operators.

    Attributes:
        name: The pool.
        waiting: Asks in its queue.
        servers: Its backend servers.
    """

    name: str
    waiting: int
    servers: list[ServerStatus]


class Placement:
    """Decides, together with the other hosts, which server runs a request.

    Args:
        host: This host's name.
        timers: The timer service.
        rng: Source of randomness.
        outbox: Sends to other hosts.
        on_migrate: Called with the permit of a stream that should be resumed
            elsewhere, so that no server exceeds the bound: ask again, resume
            there, then release this permit as abandoned. A caller that cannot
            do so leaves it out; the bound then holds for each new permit.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> placement = Placement("h1", ManualTimers(), random.Random(1), None)
        >>> placement.update_hosts(["h1"])
        >>> placement.list_owned_pools()
        []
    """

    def __init__(
        self,
        host: str,
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
        on_migrate: Callable[[Permit], None] | None = None,
    ):
        self._host = host
        self._timers = timers
        self._outbox = outbox
        self._owners = OwnerTable()
        self._topology = Topology([])
        self._load_multiple = DEFAULT_LOAD_MULTIPLE
        self._admissions: dict[int, Admission] = {}
        self._client = PermitClient(
            host, timers, rng, self._send, self._owners, on_migrate
        )
        self._classes: dict[str, WorkClass] = {}
        self._alive: frozenset[str] = frozenset()
        self._inbox: list[Any] = []

    def request(self, request: PermitRequest, notify: Notify) -> None:
        """Ask for a permit; ``notify`` gets it or a failure, exactly once."""
        self._client.request(request, notify)

    def release(self, permit: Permit, outcome: Outcome = Outcome.DONE) -> None:
        """Give a permit back, with how it was used; again has no effect."""
        self._client.release(permit, outcome)

    def cancel(self, request: str) -> None:
        """Forget a request whose caller has gone before it got a permit."""
        self._client.cancel(request)

    def list_held_permits(self) -> list[Permit]:
        """Return the permits that this host holds."""
        return self._client.list_held()

    def update_hosts(self, alive: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Take the names of the live hosts.

        Args:
            alive: Hosts whose permits count, also those that are leaving.
            leaving: Hosts that finish what they have and own no pool.
        """
        self._alive = frozenset(alive)
        owners = self._alive.difference(leaving)
        changes = self._owners.update(self._topology.pools, owners)
        for admission in self._admissions.values():
            admission.update_hosts(self._alive)
        self._open_admissions(changes)
        self._close_admissions(changes)
        self._client.update_owners(changes)

    def update_backend_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the published backend servers."""
        self._topology = Topology(servers)
        changes = self._owners.update(self._topology.pools, self._owners.hosts)
        for number, admission in self._admissions.items():
            if number in self._topology.pools:
                admission.update_pool(self._topology.pools[number])
        self._open_admissions(changes)
        self._client.update_topology(self._topology)
        self._close_admissions(changes)
        self._client.update_owners(changes)

    def update_configuration(self, configuration: ConfigurationDocument) -> None:
        """Take the configuration in force."""
        self._classes = {item["name"]: item for item in configuration["classes"]}
        self._client.update_classes(configuration["classes"])
        self._load_multiple = configuration["load_multiple"]
        for admission in self._admissions.values():
            admission.update_load_multiple(self._load_multiple)

    def record_server_failure(self, backend_server: str) -> None:
        """Have a backend server avoided that failed apart from any permit."""
        self._notify_owner(backend_server, FailureNotice)

    def record_server_leaving(self, backend_server: str) -> None:
        """Give nothing new to a server that is known to be leaving."""
        self._client.note_leaving(backend_server)

    def record_cache_event(
        self, backend_server: str, kind: Literal["stored", "evicted"], chat: str
    ) -> None:
        """Take a cache event of a server whose pool this host owns."""
        pool = self._topology.find_pool(backend_server)
        admission = self._admissions.get(pool.number) if pool else None
        if admission is None:
            return
        homes = admission.homes
        note = {"stored": homes.record_stored, "evicted": homes.record_evicted}[kind]
        note(hash_text(chat), backend_server)

    def owns_pool_of(self, backend_server: str) -> bool:
        """Return whether this host should read the server's cache events."""
        pool = self._topology.find_pool(backend_server)
        return pool is not None and pool.number in self._admissions

    def list_owned_pools(self) -> list[PoolStatus]:
        """Return the pools that this host owns and their servers' state."""
        now = self._timers.now()
        return [
            PoolStatus(
                admission.pool.name,
                admission.count_waiting(),
                admission.loads.describe(now),
            )
            for admission in self._admissions.values()
        ]

    def explain(self, chat: str, work_class: str) -> Explanation:
        """Return where a chat's next request of a class goes, and why."""
        item = self._classes.get(work_class)
        pools = (
            self._topology.rank_pools(item["kind"], item["needs"], chat) if item else []
        )
        if not pools:
            return Explanation([], "", [], [], [])
        first = pools[0]
        names = [server["name"] for server in first.servers]
        order = rank_candidates(str(hash_text(chat)), names)
        owner = self._owners.find_owner(first.number)
        admission = self._admissions.get(first.number)
        homes, servers = [], []
        if admission is not None:
            homes = list(admission.homes.find_servers(hash_text(chat)))
            servers = admission.loads.describe(self._timers.now())
        return Explanation([p.name for p in pools], owner, homes, order, servers)

    def handle(self, sender: str, message: Any) -> None:
        """Take a message of placement from a host."""
        self._dispatch(message, sender)

    @singledispatchmethod
    def _dispatch(self, message: Any, sender: str) -> None:
        self._client.handle(message, sender)

    @_dispatch.register
    def _dispatch_query(self, message: PermitQuery, sender: str) -> None:
        admission = self._admissions.get(message.pool)
        if admission is None:
            owner = self._owners.find_owner(message.pool)
            self._send(sender, NotOwner(message.number, owner))
        else:
            admission.handle(message, sender)

    @_dispatch.register
    def _dispatch_release(self, message: Release, sender: str) -> None:
        if message.pool:
            self._pass_to_admission(message, sender)
            return
        for admission in list(self._admissions.values()):
            admission.handle(message, sender)

    @_dispatch.register(Renewal)
    @_dispatch.register(HoldingsReply)
    @_dispatch.register(LeavingNotice)
    @_dispatch.register(FailureNotice)
    def _pass_to_admission(self, message: Any, sender: str) -> None:
        admission = self._admissions.get(message.pool)
        if admission is not None:
            admission.handle(message, sender)

    def _notify_owner(self, backend_server: str, notice: type) -> None:
        pool = self._topology.find_pool(backend_server)
        owner = self._owners.find_owner(pool.number) if pool else ""
        if owner:
            self._send(owner, notice(pool.number, backend_server))

    def _open_admissions(self, changes: list[OwnerChange]) -> None:
        for change in changes:
            if change.after == self._host:
                self._open_admission(change)

    def _close_admissions(self, changes: list[OwnerChange]) -> None:
        for change in changes:
            if change.after != self._host and change.pool in self._admissions:
                self._admissions.pop(change.pool).close(change.after)

    def _open_admission(self, change: OwnerChange) -> None:
        pool = self._topology.pools[change.pool]
        admission = Admission(pool, self._alive, self._timers, self._send)
        admission.update_load_multiple(self._load_multiple)
        self._admissions[change.pool] = admission
        log_message("placement:owner_changed", pool=pool.name, before=change.before)
        admission.begin_grace()

    def _send(self, host: str, message: Any) -> None:
        """Send to a host; what goes to this one is taken after the current call."""
        if host != self._host:
            self._outbox.send(host, message)
            return
        self._inbox.append(message)
        if len(self._inbox) == 1:
            self._timers.call_later(0.0, self._drain_inbox)

    def _drain_inbox(self) -> None:
        messages, self._inbox = self._inbox, []
        for message in messages:
            self.handle(self._host, message)
