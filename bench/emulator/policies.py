"""Routing policies: that of the product, and three simpler ones for comparison."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from bench.emulator.outboxes import HostMessage
from bench.emulator.statements import Statement
from oleanderpier.entry.leaving import LeavingGossip
from oleanderpier.fleet import DomainLoads, FleetLoads, FleetSite, LeavingServers
from oleanderpier.routing import (
    CacheMap,
    Chooser,
    LoadStatement,
    Refusal,
    Roster,
    ServerEntry,
    ServerHealth,
    ServerQuery,
    ServerStatements,
    compute_wait_s,
)
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = [
    "POLICIES",
    "HostContext",
    "HostReport",
    "Policy",
    "Selection",
    "make_lone_host",
]

SERVICE = "engines"
# Load bound of the naive policy: the mean of the host's own requests in flight per
# engine times this factor, plus one.
NAIVE_LOAD_FACTOR = 1.5


class Selection(NamedTuple):
    """The result of a routing decision.

    Attributes:
        engine: Name of the engine to send the request to.
        copy_source: Name of an engine to copy cached prompt parts from, if any.
    """

    engine: str
    copy_source: str | None = None


class HostContext(NamedTuple):
    """What a policy gets from the host that it runs on.

    Attributes:
        timers: The timer service.
        rng: Random number generator.
        site: The host's place in the fleet.
        outbox: Sends messages to other hosts.
    """

    timers: Timers
    rng: random.Random
    site: FleetSite
    outbox: Outbox


class Policy(Protocol):
    """The routing policy of one host, with the state that it keeps."""

    def update_engine(self, engine: str, leaving: bool | None) -> None:
        """Apply the state of an engine: available, leaving, or removed (None)."""

    def select(self, query: ServerQuery, avoid: set[str]) -> Selection | None:
        """Return the engine for a request, or None if no engine is available."""

    def begin_request(self, query: ServerQuery, engine: str) -> None:
        """Count a request as in flight."""

    def end_request(self, engine: str, failed: bool, took_s: float) -> None:
        """Count a request as ended, and record whether the engine failed."""

    def collect_report(self) -> "HostReport":
        """Return the report for the other hosts."""

    def receive_report(self, host: str, report: "HostReport") -> None:
        """Apply a report of another host."""

    def end_refused_request(self, engine: str) -> None:
        """Count a request as ended that the engine refused."""

    def receive_statement(self, engine: str, statement: Statement) -> None:
        """Apply what an engine has said in a response to this host."""

    def receive_load(self, engine: str, load: LoadStatement) -> None:
        """Apply the load and the speed that an engine states in a response."""

    def receive_message(self, host: str, message: HostMessage) -> None:
        """Apply a total load, or which engines leave, as sent by another host."""


class HostReport(NamedTuple):
    """Report that a host sends to all others several times a second.

    Attributes:
        loads: Requests of the host in flight, by engine.
        placements: Pairs of the key of a prompt part and the engine that caches it,
            for the parts placed since the last report.
    """

    loads: dict[str, int]
    placements: list[tuple[str, str]]


class ProductPolicy:
    """The routing components of oleanderpier, connected as on an entry host.

    Args:
        context: The host.
    """

    def __init__(self, context: HostContext) -> None:
        timers, site = context.timers, context.site
        self._timers = timers
        self._rng = context.rng
        self._statements = ServerStatements()
        # The emulator has no owners of servers; the setting is off by default.
        self._statements.loads.allow_permits(False)
        self._gossip = LeavingGossip(
            self._statements,
            lambda: [host for host in site.list_receivers() if host != site.host],
            timers,
            context.rng,
            context.outbox,
        )
        self._roster = Roster(timers)
        self._health = ServerHealth(timers)
        self._caches = CacheMap(timers)
        self._loads = FleetLoads(
            context.site, timers, context.outbox, lambda: self._chooser.in_flight
        )
        self._loads.start()
        self._chooser = Chooser(
            self._roster,
            self._health,
            self._caches,
            "d",
            self._loads,
            context.rng,
            timers,
            statements=self._statements,
        )
        self._roster.subscribe_removed(self._caches.remove_server)
        self._roster.subscribe_removed(self._statements.record_end)

    def update_engine(self, engine: str, leaving: bool | None) -> None:
        """Apply the state of an engine: available, leaving, or removed (None)."""
        entry = ServerEntry(engine, SERVICE, "", "d", bool(leaving), 0)
        self._roster.update_entry(engine, None if leaving is None else entry)

    def select(self, query: ServerQuery, avoid: set[str]) -> Selection | None:
        """Return the choice of the product's ``Chooser``."""
        choice = self._chooser.choose(query, avoid)
        if choice is None:
            return None
        source = choice.copy_source and choice.copy_source.identity
        return Selection(choice.server.identity, source)

    def begin_request(self, query: ServerQuery, engine: str) -> None:
        """Count a request as in flight."""
        self._chooser.begin_request(query, engine)

    def end_request(self, engine: str, failed: bool, took_s: float) -> None:
        """Count a request as ended, and record whether the engine failed."""
        self._chooser.end_request(engine, took_s)
        if failed:
            self._health.record_unreachable(engine)
        else:
            self._health.record_response(engine, failed=False)

    def collect_report(self) -> HostReport:
        """Return the loads and the cache entries that changed since the last call."""
        return HostReport(dict(self._chooser.in_flight), self._caches.pop_updates())

    def receive_report(self, host: str, report: HostReport) -> None:
        """Apply a report of another host."""
        self._loads.receive_report(host, report.loads)
        self._caches.apply_updates(report.placements)

    def end_refused_request(self, engine: str) -> None:
        """Count a request as ended that the engine refused."""
        self._chooser.end_request(engine)

    def receive_statement(self, engine: str, statement: Statement) -> None:
        """Record that an engine leaves, or until when it wants no requests."""
        entry, now_s = self._roster.get_entry(engine), self._timers.now()
        if entry is None:
            return
        if statement.wait_s:
            wait_s = compute_wait_s(Refusal.BUSY, statement.wait_s, self._rng)
            self._statements.record_wait(entry, now_s + wait_s)
        elif self._statements.record_leaving(engine, entry.born_ms, now_s):
            self._gossip.announce(entry)

    def receive_load(self, engine: str, load: LoadStatement) -> None:
        """Record the load and the speed that an engine states in a response."""
        entry = self._roster.get_entry(engine)
        if entry is not None:
            self._statements.loads.record(entry, load, self._timers.now())

    def receive_message(self, host: str, message: HostMessage) -> None:
        """Apply a total load, or which engines leave, as sent by another host."""
        handlers = {
            DomainLoads: self._loads.receive_total,
            LeavingServers: self._gossip.receive,
        }
        handlers[type(message)](host, message)


