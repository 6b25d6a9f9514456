"""The parts of an entry host, wired to each other."""

import asyncio
import random
from collections.abc import Iterable

from eliot import log_message
from expression import Error, Result

from oleanderpier.connections import make_session
from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.settings import EntrySettings
from oleanderpier.entry.values import decode_server, decode_table
from oleanderpier.events import Clock
from oleanderpier.fleet import CachedParts, FleetView, HostReport, ServerUse
from oleanderpier.forwarding import Dialect, Forwarder, LastHeard
from oleanderpier.membership import HostEndpoint, Members, MemberState
from oleanderpier.peers import Mesh, split_address
from oleanderpier.replication import (
    OLDEST_S,
    Change,
    ItemNews,
    ItemSource,
    ItemsQuery,
    Replica,
    Sharing,
    keep_replica,
)
from oleanderpier.results import Code, Failure
from oleanderpier.routing import (
    CacheMap,
    Chooser,
    RequestKind,
    RetryBudget,
    Roster,
    Route,
    RouteIndex,
    ServerHealth,
)
from oleanderpier.utils import LoopTimers, rank_candidates

__all__ = [
    "ADDRESS_KEEP_S",
    "CONFIGURATION",
    "CONFIGURATION_KEY",
    "SERVERS",
    "EntryNode",
]

CONFIGURATION = "configuration"
SERVERS = "servers"
CONFIGURATION_KEY = "routes"

MEMBERSHIP_NUMBERS = range(20, 27)
MILLISECONDS_PER_S = 1000
# Hosts of a failure domain that watch the platform and push changes to the others.
WATCHERS = 2
# A host that does not watch starts to, when what it knows is older than this:
# a watcher is answered every second, and reports within two more.
WATCH_ANYWAY_S = 3.5
# Entries of servers do not expire in a shorter outage.
LEAST_OUTAGE_S = 1.0
# A configuration that was last confirmed longer ago may have been replaced. This
# is above the time for which the platform holds a watch.
STALE_S = 4.0
# Callers keep addresses for this long, some three times as long.
ADDRESS_KEEP_S = 0.5
KEEP_MULTIPLE = 3.0
# With so many ready hosts in its failure domain a host names no others, of
# whose reports are rarer.
ENOUGH_NEARBY = 8
# From the last caller's use of an old address to the close of the listeners.
LEAVE_SLACK_S = 0.3
# Time left for closing connections before the process is killed.
END_SLACK_S = 0.4
POLL_S = 0.05
CONNECT_TIMEOUT_S = 0.3


