"""Failure detection between hosts, and what each knows of the others.

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
    from oleanderpier.configuration.documents import Published

__all__ = ["Members"]

# After a pause of this length the table may have missed more than news repeat.
SYNC_AFTER_PAUSE_S = 5.0
# What fits a message of one packet.
MAX_PIGGYBACKED_RECORDS = 16
# In periods: how often a dead host is tried again, how often tables are
# compared, and for how long a new process compares them in every period.
REJOIN_INTERVAL_PERIODS = 5
SYNC_INTERVAL_PERIODS = 30
STARTUP_SYNC_PERIODS = 30
# Facts in one answer to a comparison of tables.
MAX_SYNC_RECORDS = 64
# For so long a new process announces each hosts list that it adopts.
STARTUP_ANNOUNCE_S = 60.0
# Hosts that are told at once of a start and of a leave.
ANNOUNCE_FAN_OUT_COUNT = 8


class Members:
    """What this host knows of the others' state.

    Args:
        card: This host.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
        seeds: Hosts to begin with; some may be gone.

    Examples:
        >>> from oleanderpier.utils import ManualTimers
        >>> card = HostEndpoint("h1", "duluth", "10.0.0.1", 7000)
        >>> members = Members(card, ManualTimers(), Random(1), outbox=None)
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
        """Take hosts for alive until probes show otherwise."""
        for seed in seeds:
            self._assume_alive(seed)

    def start(self) -> None:
        """Tell a few hosts of this one, and begin to probe."""
        for host in self.choose_hosts(ANNOUNCE_FAN_OUT_COUNT):
            self._probes.ping(host)
        delay_s = self._generator.random() * PERIOD_S
        self._local_health.start(delay_s)
        self._timers.call_later(delay_s, self._start_periods)

    def list_alive(self) -> list[str]:
        """Return the hosts that are not known to be gone, this one included.

        Suspect hosts are among them, until they are found dead.
        """
        return list(self._table.list_alive())

    def list_known(self) -> list[str]:
        """Return every host of which something is known, gone ones included."""
        return self._table.list_known()

    def find_state(self, host: str) -> MemberState | None:
        """Return a host's state, or None if it is not known."""
        fact = self._table.get(host)
        return fact.state if fact else None

    def find_endpoint(self, host: str) -> HostEndpoint | None:
        """Return where a host is to be found, or None if it is not known."""
        fact = self._table.get(host)
        if fact is None or fact.peer_port == 0:
            return None
        return HostEndpoint(
            fact.host, fact.failure_domain, fact.address, fact.peer_port
        )

    def find_domain(self, host: str) -> str | None:
        """Return a host's failure domain, or None if it is not known."""
        fact = self._table.get(host)
        return fact.failure_domain if fact else None

    def find_start_time(self, host: str) -> int | None:
        """Return the second at which a host's process started.

        None if it is not known; 0 if the host was never heard of, only listed.
        """
        fact = self._table.get(host)
        return fact.started if fact else None

    def find_list_held_since(self, host: str, list_version: int) -> float | None:
        """Return since when a host has a hosts list or a newer one.

        Args:
            host: The host.
            list_version: The version of the hosts list.

        Returns:
            The wall time at which this host learnt of it, in seconds since
            1970; None while nothing is known, and again after the host's
            restart until it has said what it has.
        """
        return self._list_versions.find_held_since(host, list_version)

    def list_direct_senders(self) -> list[str]:
        """Return the hosts from which this one has heard directly."""
        return sorted(self._direct_senders)

    def subscribe(self, callback: Callable[[str, MemberState], None]) -> None:
        """Call back with a host and its state whenever that changes.

        A host that restarted and was never missed is told as alive again.
        """
        self._callbacks.append(callback)

    def subscribe_pings(self, callback: Callable[[str], None]) -> None:
        """Call back with each host that is pinged, about one a second.

        What a part sends to the host then travels with the ping.
        """
        self._probes.subscribe(callback)

    def apply_list(self, published: "Published") -> None:
        """Take in the hosts list in force.

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
        young = self._timers.now() - self._started_s < STARTUP_ANNOUNCE_S
        if young or own.list_version == 0:
            self._update_own_record(
                incarnation=own.incarnation + 1,
                list_version=published.version,
                list_digest=published.digest,
            )

    def leave(self) -> None:
        """Tell the others that this host leaves for good."""
        self._update_own_record(state=MemberState.LEFT)
        news = MemberRecords([self._own])
        for host in self.choose_hosts(ANNOUNCE_FAN_OUT_COUNT):
            self._outbox.send(host, news)

    def choose_hosts(self, limit: int, *, domain: str | None = None) -> list[str]:
        """Return some other hosts at random that are not known to be gone.

        Args:
            limit: At most so many.
            domain: Only hosts of this failure domain; None takes all.
        """
        hosts = self._table.list_alive()
        if domain is not None:
            hosts = [host for host in hosts if self.find_domain(host) == domain]
        some = self._generator.sample(hosts, min(limit + 1, len(hosts)))
        return [host for host in some if host != self.host][:limit]

    def make_probe_message(self, message_class: type, sequence: int, host: str) -> Any:
        """Return a ping or its answer, with news for a host.

        Args:
            message_class: ``Ping`` or ``Ack``.
            sequence: The number of the ping.
            host: Where it goes.
        """
        own = self._own
        version_bits = self._list_versions.take_bitmap()
        facts = self._select_updates(host)
        return message_class(
            sequence, own.started, own.incarnation, facts, version_bits
        )

    def handle(self, sender: str, message: Any) -> None:
        """Take in a message of another host.

        Args:
            sender: The host that sent it.
            message: One of the classes of ``membership.messages``.
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
        asker, sequence = self._probes.take_requester(message.sequence)
        if asker:
            answer = ProbeReply(sequence, sender, message.started, message.incarnation)
            self._outbox.send(asker, answer)
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
        for fact in message.records:
            if fact.host == self.host:
                self._apply_record(fact)
                self._outbox.send(sender, MemberRecords([self._own]))
            elif self._is_disputed_death(fact):
                self._request_refutation(fact, sender)
            else:
                self._apply_record(fact)

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
        facts = self._table.list_records(message.buckets)
        some = self._generator.sample(facts, min(MAX_SYNC_RECORDS, len(facts)))
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
        """Lengthen every timeout by the time that this process lost."""
        late_s = self._local_health.measure_pause()
        if not late_s:
            return
        self._probes.cancel_probe()
        self._suspicions.extend(late_s)
        if late_s > SYNC_AFTER_PAUSE_S:
            self._sync_table()

    def _suspect_unresponsive_host(self) -> None:
        """Suspect the host whose probe has failed, if one has."""
        target = self._probes.take_failed_target()
        fact = self._table.get(target) if target else None
        if fact is not None and fact.state in PRESENT_STATES:
            suspect = fact._replace(state=MemberState.SUSPECT, suspected_by=self.host)
            self._apply_record(suspect)

    def _expire_suspicions(self) -> None:
        hosts = len(self._table.list_alive())
        for host in self._suspicions.list_expired(hosts, self._local_health.score):
            fact = self._table.get(host)
            self._apply_record(fact._replace(state=MemberState.DEAD, suspected_by=""))

    def _ping_dead_host(self) -> None:
        """Try one host that was found dead, so that partitions heal."""
        gone = self._table.list_dead()
        if gone:
            self._probes.ping(self._generator.choice(gone))

    def _select_updates(self, host: str) -> list[MemberRecord]:
        """Return news for a host; one that may be gone is told of itself only."""
        fact = self._table.get(host)
        if fact is not None and fact.state is not MemberState.ALIVE:
            return [fact]
        return self._gossip.take(MAX_PIGGYBACKED_RECORDS, len(self._table))

    def _apply_updates(self, message: Ping | Ack, sender: str) -> None:
        self._direct_senders.add(sender)
        for fact in message.records:
            self._apply_record(fact)
        if message.version_bitmap is not None:
            self._list_versions.merge_bitmap(sender, message.version_bitmap)
        self._check_incarnation(sender, (message.started, message.incarnation))

    def _check_incarnation(self, host: str, life: tuple[int, int]) -> None:
        """Ask a host for its fact if it is news, and tell it what is held of it."""
        fact = self._table.get(host)
        if fact is None or life > fact.incarnation_key:
            self._outbox.send(host, MemberQuery([]))
        elif fact.state is not MemberState.ALIVE or life < fact.incarnation_key:
            self._outbox.send(host, MemberRecords([fact]))
        if fact is not None and fact.state is MemberState.DEAD:
            self._send_summary(host, is_reply=False)

    def _is_disputed_death(self, fact: MemberRecord) -> bool:
        """Return whether a table calls a host dead that is alive for this one."""
        known = self._table.get(fact.host)
        return (
            fact.state is MemberState.DEAD
            and known is not None
            and known.state in PRESENT_STATES
            and known.incarnation_key == fact.incarnation_key
        )

    def _request_refutation(self, fact: MemberRecord, accuser: str) -> None:
        """Let the host itself decide; a partition may have just ended."""
        self._apply_record(fact._replace(state=MemberState.SUSPECT, suspected_by=accuser))
        self._outbox.send(fact.host, MemberRecords([fact]))

    def _apply_record(self, fact: MemberRecord) -> None:
        if fact.host == self.host:
            self._refute(fact)
            return
        known = self._table.get(fact.host)
        if known is None or fact.precedence > known.precedence:
            self._replace_record(fact, known)
        elif fact.precedence == known.precedence and fact.state is MemberState.SUSPECT:
            self._confirm_suspicion(fact)

    def _replace_record(self, fact: MemberRecord, known: MemberRecord | None) -> None:
        self._store_record(fact)
        if known is not None or fact.state in PRESENT_STATES:
            self._gossip.enqueue(fact, known)
        restarted = known is not None and 0 < known.started < fact.started
        if restarted:
            self._list_versions.record_restart(fact.host)
        self._list_versions.record_version(
            fact.host, fact.list_version, fact.list_digest
        )
        if known is None or restarted or known.state != fact.state:
            self._log_state(fact)
            self._notify_subscribers(fact)

    def _confirm_suspicion(self, fact: MemberRecord) -> None:
        if self._suspicions.confirm(fact.host, fact.suspected_by):
            self._gossip.enqueue_again(fact)

    def _refute(self, fact: MemberRecord) -> None:
        own = self._own
        if fact.precedence <= own.precedence:
            return
        if fact.state is MemberState.SUSPECT:
            self._local_health.adjust_score(1)
        if fact.started > own.started:
            changes = {"started": fact.started + 1, "incarnation": 0}
        else:
            changes = {"incarnation": fact.incarnation + 1}
        self._update_own_record(known=fact, **changes)

    def _update_own_record(
        self, known: MemberRecord | None = None, **changes: Any
    ) -> None:
        own = self._own._replace(**changes)
        self._store_record(own)
        self._gossip.enqueue(own, known)

    def _assume_alive(self, card: HostEndpoint) -> None:
        """Take a listed host for alive until probes show otherwise."""
        known = self._table.get(card.host)
        if known is None:
            fact = MemberRecord(card.host, MemberState.ALIVE, 0, 0, 0, "", *card[1:])
            self._store_record(fact)
            self._notify_subscribers(fact)
        elif known.started == 0 and known[6:9] != card[1:]:
            self._table.put(known._replace(**card._asdict()))

    def _store_record(self, fact: MemberRecord) -> None:
        self._table.put(fact)
        if fact.host == self.host:
            self._own = fact
        if fact.state is MemberState.SUSPECT:
            self._suspicions.begin(fact.host, fact.suspected_by)
        else:
            self._suspicions.end(fact.host)

    def _notify_subscribers(self, fact: MemberRecord) -> None:
        for callback in list(self._callbacks):
            callback(fact.host, fact.state)

    def _log_state(self, fact: MemberRecord) -> None:
        log_message(
            "membership:state",
            host=fact.host,
            state=fact.state.name.lower(),
            started=fact.started,
            incarnation=fact.incarnation,
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
