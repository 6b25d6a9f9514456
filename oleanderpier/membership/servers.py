"""What this host knows of the backend servers, and its share of the probes."""

from collections.abc import Callable
from enum import Enum
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING, Any

from eliot import log_message

from oleanderpier.membership.members import Members
from oleanderpier.membership.probers import choose_probers
from oleanderpier.membership.records import PathRecord, ProbeRecord
from oleanderpier.membership.server_messages import (
    ServerDoubt,
    ServerFact,
    ServerFacts,
    ServerFactsQuery,
    ServerState,
    ServerSummary,
)
from oleanderpier.membership.server_news import ServerNews
from oleanderpier.membership.server_probes import (
    RETRY_INTERVAL_S,
    ServerProbes,
    group_hosts,
)
from oleanderpier.membership.server_table import ServerTable, UsableServer
from oleanderpier.utils import Outbox, Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["BackendServers", "Outcome"]

# Probes that fail in a row before a backend server is suspect.
FAILURES_TO_SUSPECT = 2
# From suspect to failed, by this host's own word and by another's.
FAILED_AFTER_S = 4.0
CONFIRM_AFTER_S = 1.0
# How long a failed one has to answer first; doubled with each return, up to
# MAX_DOUBLINGS times.
STEADY_S = 2.0
MAX_DOUBLINGS = 5
# For so long a host that was contradicted accuses no more.
DISPUTE_S = 30.0
# For so long a word that a server leaves stands against its good answers.
LEAVING_HOLD_S = 600.0
# Requests that fail in a row before this host avoids a server, and how long.
PASSIVE_FAILURES = 3
AVOID_S = 5.0
# Between two requests to a server's probers to look at it.
DOUBT_INTERVAL_S = 2.0
# Between two comparisons of facts with another host.
SYNC_INTERVAL_S = 30.0


class Outcome(Enum):
    """How a backend server took a request or a probe."""

    ANSWERED = "answered"
    SLOW = "slow"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    LEAVING = "leaving"


_IS_FAILURE = {
    Outcome.ANSWERED: False,
    Outcome.SLOW: False,
    Outcome.TIMED_OUT: True,
    Outcome.REFUSED: True,
    Outcome.LEAVING: False,
}