class EntryNode:
    """One entry host.

    Args:
        settings: What it was told at its start.
        source: Where published values come from.
        dialect: The wire format of backend servers.

    Attributes:
        state: ``starting``, ``ready`` or ``draining``.
        in_progress: How many requests of callers are under way.
        index: The routes in force, None before the first configuration.
        metrics: What this host counts.
    """

    def __init__(
        self, settings: EntrySettings, source: ItemSource, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.state = "starting"
        self.in_progress = 0
        self.index: RouteIndex | None = None
        self.metrics = EntryMetrics()
        self.timers = LoopTimers()
        self._source = source
        self._dialect = dialect
        self._drain_began_s = 0.0
        self._silent_spaces: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        incarnation = int(self.timers.wall() * MILLISECONDS_PER_S)
        self._rng = random.Random(f"{settings.peer_address}:{incarnation}")
        self._build_fleet(incarnation)
        self._build_routing()
        self._connect_parts()
        self._watch_metrics()

    def _build_fleet(self, incarnation: int) -> None:
        settings, timers = self.settings, self.timers
        host = settings.peer_address
        self.mesh = Mesh(host, incarnation, timers, Clock(timers))
        self.members = Members(
            _make_card(host, settings.failure_domain),
            timers,
            self._rng,
            self.mesh,
        )
        self.learn_seeds(settings.seeds)
        self.view = FleetView(
            host,
            settings.failure_domain,
            self.members,
            timers,
            self._rng,
            self.mesh,
            self._make_report,
            self._note_report,
        )
        self.replicas = {
            space: Replica(space, timers) for space in (CONFIGURATION, SERVERS)
        }
        self.sharing = Sharing(self.replicas, timers, self.mesh, self._list_followers)

    def _build_routing(self) -> None:
        timers = self.timers
        self.roster = Roster(timers)
        self.health = ServerHealth(timers)
        self.caches = CacheMap(timers)
        self.last_heard = LastHeard(timers)
        self.budget = RetryBudget(self.settings.budget, timers, self.view.count_hosts)
        self.chooser = Chooser(
            self.roster,
            self.health,
            self.caches,
            self.settings.failure_domain,
            self.view.count_load,
            self._rng,
            timers,
            self.view.get_load_age_s,
        )

    def _connect_parts(self) -> None:
        self.mesh.subscribe_range(MEMBERSHIP_NUMBERS, self._handle_membership)
        self.mesh.subscribe(HostReport, self.view.handle)
        self.mesh.subscribe(CachedParts, self._learn_caches)
        self.mesh.subscribe_closed(self.view.note_closed)
        self.view.subscribe_new(self._tell_caches)
        for message_class in (ItemNews, ItemsQuery):
            self.mesh.subscribe(message_class, self._handle_sharing)
        self.members.subscribe(self._note_member)
        self.replicas[CONFIGURATION].subscribe(self._adopt_configuration)
        self.replicas[SERVERS].subscribe(self._adopt_servers)
        self.roster.subscribe_gone(self.health.forget)
        self.roster.subscribe_gone(self.last_heard.forget)
        self.roster.subscribe_gone(self.caches.forget_server)

    def _watch_metrics(self) -> None:
        """Register what is read off the parts when the metrics are."""
        for name, text, read in (
            ("requests_in_progress", "Requests now.", lambda: self.in_progress),
            ("peer_bytes_sent", "Bytes to hosts.", lambda: self.mesh.bytes_sent),
            ("hosts_ready", "Other ready hosts.", lambda: len(self.view.list_ready())),
            ("servers_known", "Backend servers.", lambda: len(self.roster)),
            (
                "configuration_version",
                "Version in force.",
                lambda: self.index.table.version if self.index else 0,
            ),
            (
                "configuration_age_seconds",
                "Since it was known to be the newest.",
                self.get_configuration_age_s,
            ),
        ):
            self.metrics.watch(name, text, read)

    async def start(self) -> None:
        """Begin to take part in the fleet and to learn what is published."""
        self.forwarder = Forwarder(
            make_session(connect_timeout_s=CONNECT_TIMEOUT_S),
            self._dialect,
            self.chooser,
            self.health,
            self.budget,
            self.last_heard,
            self.timers,
            self.metrics.count_send,
        )
        await self.mesh.listen(*split_address(self.settings.peer_address))
        self.members.start()
        self.view.start()
        for replica in self.replicas.values():
            self._start_task(
                keep_replica(
                    replica,
                    self._source,
                    self.timers,
                    self._rng,
                    self._must_watch,
                    self._note_platform,
                    self.metrics.count_platform_call,
                )
            )
        self._start_task(self._become_ready())

    def learn_seeds(self, seeds: Iterable[str]) -> None:
        """Take hosts into account that the settings name, by peer address."""
        others = [seed for seed in seeds if seed != self.settings.peer_address]
        for seed in others:
            self._learn_address(seed)
        self.members.add_seeds(_make_card(seed, "") for seed in others)

    async def drain(self) -> None:
        """Leave the directory, then finish what is in progress."""
        began_s = self._drain_began_s = self.timers.now()
        self.state = "draining"
        log_message("node:draining", in_progress=self.in_progress)
        self.view.report_now()
        self.members.leave()
        earliest_s = began_s + KEEP_MULTIPLE * ADDRESS_KEEP_S + LEAVE_SLACK_S
        latest_s = began_s + self.settings.grace_s - END_SLACK_S
        while self.timers.now() < latest_s:
            if not self.in_progress and self.timers.now() >= earliest_s:
                break
            await asyncio.sleep(POLL_S)
        log_message("node:drained", left_over=self.in_progress)

    async def stop(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.forwarder.session.close()
        await self.mesh.close()

    def admit(self, route: Route) -> Failure | None:
        """Return why a new request is refused at once, None if it is not.

        Args:
            route: Where it would go.
        """
        if self.state != "draining":
            return None
        since_s = self.timers.now() - self._drain_began_s
        kept_s = KEEP_MULTIPLE * ADDRESS_KEEP_S
        ends_s = since_s + (
            route.target_s if route.kind is not RequestKind.STREAM else 0
        )
        if since_s <= kept_s or (
            route.kind is not RequestKind.STREAM and ends_s < self.settings.grace_s / 2
        ):
            return None
        return Failure(Code.HOST_LEAVING, "", 0.0)

    def find_route(self, host_name: str, path: str) -> Result[Route, Failure]:
        """Return the route of a request, or why it has none."""
        unknown = [space for space, item in self.replicas.items() if not item.as_of]
        if unknown:
            text = f"nothing is known yet of {' and '.join(unknown)}"
            return Error(Failure(Code.HOST_NOT_READY, text, ADDRESS_KEEP_S / 2))
        return self._doubt(self.index.find_route(host_name, path))

    def find_workspace(self, route: Route, credential: str | None) -> Result:
        """Return the workspace of a credential, or why there is none."""
        return self._doubt(self.index.find_workspace(route, credential))

    def get_configuration_age_s(self) -> float:
        """Return how long ago the configuration was known to be the newest."""
        return min(self.replicas[CONFIGURATION].get_age_s(), OLDEST_S)

    def list_addresses(self) -> list[str]:
        """Return the addresses that callers are to use, in random order."""
        hosts = self.view.list_ready_nearby()
        if len(hosts) < ENOUGH_NEARBY:
            hosts = self.view.list_ready()
        addresses = [self.view.get_caller_address(host) for host in hosts]
        if self.state == "ready":
            addresses.append(self.settings.caller_address)
        self._rng.shuffle(addresses)
        return addresses

    def _doubt(self, result: Result) -> Result:
        """Turn what a stale configuration does not know into "ask elsewhere"."""
        if result.is_ok():
            return result
        age_s = self.get_configuration_age_s()
        if age_s <= STALE_S:
            return result
        text = f"{result.error.text}; configuration confirmed {age_s:.1f} s ago"
        return Error(Failure(Code.VIEW_STALE, text, 0.0))

    def _start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _become_ready(self) -> None:
        while self.index is None or not self.replicas[SERVERS].as_of:
            await asyncio.sleep(POLL_S)
        if self.state == "starting":
            self.state = "ready"
            log_message("node:ready", version=self.index.table.version)
            self.view.report_now()

    def _must_watch(self) -> bool:
        """Return whether this host is one of the watchers, or none is heard."""
        replicas = self.replicas.values()
        if any(replica.as_of == 0 for replica in replicas):
            return True
        if any(replica.get_age_s() > WATCH_ANYWAY_S for replica in replicas):
            return True
        return self.settings.peer_address in self._list_watchers()

    def _list_watchers(self) -> list[str]:
        """Return the hosts of the own failure domain that watch for the others."""
        last_heard = self.view.list_answered_nearby()
        if not self._silent_spaces:
            last_heard.append(self.settings.peer_address)
        return rank_candidates("watch", last_heard)[:WATCHERS]

    def _list_followers(self) -> list[str]:
        """Return the hosts nearby that do not watch."""
        watchers = set(self._list_watchers())
        return [
            host for host in self.view.list_present_nearby() if host not in watchers
        ]

    def _note_platform(self, space: str, answers: bool, silent_s: float) -> None:
        """Take that the platform fails to answer this host, or answers again."""
        before = bool(self._silent_spaces)
        if answers:
            self._silent_spaces.discard(space)
            if silent_s >= LEAST_OUTAGE_S:
                self.roster.note_outage_end()
        else:
            self._silent_spaces.add(space)
        if before != bool(self._silent_spaces):
            self.view.report_now()

    def _handle_membership(self, sender: str, message) -> None:
        self._learn_address(sender)
        self.members.handle(sender, message)

    def _handle_sharing(self, sender: str, message) -> None:
        self._learn_address(sender)
        self.sharing.handle(sender, message)

    def _learn_address(self, host: str) -> None:
        self.mesh.update_addresses({host: split_address(host)})

    def _note_member(self, host: str, state: MemberState) -> None:
        self._learn_address(host)

    def _make_report(self) -> HostReport:
        answers, failures = self.forwarder.take_outcomes()
        in_flight = self.chooser.in_flight
        servers = {
            identity: ServerUse(
                in_flight.get(identity, 0),
                answers.get(identity, 0),
                failures.get(identity, 0),
            )
            for identity in {*in_flight, *answers}
        }
        return HostReport(
            self.settings.caller_address,
            self.state == "ready",
            not self._silent_spaces,
            self.sharing.describe(),
            servers,
            self.caches.take_news(),
        )

    def _note_report(self, host: str, report: HostReport) -> None:
        self.sharing.note_peer(host, report.knowledge)
        self.caches.learn(report.placements)
        for identity, use in report.servers.items():
            for number in range(use.answers):
                self.health.note_heard(identity, failed=number < use.failures)

    def _tell_caches(self, host: str) -> None:
        """Tell a host that may have just started of servers' caches."""
        tellers = [other for other in self.view.list_ready() if other != host]
        if self.state == "ready":
            tellers.append(self.settings.peer_address)
        if rank_candidates(host, tellers)[:1] != [self.settings.peer_address]:
            return
        placements = self.caches.list_placements()
        if placements:
            self.mesh.send(host, CachedParts(placements))

    def _learn_caches(self, sender: str, message: CachedParts) -> None:
        self.caches.learn(message.placements)
        log_message(
            "node:caches_learnt", host=sender, placements=len(message.placements)
        )

    def _adopt_configuration(self, change: Change) -> None:
        for item in change.items:
            if item.key != CONFIGURATION_KEY or not item.value:
                continue
            table = decode_table(item.value)
            self.index = RouteIndex(table)
            log_message(
                "node:configuration",
                version=table.version,
                revision=item.revision,
                routes=len(table.routes),
                source=change.source,
            )
        self.view.report_now()

    def _adopt_servers(self, change: Change) -> None:
        for item in change.items:
            entry = None
            if item.value:
                entry = decode_server(item.value)
            self.roster.put(item.key, entry)


def _make_card(host: str, failure_domain: str) -> HostEndpoint:
    return HostEndpoint(host, failure_domain, *split_address(host))
