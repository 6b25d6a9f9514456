"""The entry host: creates its components and connects them."""

import asyncio
import random
from collections.abc import Iterable

from eliot import log_message
from expression import Error, Result

from oleanderpier.connections import BodyRoom, Framing, ResponseRoom, make_session
from oleanderpier.entry.addresses import list_caller_addresses
from oleanderpier.entry.draining import ADDRESS_TTL_S, Drain
from oleanderpier.entry.encoding import outlasts_server, outlasts_table
from oleanderpier.entry.exchange import ServerExchange
from oleanderpier.entry.features import list_features
from oleanderpier.entry.first_contact import FirstContact
from oleanderpier.entry.gauges import list_gauges
from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.newcomers import NewcomerUpdates
from oleanderpier.entry.server_uses import list_server_uses, record_peer_responses
from oleanderpier.entry.settings import EntrySettings
from oleanderpier.entry.staleness import convert_if_stale
from oleanderpier.entry.standstill import make_evacuations
from oleanderpier.entry.values import CONFIGURATION, SERVERS, PublishedValues
from oleanderpier.entry.watch import WatchDuty
from oleanderpier.events import Clock
from oleanderpier.fleet import (
    DOMAIN_LOADS_FEATURE,
    CachePlacements,
    DomainLoads,
    FleetLoads,
    FleetSite,
    FleetView,
    HostReport,
)
from oleanderpier.forwarding import (
    Call,
    Caller,
    CrashGuard,
    Dialect,
    Forwarder,
    RequestOutcome,
    ServerActivity,
    StatementRecorder,
    Survivors,
)
from oleanderpier.membership import HostEndpoint, Members, MemberState
from oleanderpier.peers import Mesh, split_address
from oleanderpier.replication import (
    MAX_REPORTED_AGE_S,
    ItemSource,
    ItemsQuery,
    ItemsUpdate,
    OutageDetector,
    Replica,
    ReplicaSummary,
    ReplicaSync,
    WatchTiming,
    derive_watch_timing,
    maintain_replica,
)
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    AttemptOutcome,
    CacheMap,
    Chooser,
    ColdServers,
    RetryBudget,
    Roster,
    Route,
    RouteIndex,
    ServerHealth,
)
from oleanderpier.utils import LoopTimers

__all__ = ["EntryNode"]

MEMBERSHIP_MESSAGE_NUMBERS = range(20, 27)
MILLISECONDS_PER_S = 1000
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 0.3