class BackendServers:
    """The backend servers of the document in force, and their state.

    Two hosts probe each of them and spread what changed; a third one joins
    while it is suspect. A fact is replaced only by one of a higher
    ``ServerFact.order``.

    Args:
        members: The other hosts.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
        probe: Called with the name of a backend server to probe; its outcome
            has to come back through ``report_probe``.
    """

    def __init__(
        self,
        members: Members,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
        probe: Callable[[str], None],
    ) -> None:
        self._members = members
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._table = ServerTable(timers)
        self._news = ServerNews(members, timers, outbox)
        self._probes = ServerProbes(self._table, members, timers, generator, probe)
        self._paths: dict[str, PathRecord] = {}
        self._callbacks: list[Callable[[str, ServerState], None]] = []

    def start(self) -> None:
        """Begin to probe and to compare facts with other hosts."""
        self._probes.start()
        self._members.subscribe_contacts(self._news.repeat)
        delay_s = self._generator.uniform(0.0, 1.0)
        self._timers.call_later(delay_s, self._sync)

    def adopt_list(self, published: "PublishedDocument") -> None:
        """Take in the ``backend_servers`` document in force."""
        entries = {e["name"]: e for e in published.body["backend_servers"]}
        known = self._table.entries
        gone = self._table.adopt(entries)
        self._probes.note_list(gone)
        for name in gone:
            self._paths.pop(name, None)
            self._news.discard(name)
        if known is None:
            return
        for name, entry in entries.items():
            if known.get(name, entry)["state"] != entry["state"]:
                self._notify(name)
        if entries.keys() - known.keys():
            self._compare()

    def find_state(self, server: str) -> ServerState | None:
        """Return a backend server's state, or None if it is not listed.

        Leaving holds as soon as the document or any host says so.
        """
        return self._table.find_state(server)

    def list_usable(self, provides: str) -> list[UsableServer]:
        """Return the backend servers that take new work of a kind.

        Suspect ones and those that this host cannot reach are among them only
        when there is no other.

        Args:
            provides: The model or the operation.
        """
        servers = self._table.list_providers(provides)
        now_s = self._timers.now()
        good = [
            usable
            for usable in servers
            if usable.state is ServerState.LIVE and self._is_open(usable, now_s)
        ]
        return good or list(servers)

    def list_probed(self) -> list[str]:
        """Return the backend servers that this host always probes."""
        return self._probes.list_always()

    def subscribe(self, callback: Callable[[str, ServerState], None]) -> None:
        """Call back with a backend server and its state whenever it changes."""
        self._callbacks.append(callback)

    def report(self, server: str, outcome: Outcome) -> None:
        """Note how a request of this host went.

        Args:
            server: The backend server.
            outcome: How it took the request.
        """
        if outcome is Outcome.LEAVING:
            self._find_out(server, ServerState.LEAVING)
            return
        path = self._paths.setdefault(server, PathRecord())
        if not _IS_FAILURE[outcome]:
            path.failures = 0
            path.avoid_until_s = 0.0
            return
        path.failures += 1
        if path.failures >= PASSIVE_FAILURES:
            self._avoid(server, path)

    def report_probe(self, server: str, outcome: Outcome) -> None:
        """Note the outcome of a probe that this host was told to make.

        Args:
            server: The backend server.
            outcome: How it took the probe.
        """
        record = self._probes.find_record(server)
        if record is None or server not in self._table:
            return
        if outcome is Outcome.LEAVING:
            self._find_out(server, ServerState.LEAVING)
        elif _IS_FAILURE[outcome]:
            self._note_failure(server, record)
        else:
            self._note_success(server, record)

    def handle(self, sender: str, message: Any) -> None:
        """Take in a message of another host.

        Args:
            sender: The host that sent it.
            message: One of the classes of ``membership.server_messages``.
        """
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _receive_facts(self, message: ServerFacts, sender: str) -> None:
        for fact in message.facts:
            self._apply(fact)

    @_receive.register
    def _receive_doubt(self, message: ServerDoubt, sender: str) -> None:
        self._probes.probe_soon(message.server)

    @_receive.register
    def _receive_summary(self, message: ServerSummary, sender: str) -> None:
        buckets = self._table.summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, ServerFactsQuery(buckets))
        if not message.answered:
            answer = ServerSummary(True, self._table.summary.list_hashes())
            self._outbox.send(sender, answer)

    @_receive.register
    def _receive_query(self, message: ServerFactsQuery, sender: str) -> None:
        self._outbox.send(sender, ServerFacts(self._table.list_facts(message.buckets)))

    def _note_failure(self, server: str, record: ProbeRecord) -> None:
        now_s = self._timers.now()
        record.failures += 1
        record.good_since_s = None
        record.due_s = min(record.due_s, now_s + RETRY_INTERVAL_S)
        if record.failures < FAILURES_TO_SUSPECT:
            return
        fact = self._table.get(server)
        state = fact.state if fact else ServerState.LIVE
        if state is ServerState.LIVE and now_s >= record.silent_until_s:
            self._find_out(
                server, ServerState.SUSPECT, self._table.count_flaps(server) + 1
            )
        elif state is ServerState.SUSPECT:
            lasted_s = self._table.get_age_s(server)
            is_own = fact.by == self._members.host
            if lasted_s >= (FAILED_AFTER_S if is_own else CONFIRM_AFTER_S):
                self._find_out(server, ServerState.FAILED, fact.flaps)

    def _note_success(self, server: str, record: ProbeRecord) -> None:
        now_s = self._timers.now()
        record.failures = 0
        if record.good_since_s is None:
            record.good_since_s = now_s
        fact = self._table.get(server)
        if fact is not None and fact.state in _ON_ANSWER:
            _ON_ANSWER[fact.state](self, fact, record)

    def _end_suspicion(self, fact: ServerFact, record: ProbeRecord) -> None:
        if self._may_deny(fact.server, record):
            self._find_out(fact.server, ServerState.LIVE, max(0, fact.flaps - 1))
        else:
            self._end_failure(fact, record)

    def _end_failure(self, fact: ServerFact, record: ProbeRecord) -> None:
        good_s = self._timers.now() - (record.good_since_s or 0.0)
        if good_s >= _find_steady_time(fact.flaps):
            self._find_out(fact.server, ServerState.LIVE, fact.flaps)

    def _end_leaving(self, fact: ServerFact, record: ProbeRecord) -> None:
        if self._table.get_age_s(fact.server) >= LEAVING_HOLD_S:
            self._find_out(fact.server, ServerState.LIVE, 0)

    def _may_deny(self, server: str, record: ProbeRecord) -> bool:
        """Return whether this host never saw the fault that another one saw."""
        changed_s = self._timers.now() - self._table.get_age_s(server)
        unbroken = record.good_since_s is not None and record.good_since_s < changed_s
        accused = self._table.get(server).by == self._members.host
        return unbroken or (self._probes.is_fallback(server) and not accused)

    def _find_out(self, server: str, state: ServerState, flaps: int = 0) -> None:
        """Replace what is known of a backend server and tell others."""
        known = self._table.get(server)
        if known is not None and known.state is state is ServerState.LEAVING:
            return
        sequence = known.sequence + 1 if known else 1
        self._apply(ServerFact(server, state, sequence, flaps, self._members.host))

    def _apply(self, fact: ServerFact) -> None:
        if fact.server not in self._table:
            return
        known = self._table.get(fact.server)
        if known is not None and fact.order <= known.order:
            return
        before = self.find_state(fact.server)
        self._table.put(fact)
        self._news.spread(fact)
        self._contradict(fact, known)
        after = self.find_state(fact.server)
        if before is not after:
            self._on_change(fact.server, before, after)

    def _contradict(self, fact: ServerFact, known: ServerFact | None) -> None:
        """Stop accusing for a growing time when a better placed host denies."""
        own = self._members.host
        record = self._probes.find_record(fact.server)
        if record is None or known is None or fact.by == own:
            return
        denied = known.by == own and known.state is ServerState.SUSPECT
        if denied and fact.state is ServerState.LIVE:
            wait_s = DISPUTE_S * 2 ** min(record.disputes, MAX_DOUBLINGS)
            record.disputes += 1
            record.silent_until_s = self._timers.now() + wait_s

    def _on_change(
        self, server: str, before: ServerState | None, after: ServerState | None
    ) -> None:
        if after is ServerState.LIVE and before is not ServerState.SUSPECT:
            self._table.note_joined(server)
        if after is ServerState.SUSPECT:
            self._probes.probe_now(server)
        self._notify(server)

    def _notify(self, server: str) -> None:
        state = self.find_state(server)
        if state is None:
            return
        log_message("membership:server", server=server, state=state.name.lower())
        for callback in list(self._callbacks):
            callback(server, state)

    def _avoid(self, server: str, path: PathRecord) -> None:
        """Send nothing new for a while, and ask the probers to look."""
        now_s = self._timers.now()
        doublings = min(path.failures - PASSIVE_FAILURES, MAX_DOUBLINGS)
        path.avoid_until_s = now_s + AVOID_S * 2**doublings
        if now_s - path.doubted_s < DOUBT_INTERVAL_S:
            return
        path.doubted_s = now_s
        for host in choose_probers(server, group_hosts(self._members)):
            if host == self._members.host:
                self._receive(ServerDoubt(server), host)
            else:
                self._outbox.send(host, ServerDoubt(server))

    def _is_open(self, usable: UsableServer, now_s: float) -> bool:
        """Return whether this host itself reaches a backend server."""
        name = usable.server["name"]
        path = self._paths.get(name)
        if path is not None and now_s < path.avoid_until_s:
            return False
        record = self._probes.find_record(name)
        return record is None or record.failures < FAILURES_TO_SUSPECT

    def _sync(self) -> None:
        self._compare()
        self._timers.call_later(SYNC_INTERVAL_S, self._sync)

    def _compare(self) -> None:
        for host in self._members.choose_hosts(1):
            summary = ServerSummary(False, self._table.summary.list_hashes())
            self._outbox.send(host, summary)


def _find_steady_time(flaps: int) -> float:
    """Return how long a backend server must answer before it is used again.

    Examples:
        >>> _find_steady_time(1), _find_steady_time(3)
        (2.0, 8.0)
    """
    return STEADY_S * 2 ** min(max(flaps, 1) - 1, MAX_DOUBLINGS)


_ON_ANSWER = {
    ServerState.SUSPECT: BackendServers._end_suspicion,
    ServerState.FAILED: BackendServers._end_failure,
    ServerState.LEAVING: BackendServers._end_leaving,
}
"""What a good probe leads to, by the state that the server was in."""
