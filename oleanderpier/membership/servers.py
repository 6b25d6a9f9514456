"""Failure detection of backend servers, and dissemination of their records."""

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
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["BackendServers", "Outcome"]

# Failed probes in a row after which a backend server becomes suspect.
SUSPECT_FAILURE_COUNT = 2
# How long a server is suspect before a failed probe makes it failed: if this host
# itself reported the suspicion, and if another host did.
FAILED_AFTER_S = 4.0
CONFIRM_FAILED_AFTER_S = 1.0
# How long a failed server has to respond to probes before it is live again. Doubled
# for each recent suspicion after the first, up to MAX_DOUBLING_COUNT times, so
# that a flapping server is used less and less.
MIN_RECOVERY_S = 2.0
MAX_DOUBLING_COUNT = 5
# How long a host whose suspicion was refuted does not suspect the server again;
# doubled with each refutation.
REFUTED_BACKOFF_S = 30.0
# How long a server stays leaving by its record although it responds to probes.
LEAVING_HOLD_S = 600.0
# Failed requests in a row after which this host avoids a server, and how long it
# does so; doubled with each further failure.
AVOID_FAILURE_COUNT = 3
AVOID_S = 5.0
# Minimum interval between two requests to a server's probers to probe it.
PROBE_REQUEST_INTERVAL_S = 2.0
# Interval between syncs of the records with a random host.
SYNC_INTERVAL_S = 30.0