class HeedlessPolicy(ProductPolicy):
    """The product without attention to what engines say."""

    def receive_statement(self, engine: str, statement: Statement) -> None:
        """Ignore the statement."""


class NaivePolicy:
    """Rendezvous hashing by prompt prefix, bounded by the host's own load.

    The host knows only its own requests and gets no reports from others.

    Args:
        context: The host.
    """

    def __init__(self, context: HostContext) -> None:
        self._rng = context.rng
        self._engines: list[str] = []
        self._in_flight: Counter[str] = Counter()

    def update_engine(self, engine: str, leaving: bool | None) -> None:
        """Apply the state of an engine: available, leaving, or removed (None)."""
        known = [name for name in self._engines if name != engine]
        self._engines = known if leaving in (True, None) else [*known, engine]

    def select(self, query: ServerQuery, avoid: set[str]) -> Selection | None:
        """Return the first engine in rendezvous order that is below the load bound."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        bound = NAIVE_LOAD_FACTOR * self._in_flight.total() / len(engines) + 1
        order = rank_candidates(query.cache_key, engines)
        below_bound = [name for name in order if self._in_flight[name] < bound]
        return Selection((below_bound or order)[0])

    def begin_request(self, query: ServerQuery, engine: str) -> None:
        """Count a request as in flight."""
        self._in_flight[engine] += 1

    def end_request(self, engine: str, failed: bool, took_s: float) -> None:
        """Count a request as ended, and record whether the engine failed."""
        self._in_flight[engine] -= 1

    def collect_report(self) -> HostReport:
        """Return an empty report."""
        return HostReport({}, [])

    def receive_report(self, host: str, report: HostReport) -> None:
        """Ignore the report."""

    def end_refused_request(self, engine: str) -> None:
        """Count a request as ended that the engine refused."""
        self._in_flight[engine] -= 1

    def receive_statement(self, engine: str, statement: Statement) -> None:
        """Ignore the statement."""

    def receive_load(self, engine: str, load: LoadStatement) -> None:
        """Ignore the load."""

    def receive_message(self, host: str, message: HostMessage) -> None:
        """Ignore the message."""


class LeastLoadedPolicy(NaivePolicy):
    """Least loaded engine by reported loads, regardless of caches."""

    def __init__(self, context: HostContext) -> None:
        super().__init__(context)
        self._loads_by_peer: dict[str, dict[str, int]] = {}

    def select(self, query: ServerQuery, avoid: set[str]) -> Selection | None:
        """Return the least loaded engine; break ties at random."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        return Selection(
            min(engines, key=lambda e: (self._count_in_flight(e), self._rng.random()))
        )

    def collect_report(self) -> HostReport:
        """Return the host's own loads."""
        return HostReport(dict(self._in_flight), [])

    def receive_report(self, host: str, report: HostReport) -> None:
        """Apply the loads of another host."""
        self._loads_by_peer[host] = report.loads

    def _count_in_flight(self, engine: str) -> int:
        at_peers = sum(loads.get(engine, 0) for loads in self._loads_by_peer.values())
        return self._in_flight[engine] + at_peers


class TwoChoicesPolicy(LeastLoadedPolicy):
    """The less loaded of the first two engines in rendezvous order.

    References:
        M. Mitzenmacher, "The power of two choices in randomized load
        balancing", IEEE TPDS 12(10), 2001.
    """

    def select(self, query: ServerQuery, avoid: set[str]) -> Selection | None:
        """Return the less loaded of the first two engines in rendezvous order."""
        engines = [name for name in self._engines if name not in avoid]
        if not engines:
            return None
        candidates = rank_candidates(query.cache_key, engines)[:2]
        return Selection(min(candidates, key=self._count_in_flight))


class _NoOutbox:
    """Discards all messages."""

    def send(self, host: str, message: Any) -> bool:
        return False

    def send_to_all(self, hosts: Iterable[str], message: Any) -> None:
        """Discard the message."""


def make_lone_host(timers: Timers, rng: random.Random) -> HostContext:
    """Return the context of a host without other hosts."""
    site = FleetSite("h0", "d0", lambda host: None, list, list)
    return HostContext(timers, rng, site, _NoOutbox())


POLICIES: dict[str, Callable[[HostContext], Policy]] = {
    "present": ProductPolicy,
    "heedless": HeedlessPolicy,
    "naive": NaivePolicy,
    "least_loaded": LeastLoadedPolicy,
    "two_choices": TwoChoicesPolicy,
}
