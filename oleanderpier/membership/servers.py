"""What this host knows of the backend servers, and its share of the probes."""

from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from eliot import log_message

from oleanderpier.membership.members import Members
from oleanderpier.membership.messages import MemberState
from oleanderpier.membership.probers import ProbeDuties, choose_probers
from oleanderpier.membership.records import PathRecord, ProbeRecord
from oleanderpier.membership.rumours import RumourQueue
from oleanderpier.membership.server_messages import (
    ServerAsk,
    ServerDoubt,
    ServerFact,
    ServerFacts,
    ServerState,
    ServerSummary,
)
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Outbox, Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import BackendServer, Published

__all__ = ["BackendServers", "Outcome", "UsableServer"]

TICK_S = 0.5
PROBE_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
FAILURES_TO_SUSPECT = 2
FAILED_AFTER_S = 4.0
CONFIRM_AFTER_S = 1.0
STEADY_S = 2.0
MAX_DOUBLINGS = 5
FLAP_MEMORY_S = 300.0
DISPUTE_S = 30.0
LEAVING_HOLD_S = 600.0
PASSIVE_FAILURES = 3
AVOID_S = 5.0
DOUBT_INTERVAL_S = 2.0
FAN_OUT = 4
TELLINGS = 3
FLUSH_S = 0.25
FACTS_A_MESSAGE = 16
RECENT_S = 10.0
SYNC_INTERVAL_S = 30.0
ALWAYS_JOINED_S = float("-inf")


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


_IN_DOUBT = (ServerState.SUSPECT, ServerState.FAILED)


