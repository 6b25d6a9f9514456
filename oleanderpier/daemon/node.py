"""One daemon: its parts, from start to drain."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable
from typing import Any

import aiohttp
from aiohttp import web
from expression import Result
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
from oleanderpier.daemon.counts import RequestCounts
from oleanderpier.daemon.directory import Directory
from oleanderpier.daemon.permits import Permits
from oleanderpier.daemon.probes import CacheEvent, probe_server, read_cache_events
from oleanderpier.daemon.recorder import Recorder
from oleanderpier.events import Clock, Ring
from oleanderpier.membership import (
    BackendServers,
    MemberCard,
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
from oleanderpier.utils import LoopTimers

__all__ = ["Node"]

MEMBERSHIP_NUMBERS = range(20, 27)
SERVER_NUMBERS = range(27, 40)
CONFIGURATION_NUMBERS = range(40, 60)
CLAIM_NUMBERS = range(60, 80)
PLACEMENT_NUMBERS = range(80, 100)
MILLISECONDS_PER_S = 1000
POLL_S = 0.1
CACHE_EVENTS_INTERVAL_S = 5.0
SHUTDOWN_TIMEOUT_S = 1.0

_STEP_OUTCOMES = {
    Step.UNREACHED: ServerOutcome.REFUSED,
    Step.REFUSED: ServerOutcome.REFUSED,
    Step.SILENT: ServerOutcome.TIMED_OUT,
    Step.CUT: ServerOutcome.TIMED_OUT,
}


class Node:
    """The parts of one daemon, wired to each other.

    Args:
        settings: The complete settings of this host.

    Attributes:
        state: ``starting``, ``ready`` or ``draining``.
        in_progress: How many requests of callers are under way.
        has_left: Whether callers may no longer hold this host's address.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.host = settings["host"]
        self.state = "starting"
        self.in_progress = 0
        self.address_expired = False
        self.timers = LoopTimers()
        self.started_s = self.timers.wall()
        self.incarnation = int(self.started_s * MILLISECONDS_PER_S)
        self.rng = random.Random(f"{self.host}:{self.incarnation}")
        self.registry = CollectorRegistry()
        self.counts = RequestCounts(self.registry)
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task] = []
        self._probes: set[asyncio.Task] = set()
        self._build_parts()
        self._connect_parts()
        self._register_metrics()

    def _build_parts(self) -> None:
        settings, timers, rng = self.settings, self.timers, self.rng
        clock = Clock(timers)
        kept = settings["limits"]["events_kept"]
        self.ring = Ring(self.host, self.incarnation, clock, timers, kept)
        self.recorder = Recorder(self.ring)
        self.mesh = Mesh(self.host, self.incarnation, timers, clock)
        self.documents = Documents()
        self.members = Members(
            MemberCard(
                self.host,
                settings["failure_domain"],
                settings["address"],
                settings["peer_port"],
            ),
            timers,
            rng,
            self.mesh,
            [
                MemberCard(seed["name"], "", seed["address"], seed["peer_port"])
                for seed in settings["seed_peers"]
            ],
        )
        self.directory = Directory(
            self.host, self.documents, self.members, timers, rng, self._is_settled
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
        self.servers = BackendServers(self.members, timers, rng, self.mesh, self._probe)
        self.placement = Placement(self.host, timers, rng, self.mesh, self._move_stream)
        self.permits = Permits(self.placement)

    def _register_metrics(self) -> None:
        """Register what is read off the parts when the metrics are."""
        for name, text, read in (
            ("peer_bytes_sent", "Bytes to hosts.", lambda: self.mesh.bytes_sent),
            ("requests_in_progress", "Requests now.", lambda: self.in_progress),
            ("permits_held", "Permits now.", lambda: len(self.placement.list_held())),
            ("hosts_alive", "Hosts alive.", lambda: len(self.members.list_alive())),
        ):
            gauge = Gauge(f"oleanderpier_{name}", text, registry=self.registry)
            gauge.set_function(read)

    def _connect_parts(self) -> None:
        mesh = self.mesh
        mesh.subscribe_range(MEMBERSHIP_NUMBERS, self.members.handle)
        mesh.subscribe_range(CONFIGURATION_NUMBERS, self.gossip.handle)
        mesh.subscribe_range(CLAIM_NUMBERS, self.claims.handle)
        mesh.subscribe_range(SERVER_NUMBERS, self.servers.handle)
        mesh.subscribe_range(PLACEMENT_NUMBERS, self.placement.handle)
        mesh.subscribe(PlatformReachable, self.watcher_selection.handle)
        self.documents.subscribe("hosts", self._adopt_hosts)
        self.documents.subscribe("backend_servers", self._adopt_backend_servers)
        self.documents.subscribe(
            "configuration",
            lambda published: self.placement.update_configuration(published.body),
        )
        self.servers.subscribe(self._note_server)
        self.members.subscribe(self._note_member)
        self.recorder.follow(self.documents, self.members, self.servers)
        for seed in self.settings["seed_peers"]:
            address = Address(seed["address"], seed["peer_port"])
            mesh.update_addresses({seed["name"]: address})

    async def open(self) -> None:
        """Open what serving takes, and listen for other hosts."""
        settings = self.settings
        self.session = aiohttp.ClientSession()
        self.relay = Relay(make_session(), self.timers, notify=self._note_attempt)
        self.relay.start()
        await self.mesh.listen(settings["address"], settings["peer_port"])
        self._update_placing()

    async def start(self) -> None:
        """Begin to take part in the fleet."""
        for part in (self.members, self.gossip, self.watcher_selection, self.servers):
            part.start()
        platform = self.settings["platform"]
        url = f"http://{platform['address']}:{platform['port']}"
        self._start_task(
            watch_platform(
                self.session, url, self.documents, self.watcher_selection, self.rng
            )
        )
        self._start_task(
            read_cache_events(
                self.relay.session,
                self._list_owned_engines,
                self._note_cache_event,
                CACHE_EVENTS_INTERVAL_S,
            )
        )
        self._start_task(self._become_ready())
        self.recorder.record_state(self.host, "started")

    async def serve(self, app: web.Application, port: int) -> None:
        """Serve an application until the daemon stops.

        Args:
            app: The application.
            port: Where it listens, on the address of the settings.
        """
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, self.settings["address"], port).start()
        self._runners.append(runner)

    async def drain(self) -> None:
        """Leave the directory, then finish what is in progress."""
        self.state = "draining"
        self.recorder.record_state(self.host, "draining")
        self.members.leave()
        self._update_placing()
        limits = self.settings["limits"]
        deadline_s = self.timers.now() + limits["drain_s"]
        await asyncio.sleep(limits["address_keep_s"])
        self.address_expired = True
        while self.in_progress and self.timers.now() < deadline_s:
            await asyncio.sleep(POLL_S)
        await finish_calls(max(0.0, deadline_s - self.timers.now()))

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self.relay.close()
        await self.relay.session.close()
        await self.mesh.close()
        await self.session.close()

    async def track_request(self, request: Awaitable[Any]) -> Any:
        """Serve a caller's request; a drain waits for its end."""
        self.in_progress += 1
        try:
            return await request
        finally:
            self.in_progress -= 1

    async def look_up_call(self, key: str) -> Result[Outcome, Failure]:
        """Find out what became of a key."""
        future = asyncio.get_running_loop().create_future()
        self.claims.look_up(key, future.set_result)
        return await future

    def record_end(self, work_class: str, code: Code, late: bool, subject: str) -> None:
        """Count a request that has ended, and record it if it failed."""
        self.counts.count(work_class, code, late)
        if code is not Code.DONE:
            self.recorder.record_failure(subject, code, work_class)

    def make_identity(self) -> str:
        """Return a request id that no other request has."""
        return f"{self.host}-{self.rng.getrandbits(64):016x}"

    def find_class(self, name: str) -> WorkClass | None:
        """Return a class of work by name."""
        return self._find("configuration", "classes", name)

    def has_workspace(self, name: str) -> bool:
        """Return whether the configuration has a workspace."""
        return self._find("configuration", "workspaces", name) is not None

    def count_in_flight(self) -> Counter[str]:
        """Return how many requests of this host run at each backend server."""
        servers = self._list_entries("backend_servers", "backend_servers")
        counts = Counter({server["name"]: 0 for server in servers})
        counts.update(permit.backend_server for permit in self.placement.list_held())
        return counts

    def _find(self, document: str, field: str, name: str) -> Any:
        items = self._list_entries(document, field)
        return next((item for item in items if item["name"] == name), None)

    def _list_entries(self, document: str, field: str) -> list[Any]:
        """Return a list of the document in force, an empty one before there is one."""
        published = self.documents.get(document)
        return published.body[field] if published else []

    def _start_task(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.append(task)
        return task

    def _is_settled(self) -> bool:
        """Return whether this host serves every kind of request."""
        return self.state == "ready" and self.claims.ready

    async def _become_ready(self) -> None:
        while not self.gossip.is_ready():
            await asyncio.sleep(POLL_S)
        if self.state == "starting":
            self.state = "ready"
            self.recorder.record_state(self.host, "ready")

    def _probe(self, name: str) -> None:
        """Probe a backend server in the background."""
        server = self._find("backend_servers", "backend_servers", name)
        if server is None:
            return

        async def probe() -> None:
            outcome = await probe_server(self.relay.session, server)
            self.servers.report_probe(name, outcome)
            if outcome in (ServerOutcome.REFUSED, ServerOutcome.TIMED_OUT):
                self.placement.report_failure(name)

        task = asyncio.get_running_loop().create_task(probe())
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    def _note_attempt(self, name: str, step: Step) -> None:
        """Take the relay's word that a backend server failed an attempt."""
        self.servers.report(name, _STEP_OUTCOMES.get(step, ServerOutcome.TIMED_OUT))
        self.placement.report_failure(name)
        self.recorder.record_attempt(name, step)

    def _move_stream(self, permit: Permit) -> None:
        """Let a stream go on at another engine, so that the bound holds."""
        self.relay.move(permit.request)
        self.recorder.record_move(permit)

    def _note_server(self, name: str, state: ServerState) -> None:
        if state is ServerState.LEAVING:
            self.placement.note_leaving(name)

    def _list_owned_engines(self) -> list[Any]:
        return [
            server
            for server in self._list_entries("backend_servers", "backend_servers")
            if server["kind"] == "engine"
            and self.placement.owns_pool_of(server["name"])
        ]

    def _note_cache_event(self, name: str, event: CacheEvent) -> None:
        self.placement.note_cache_event(name, event["kind"], event["chat"])

    def _update_placing(self) -> None:
        """Tell placement who is alive, and who still holds permits but leaves."""
        self.directory.invalidate()
        known = self.members.list_known()
        leaving = [
            host for host in known if self.members.find_state(host) is MemberState.LEFT
        ]
        self.placement.update_hosts([*self.members.list_alive(), *leaving], leaving)

    def _adopt_backend_servers(self, published: PublishedDocument) -> None:
        servers = published.body["backend_servers"]
        self.servers.adopt_list(published)
        self.permits.update_backend_servers(servers)
        self.placement.update_backend_servers(servers)

    def _adopt_hosts(self, published: PublishedDocument) -> None:
        hosts = published.body["hosts"]
        addresses = {
            host["name"]: Address(host["address"], host["peer_port"]) for host in hosts
        }
        self.mesh.update_addresses(addresses)
        self.members.adopt_list(published)
        self.host_lists.adopt(published.body)

    def _note_member(self, host: str, state: MemberState) -> None:
        """Learn where a host is, and who may own pools now."""
        card = self.members.find_card(host)
        if card is not None:
            address = Address(card.address, card.peer_port)
            self.mesh.update_addresses({host: address})
        self._update_placing()
