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

from oleanderpier.membership.cards import MemberCard
from oleanderpier.membership.host_probes import PERIOD_S, HostProbes
from oleanderpier.membership.lateness import Lateness
from oleanderpier.membership.list_versions import ListVersions
from oleanderpier.membership.messages import (
    Ack,
    MemberFact,
    MemberFacts,
    MemberState,
    Ping,
    ProbeAnswer,
    ProbeRequest,
    TableQuery,
    TableSummary,
)
from oleanderpier.membership.news import MemberNews
from oleanderpier.membership.suspicions import Suspicions
from oleanderpier.membership.table import PRESENT_STATES, MemberTable
from oleanderpier.utils import Outbox, Timers

if TYPE_CHECKING:
    from oleanderpier.configuration.documents import PublishedDocument

__all__ = ["Members"]

# After a pause of this length the table may have missed more than news repeat.
LONG_PAUSE_S = 5.0
# What fits a message of one packet.
FACTS_A_MESSAGE = 16
# In periods: how often a dead host is tried again, how often tables are
# compared, and for how long a new process compares them in every period.
REJOIN_PERIODS = 5
SYNC_PERIODS = 30
YOUNG_PERIODS = 30
# Facts in one answer to a comparison of tables.
FACTS_A_SYNC = 64
# For so long a new process announces each hosts list that it adopts.
ANNOUNCE_S = 60.0
# Hosts that are told at once of a start and of a leave.
FAN_OUT = 8


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
        >>> card = MemberCard("h1", "duluth", "10.0.0.1", 7000)
        >>> members = Members(card, ManualTimers(), Random(1), outbox=None)
        >>> members.list_alive()
        ['h1']
    """

    def __init__(
        self,
        card: MemberCard,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
        seeds: Iterable[MemberCard] = (),
    ) -> None:
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._started_s = timers.now()
        self._table = MemberTable(timers)
        self._suspicions = Suspicions(timers)
        self._listed: set[str] = set()
        self._news = MemberNews()
        self._lateness = Lateness(timers, PERIOD_S)
        self._probes = HostProbes(
            self, self._table, self._lateness, timers, generator, outbox
        )
        self._list_versions = ListVersions(card.host, timers)
        self._callbacks: list[Callable[[str, MemberState], None]] = []
        self._heard: set[str] = set()
        self._ticks = 0
        self.host = card.host
        self._own = MemberFact(
            card.host, MemberState.ALIVE, int(timers.wall()), 0, 0, "", *card[1:]
        )
        self._store(self._own)
        self._news.spread(self._own, None)
        self.add_seeds(seeds)

    def add_seeds(self, seeds: Iterable[MemberCard]) -> None:
        """Take hosts for alive until probes show otherwise."""
        for seed in seeds:
            self._presume(seed)

    def start(self) -> None:
        """Tell a few hosts of this one, and begin to probe."""
        for host in self.choose_hosts(FAN_OUT):
            self._probes.ping(host)
        delay_s = self._generator.random() * PERIOD_S
        self._lateness.begin(delay_s)
        self._timers.call_later(delay_s, self._begin)

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

    def find_card(self, host: str) -> MemberCard | None:
        """Return where a host is to be found, or None if it is not known."""
        fact = self._table.get(host)
        if fact is None or fact.peer_port == 0:
            return None
        return MemberCard(fact.host, fact.failure_domain, fact.address, fact.peer_port)

    def find_domain(self, host: str) -> str | None:
        """Return a host's failure domain, or None if it is not known."""
        fact = self._table.get(host)
        return fact.failure_domain if fact else None

    def find_started(self, host: str) -> int | None:
        """Return the second at which a host's process started.

        None if it is not known; 0 if the host was never heard of, only listed.
        """
        fact = self._table.get(host)
        return fact.started if fact else None

    def find_list_version(self, host: str, list_version: int) -> float | None:
        """Return since when a host has a hosts list or a newer one.

        Args:
            host: The host.
            list_version: The version of the hosts list.

        Returns:
            The wall time at which this host learnt of it, in seconds since
            1970; None while nothing is known, and again after the host's
            restart until it has said what it has.
        """
        return self._list_versions.find(host, list_version)

    def list_heard(self) -> list[str]:
        """Return the hosts from which this one has heard directly."""
        return sorted(self._heard)

    def subscribe(self, callback: Callable[[str, MemberState], None]) -> None:
        """Call back with a host and its state whenever that changes.

        A host that restarted and was never missed is told as alive again.
        """
        self._callbacks.append(callback)

    def subscribe_contacts(self, callback: Callable[[str], None]) -> None:
        """Call back with each host that is pinged, about one a second.

        What a part sends to the host then travels with the ping.
        """
        self._probes.subscribe(callback)

    def adopt_list(self, published: "PublishedDocument") -> None:
        """Take in the hosts list in force.

        Args:
            published: A ``hosts`` document.
        """
        entries = published.body["hosts"]
        self._listed = {entry["name"] for entry in entries}
        for entry in entries:
            self._presume(
                MemberCard(
                    entry["name"],
                    entry["failure_domain"],
                    entry["address"],
                    entry["peer_port"],
                )
            )
        self._list_versions.adopt(published)
        own = self._own
        young = self._timers.now() - self._started_s < ANNOUNCE_S
        if young or own.list_version == 0:
            self._announce(
                incarnation=own.incarnation + 1,
                list_version=published.version,
                list_digest=published.digest,
            )

    def leave(self) -> None:
        """Tell the others that this host leaves for good."""
        self._announce(state=MemberState.LEFT)
        news = MemberFacts([self._own])
        for host in self.choose_hosts(FAN_OUT):
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

    def make_news(self, message_class: type, sequence: int, host: str) -> Any:
        """Return a ping or its answer, with news for a host.

        Args:
            message_class: ``Ping`` or ``Ack``.
            sequence: The number of the ping.
            host: Where it goes.
        """
        own = self._own
        version_bits = self._list_versions.export()
        facts = self._take_facts(host)
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
        self._read_news(message, sender)
        self._outbox.send(sender, self.make_news(Ack, message.sequence, sender))

    @_receive.register
    def _handle_ack(self, message: Ack, sender: str) -> None:
        self._read_news(message, sender)
        asker, sequence = self._probes.take_asker(message.sequence)
        if asker:
            answer = ProbeAnswer(sequence, sender, message.started, message.incarnation)
            self._outbox.send(asker, answer)
        self._probes.end(message.sequence, sender)

    @_receive.register
    def _handle_request(self, message: ProbeRequest, sender: str) -> None:
        self._probes.ping_for(sender, message)

    @_receive.register
    def _handle_answer(self, message: ProbeAnswer, sender: str) -> None:
        self._note_life(message.target, (message.started, message.incarnation))
        self._probes.end(message.sequence, message.target)

    @_receive.register
    def _handle_facts(self, message: MemberFacts, sender: str) -> None:
        for fact in message.facts:
            if fact.host == self.host:
                self._apply(fact)
                self._outbox.send(sender, MemberFacts([self._own]))
            elif self._is_contested(fact):
                self._contest(fact, sender)
            else:
                self._apply(fact)

    @_receive.register
    def _handle_summary(self, message: TableSummary, sender: str) -> None:
        buckets = self._table.summary.list_differences(message.buckets)
        if not buckets:
            return
        self._outbox.send(sender, TableQuery(buckets))
        if not message.answered:
            self._send_summary(sender, answered=True)

    @_receive.register
    def _handle_query(self, message: TableQuery, sender: str) -> None:
        facts = self._table.list_facts(message.buckets)
        some = self._generator.sample(facts, min(FACTS_A_SYNC, len(facts)))
        self._outbox.send(sender, MemberFacts([self._own, *some]))

    def _begin(self) -> None:
        self._tick()
        self._timers.subscribe(PERIOD_S, self._tick)

    def _tick(self) -> None:
        self._ticks += 1
        self._allow_for_lateness()
        self._suspect_silent()
        self._judge_suspicions()
        self._probes.start()
        if self._ticks % REJOIN_PERIODS == 0:
            self._ping_gone()
        if self._ticks < YOUNG_PERIODS or self._ticks % SYNC_PERIODS == 0:
            self._forget_gone()
            self._sync_table()

    def _allow_for_lateness(self) -> None:
        """Lengthen every timeout by the time that this process lost."""
        late_s = self._lateness.measure()
        if not late_s:
            return
        self._probes.drop()
        self._suspicions.prolong(late_s)
        if late_s > LONG_PAUSE_S:
            self._sync_table()

    def _suspect_silent(self) -> None:
        """Suspect the host whose probe has failed, if one has."""
        target = self._probes.take_failed()
        fact = self._table.get(target) if target else None
        if fact is not None and fact.state in PRESENT_STATES:
            suspect = fact._replace(state=MemberState.SUSPECT, accuser=self.host)
            self._apply(suspect)

    def _judge_suspicions(self) -> None:
        hosts = len(self._table.list_alive())
        for host in self._suspicions.list_expired(hosts, self._lateness.level):
            fact = self._table.get(host)
            self._apply(fact._replace(state=MemberState.DEAD, accuser=""))

    def _ping_gone(self) -> None:
        """Try one host that was found dead, so that partitions heal."""
        gone = self._table.list_dead()
        if gone:
            self._probes.ping(self._generator.choice(gone))

    def _take_facts(self, host: str) -> list[MemberFact]:
        """Return news for a host; one that may be gone is told of itself only."""
        fact = self._table.get(host)
        if fact is not None and fact.state is not MemberState.ALIVE:
            return [fact]
        return self._news.take(FACTS_A_MESSAGE, len(self._table))

    def _read_news(self, message: Ping | Ack, sender: str) -> None:
        self._heard.add(sender)
        for fact in message.facts:
            self._apply(fact)
        if message.version_bits is not None:
            self._list_versions.merge(sender, message.version_bits)
        self._note_life(sender, (message.started, message.incarnation))

    def _note_life(self, host: str, life: tuple[int, int]) -> None:
        """Ask a host for its fact if it is news, and tell it what is held of it."""
        fact = self._table.get(host)
        if fact is None or life > fact.life:
            self._outbox.send(host, TableQuery([]))
        elif fact.state is not MemberState.ALIVE or life < fact.life:
            self._outbox.send(host, MemberFacts([fact]))
        if fact is not None and fact.state is MemberState.DEAD:
            self._send_summary(host, answered=False)

    def _is_contested(self, fact: MemberFact) -> bool:
        """Return whether a table calls a host dead that is alive for this one."""
        known = self._table.get(fact.host)
        return (
            fact.state is MemberState.DEAD
            and known is not None
            and known.state in PRESENT_STATES
            and known.life == fact.life
        )

    def _contest(self, fact: MemberFact, accuser: str) -> None:
        """Let the host itself decide; a partition may have just ended."""
        self._apply(fact._replace(state=MemberState.SUSPECT, accuser=accuser))
        self._outbox.send(fact.host, MemberFacts([fact]))

    def _apply(self, fact: MemberFact) -> None:
        if fact.host == self.host:
            self._refute(fact)
            return
        known = self._table.get(fact.host)
        if known is None or fact.order > known.order:
            self._accept(fact, known)
        elif fact.order == known.order and fact.state is MemberState.SUSPECT:
            self._confirm(fact)

    def _accept(self, fact: MemberFact, known: MemberFact | None) -> None:
        self._store(fact)
        if known is not None or fact.state in PRESENT_STATES:
            self._news.spread(fact, known)
        restarted = known is not None and 0 < known.started < fact.started
        if restarted:
            self._list_versions.restart(fact.host)
        self._list_versions.note(fact.host, fact.list_version, fact.list_digest)
        if known is None or restarted or known.state != fact.state:
            self._log(fact)
            self._notify(fact)

    def _confirm(self, fact: MemberFact) -> None:
        if self._suspicions.confirm(fact.host, fact.accuser):
            self._news.spread_again(fact)

    def _refute(self, fact: MemberFact) -> None:
        own = self._own
        if fact.order <= own.order:
            return
        if fact.state is MemberState.SUSPECT:
            self._lateness.raise_level(1)
        if fact.started > own.started:
            changes = {"started": fact.started + 1, "incarnation": 0}
        else:
            changes = {"incarnation": fact.incarnation + 1}
        self._announce(known=fact, **changes)

    def _announce(self, known: MemberFact | None = None, **changes: Any) -> None:
        own = self._own._replace(**changes)
        self._store(own)
        self._news.spread(own, known)

    def _presume(self, card: MemberCard) -> None:
        """Take a listed host for alive until probes show otherwise."""
        known = self._table.get(card.host)
        if known is None:
            fact = MemberFact(card.host, MemberState.ALIVE, 0, 0, 0, "", *card[1:])
            self._store(fact)
            self._notify(fact)
        elif known.started == 0 and known[6:9] != card[1:]:
            self._table.put(known._replace(**card._asdict()))

    def _store(self, fact: MemberFact) -> None:
        self._table.put(fact)
        if fact.host == self.host:
            self._own = fact
        if fact.state is MemberState.SUSPECT:
            self._suspicions.begin(fact.host, fact.accuser)
        else:
            self._suspicions.end(fact.host)

    def _notify(self, fact: MemberFact) -> None:
        for callback in list(self._callbacks):
            callback(fact.host, fact.state)

    def _log(self, fact: MemberFact) -> None:
        log_message(
            "membership:state",
            host=fact.host,
            state=fact.state.name.lower(),
            started=fact.started,
            incarnation=fact.incarnation,
        )

    def _send_summary(self, host: str, *, answered: bool) -> None:
        buckets = self._table.summary.list_hashes()
        self._outbox.send(host, TableSummary(answered, buckets))

    def _sync_table(self) -> None:
        for host in self.choose_hosts(1):
            self._send_summary(host, answered=False)

    def _forget_gone(self) -> None:
        for host in self._table.forget_gone(keep=self._listed):
            self._list_versions.restart(host)
