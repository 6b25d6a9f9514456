"""Placement on one host: its permit client and the pools that it owns."""

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any, Literal, NamedTuple

from eliot import log_message

from oleanderpier.configuration import BackendServer, ConfigurationDocument, WorkClass
from oleanderpier.placement.admission import AdmissionController
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
from oleanderpier.placement.pending import PermitCallback
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
    """The state of a pool that this host owns, for operators.

    Attributes:
        name: The pool's name.
        queued: The number of queued queries.
        servers: The state of its backend servers.
    """

    name: str
    queued: int
    servers: list[ServerStatus]


class Placement:
    """Selects the backend servers of requests, together with the other hosts.

    Args:
        host: This host's name.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
        on_migrate: Called with the permit of a stream that should be resumed
            on another server, because its server exceeds the bound. The
            callback requests a second permit, resumes the stream there and
            releases the first permit as abandoned. If None, streams are not
            moved and the bound only limits new permits.

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
        self._admissions: dict[int, AdmissionController] = {}
        self._client = PermitClient(
            host, timers, rng, self._send, self._owners, on_migrate
        )
        self._classes: dict[str, WorkClass] = {}
        self._live_hosts: frozenset[str] = frozenset()
        self._local_messages: list[Any] = []

    def request(self, request: PermitRequest, callback: PermitCallback) -> None:
        """Request a permit; ``callback`` is called once, with it or a failure."""
        self._client.request(request, callback)

    def release(self, permit: Permit, outcome: Outcome = Outcome.DONE) -> None:
        """Release a permit with its outcome; a second release has no effect."""
        self._client.release(permit, outcome)

    def cancel(self, request: str) -> None:
        """Cancel a request whose caller disconnected before it got a permit."""
        self._client.cancel(request)

    def list_held_permits(self) -> list[Permit]:
        """Return the permits that this host holds for its requests."""
        return self._client.list_held_permits()

    def update_hosts(self, alive: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Apply the names of the live hosts.

        Args:
            alive: The live hosts, including leaving ones. Their permits count.
            leaving: The hosts that are leaving. They finish their requests
                and own no pool.
        """
        self._live_hosts = frozenset(alive)
        owners = self._live_hosts.difference(leaving)
        changes = self._owners.update(self._topology.pools, owners)
        for admission in self._admissions.values():
            admission.update_hosts(self._live_hosts)
        self._open_admissions(changes)
        self._close_admissions(changes)
        self._client.update_owners(changes)

    def update_backend_servers(self, servers: Iterable[BackendServer]) -> None:
        """Apply the published backend servers."""
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
        """Apply the configuration in force."""
        self._classes = {item["name"]: item for item in configuration["classes"]}
        self._client.update_classes(configuration["classes"])
        self._load_multiple = configuration["load_multiple"]
        for admission in self._admissions.values():
            admission.update_load_multiple(self._load_multiple)

    def record_server_failure(self, backend_server: str) -> None:
        """Send a pool's owner a notice that a server failed, apart from a permit."""
        self._send_notice(backend_server, FailureNotice)

    def record_server_leaving(self, backend_server: str) -> None:
        """Stop using a leaving server for new requests; send its owner a notice."""
        self._client.record_server_leaving(backend_server)

    def record_cache_event(
        self, backend_server: str, kind: Literal["stored", "evicted"], chat: str
    ) -> None:
        """Record a cache event of a server.

        The event is ignored if this host does not own the server's pool.

        Args:
            backend_server: The server that sent the event.
            kind: Whether the chat's prompt prefix was stored or evicted.
            chat: The chat's id.
        """
        pool = self._topology.find_pool(backend_server)
        admission = self._admissions.get(pool.number) if pool else None
        if admission is None:
            return
        affinity = admission.affinity
        record = {"stored": affinity.record_stored, "evicted": affinity.record_evicted}[
            kind
        ]
        record(hash_text(chat), backend_server)

    def owns_pool_of(self, backend_server: str) -> bool:
        """Return whether this host owns a server's pool.

        The owner reads the cache events of its servers.
        """
        pool = self._topology.find_pool(backend_server)
        return pool is not None and pool.number in self._admissions

    def list_owned_pools(self) -> list[PoolStatus]:
        """Return the state of the pools that this host owns."""
        now = self._timers.now()
        return [
            PoolStatus(
                admission.pool.name,
                admission.count_queued(),
                admission.loads.describe(now),
            )
            for admission in self._admissions.values()
        ]

    def explain(self, chat: str, work_class: str) -> Explanation:
        """Return where a chat's next request of a class of work would be placed."""
        item = self._classes.get(work_class)
        pools = (
            self._topology.rank_pools(item["kind"], item["needs"], chat) if item else []
        )
        if not pools:
            return Explanation([], "", [], [], [])
        first = pools[0]
        names = [server["name"] for server in first.servers]
        ranked_servers = rank_candidates(str(hash_text(chat)), names)
        owner = self._owners.find_owner(first.number)
        admission = self._admissions.get(first.number)
        recent_servers, server_statuses = [], []
        if admission is not None:
            recent_servers = list(admission.affinity.find_servers(hash_text(chat)))
            server_statuses = admission.loads.describe(self._timers.now())
        return Explanation(
            [p.name for p in pools],
            owner,
            recent_servers,
            ranked_servers,
            server_statuses,
        )

    def handle(self, sender: str, message: Any) -> None:
        """Handle a placement message from a host."""
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
            self._dispatch_to_admission(message, sender)
            return
        for admission in list(self._admissions.values()):
            admission.handle(message, sender)

    @_dispatch.register(Renewal)
    @_dispatch.register(HoldingsReply)
    @_dispatch.register(LeavingNotice)
    @_dispatch.register(FailureNotice)
    def _dispatch_to_admission(self, message: Any, sender: str) -> None:
        admission = self._admissions.get(message.pool)
        if admission is not None:
            admission.handle(message, sender)

    def _send_notice(self, backend_server: str, notice: type) -> None:
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
        admission = AdmissionController(
            pool, self._live_hosts, self._timers, self._send
        )
        admission.update_load_multiple(self._load_multiple)
        self._admissions[change.pool] = admission
        log_message("placement:owner_changed", pool=pool.name, before=change.before)
        admission.begin_grace_period()

    def _send(self, host: str, message: Any) -> None:
        """Send a message to a host.

        A message to this host is handled after the current call returns.
        """
        if host != self._host:
            self._outbox.send(host, message)
            return
        self._local_messages.append(message)
        if len(self._local_messages) == 1:
            self._timers.call_later(0.0, self._deliver_local_messages)

    def _deliver_local_messages(self) -> None:
        messages, self._local_messages = self._local_messages, []
        for message in messages:
            self.handle(self._host, message)
