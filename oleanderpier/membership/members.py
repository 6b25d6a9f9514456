"""Membership of the fleet: failure detection and dissemination of host records.

References:
    A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
    infection-style process group membership protocol", DSN 2002.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING, Any

from eliot import log_message

from oleanderpier.membership.endpoints import HostEndpoint
from oleanderpier.membership.host_probes import PERIOD_S, HostProbes
from oleanderpier.membership.list_versions import ListVersions
from oleanderpier.membership.local_health import LocalHealth
from oleanderpier.membership.member_gossip import MemberGossip
from oleanderpier.membership.member_table import PRESENT_STATES, MemberTable
from oleanderpier.membership.messages import (
    Ack,
    MemberQuery,
    MemberRecord,
    MemberRecords,
    MemberState,
    MemberSummary,
    Ping,
    ProbeQuery,
    ProbeReply,
)
from oleanderpier.membership.suspicions import Suspicions
from oleanderpier.utils import Outbox, Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["Members"]

# After a longer pause of this process the table is synced at once, since the
# gossip of that time may no longer be repeated.
SYNC_AFTER_PAUSE_S = 5.0
# Records that fit a ping or ack of one packet.
MAX_PIGGYBACKED_RECORDS = 16
# Interval between pings of dead hosts, by which partitions heal.
REJOIN_INTERVAL_PERIODS = 5
# Interval between syncs with a random host; a new process syncs in each of its
# first periods.
SYNC_INTERVAL_PERIODS = 30
STARTUP_SYNC_PERIODS = 30
# Records in one reply to a sync.
MAX_SYNC_RECORDS = 64
# How long a new process announces each hosts list that it applies; later on
# only the bitmap of list versions shows it.
STARTUP_ANNOUNCE_S = 60.0
# Hosts that are contacted at once when this host starts or leaves.
ANNOUNCE_FAN_OUT_COUNT = 8


class Members:
    """This host's view of the fleet's members.

    Args:
        endpoint: This host's own endpoint.
        timers: The timer service.
        generator: The random number generator.
        outbox: Sends messages to other hosts.
        seeds: Hosts to contact first; some may no longer exist.

    Attributes:
        host: This host's name.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> endpoint = HostEndpoint("h1", "duluth", "10.0.0.1", 7000)
        >>> members = Members(endpoint, ManualTimers(), Random(1), outbox=None)
        >>> members.list_alive()
        ['h1']
    """

    def __init__(
        self,
        endpoint: HostEndpoint,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
        seeds: Iterable[HostEndpoint] = (),
    ) -> None:
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._started_s = timers.now()
        self._table = MemberTable(timers)
        self._suspicions = Suspicions(timers)
        self._listed: set[str] = set()
        self._gossip = MemberGossip()
        self._local_health = LocalHealth(timers, PERIOD_S)
        self._probes = HostProbes(
            self, self._table, self._local_health, timers, generator, outbox
        )
        self._list_versions = ListVersions(endpoint.host, timers)
        self._callbacks: list[Callable[[str, MemberState], None]] = []
        self._direct_senders: set[str] = set()
        self._periods = 0
        self.host = endpoint.host
        self._own = MemberRecord(
            endpoint.host,
            MemberState.ALIVE,
            int(timers.wall()),
            0,
            0,
            "",
            *endpoint[1:],
        )
        self._store_record(self._own)
        self._gossip.enqueue(self._own, None)
        self.add_seeds(seeds)

    def add_seeds(self, seeds: Iterable[HostEndpoint]) -> None:
        """Add hosts, which count as alive until a probe of them fails."""
        for seed in seeds:
            self._assume_alive(seed)

    def start(self) -> None:
        """Announce this host to a few others and start to probe."""
        for host in self.choose_hosts(ANNOUNCE_FAN_OUT_COUNT):
            self._probes.ping(host)
        delay_s = self._generator.random() * PERIOD_S
        self._local_health.start(delay_s)
        self._timers.call_later(delay_s, self._start_periods)

    def list_alive(self) -> list[str]:
        """Return the hosts that are alive, including this one.

        Suspect hosts are included until they are declared dead.
        """
        return list(self._table.list_alive())

    def list_known(self) -> list[str]:
        """Return every known host, also those that are dead or have left."""
        return self._table.list_known()

    def find_state(self, host: str) -> MemberState | None:
        """Return a host's state, or None if it is not known."""
        record = self._table.get(host)
        return record.state if record else None

    def find_endpoint(self, host: str) -> HostEndpoint | None:
        """Return a host's endpoint, or None if it is not known."""
        record = self._table.get(host)
        if record is None or record.peer_port == 0:
            return None
        return HostEndpoint(
            record.host, record.failure_domain, record.address, record.peer_port
        )

    def find_domain(self, host: str) -> str | None:
        """Return a host's failure domain, or None if it is not known."""
        record = self._table.get(host)
        return record.failure_domain if record else None

    def find_start_time(self, host: str) -> int | None:
        """Return when a host's process started, in whole seconds since 1970.

        None if the host is not known; 0 if it is listed but nothing is known
        of its process.
        """
        record = self._table.get(host)
        return record.started if record else None

    def find_list_held_since(self, host: str, list_version: int) -> float | None:
        """Return since when a host is known to have a hosts list or a newer one.

        Args:
            host: The host.
            list_version: The version of the hosts list.

        Returns:
            When this host first knew of it, in seconds since 1970. None while
            that is not known, and after a restart of the host until the host
            has announced its list.
        """
        return self._list_versions.find_held_since(host, list_version)

    def list_direct_senders(self) -> list[str]:
        """Return the hosts that have sent this host a ping or an ack."""
        return sorted(self._direct_senders)

    def subscribe(self, callback: Callable[[str, MemberState], None]) -> None:
        """Call back with a host and its state whenever the state changes.

        If a host restarts without having been declared dead, the callback gets
        ``ALIVE`` again.
        """
        self._callbacks.append(callback)

    def subscribe_pings(self, callback: Callable[[str], None]) -> None:
        """Call back with each host that is pinged, about one a second.

        A message that a subscriber sends to that host in the callback travels
        with the ping.
        """
        self._probes.subscribe(callback)

    def apply_list(self, published: "PublishedDocument") -> None:
        """Apply the hosts list in force.

        Args:
            published: A ``hosts`` document.
        """
        entries = published.body["hosts"]
        self._listed = {entry["name"] for entry in entries}
        for entry in entries:
            self._assume_alive(
                HostEndpoint(
                    entry["name"],
                    entry["failure_domain"],
                    entry["address"],
                    entry["peer_port"],
                )
            )
        self._list_versions.apply_list(published)
        own = self._own
        is_starting = self._timers.now() - self._started_s < STARTUP_ANNOUNCE_S
        if is_starting or own.list_version == 0:
            self._update_own_record(
                incarnation=own.incarnation + 1,
                list_version=published.version,
                list_digest=published.digest,
            )

    def leave(self) -> None:
        """Announce that this host leaves the fleet permanently."""
        self._update_own_record(state=MemberState.LEFT)
        message = MemberRecords([self._own])
        for host in self.choose_hosts(ANNOUNCE_FAN_OUT_COUNT):
            self._outbox.send(host, message)

    def choose_hosts(self, limit: int, *, domain: str | None = None) -> list[str]:
        """Return random other hosts that are alive.

        Args:
            limit: Maximum number of hosts.
            domain: Only hosts of this failure domain; None for all domains.
        """
        hosts = self._table.list_alive()
        if domain is not None:
            hosts = [host for host in hosts if self.find_domain(host) == domain]
        some = self._generator.sample(hosts, min(limit + 1, len(hosts)))
        return [host for host in some if host != self.host][:limit]

    def make_probe_message(self, message_class: type, sequence: int, host: str) -> Any:
        """Return a ping or ack with piggybacked updates.

        Args:
            message_class: ``Ping`` or ``Ack``.
            sequence: Sequence number of the ping.
            host: The host to which the message will be sent.
        """
        own = self._own
        version_bitmap = self._list_versions.pop_bitmap()
        records = self._select_updates(host)
        return message_class(
            sequence, own.started, own.incarnation, records, version_bitmap
        )

    def handle(self, sender: str, message: Any) -> None:
        """Handle a message from another host.

        Args:
            sender: The host that sent it.
            message: Instance of a message class of ``membership.messages``.
        """
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _handle_ping(self, message: Ping, sender: str) -> None:
        self._apply_updates(message, sender)
        self._outbox.send(
            sender, self.make_probe_message(Ack, message.sequence, sender)
        )

    @_receive.register
    def _handle_ack(self, message: Ack, sender: str) -> None:
        self._apply_updates(message, sender)
        requester, sequence = self._probes.pop_requester(message.sequence)
        if requester:
            reply = ProbeReply(sequence, sender, message.started, message.incarnation)
            self._outbox.send(requester, reply)
        self._probes.end_probe(message.sequence, sender)

    @_receive.register
    def _handle_probe_query(self, message: ProbeQuery, sender: str) -> None:
        self._probes.ping_for_peer(sender, message)

    @_receive.register
    def _handle_probe_reply(self, message: ProbeReply, sender: str) -> None:
        self._check_incarnation(message.target, (message.started, message.incarnation))
        self._probes.end_probe(message.sequence, message.target)

    @_receive.register
    def _handle_records(self, message: MemberRecords, sender: str) -> None:
        for record in message.records:
            if record.host == self.host:
                self._apply_record(record)
                self._outbox.send(sender, MemberRecords([self._own]))
            elif self._is_disputed_death(record):
                self._request_refutation(record, sender)
            else:
                self._apply_record(record)

    @_receive.register
    def _handle_summary(self, message: MemberSummary, sender: str) -> None:
        buckets = self._table.summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, MemberQuery(buckets))
        if not message.is_reply:
            self._send_summary(sender, is_reply=True)

    @_receive.register
    def _handle_query(self, message: MemberQuery, sender: str) -> None:
        records = self._table.list_records(message.buckets)
        some = self._generator.sample(records, min(MAX_SYNC_RECORDS, len(records)))
        self._outbox.send(sender, MemberRecords([self._own, *some]))

    def _start_periods(self) -> None:
        self._run_period()
        self._timers.subscribe(PERIOD_S, self._run_period)

    def _run_period(self) -> None:
        self._periods += 1
        self._compensate_for_pause()
        self._suspect_unresponsive_host()
        self._expire_suspicions()
        self._probes.start_probe()
        if self._periods % REJOIN_INTERVAL_PERIODS == 0:
            self._ping_dead_host()
        if (
            self._periods < STARTUP_SYNC_PERIODS
            or self._periods % SYNC_INTERVAL_PERIODS == 0
        ):
            self._remove_gone_hosts()
            self._sync_table()

    def _compensate_for_pause(self) -> None:
        """Extend every timeout by the time for which this process was paused."""
        late_s = self._local_health.measure_pause()
        if not late_s:
            return
        self._probes.cancel_probe()
        self._suspicions.extend(late_s)
        if late_s > SYNC_AFTER_PAUSE_S:
            self._sync_table()

    def _suspect_unresponsive_host(self) -> None:
        """Suspect the target of the last probe if its deadline has passed."""
        target = self._probes.pop_failed_target()
        record = self._table.get(target) if target else None
        if record is not None and record.state in PRESENT_STATES:
            suspect = record._replace(state=MemberState.SUSPECT, suspected_by=self.host)
            self._apply_record(suspect)

    def _expire_suspicions(self) -> None:
        hosts = len(self._table.list_alive())
        for host in self._suspicions.list_expired(hosts, self._local_health.score):
            record = self._table.get(host)
            self._apply_record(record._replace(state=MemberState.DEAD, suspected_by=""))

    def _ping_dead_host(self) -> None:
        """Ping a random dead host, so that partitions heal."""
        dead = self._table.list_dead()
        if dead:
            self._probes.ping(self._generator.choice(dead))

    def _select_updates(self, host: str) -> list[MemberRecord]:
        """Return the records to piggyback on a message to a host.

        A host that is not alive gets only its own record, so that it can refute.
        """
        record = self._table.get(host)
        if record is not None and record.state is not MemberState.ALIVE:
            return [record]
        return self._gossip.pop_updates(MAX_PIGGYBACKED_RECORDS, len(self._table))

    def _apply_updates(self, message: Ping | Ack, sender: str) -> None:
        self._direct_senders.add(sender)
        for record in message.records:
            self._apply_record(record)
        if message.version_bitmap is not None:
            self._list_versions.merge_bitmap(sender, message.version_bitmap)
        self._check_incarnation(sender, (message.started, message.incarnation))

    def _check_incarnation(self, host: str, incarnation_key: tuple[int, int]) -> None:
        """Bring a host's record up to date after a message from its process.

        If the message shows a newer incarnation than the known record, the host
        is asked for its record. If the known record is newer, or its state is
        not alive, it is sent to the host, which can refute it. A host that
        counted as dead also gets a summary, so that the tables are synced.
        """
        record = self._table.get(host)
        if record is None or incarnation_key > record.incarnation_key:
            self._outbox.send(host, MemberQuery([]))
        elif (
            record.state is not MemberState.ALIVE
            or incarnation_key < record.incarnation_key
        ):
            self._outbox.send(host, MemberRecords([record]))
        if record is not None and record.state is MemberState.DEAD:
            self._send_summary(host, is_reply=False)

    def _is_disputed_death(self, record: MemberRecord) -> bool:
        """Return whether a record declares dead a host that is present here."""
        known = self._table.get(record.host)
        return (
            record.state is MemberState.DEAD
            and known is not None
            and known.state in PRESENT_STATES
            and known.incarnation_key == record.incarnation_key
        )

    def _request_refutation(self, record: MemberRecord, suspected_by: str) -> None:
        """Suspect a host and send it the record, so that it can refute.

        The record may come from the other side of a partition that has healed.
        """
        self._apply_record(
            record._replace(state=MemberState.SUSPECT, suspected_by=suspected_by)
        )
        self._outbox.send(record.host, MemberRecords([record]))

    def _apply_record(self, record: MemberRecord) -> None:
        if record.host == self.host:
            self._refute(record)
            return
        known = self._table.get(record.host)
        if known is None or record.precedence > known.precedence:
            self._replace_record(record, known)
        elif (
            record.precedence == known.precedence
            and record.state is MemberState.SUSPECT
        ):
            self._confirm_suspicion(record)

    def _replace_record(self, record: MemberRecord, known: MemberRecord | None) -> None:
        self._store_record(record)
        if known is not None or record.state in PRESENT_STATES:
            self._gossip.enqueue(record, known)
        restarted = known is not None and 0 < known.started < record.started
        if restarted:
            self._list_versions.record_restart(record.host)
        self._list_versions.record_version(
            record.host, record.list_version, record.list_digest
        )
        if known is None or restarted or known.state != record.state:
            self._log_state(record)
            self._notify_subscribers(record)

    def _confirm_suspicion(self, record: MemberRecord) -> None:
        if self._suspicions.confirm(record.host, record.suspected_by):
            self._gossip.enqueue_again(record)

    def _refute(self, record: MemberRecord) -> None:
        own = self._own
        if record.precedence <= own.precedence:
            return
        if record.state is MemberState.SUSPECT:
            self._local_health.adjust_score(1)
        if record.started > own.started:
            changes = {"started": record.started + 1, "incarnation": 0}
        else:
            changes = {"incarnation": record.incarnation + 1}
        self._update_own_record(known=record, **changes)

    def _update_own_record(
        self, known: MemberRecord | None = None, **changes: Any
    ) -> None:
        own = self._own._replace(**changes)
        self._store_record(own)
        self._gossip.enqueue(own, known)

    def _assume_alive(self, endpoint: HostEndpoint) -> None:
        """Add a listed host as alive until a probe of it fails."""
        known = self._table.get(endpoint.host)
        if known is None:
            record = MemberRecord(
                endpoint.host, MemberState.ALIVE, 0, 0, 0, "", *endpoint[1:]
            )
            self._store_record(record)
            self._notify_subscribers(record)
        elif known.started == 0 and known[6:9] != endpoint[1:]:
            self._table.put(known._replace(**endpoint._asdict()))

    def _store_record(self, record: MemberRecord) -> None:
        self._table.put(record)
        if record.host == self.host:
            self._own = record
        if record.state is MemberState.SUSPECT:
            self._suspicions.begin(record.host, record.suspected_by)
        else:
            self._suspicions.end(record.host)

    def _notify_subscribers(self, record: MemberRecord) -> None:
        for callback in list(self._callbacks):
            callback(record.host, record.state)

    def _log_state(self, record: MemberRecord) -> None:
        log_message(
            "membership:state",
            host=record.host,
            state=record.state.name.lower(),
            started=record.started,
            incarnation=record.incarnation,
        )

    def _send_summary(self, host: str, *, is_reply: bool) -> None:
        buckets = self._table.summary.list_hashes()
        self._outbox.send(host, MemberSummary(is_reply, buckets))

    def _sync_table(self) -> None:
        for host in self.choose_hosts(1):
            self._send_summary(host, is_reply=False)

    def _remove_gone_hosts(self) -> None:
        for host in self._table.remove_gone(keep=self._listed):
            self._list_versions.record_restart(host)
