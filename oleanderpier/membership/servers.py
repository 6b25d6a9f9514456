"""What this host knows of the backend servers, and its share of the probes."""

from collections.abc import Callable
from enum import Enum
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING, Any

from eliot import log_message

from oleanderpier.membership.histories import ProbeHistory, RequestHistory
from oleanderpier.membership.members import Members
from oleanderpier.membership.probers import choose_probers
from oleanderpier.membership.server_gossip import ServerGossip
from oleanderpier.membership.server_messages import (
    ServerProbeRequest,
    ServerQuery,
    ServerRecord,
    ServerRecords,
    ServerState,
    ServerSummary,
)
from oleanderpier.membership.server_probes import (
    FAILED_PROBE_INTERVAL_S,
    ServerProbes,
    group_hosts,
)
from oleanderpier.membership.server_table import ServerTable, UsableServer
from oleanderpier.utils import Outbox, Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import Published

__all__ = ["BackendServers", "Outcome"]

# Probes that fail in a row before a backend server is suspect.
SUSPECT_FAILURE_COUNT = 2
# From suspect to failed, by this host's own word and by another's.
FAILED_AFTER_S = 4.0
CONFIRM_FAILED_AFTER_S = 1.0
# How long a failed one has to answer first; doubled with each return, up to
# MAX_DOUBLINGS times.
MIN_RECOVERY_S = 2.0
MAX_DOUBLING_COUNT = 5
# For so long a host that was contradicted accuses no more.
REFUTED_BACKOFF_S = 30.0
# For so long a word that a server leaves stands against its good answers.
LEAVING_HOLD_S = 600.0
# Requests that fail in a row before this host avoids a server, and how long.
AVOID_FAILURE_COUNT = 3
AVOID_S = 5.0
# Between two requests to a server's probers to look at it.
PROBE_REQUEST_INTERVAL_S = 2.0
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
    ``ServerRecord.precedence``.

    Args:
        members: The other hosts.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
        probe: Called with the name of a backend server to probe; its outcome
            has to come back through ``record_probe_outcome``.
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
        self._gossip = ServerGossip(members, timers, outbox)
        self._probes = ServerProbes(self._table, members, timers, generator, probe)
        self._request_histories: dict[str, RequestHistory] = {}
        self._callbacks: list[Callable[[str, ServerState], None]] = []

    def start(self) -> None:
        """Begin to probe and to compare facts with other hosts."""
        self._probes.start()
        self._members.subscribe_pings(self._gossip.send_recent)
        delay_s = self._generator.uniform(0.0, 1.0)
        self._timers.call_later(delay_s, self._sync)

    def apply_list(self, published: "Published") -> None:
        """Take in the ``backend_servers`` document in force."""
        entries = {e["name"]: e for e in published.body["backend_servers"]}
        known = self._table.entries
        gone = self._table.apply_entries(entries)
        self._probes.remove_servers(gone)
        for name in gone:
            self._request_histories.pop(name, None)
            self._gossip.discard(name)
        if known is None:
            return
        for name, entry in entries.items():
            if known.get(name, entry)["state"] != entry["state"]:
                self._notify_subscribers(name)
        if entries.keys() - known.keys():
            self._send_summary()

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
            if usable.state is ServerState.LIVE and self._is_reachable(usable, now_s)
        ]
        return good or list(servers)

    def list_probed(self) -> list[str]:
        """Return the backend servers that this host always probes."""
        return self._probes.list_primary()

    def subscribe(self, callback: Callable[[str, ServerState], None]) -> None:
        """Call back with a backend server and its state whenever it changes."""
        self._callbacks.append(callback)

    def record_outcome(self, server: str, outcome: Outcome) -> None:
        """Note how a request of this host went.

        Args:
            server: The backend server.
            outcome: How it took the request.
        """
        if outcome is Outcome.LEAVING:
            self._record_state(server, ServerState.LEAVING)
            return
        path = self._request_histories.setdefault(server, RequestHistory())
        if not _IS_FAILURE[outcome]:
            path.failure_count = 0
            path.avoid_until_s = 0.0
            return
        path.failure_count += 1
        if path.failure_count >= AVOID_FAILURE_COUNT:
            self._avoid_server(server, path)

    def record_probe_outcome(self, server: str, outcome: Outcome) -> None:
        """Note the outcome of a probe that this host was told to make.

        Args:
            server: The backend server.
            outcome: How it took the probe.
        """
        record = self._probes.find_history(server)
        if record is None or server not in self._table:
            return
        if outcome is Outcome.LEAVING:
            self._record_state(server, ServerState.LEAVING)
        elif _IS_FAILURE[outcome]:
            self._record_probe_failure(server, record)
        else:
            self._record_probe_success(server, record)

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
    def _receive_records(self, message: ServerRecords, sender: str) -> None:
        for fact in message.records:
            self._apply_record(fact)

    @_receive.register
    def _receive_probe_request(self, message: ServerProbeRequest, sender: str) -> None:
        self._probes.probe_soon(message.server)

    @_receive.register
    def _receive_summary(self, message: ServerSummary, sender: str) -> None:
        buckets = self._table.summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, ServerQuery(buckets))
        if not message.is_reply:
            answer = ServerSummary(True, self._table.summary.list_hashes())
            self._outbox.send(sender, answer)

    @_receive.register
    def _receive_query(self, message: ServerQuery, sender: str) -> None:
        self._outbox.send(
            sender, ServerRecords(self._table.list_records(message.buckets))
        )

    def _record_probe_failure(self, server: str, record: ProbeHistory) -> None:
        now_s = self._timers.now()
        record.failure_count += 1
        record.succeeding_since_s = None
        record.due_s = min(record.due_s, now_s + FAILED_PROBE_INTERVAL_S)
        if record.failure_count < SUSPECT_FAILURE_COUNT:
            return
        fact = self._table.get(server)
        state = fact.state if fact else ServerState.LIVE
        if state is ServerState.LIVE and now_s >= record.suspect_not_before_s:
            self._record_state(
                server, ServerState.SUSPECT, self._table.count_flaps(server) + 1
            )
        elif state is ServerState.SUSPECT:
            lasted_s = self._table.get_age_s(server)
            is_own = fact.reported_by == self._members.host
            if lasted_s >= (FAILED_AFTER_S if is_own else CONFIRM_FAILED_AFTER_S):
                self._record_state(server, ServerState.FAILED, fact.flaps)

    def _record_probe_success(self, server: str, record: ProbeHistory) -> None:
        now_s = self._timers.now()
        record.failure_count = 0
        if record.succeeding_since_s is None:
            record.succeeding_since_s = now_s
        fact = self._table.get(server)
        if fact is not None and fact.state in _ON_PROBE_SUCCESS:
            _ON_PROBE_SUCCESS[fact.state](self, fact, record)

    def _end_suspicion(self, fact: ServerRecord, record: ProbeHistory) -> None:
        if self._may_refute(fact.server, record):
            self._record_state(fact.server, ServerState.LIVE, max(0, fact.flaps - 1))
        else:
            self._end_failure(fact, record)

    def _end_failure(self, fact: ServerRecord, record: ProbeHistory) -> None:
        good_s = self._timers.now() - (record.succeeding_since_s or 0.0)
        if good_s >= _compute_recovery_time(fact.flaps):
            self._record_state(fact.server, ServerState.LIVE, fact.flaps)

    def _end_leaving(self, fact: ServerRecord, record: ProbeHistory) -> None:
        if self._table.get_age_s(fact.server) >= LEAVING_HOLD_S:
            self._record_state(fact.server, ServerState.LIVE, 0)

    def _may_refute(self, server: str, record: ProbeHistory) -> bool:
        """Return whether this host never saw the fault that another one saw."""
        changed_s = self._timers.now() - self._table.get_age_s(server)
        unbroken = (
            record.succeeding_since_s is not None
            and record.succeeding_since_s < changed_s
        )
        accused = self._table.get(server).reported_by == self._members.host
        return unbroken or (self._probes.is_fallback(server) and not accused)

    def _record_state(self, server: str, state: ServerState, flaps: int = 0) -> None:
        """Replace what is known of a backend server and tell others."""
        known = self._table.get(server)
        if known is not None and known.state is state is ServerState.LEAVING:
            return
        sequence = known.sequence + 1 if known else 1
        self._apply_record(
            ServerRecord(server, state, sequence, flaps, self._members.host)
        )

    def _apply_record(self, fact: ServerRecord) -> None:
        if fact.server not in self._table:
            return
        known = self._table.get(fact.server)
        if known is not None and fact.precedence <= known.precedence:
            return
        before = self.find_state(fact.server)
        self._table.put(fact)
        self._gossip.enqueue(fact)
        self._back_off_after_refutation(fact, known)
        after = self.find_state(fact.server)
        if before is not after:
            self._handle_state_change(fact.server, before, after)

    def _back_off_after_refutation(
        self, fact: ServerRecord, known: ServerRecord | None
    ) -> None:
        """Stop accusing for a growing time when a better placed host denies."""
        own = self._members.host
        record = self._probes.find_history(fact.server)
        if record is None or known is None or fact.reported_by == own:
            return
        denied = known.reported_by == own and known.state is ServerState.SUSPECT
        if denied and fact.state is ServerState.LIVE:
            wait_s = REFUTED_BACKOFF_S * 2 ** min(
                record.refuted_count, MAX_DOUBLING_COUNT
            )
            record.refuted_count += 1
            record.suspect_not_before_s = self._timers.now() + wait_s

    def _handle_state_change(
        self, server: str, before: ServerState | None, after: ServerState | None
    ) -> None:
        if after is ServerState.LIVE and before is not ServerState.SUSPECT:
            self._table.record_joined(server)
        if after is ServerState.SUSPECT:
            self._probes.probe_now(server)
        self._notify_subscribers(server)

    def _notify_subscribers(self, server: str) -> None:
        state = self.find_state(server)
        if state is None:
            return
        log_message("membership:server", server=server, state=state.name.lower())
        for callback in list(self._callbacks):
            callback(server, state)

    def _avoid_server(self, server: str, path: RequestHistory) -> None:
        """Send nothing new for a while, and ask the probers to look."""
        now_s = self._timers.now()
        doublings = min(path.failure_count - AVOID_FAILURE_COUNT, MAX_DOUBLING_COUNT)
        path.avoid_until_s = now_s + AVOID_S * 2**doublings
        if now_s - path.probe_requested_s < PROBE_REQUEST_INTERVAL_S:
            return
        path.probe_requested_s = now_s
        for host in choose_probers(server, group_hosts(self._members)):
            if host == self._members.host:
                self._receive(ServerProbeRequest(server), host)
            else:
                self._outbox.send(host, ServerProbeRequest(server))

    def _is_reachable(self, usable: UsableServer, now_s: float) -> bool:
        """Return whether this host itself reaches a backend server."""
        name = usable.server["name"]
        path = self._request_histories.get(name)
        if path is not None and now_s < path.avoid_until_s:
            return False
        record = self._probes.find_history(name)
        return record is None or record.failure_count < SUSPECT_FAILURE_COUNT

    def _sync(self) -> None:
        self._send_summary()
        self._timers.call_later(SYNC_INTERVAL_S, self._sync)

    def _send_summary(self) -> None:
        for host in self._members.choose_hosts(1):
            summary = ServerSummary(False, self._table.summary.list_hashes())
            self._outbox.send(host, summary)


def _compute_recovery_time(flaps: int) -> float:
    """Return how long a backend server must answer before it is used again.

    Examples:
        >>> _find_steady_time(1), _find_steady_time(3)
        (2.0, 8.0)
    """
    return MIN_RECOVERY_S * 2 ** min(max(flaps, 1) - 1, MAX_DOUBLING_COUNT)


_ON_PROBE_SUCCESS = {
    ServerState.SUSPECT: BackendServers._end_suspicion,
    ServerState.FAILED: BackendServers._end_failure,
    ServerState.LEAVING: BackendServers._end_leaving,
}
"""What a good probe leads to, by the state that the server was in."""