class EntryNode:
    """An entry host: accepts requests of callers and forwards them to servers.

    Args:
        settings: The settings of the process.
        source: The platform's store.
        dialect: The wire format of backend servers.

    Attributes:
        state: ``starting``, ``ready`` or ``draining``.
        in_progress: The number of callers' requests in progress.
        metrics: The metrics of this host.
        first_contact: Holds requests back just after the start.
        body_room: The room for the bodies of callers' requests.
        response_room: The room for large responses to callers.
    """

    def __init__(
        self, settings: EntrySettings, source: ItemSource, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.state = "starting"
        self.in_progress = 0
        self.metrics = EntryMetrics()
        self.timers = LoopTimers()
        self.draining = Drain(self.timers, settings.grace_s)
        self.body_room = BodyRoom(settings.caller_bounds.body_bytes)
        self.response_room = ResponseRoom(settings.caller_bounds.response_bytes)
        self._source = source
        self._dialect = dialect
        self._tasks: list[asyncio.Task] = []
        incarnation = int(self.timers.wall() * MILLISECONDS_PER_S)
        self._rng = random.Random(f"{settings.peer_address}:{incarnation}")
        self._build_fleet(incarnation)
        self._build_routing()
        self._subscribe_components()
        for name, text, read in list_gauges(self):
            self.metrics.register_gauge(name, text, read)

    def _build_fleet(self, incarnation: int) -> None:
        settings, timers = self.settings, self.timers
        host = settings.peer_address
        self.mesh = Mesh(host, incarnation, timers, Clock(timers))
        self.members = Members(
            _make_endpoint(host, settings.failure_domain),
            timers,
            self._rng,
            self.mesh,
        )
        self.add_seeds(settings.seeds)
        self.view = FleetView(
            host,
            settings.failure_domain,
            self.members,
            timers,
            self._rng,
            self.mesh,
            self._make_report,
            self._handle_report,
            is_paced=lambda: self.exchange.statements.loads.has_uneven(),
        )
        self.first_contact = FirstContact(self._list_alive_others, timers)
        self.loads = FleetLoads(
            FleetSite(
                host,
                settings.failure_domain,
                self.members.find_domain,
                self._list_total_senders,
                lambda: self.view.list_with_feature(DOMAIN_LOADS_FEATURE),
            ),
            timers,
            self.mesh,
            lambda: self.chooser.in_flight,
        )
        self.replicas = {
            CONFIGURATION: Replica(CONFIGURATION, timers, outlasts_table),
            SERVERS: Replica(SERVERS, timers, outlasts_server),
        }
        self.sync = ReplicaSync(
            self.replicas,
            timers,
            self.mesh,
            lambda: self.watch_duty.list_followers(),
            self.view.list_present_in_domain,
        )

    def _build_routing(self) -> None:
        timers = self.timers
        self.roster = Roster(timers)
        self.evacuations = make_evacuations(
            self.settings.evacuate_s, self.replicas[CONFIGURATION], timers
        )
        self.cold_servers = ColdServers(self.evacuations, timers)
        self.watch_duty = WatchDuty(
            self.settings.peer_address,
            self.view,
            self.replicas,
        )
        self.outages = OutageDetector(
            self.replicas[SERVERS],
            timers,
            self.roster.record_outage_end,
            # Before the changes that this host sends on.
            self.view.report_now,
        )
        self.health = ServerHealth(timers)
        self.caches = CacheMap(timers)
        self.server_activity = ServerActivity(timers)
        self.exchange = ServerExchange(
            self.view,
            self._list_ready,
            timers,
            self._rng,
            self.mesh,
            Survivors(self.roster, self.server_activity).has_survivor,
            lambda identity: self.chooser.count_in_flight(identity),
            self.cold_servers.get_rate,
            self.metrics,
            lambda *read: self.chooser.prefill_choice.estimate_s(*read),
            self.roster.get_entry,
        )
        self.budget = RetryBudget(self.settings.budget, timers, self.view.count_hosts)
        self.chooser = Chooser(
            self.roster,
            self.health,
            self.caches,
            self.settings.failure_domain,
            self.loads,
            self._rng,
            timers,
            self.settings.load_limit_factor,
            self.exchange.statements,
            self.evacuations,
            dict(self.settings.regions),
        )

    def _subscribe_components(self) -> None:
        self.mesh.subscribe_range(MEMBERSHIP_MESSAGE_NUMBERS, self._handle_membership)
        self.mesh.subscribe(HostReport, self.view.receive_report)
        self.mesh.subscribe(DomainLoads, self.loads.receive_total)
        self.view.subscribe_silent(self.loads.remove_host)
        self.mesh.subscribe_closed(self.view.handle_stream_closed)
        newcomers = NewcomerUpdates(
            self.settings.peer_address,
            self._list_ready,
            self.caches,
            self.replicas.values(),
            self.timers,
            self.mesh,
            (self.exchange.send_all,),
            (self.exchange.crash_gossip.send_quarantines,),
        )
        self.view.subscribe_appeared(newcomers.send)
        self.exchange.subscribe()
        statements = self.exchange.statements
        statements.loads.allow_permits(self.settings.capacity_permits)
        self.roster.subscribe_removed(statements.record_end)
        self.mesh.subscribe(CachePlacements, newcomers.receive)
        for message_class in (ItemsUpdate, ItemsQuery):
            self.mesh.subscribe(message_class, self._handle_sync)
        self.members.subscribe(self._handle_member_change)
        self.values = PublishedValues(
            self.replicas,
            self.roster,
            self.cold_servers,
            self.evacuations,
            self.outages,
            lambda: self.view.report_now(),
            self.chooser.costs.update_services,
        )
        for replica in self.replicas.values():
            replica.subscribe(lambda change: self._check_ready())
        # Servers that the copy lacks register again, as after an outage.
        self.replicas[SERVERS].subscribe_era(
            lambda: self.roster.record_outage_end(self.timers.now())
        )
        self.roster.subscribe_removed(self.health.remove_server)
        self.roster.subscribe_removed(self.server_activity.remove_server)
        self.roster.subscribe_removed(self.caches.remove_server)

    @property
    def route_index(self) -> RouteIndex | None:
        """The routes in force, None before the first configuration."""
        return self.values.route_index

    async def start(self) -> None:
        """Join the fleet and start to replicate the platform's values."""
        exchange = self.exchange
        self.forwarder = Forwarder(
            make_session(connect_timeout_s=CONNECT_TIMEOUT_S),
            self._dialect,
            self.chooser,
            self.health,
            self.budget,
            self.server_activity,
            self.timers,
            StatementRecorder(
                exchange.statements,
                self.timers,
                self._rng,
                exchange.leaving.announce,
                exchange.limits.announce,
                exchange.speeds.announce,
            ).record,
            CrashGuard(
                exchange.poison,
                self.health,
                self.timers,
                exchange.is_tester,
                exchange.crash_gossip.announce_crash,
                exchange.crash_gossip.announce_sound,
            ),
            self._rng,
            self._record_attempt,
            exchange.send_limits.request_send,
            self.metrics.record_held_back,
            self.cold_servers,
            exchange.permits,
            self.settings.caller_bounds.received_bytes,
            exchange.prefills.announce,
        )
        await self.mesh.listen(*split_address(self.settings.peer_address))
        self.first_contact.begin()
        self.members.start()
        self.view.start()
        self.loads.start()
        # The configuration has a bound of its own and changes rarely.
        timings = {
            CONFIGURATION: WatchTiming(),
            SERVERS: derive_watch_timing(self.settings.server_leave_s),
        }
        for space, replica in self.replicas.items():
            self._start_task(
                maintain_replica(
                    replica,
                    self._source,
                    self.timers,
                    self._rng,
                    self.watch_duty.should_watch,
                    self._handle_reachability,
                    self.metrics.record_platform_call,
                    timings[space],
                )
            )
        self._start_task(self._become_ready())

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Add the hosts that the settings name, given by peer address."""
        others = [seed for seed in seeds if seed != self.settings.peer_address]
        for seed in others:
            self._add_address(seed)
        self.members.add_seeds(_make_endpoint(seed, "") for seed in others)

    async def forward(self, call: Call, caller: Caller) -> RequestOutcome:
        """Forward a request; just after the start it waits for the other hosts."""
        await self.first_contact.wait()
        return await self.forwarder.forward(call, caller)

    async def drain(self) -> None:
        """Leave the directory, then wait until no more connections need be accepted."""
        self.draining.begin()
        self.state = "draining"
        log_message("node:draining", in_progress=self.in_progress)
        self.view.report_now()
        self.members.leave()
        while not self.draining.may_stop_listening(self.in_progress):
            await asyncio.sleep(POLL_INTERVAL_S)
        log_message("node:drained", left_over=self.in_progress)

    def end_requests(self) -> None:
        """Give every request in progress its final response."""
        log_message("node:requests_ended", in_progress=self.in_progress)
        self.forwarder.limits.end()

    async def stop(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.forwarder.session.close()
        await self.mesh.close()

    def find_route(self, host_name: str, path: str) -> Result[Route, Failure]:
        """Return the route of a request, or the failure if there is none."""
        empty_spaces = [
            space for space, replica in self.replicas.items() if not replica.as_of
        ]
        if empty_spaces:
            text = f"nothing is known yet of {' and '.join(empty_spaces)}"
            return Error(Failure(Code.HOST_NOT_READY, text, ADDRESS_TTL_S / 2))
        if self.route_index is None:
            text = "the platform's store has no configuration yet"
            return Error(Failure(Code.HOST_NOT_READY, text, ADDRESS_TTL_S / 2))
        return convert_if_stale(
            self.route_index.find_route(host_name, path), self.get_configuration_age_s()
        )

    def find_workspace(self, route: Route, credential: str | None) -> Result:
        """Return the workspace of a credential, or the failure if there is none."""
        return convert_if_stale(
            self.route_index.find_workspace(route, credential),
            self.get_configuration_age_s(),
        )

    def get_configuration_age_s(self) -> float:
        """Return the seconds since the configuration was known to be the newest."""
        return min(self.replicas[CONFIGURATION].get_age_s(), MAX_REPORTED_AGE_S)

    def list_addresses(self) -> list[str]:
        """Return the addresses of ready hosts for callers, in random order."""
        own = [self.settings.caller_address] if self.state == "ready" else []
        return list_caller_addresses(self.view, own, self.settings.contact_s, self._rng)

    def _start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _become_ready(self) -> None:
        # A snapshot without servers changes no value, so nothing notifies of it.
        while self.state == "starting":
            self._check_ready()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _check_ready(self) -> None:
        """Become ready once routes and servers are known."""
        if self.state != "starting" or self.route_index is None:
            return
        # Changes that another host sends may be known before the whole key space,
        # which also has the evacuations.
        if not all(replica.as_of for replica in self.replicas.values()):
            return
        self.state = "ready"
        log_message("node:ready", version=self.route_index.table.version)
        self.view.report_now()

    def _list_total_senders(self) -> list[str]:
        """Return the ready hosts of this failure domain that send its total load."""
        supporting = set(self.view.list_with_feature(DOMAIN_LOADS_FEATURE))
        senders = [
            host for host in self.view.list_ready_in_domain() if host in supporting
        ]
        if self.state == "ready":
            senders.append(self.settings.peer_address)
        return senders

    def _handle_membership(self, sender: str, message) -> None:
        self._add_address(sender)
        self.members.handle(sender, message)

    def _handle_sync(self, sender: str, message) -> None:
        self._add_address(sender)
        self.sync.receive_message(sender, message)

    def _add_address(self, host: str) -> None:
        self.mesh.update_addresses({host: split_address(host)})

    def _handle_member_change(self, host: str, state: MemberState) -> None:
        self._add_address(host)

    def _handle_reachability(self, space: str, reachable: bool) -> None:
        if not reachable:
            self.outages.record_failure()
        self.watch_duty.handle_reachability(space, reachable)

    def _record_attempt(
        self, outcome: AttemptOutcome, framing: Framing | None, took_s: float
    ) -> None:
        self.cold_servers.begin_traffic()
        self.metrics.record_attempt(outcome, framing, took_s)

    def _make_report(self) -> HostReport:
        responses, failures = self.forwarder.pop_response_counts()
        servers = list_server_uses(self.chooser.in_flight, responses, failures)
        return HostReport(
            self.settings.caller_address,
            self.state == "ready",
            self.watch_duty.platform_reachable,
            self._summarize(),
            servers,
            self.caches.pop_updates(),
        )

    def _summarize(self) -> dict[str, ReplicaSummary]:
        """Return the summaries for this host's reports, by name."""
        return {
            **self.sync.summarize(),
            **self.outages.summarize(),
            **self.values.summarize(),
            **list_features(self.exchange.statements.loads.has_uneven()),
        }

    def _list_alive_others(self) -> list[str]:
        own = self.settings.peer_address
        return [host for host in self.members.list_alive() if host != own]

    def _handle_report(self, host: str, report: HostReport) -> None:
        self.first_contact.receive_report(host, report.ready)
        self.loads.receive_report(
            host, {name: use.in_flight for name, use in report.servers.items()}
        )
        self.outages.receive_summaries(report.replica_summaries)
        self.sync.receive_summaries(host, report.replica_summaries)
        self.values.receive_summaries(host, report.replica_summaries)
        self.caches.apply_updates(report.placements)
        record_peer_responses(self.health, report.servers)

    def _list_ready(self) -> list[str]:
        """Return the ready hosts, including this one if it is ready."""
        own = [self.settings.peer_address] if self.state == "ready" else []
        return [*self.view.list_ready(), *own]


def _make_endpoint(host: str, failure_domain: str) -> HostEndpoint:
    return HostEndpoint(host, failure_domain, *split_address(host))