class Outcome(Enum):
    """The result of a request to a backend server, or of a probe of it."""

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
    """This host's view of the backend servers.

    Two hosts probe each server and disseminate changes of its state. A third
    host, the fallback prober, joins while the server is suspect or failed. A
    record is replaced only by one of higher ``ServerRecord.precedence``.

    Args:
        members: The members of the fleet.
        timers: The timer service.
        generator: The random number generator.
        outbox: Sends messages to other hosts.
        probe: Called with the name of a backend server to probe it; the
            outcome has to be passed to ``record_probe_outcome``.
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
        """Start to probe servers and to sync records with other hosts."""
        self._probes.start()
        self._members.subscribe_pings(self._gossip.send_recent)
        delay_s = self._generator.uniform(0.0, 1.0)
        self._timers.call_later(delay_s, self._sync)

    def apply_list(self, published: "PublishedDocument") -> None:
        """Apply the ``backend_servers`` document in force."""
        entries = {e["name"]: e for e in published.body["backend_servers"]}
        known = self._table.entries
        removed = self._table.apply_entries(entries)
        self._probes.remove_servers(removed)
        for name in removed:
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

        A server is leaving if the document or its record says so.
        """
        return self._table.find_state(server)

    def list_usable(self, provides: str) -> list[UsableServer]:
        """Return the backend servers that take new work of a kind.

        Servers that are suspect or that this host cannot reach are returned
        only if there are no others.

        Args:
            provides: Name of the model or operation.
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
        """Call back with a backend server and its state whenever the state changes."""
        self._callbacks.append(callback)

    def record_outcome(self, server: str, outcome: Outcome) -> None:
        """Record the outcome of one of this host's requests.

        Args:
            server: Name of the backend server.
            outcome: The result of the request.
        """
        if outcome is Outcome.LEAVING:
            self._record_state(server, ServerState.LEAVING)
            return
        history = self._request_histories.setdefault(server, RequestHistory())
        if not _IS_FAILURE[outcome]:
            history.failure_count = 0
            history.avoid_until_s = 0.0
            return
        history.failure_count += 1
        if history.failure_count >= AVOID_FAILURE_COUNT:
            self._avoid_server(server, history)

    def record_probe_outcome(self, server: str, outcome: Outcome) -> None:
        """Record the outcome of a probe that the ``probe`` callback started.

        Args:
            server: Name of the backend server.
            outcome: The result of the probe.
        """
        history = self._probes.find_history(server)
        if history is None or server not in self._table:
            return
        if outcome is Outcome.LEAVING:
            self._record_state(server, ServerState.LEAVING)
        elif _IS_FAILURE[outcome]:
            self._record_probe_failure(server, history)
        else:
            self._record_probe_success(server, history)

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message from another host.

        Args:
            sender: The host that sent it.
            message: Instance of a message class of
                ``membership.server_messages``.
        """
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _handle_records(self, message: ServerRecords, sender: str) -> None:
        for record in message.records:
            self._apply_record(record)

    @_receive.register
    def _handle_probe_request(self, message: ServerProbeRequest, sender: str) -> None:
        self._probes.probe_soon(message.server)

    @_receive.register
    def _handle_summary(self, message: ServerSummary, sender: str) -> None:
        buckets = self._table.summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, ServerQuery(buckets))
        if not message.is_reply:
            reply = ServerSummary(True, self._table.summary.list_hashes())
            self._outbox.send(sender, reply)

    @_receive.register
    def _handle_query(self, message: ServerQuery, sender: str) -> None:
        self._outbox.send(
            sender, ServerRecords(self._table.list_records(message.buckets))
        )

    def _record_probe_failure(self, server: str, history: ProbeHistory) -> None:
        now_s = self._timers.now()
        history.failure_count += 1
        history.succeeding_since_s = None
        history.due_s = min(history.due_s, now_s + FAILED_PROBE_INTERVAL_S)
        if history.failure_count < SUSPECT_FAILURE_COUNT:
            return
        record = self._table.get(server)
        state = record.state if record else ServerState.LIVE
        if state is ServerState.LIVE and now_s >= history.suspect_not_before_s:
            self._record_state(
                server, ServerState.SUSPECT, self._table.count_flaps(server) + 1
            )
        elif state is ServerState.SUSPECT:
            lasted_s = self._table.get_age_s(server)
            is_own = record.reported_by == self._members.host
            if lasted_s >= (FAILED_AFTER_S if is_own else CONFIRM_FAILED_AFTER_S):
                self._record_state(server, ServerState.FAILED, record.flaps)

    def _record_probe_success(self, server: str, history: ProbeHistory) -> None:
        now_s = self._timers.now()
        history.failure_count = 0
        if history.succeeding_since_s is None:
            history.succeeding_since_s = now_s
        record = self._table.get(server)
        if record is not None and record.state in _ON_PROBE_SUCCESS:
            _ON_PROBE_SUCCESS[record.state](self, record, history)

    def _end_suspicion(self, record: ServerRecord, history: ProbeHistory) -> None:
        if self._may_refute(record.server, history):
            self._record_state(
                record.server, ServerState.LIVE, max(0, record.flaps - 1)
            )
        else:
            self._end_failure(record, history)

    def _end_failure(self, record: ServerRecord, history: ProbeHistory) -> None:
        succeeding_s = self._timers.now() - (history.succeeding_since_s or 0.0)
        if succeeding_s >= _compute_recovery_time(record.flaps):
            self._record_state(record.server, ServerState.LIVE, record.flaps)

    def _end_leaving(self, record: ServerRecord, history: ProbeHistory) -> None:
        if self._table.get_age_s(record.server) >= LEAVING_HOLD_S:
            self._record_state(record.server, ServerState.LIVE, 0)

    def _may_refute(self, server: str, history: ProbeHistory) -> bool:
        """Return whether this host's probes justify an end of the suspicion.

        They do if none has failed since before the suspicion was recorded, or
        if this host is the fallback prober and another host is the reporter.
        """
        changed_s = self._timers.now() - self._table.get_age_s(server)
        is_unbroken = (
            history.succeeding_since_s is not None
            and history.succeeding_since_s < changed_s
        )
        is_own = self._table.get(server).reported_by == self._members.host
        return is_unbroken or (self._probes.is_fallback(server) and not is_own)

    def _record_state(self, server: str, state: ServerState, flaps: int = 0) -> None:
        """Replace the record of a backend server and disseminate it."""
        known = self._table.get(server)
        if known is not None and known.state is state is ServerState.LEAVING:
            return
        sequence = known.sequence + 1 if known else 1
        self._apply_record(
            ServerRecord(server, state, sequence, flaps, self._members.host)
        )

    def _apply_record(self, record: ServerRecord) -> None:
        if record.server not in self._table:
            return
        known = self._table.get(record.server)
        if known is not None and record.precedence <= known.precedence:
            return
        before = self.find_state(record.server)
        self._table.put(record)
        self._gossip.enqueue(record)
        self._back_off_after_refutation(record, known)
        after = self.find_state(record.server)
        if before is not after:
            self._handle_state_change(record.server, before, after)

    def _back_off_after_refutation(
        self, record: ServerRecord, known: ServerRecord | None
    ) -> None:
        """Suppress this host's suspicions after another host has refuted one.

        The path from this host to the server may be at fault. The time doubles
        with each refutation.
        """
        own = self._members.host
        history = self._probes.find_history(record.server)
        if history is None or known is None or record.reported_by == own:
            return
        refuted = known.reported_by == own and known.state is ServerState.SUSPECT
        if refuted and record.state is ServerState.LIVE:
            wait_s = REFUTED_BACKOFF_S * 2 ** min(
                history.refuted_count, MAX_DOUBLING_COUNT
            )
            history.refuted_count += 1
            history.suspect_not_before_s = self._timers.now() + wait_s

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

    def _avoid_server(self, server: str, history: RequestHistory) -> None:
        """Stop new requests to a server for a while, and have it probed."""
        now_s = self._timers.now()
        doubling_count = min(
            history.failure_count - AVOID_FAILURE_COUNT, MAX_DOUBLING_COUNT
        )
        history.avoid_until_s = now_s + AVOID_S * 2**doubling_count
        if now_s - history.probe_requested_s < PROBE_REQUEST_INTERVAL_S:
            return
        history.probe_requested_s = now_s
        for host in choose_probers(server, group_hosts(self._members)):
            if host == self._members.host:
                self._receive(ServerProbeRequest(server), host)
            else:
                self._outbox.send(host, ServerProbeRequest(server))

    def _is_reachable(self, usable: UsableServer, now_s: float) -> bool:
        """Return whether this host's own requests and probes reach a server."""
        name = usable.server["name"]
        requests = self._request_histories.get(name)
        if requests is not None and now_s < requests.avoid_until_s:
            return False
        probes = self._probes.find_history(name)
        return probes is None or probes.failure_count < SUSPECT_FAILURE_COUNT

    def _sync(self) -> None:
        self._send_summary()
        self._timers.call_later(SYNC_INTERVAL_S, self._sync)

    def _send_summary(self) -> None:
        for host in self._members.choose_hosts(1):
            summary = ServerSummary(False, self._table.summary.list_hashes())
            self._outbox.send(host, summary)


def _compute_recovery_time(flaps: int) -> float:
    """Return how long a failed server has to respond to probes, in seconds.

    Examples:
        >>> _compute_recovery_time(1), _compute_recovery_time(3)
        (2.0, 8.0)
    """
    return MIN_RECOVERY_S * 2 ** min(max(flaps, 1) - 1, MAX_DOUBLING_COUNT)


_ON_PROBE_SUCCESS = {
    ServerState.SUSPECT: BackendServers._end_suspicion,
    ServerState.FAILED: BackendServers._end_failure,
    ServerState.LEAVING: BackendServers._end_leaving,
}
"""The reaction to a successful probe, by the server's state."""