class UsableServer(NamedTuple):
    """A backend server that takes new work.

    Attributes:
        server: Its entry in the document.
        state: Its state, ``LIVE`` or ``SUSPECT``.
        joined_s: When it came or came back, on the monotonic clock; minus
            infinity if it was there before this host.
    """

    server: "BackendServer"
    state: ServerState
    joined_s: float


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
        self._probe = probe
        self._entries: dict[str, BackendServer] | None = None
        self._joined_s: dict[str, float] = {}
        self._facts: dict[str, ServerFact] = {}
        self._changed_s: dict[str, float] = {}
        self._records: dict[str, ProbeRecord] = {}
        self._paths: dict[str, PathRecord] = {}
        domain = members.find_domain(members.host) or ""
        self._choice = ProbeDuties(members.host, domain)
        self._duties: dict[str, bool] = {}
        self._duties_stale = True
        self._duties_for: tuple[list[str], list[str]] | None = None
        self._rumours: RumourQueue[ServerFact] = RumourQueue()
        self._flush_due = False
        self._recent: dict[str, float] = {}
        self._summary = Summary()
        self._usable: dict[str, list[UsableServer]] | None = None
        self._callbacks: list[Callable[[str, ServerState], None]] = []

    def start(self) -> None:
        """Begin to probe and to compare facts with other hosts."""
        self._members.subscribe(self._on_member)
        self._members.subscribe_contacts(self._tell_recent)
        self._timers.subscribe(TICK_S, self._tick)
        delay_s = self._generator.uniform(0.0, 1.0)
        self._timers.call_later(delay_s, self._sync)

    def adopt_list(self, published: "Published") -> None:
        """Take in the ``backend_servers`` document in force."""
        entries = {e["name"]: e for e in published.body["backend_servers"]}
        known = self._entries
        self._entries = entries
        self._duties_stale = True
        self._usable = None
        self._drop(set(known or {}) - set(entries))
        joined_s = ALWAYS_JOINED_S if known is None else self._timers.now()
        added = [name for name in entries if known is None or name not in known]
        self._joined_s.update(dict.fromkeys(added, joined_s))
        for name, entry in entries.items():
            if known is not None and known.get(name, entry)["state"] != entry["state"]:
                self._notify(name)
        if added and known is not None:
            self._compare()

    def find_state(self, server: str) -> ServerState | None:
        """Return a backend server's state, or None if it is not listed.

        Leaving holds as soon as the document or any host says so.
        """
        entry = (self._entries or {}).get(server)
        if entry is None:
            return None
        if entry["state"] == "leaving":
            return ServerState.LEAVING
        fact = self._facts.get(server)
        return fact.state if fact else ServerState.LIVE

    def list_usable(self, provides: str) -> list[UsableServer]:
        """Return the backend servers that take new work of a kind.

        Suspect ones and those that this host cannot reach are among them only
        when there is no other.

        Args:
            provides: The model or the operation.
        """
        if self._usable is None:
            self._usable = self._index_usable()
        servers = self._usable.get(provides, [])
        now_s = self._timers.now()
        good = [
            usable
            for usable in servers
            if usable.state is ServerState.LIVE and self._is_open(usable, now_s)
        ]
        return good or list(servers)

    def list_probed(self) -> list[str]:
        """Return the backend servers that this host always probes."""
        return [server for server, always in self._duties.items() if always]

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
        record = self._records.get(server)
        if record is None or self._entries is None or server not in self._entries:
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
        record = self._records.get(message.server)
        if record is not None:
            soonest_s = record.due_s - PROBE_INTERVAL_S + RETRY_INTERVAL_S
            record.due_s = max(soonest_s, self._timers.now())

    @_receive.register
    def _receive_summary(self, message: ServerSummary, sender: str) -> None:
        buckets = self._summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, ServerAsk(buckets))
        if not message.answered:
            answer = ServerSummary(True, self._summary.list_hashes())
            self._outbox.send(sender, answer)

    @_receive.register
    def _receive_ask(self, message: ServerAsk, sender: str) -> None:
        wanted = set(message.buckets)
        facts = [f for f in self._facts.values() if find_bucket(f.server) in wanted]
        self._outbox.send(sender, ServerFacts(facts))

    def _note_failure(self, server: str, record: ProbeRecord) -> None:
        now_s = self._timers.now()
        record.failures += 1
        record.good_since_s = None
        record.due_s = min(record.due_s, now_s + RETRY_INTERVAL_S)
        if record.failures < FAILURES_TO_SUSPECT:
            return
        self._usable = None
        fact = self._facts.get(server)
        state = fact.state if fact else ServerState.LIVE
        if state is ServerState.LIVE and now_s >= record.silent_until_s:
            self._find_out(server, ServerState.SUSPECT, self._count_flaps(server) + 1)
        elif state is ServerState.SUSPECT:
            lasted_s = now_s - self._changed_s[server]
            is_own = fact.by == self._members.host
            if lasted_s >= (FAILED_AFTER_S if is_own else CONFIRM_AFTER_S):
                self._find_out(server, ServerState.FAILED, fact.flaps)

    def _note_success(self, server: str, record: ProbeRecord) -> None:
        now_s = self._timers.now()
        if record.failures:
            self._usable = None
        record.failures = 0
        if record.good_since_s is None:
            record.good_since_s = now_s
        fact = self._facts.get(server)
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
        lasted_s = self._timers.now() - self._changed_s[fact.server]
        if lasted_s >= LEAVING_HOLD_S:
            self._find_out(fact.server, ServerState.LIVE, 0)

    def _may_deny(self, server: str, record: ProbeRecord) -> bool:
        """Return whether this host never saw the fault that another one saw."""
        changed_s = self._changed_s[server]
        unbroken = record.good_since_s is not None and record.good_since_s < changed_s
        is_fallback = not self._duties.get(server, True)
        accused = self._facts[server].by == self._members.host
        return unbroken or (is_fallback and not accused)

    def _count_flaps(self, server: str) -> int:
        """Return how often it became suspect lately, old times forgotten."""
        fact = self._facts.get(server)
        if fact is None:
            return 0
        quiet_s = self._timers.now() - self._changed_s[server]
        return max(0, fact.flaps - int(quiet_s / FLAP_MEMORY_S))

    def _find_out(self, server: str, state: ServerState, flaps: int = 0) -> None:
        """Replace what is known of a backend server and tell others."""
        known = self._facts.get(server)
        if known is not None and known.state is state is ServerState.LEAVING:
            return
        sequence = known.sequence + 1 if known else 1
        self._apply(ServerFact(server, state, sequence, flaps, self._members.host))

    def _apply(self, fact: ServerFact) -> None:
        if self._entries is None or fact.server not in self._entries:
            return
        known = self._facts.get(fact.server)
        if known is not None and fact.order <= known.order:
            return
        before = self.find_state(fact.server)
        self._store(fact, known)
        self._contradict(fact, known)
        after = self.find_state(fact.server)
        if before is not after:
            self._on_change(fact.server, before, after)

    def _store(self, fact: ServerFact, known: ServerFact | None) -> None:
        server = fact.server
        self._facts[server] = fact
        self._changed_s[server] = self._timers.now()
        self._usable = None
        self._summary.replace(server, known and known.order, fact.order)
        self._recent.pop(server, None)
        self._recent[server] = self._timers.now()
        self._rumours.add(server, fact)
        if not self._flush_due:
            self._flush_due = True
            self._timers.call_later(0.0, self._flush)

    def _contradict(self, fact: ServerFact, known: ServerFact | None) -> None:
        """Stop accusing for a growing time when a better placed host denies."""
        own = self._members.host
        record = self._records.get(fact.server)
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
            self._joined_s[server] = self._timers.now()
        if after is ServerState.SUSPECT and server in self._duties:
            record = self._records.setdefault(server, ProbeRecord(0.0))
            record.due_s = self._timers.now()
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
        for host in choose_probers(server, self._group_hosts()):
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
        record = self._records.get(name)
        return record is None or record.failures < FAILURES_TO_SUSPECT

    def _index_usable(self) -> dict[str, list[UsableServer]]:
        index = defaultdict(list)
        for name, entry in (self._entries or {}).items():
            state = self.find_state(name)
            if state in (ServerState.LIVE, ServerState.SUSPECT):
                usable = UsableServer(entry, state, self._joined_s[name])
                for provided in entry["provides"]:
                    index[provided].append(usable)
        return dict(index)

    def _on_member(self, host: str, state: MemberState) -> None:
        self._duties_stale = True

    def _group_hosts(self) -> dict[str, list[str]]:
        groups = defaultdict(list)
        for host in self._members.list_alive():
            groups[self._members.find_domain(host)].append(host)
        return groups

    def _tick(self) -> None:
        if self._duties_stale:
            self._take_duties()
        now_s = self._timers.now()
        for server, record in self._records.items():
            if now_s >= record.due_s and self._has_to_probe(server):
                record.due_s = now_s + PROBE_INTERVAL_S
                self._probe(server)

    def _take_duties(self) -> None:
        self._duties_stale = False
        servers = list(self._entries or {})
        alive = self._members.list_alive()
        if (servers, alive) == self._duties_for:
            return
        self._duties_for = (servers, alive)
        self._duties = self._choice.find(servers, self._group_hosts())
        for server in list(self._records):
            if server not in self._duties:
                del self._records[server]
        now_s = self._timers.now()
        for server in self._duties:
            if server not in self._records:
                delay_s = self._generator.uniform(0.0, PROBE_INTERVAL_S)
                self._records[server] = ProbeRecord(now_s + delay_s)

    def _has_to_probe(self, server: str) -> bool:
        return self._duties[server] or self.find_state(server) in _IN_DOUBT

    def _flush(self) -> None:
        """Tell a few random hosts, and again until all was told enough."""
        facts = self._rumours.take(FACTS_A_MESSAGE, TELLINGS)
        self._flush_due = bool(facts)
        if not facts:
            return
        for host in self._members.choose_hosts(FAN_OUT):
            self._outbox.send(host, ServerFacts(facts))
        self._timers.call_later(FLUSH_S, self._flush)

    def _tell_recent(self, host: str) -> None:
        """Repeat what changed lately to a host that is pinged anyway."""
        limit_s = self._timers.now() - RECENT_S
        self._recent = {s: at for s, at in self._recent.items() if at >= limit_s}
        facts = [self._facts[s] for s in self._recent if s in self._facts]
        if facts:
            self._outbox.send(host, ServerFacts(facts[-FACTS_A_MESSAGE:]))

    def _sync(self) -> None:
        self._compare()
        self._timers.call_later(SYNC_INTERVAL_S, self._sync)

    def _compare(self) -> None:
        for host in self._members.choose_hosts(1):
            summary = ServerSummary(False, self._summary.list_hashes())
            self._outbox.send(host, summary)

    def _drop(self, servers: set[str]) -> None:
        for server in servers:
            fact = self._facts.pop(server, None)
            if fact is not None:
                self._summary.replace(server, fact.order, None)
            for table in (self._changed_s, self._records, self._paths):
                table.pop(server, None)
            self._joined_s.pop(server, None)


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
