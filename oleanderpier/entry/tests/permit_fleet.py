"""Hosts that ask each other for permits, on simulated time."""

import random
from collections import Counter

from bench.emulator.outboxes import DelayedOutbox
from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.permit_owner import PermitOwner
from oleanderpier.entry.server_owners import ServerOwners
from oleanderpier.entry.server_permits import PermitRequests
from oleanderpier.fleet import PrefillEnd, ServerPermitQuery, ServerPermitReply
from oleanderpier.forwarding import PermitAnswer, PermitQuery
from oleanderpier.routing import ColdRate, ServerKey, ServerStatements
from oleanderpier.routing.tests.fakes import make_server
from oleanderpier.utils import ManualTimers, rank_candidates

__all__ = ["SERVER", "SLOTS", "PermitFleet", "SentRequest"]

SERVER = make_server("s1", born_ms=5)
SLOTS = 4
DEADLINE_S = 5.0


class SentRequest:
    """A request of a host.

    Attributes:
        host: The host.
        sent: The query, and the permit.
        answer: The answer of the owner, None before it.
        answered_s: When it was answered.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.sent = None
        self.answer: PermitAnswer | None = None
        self.answered_s = 0.0


class PermitFleet:
    """Hosts with callers, and one server under permits.

    Args:
        hosts: The number of hosts.
        slots: How many requests the server runs at a time, 0 if the hosts do not know.
        cold_per_s: The requests per second that it takes while it is cold, 0 if it is
            not.

    Attributes:
        names: The names of all hosts.
        ready: The ready hosts, as each host sees them.
        killed: The hosts that neither send nor receive.
        frozen: The hosts that receive all messages later, when they go on.
        lost: The links that lose messages, as sender and receiver.
        reported: The requests in flight at the server that hosts report.
        sends_s: When a request was sent to the server.
        peak: The most requests that the server had at a time.
        in_flight: Those that it has now.
        messages: The number of messages of each class.
        requests: The asking side of each host.
        owners: The owner's side of each host.
    """

    def __init__(self, hosts: int, slots: int = SLOTS, cold_per_s: float = 0.0) -> None:
        self.timers = ManualTimers()
        self.names = [f"h{number}" for number in range(hosts)]
        self.ready = {name: list(self.names) for name in self.names}
        self.killed: set[str] = set()
        self.frozen: set[str] = set()
        self.lost: set[tuple[str, str]] = set()
        self.reported = 0
        self.sends_s: list[float] = []
        self.peak = self.in_flight = 0
        self.messages: Counter[type] = Counter()
        self.rng = random.Random(hosts)
        self._held_messages: list[tuple[str, str, object]] = []
        self._cold_rate = ColdRate(cold_per_s) if cold_per_s else None
        self.owners: dict[str, PermitOwner] = {}
        self.metrics = {name: EntryMetrics() for name in self.names}
        self.requests = {name: self._make_requests(name, slots) for name in self.names}

    @property
    def owner(self) -> str:
        """The host that owns the server while all are ready."""
        return rank_candidates(SERVER.identity, self.names)[0]

    @property
    def others(self) -> list[str]:
        """The hosts that do not own the server while all are ready."""
        return [name for name in self.names if name != self.owner]

    def _make_requests(self, name: str, slots: int) -> PermitRequests:
        statements = ServerStatements()
        statements.loads.set_all_under_permits(True)
        if slots:
            statements.record_slots(SERVER, slots)
        outbox = DelayedOutbox(self.timers, name, self._deliver)
        servers = ServerOwners(name, lambda: self.ready[name], self.timers)
        self.owners[name] = PermitOwner(
            name, servers, lambda identity: self.reported, self.timers, outbox
        )
        return PermitRequests(
            name,
            servers,
            self.owners[name],
            statements,
            lambda server: self._cold_rate,
            self.timers,
            random.Random(name),
            outbox,
            self.metrics[name],
        )

    def _deliver(self, sender: str, receiver: str, message) -> None:
        self.messages[type(message)] += 1
        if {sender, receiver} & self.killed or (sender, receiver) in self.lost:
            return
        if {sender, receiver} & self.frozen:
            self._held_messages.append((sender, receiver, message))
        elif isinstance(message, ServerPermitReply):
            self.requests[receiver].receive_reply(sender, message)
        elif isinstance(message, ServerPermitQuery):
            self.owners[receiver].receive_query(sender, message)
        elif isinstance(message, PrefillEnd):
            self.owners[receiver].receive_prefill_end(sender, message)
        else:
            self.owners[receiver].receive_release(sender, message)

    def go_on(self) -> None:
        """Let the frozen hosts go on with the messages that they have not read."""
        self.frozen.clear()
        held, self._held_messages = self._held_messages, []
        for sender, receiver, message in held:
            self._deliver(sender, receiver, message)

    def set_ready(self, names: list[str], seen_by: list[str] | None = None) -> None:
        """Set which hosts some hosts, or all, take for ready."""
        for name in seen_by or self.names:
            self.ready[name] = list(names)

    def remove_host(self, host: str) -> None:
        """Let all other hosts know that a host is gone."""
        self.set_ready([name for name in self.ready[self.names[0]] if name != host])
        for name in self.names:
            if name != host:
                self.owners[name].remove_host(host)
                self.requests[name].remove_host(host)

    def ask(self, host: str, max_wait_s: float = 0.0, **changes) -> SentRequest:
        """Ask for a permit for a request of a host."""
        request = SentRequest(host)

        def notify(answer: PermitAnswer) -> None:
            request.answer, request.answered_s = answer, self.timers.now()

        query = PermitQuery(SERVER, 0, "w1", False, 0, max_wait_s, DEADLINE_S)
        request.sent = self.requests[host].request(query._replace(**changes), notify)
        return request

    def ask_now(self, host: str, **changes) -> SentRequest:
        """Ask, and wait for the answer."""
        request = self.ask(host, **changes)
        self.timers.advance(0.15)
        return request

    def start_callers(
        self, hosts: list[str], per_s: float, work_s: float, max_wait_s: float = 0.0
    ) -> None:
        """Let callers send requests to some hosts, at random times."""

        def arrive() -> None:
            self.timers.call_later(self.rng.expovariate(per_s), arrive)
            host = self.rng.choice(hosts)
            if host not in self.killed | self.frozen:
                self._handle_request(host, work_s, max_wait_s)

        self.timers.call_later(self.rng.expovariate(per_s), arrive)

    def _handle_request(self, host: str, work_s: float, max_wait_s: float) -> None:
        query = PermitQuery(SERVER, 0, "w1", False, 0, max_wait_s, DEADLINE_S)
        sent = None
        answers = []

        def end() -> None:
            self.in_flight -= 1
            sent.release()

        def finish() -> None:
            if answers[0].may_send:
                self.sends_s.append(self.timers.now())
                self.in_flight += 1
                self.peak = max(self.peak, self.in_flight)
                self.timers.call_later(work_s, end)

        def notify(answer: PermitAnswer) -> None:
            answers.append(answer)
            if sent is not None:
                finish()

        sent = self.requests[host].request(query, notify)
        if answers:
            finish()

    def count_permits(self, host: str) -> int:
        """Return the permits of the server that a host counts as its owner."""
        key = ServerKey(SERVER.identity, SERVER.born_ms)
        permits = self.owners[host]._permits
        return permits.count_in_flight(key, self.timers.now())

    def count_most_in_a_second(self) -> int:
        """Return the most requests that were sent in any second."""
        first = most = 0
        for index, sent_s in enumerate(self.sends_s):
            while self.sends_s[first] <= sent_s - 1.0:
                first += 1
            most = max(most, index - first + 1)
        return most
