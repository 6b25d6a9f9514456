"""One daemon: its components, from start to graceful shutdown."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Awaitable
from typing import Any

from aiohttp import web
from eliot import log_message
from expression import Error, Result
from prometheus_client import CollectorRegistry, Gauge

from oleanderpier.claims import Claims, HostLists, Outcome, finish_calls
from oleanderpier.configuration import (
    DocumentGossip,
    Documents,
    PlatformReachable,
    PublishedDocument,
    WatcherSelection,
    WorkClass,
    watch_platform,
)
from oleanderpier.connections import HttpListener
from oleanderpier.daemon.counts import RequestCounts
from oleanderpier.daemon.directory import Directory
from oleanderpier.daemon.permits import PermitClient
from oleanderpier.daemon.probes import CacheEvent, poll_cache_events, probe_server
from oleanderpier.daemon.recorder import EventRecorder
from oleanderpier.events import Clock, EventBuffer
from oleanderpier.membership import (
    BackendServers,
    HostEndpoint,
    Members,
    MemberState,
    ServerState,
)
from oleanderpier.membership import Outcome as ServerOutcome
from oleanderpier.peers import Address, Mesh
from oleanderpier.placement import Permit, Placement
from oleanderpier.relay import Relay, Step, make_session
from oleanderpier.results import Code, Failure
from oleanderpier.settings import Settings
from oleanderpier.utils import EndableLimits, LoopTimers

__all__ = ["Node"]

# Ranges of message numbers on the wire, each handled by one component.
MEMBERSHIP_MESSAGE_NUMBERS = range(20, 27)
SERVER_MESSAGE_NUMBERS = range(27, 40)
CONFIGURATION_MESSAGE_NUMBERS = range(40, 60)
CLAIM_MESSAGE_NUMBERS = range(60, 80)
PLACEMENT_MESSAGE_NUMBERS = range(80, 100)
MS_PER_S = 1000
POLL_INTERVAL_S = 0.1
CACHE_EVENTS_INTERVAL_S = 5.0
# Part of ``drain_s`` that is reserved for the last responses and for closing
# connections.
SHUTDOWN_RESERVE_S = 1.0
# Time for the last responses to be sent when the drain has to end.
LAST_RESPONSE_TIMEOUT_S = 0.2
SHUTDOWN_TIMEOUT_S = 0.05

_OUTCOME_BY_STEP = {
    Step.UNREACHED: ServerOutcome.REFUSED,
    Step.REFUSED: ServerOutcome.REFUSED,
    Step.SILENT: ServerOutcome.TIMED_OUT,
    Step.CUT: ServerOutcome.TIMED_OUT,
}


class Node:
    """The components of one daemon, connected to each other.

    Args:
        settings: The complete settings of this host.

    Attributes:
        state: ``starting``, ``ready`` or ``draining``.
        started_s: Wall clock at the start, in seconds since 1970.
        incarnation: Wall clock at the start in milliseconds. It identifies one
            start of the daemon on this host, and increases with each.
        in_progress: Number of callers' requests that are being served.
        request_limits: End what calls and look-ups wait for.
        address_expired: Whether all address lists that name this host have
            expired during a drain. New requests are then refused.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.host = settings["host"]
        self.state = "starting"
        self.in_progress = 0
        self.address_expired = False
        self.timers = LoopTimers()
        self.started_s = self.timers.wall()
        self.incarnation = int(self.started_s * MS_PER_S)
        self.rng = random.Random(f"{self.host}:{self.incarnation}")
        self.registry = CollectorRegistry()
        self.counts = RequestCounts(self.registry)
        self.request_limits = EndableLimits()
        self._listeners: dict[str, HttpListener] = {}
        self._drain_deadline_s = math.inf
        self._tasks: list[asyncio.Task] = []
        self._probe_tasks: set[asyncio.Task] = set()
        self._create_components()
        self._connect_components()
        self._register_metrics()

    def _create_components(self) -> None:
        settings, timers, rng = self.settings, self.timers, self.rng
        clock = Clock(timers)
        max_events = settings["limits"]["events_kept"]
        self.events = EventBuffer(
            self.host, self.incarnation, clock, timers, max_events
        )
        self.recorder = EventRecorder(self.events)
        self.mesh = Mesh(self.host, self.incarnation, timers, clock)
        self.documents = Documents()
        self.members = Members(
            HostEndpoint(
                self.host,
                settings["failure_domain"],
                settings["address"],
                settings["peer_port"],
            ),
            timers,
            rng,
            self.mesh,
            [
                HostEndpoint(seed["name"], "", seed["address"], seed["peer_port"])
                for seed in settings["seed_peers"]
            ],
        )
        self.directory = Directory(
            self.host,
            self.documents,
            self.members,
            timers,
            rng,
            self._serves_all_requests,
        )
        self.gossip = DocumentGossip(
            self.documents, self.members, timers, rng, self.mesh
        )
        self.watcher_selection = WatcherSelection(self.members, timers, rng, self.mesh)
        incarnation = str(self.incarnation)
        self.host_lists = HostLists(self.host, incarnation, timers, self.mesh)
        self.claims = Claims(
            self.host, incarnation, timers, rng, self.mesh, self.host_lists
        )
        self.servers = BackendServers(
            self.members, timers, rng, self.mesh, self._start_probe
        )
        self.placement = Placement(self.host, timers, rng, self.mesh, self._move_stream)
        self.permits = PermitClient(self.placement)

    def _register_metrics(self) -> None:
        """Register gauges that read their values from the components on scrape."""
        for name, text, read in (
            ("peer_bytes_sent", "Bytes to hosts.", lambda: self.mesh.bytes_sent),
            ("requests_in_progress", "Requests now.", lambda: self.in_progress),
            (
                "permits_held",
                "Permits now.",
                lambda: len(self.placement.list_held_permits()),
            ),
            ("hosts_alive", "Hosts alive.", lambda: len(self.members.list_alive())),
        ):
            gauge = Gauge(f"oleanderpier_{name}", text, registry=self.registry)
            gauge.set_function(read)

    def _connect_components(self) -> None:
        mesh = self.mesh
        mesh.subscribe_range(MEMBERSHIP_MESSAGE_NUMBERS, self.members.handle)
        mesh.subscribe_range(CONFIGURATION_MESSAGE_NUMBERS, self.gossip.handle)
        mesh.subscribe_range(CLAIM_MESSAGE_NUMBERS, self.claims.handle)
        mesh.subscribe_range(SERVER_MESSAGE_NUMBERS, self.servers.handle)
        mesh.subscribe_range(PLACEMENT_MESSAGE_NUMBERS, self.placement.handle)
        mesh.subscribe(PlatformReachable, self.watcher_selection.handle)
        self.documents.subscribe("hosts", self._apply_hosts)
        self.documents.subscribe("backend_servers", self._apply_backend_servers)
        self.documents.subscribe(
            "configuration",
            lambda published: self.placement.update_configuration(published.body),
        )
        self.servers.subscribe(self._handle_server_state)
        self.members.subscribe(self._handle_member_state)
        self.recorder.subscribe(self.documents, self.members, self.servers)
        for seed in self.settings["seed_peers"]:
            address = Address(seed["address"], seed["peer_port"])
            mesh.update_addresses({seed["name"]: address})

    async def open_connections(self) -> None:
        """Open the HTTP sessions and listen for connections of other hosts."""
        settings = self.settings
        self.session = make_session()
        self.relay = Relay(
            make_session(),
            self.timers,
            notify_attempt_failure=self._handle_failed_attempt,
        )
        self.relay.start()
        await self.mesh.listen(settings["address"], settings["peer_port"])
        self._update_placement_hosts()

    async def join_fleet(self) -> None:
        """Join the fleet: start the components and the background tasks."""
        for component in (
            self.members,
            self.gossip,
            self.watcher_selection,
            self.servers,
        ):
            component.start()
        platform = self.settings["platform"]
        url = f"http://{platform['address']}:{platform['port']}"
        self._start_task(
            watch_platform(
                self.session, url, self.documents, self.watcher_selection, self.rng
            )
        )
        self._start_task(
            poll_cache_events(
                self.relay.session,
                self._list_owned_engines,
                self._handle_cache_event,
                CACHE_EVENTS_INTERVAL_S,
            )
        )
        self._start_task(self._enter_ready_state())
        self.recorder.record_state(self.host, "started")

    async def serve(self, name: str, app: web.Application, port: int) -> None:
        """Serve an HTTP application until the daemon stops.

        Args:
            name: Whom it serves, ``callers`` or ``operators``.
            app: The application.
            port: The TCP port to listen on, at the address in the settings.
        """
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        listener = HttpListener(name, runner, self.timers)
        await listener.start(self.settings["address"], port)
        self._listeners[name] = listener

    async def drain(self) -> None:
        """Shut down gracefully: leave the fleet, then finish open requests.

        New requests are accepted for ``address_keep_s``, as long as callers may
        use an address list with this host. Open requests may run until shortly
        before ``drain_s`` after the start of the drain.
        """
        self.state = "draining"
        self.recorder.record_state(self.host, "draining")
        self.members.leave()
        self._update_placement_hosts()
        limits = self.settings["limits"]
        drain_limit_s = max(0.0, limits["drain_s"] - SHUTDOWN_RESERVE_S)
        self._drain_deadline_s = deadline_s = self.timers.now() + drain_limit_s
        await asyncio.sleep(min(limits["address_keep_s"], drain_limit_s))
        self.address_expired = True
        while self.in_progress and self.timers.now() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        callers = self._listeners.pop("callers")
        await callers.finish(deadline_s)
        await finish_calls(max(0.0, deadline_s - self.timers.now()))
        self.end_requests()
        last_response_s = self.timers.now() + LAST_RESPONSE_TIMEOUT_S
        await callers.finish(last_response_s)
        await finish_calls(max(0.0, last_response_s - self.timers.now()))
        await callers.close()

    def end_requests(self) -> None:
        """Give each request in progress its final response."""
        log_message("daemon:requests_ended", in_progress=self.in_progress)
        self.relay.watchdogs.end_all()
        self.request_limits.end()

    async def stop(self) -> None:
        """Answer the operators, then cancel the tasks and close all connections."""
        operators = self._listeners.pop("operators")
        last_response_s = self.timers.now() + LAST_RESPONSE_TIMEOUT_S
        await operators.finish(max(self._drain_deadline_s, last_response_s))
        await operators.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.relay.close()
        await self.relay.session.close()
        await self.mesh.close()
        await self.session.close()

    async def track_request(self, request: Awaitable[Any]) -> Any:
        """Await the handling of a caller's request, counted as in progress."""
        self.in_progress += 1
        try:
            return await request
        finally:
            self.in_progress -= 1

    async def look_up_call(self, key: str) -> Result[Outcome, Failure]:
        """Return the outcome of the call with an idempotency key."""
        future = asyncio.get_running_loop().create_future()

        def notify(result: Result[Outcome, Failure]) -> None:
            if not future.done():
                future.set_result(result)

        self.claims.look_up(key, notify)
        try:
            async with self.request_limits.limit(None):
                return await future
        except TimeoutError:
            text = "this host stops; ask another"
            return Error(Failure(Code.CLAIM_NO_MAJORITY, text, 0.0))

    def record_end(self, work_class: str, code: Code, late: bool, subject: str) -> None:
        """Count a request that has ended, and record an event if it failed.

        Args:
            work_class: Name of the request's class, "" if it is unknown.
            code: The result code.
            late: Whether the request missed a target of its class.
            subject: The subject of the event, such as the request's id.
        """
        self.counts.record_end(work_class, code, late)
        if code is not Code.DONE:
            self.recorder.record_request_failure(subject, code, work_class)

    def make_request_id(self) -> str:
        """Return a new, unique request id."""
        return f"{self.host}-{self.rng.getrandbits(64):016x}"

    def find_class(self, name: str) -> WorkClass | None:
        """Return a class of work by name, or None."""
        return self._find_entry("configuration", "classes", name)

    def has_workspace(self, name: str) -> bool:
        """Return whether the configuration in force lists a workspace."""
        return self._find_entry("configuration", "workspaces", name) is not None

    def count_in_flight(self) -> Counter[str]:
        """Return how many permits this host holds for each backend server."""
        servers = self._list_entries("backend_servers", "backend_servers")
        counts = Counter({server["name"]: 0 for server in servers})
        counts.update(
            permit.backend_server for permit in self.placement.list_held_permits()
        )
        return counts

    def _find_entry(self, document: str, field: str, name: str) -> Any:
        items = self._list_entries(document, field)
        return next((item for item in items if item["name"] == name), None)

    def _list_entries(self, document: str, field: str) -> list[Any]:
        """Return a list in the document in force, empty if there is no document."""
        published = self.documents.get(document)
        return published.body[field] if published else []

    def _start_task(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.append(task)
        return task

    def _serves_all_requests(self) -> bool:
        """Return whether this host can serve chats as well as calls with a key."""
        return self.state == "ready" and self.claims.ready

    async def _enter_ready_state(self) -> None:
        """Wait for the documents in force, then change the state to ``ready``."""
        while not self.gossip.is_ready():
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.state == "starting":
            self.state = "ready"
            self.recorder.record_state(self.host, "ready")

    def _start_probe(self, name: str) -> None:
        """Start a task that probes a backend server, if it is published."""
        server = self._find_entry("backend_servers", "backend_servers", name)
        if server is None:
            return

        async def probe() -> None:
            outcome = await probe_server(self.relay.session, server)
            self.servers.record_probe_outcome(name, outcome)
            if outcome in (ServerOutcome.REFUSED, ServerOutcome.TIMED_OUT):
                self.placement.record_server_failure(name)

        task = asyncio.get_running_loop().create_task(probe())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    def _handle_failed_attempt(self, name: str, step: Step) -> None:
        """Report an attempt that failed at a backend server to the components."""
        self.servers.record_outcome(
            name, _OUTCOME_BY_STEP.get(step, ServerOutcome.TIMED_OUT)
        )
        self.placement.record_server_failure(name)
        self.recorder.record_failed_attempt(name, step)

    def _move_stream(self, permit: Permit) -> None:
        """Move a stream to another engine, to keep its engine's load bound."""
        self.relay.move_response(permit.request)
        self.recorder.record_stream_move(permit)

    def _handle_server_state(self, name: str, state: ServerState) -> None:
        if state is ServerState.LEAVING:
            self.placement.record_server_leaving(name)

    def _list_owned_engines(self) -> list[Any]:
        return [
            server
            for server in self._list_entries("backend_servers", "backend_servers")
            if server["kind"] == "engine"
            and self.placement.owns_pool_of(server["name"])
        ]

    def _handle_cache_event(self, name: str, event: CacheEvent) -> None:
        self.placement.record_cache_event(name, event["kind"], event["chat"])

    def _update_placement_hosts(self) -> None:
        """Pass the alive and the leaving hosts on to the placement.

        Leaving hosts own no pools, but the permits that they hold still count.
        """
        self.directory.invalidate()
        known = self.members.list_known()
        leaving = [
            host for host in known if self.members.find_state(host) is MemberState.LEFT
        ]
        self.placement.update_hosts([*self.members.list_alive(), *leaving], leaving)

    def _apply_backend_servers(self, published: PublishedDocument) -> None:
        servers = published.body["backend_servers"]
        self.servers.apply_list(published)
        self.permits.update_backend_servers(servers)
        self.placement.update_backend_servers(servers)

    def _apply_hosts(self, published: PublishedDocument) -> None:
        hosts = published.body["hosts"]
        addresses = {
            host["name"]: Address(host["address"], host["peer_port"]) for host in hosts
        }
        self.mesh.update_addresses(addresses)
        self.members.apply_list(published)
        self.host_lists.apply_document(published.body)

    def _handle_member_state(self, host: str, state: MemberState) -> None:
        """Update the address of a host and the hosts that may own pools."""
        endpoint = self.members.find_endpoint(host)
        if endpoint is not None:
            address = Address(endpoint.address, endpoint.peer_port)
            self.mesh.update_addresses({host: address})
        self._update_placement_hosts()
