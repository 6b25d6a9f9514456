"""Probes other hosts in turn, directly and then through others.

References:
    A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
    infection-style process group membership protocol", DSN 2002.
"""

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, Protocol

from oleanderpier.membership.local_health import MAX_SCORE, LocalHealth
from oleanderpier.membership.member_table import PRESENT_STATES, MemberTable
from oleanderpier.membership.messages import Ping, ProbeQuery
from oleanderpier.utils import Outbox, Timers

__all__ = ["PERIOD_S", "HostProbes"]

# SWIM's protocol period: each host probes one other in each.
PERIOD_S = 1.0
# A ping that has not been answered by then is sent through others as well.
ACK_TIMEOUT_S = 0.4
# A probe is judged just before the next one starts.
DEADLINE_RATIO = 0.99
# How many others probe for this host, and from how many they are chosen.
PROXY_COUNT = 3
PROXY_CANDIDATE_COUNT = 16


class Probe(NamedTuple):
    """A ping that waits for its answer.

    Attributes:
        target: The host.
        sequence: The number of the ping.
        deadline_s: When the target becomes suspect, on the monotonic clock.
    """

    target: str
    sequence: int
    deadline_s: float


class MemberSource(Protocol):
    """What the probes need of the list of members."""

    host: str

    def choose_hosts(self, limit: int) -> list[str]:
        """Return some other hosts at random."""

    def make_probe_message(self, message_class: type, sequence: int, host: str) -> Any:
        """Return a message with news for a host."""


class HostProbes:
    """The probe under way, and those that others have asked for.

    Args:
        source: The list of members.
        table: What is known of each host.
        lateness: How late this process runs.
        timers: The timer service.
        generator: The source of randomness.
        outbox: Where messages to other hosts go.
    """

    def __init__(
        self,
        source: MemberSource,
        table: MemberTable,
        lateness: LocalHealth,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
    ) -> None:
        self._source = source
        self._table = table
        self._local_health = lateness
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._probe: Probe | None = None
        self._requesters: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._probe_order: list[str] = []
        self._callbacks: list[Callable[[str], None]] = []

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with each host that is pinged."""
        self._callbacks.append(callback)

    def ping(self, host: str) -> int:
        """Ping a host and return the number of the ping."""
        self._sequence += 1
        news = self._source.make_probe_message(Ping, self._sequence, host)
        self._outbox.send(host, news)
        for callback in self._callbacks:
            callback(host)
        return self._sequence

    def ping_for_peer(self, asker: str, request: ProbeQuery) -> None:
        """Ping a host that another one does not reach."""
        self._sequence += 1
        sequence = self._sequence
        self._requesters[sequence] = (asker, request.sequence)
        self._timers.call_later(
            PERIOD_S * (1 + MAX_SCORE),
            lambda: self._requesters.pop(sequence, None),
        )
        news = self._source.make_probe_message(Ping, sequence, request.target)
        self._outbox.send(request.target, news)

    def take_requester(self, sequence: int) -> tuple[str, int]:
        """Return for whom a ping was sent, and that host's number of the probe.

        Empty text and 0 if it was this host's own.
        """
        return self._requesters.pop(sequence, ("", 0))

    def start_probe(self) -> None:
        """Probe the next host, unless the last one has time left."""
        if self._probe is not None:
            return
        target = self._choose_target()
        if target is None:
            return
        sequence = self.ping(target)
        scale = 1 + self._local_health.score
        deadline_s = self._timers.now() + PERIOD_S * scale * DEADLINE_RATIO
        self._probe = Probe(target, sequence, deadline_s)
        self._timers.call_later(
            ACK_TIMEOUT_S * scale, lambda: self._probe_indirectly(sequence)
        )

    def take_failed_target(self) -> str | None:
        """Return the host that has not answered in time, None if none has."""
        probe = self._probe
        if probe is None or self._timers.now() < probe.deadline_s:
            return None
        self._probe = None
        self._local_health.adjust_score(1)
        return probe.target

    def end_probe(self, sequence: int, target: str) -> None:
        """Take that a host has answered a ping."""
        probe = self._probe
        if probe is None or (probe.sequence, probe.target) != (sequence, target):
            return
        self._probe = None
        self._local_health.adjust_score(-1)

    def cancel_probe(self) -> None:
        """Forget the probe under way, whose answer this process was late for."""
        self._probe = None

    def _choose_target(self) -> str | None:
        """Walk through all hosts in random order, again and again."""
        for _ in range(2):
            while self._probe_order:
                host = self._probe_order.pop()
                if host != self._source.host and self._is_present(host):
                    return host
            self._probe_order = list(self._table.list_alive())
            self._generator.shuffle(self._probe_order)
        return None

    def _is_present(self, host: str) -> bool:
        fact = self._table.get(host)
        return fact is not None and fact.state in PRESENT_STATES

    def _probe_indirectly(self, sequence: int) -> None:
        """Ping once more, and through others, what has not answered."""
        probe = self._probe
        if probe is None or probe.sequence != sequence:
            return
        news = self._source.make_probe_message(Ping, sequence, probe.target)
        self._outbox.send(probe.target, news)
        for helper in self._choose_proxies(probe.target):
            self._outbox.send(helper, ProbeQuery(sequence, probe.target))

    def _choose_proxies(self, target: str) -> list[str]:
        """Return hosts to probe through, one from another failure domain."""
        hosts = self._source.choose_hosts(PROXY_CANDIDATE_COUNT)
        hosts = [host for host in hosts if host != target]
        domain = self._find_domain(self._source.host)
        outside = [host for host in hosts if self._find_domain(host) != domain]
        others = [host for host in hosts if host not in outside[:1]]
        return outside[:1] + others[: PROXY_COUNT - len(outside[:1])]

    def _find_domain(self, host: str) -> str | None:
        fact = self._table.get(host)
        return fact.failure_domain if fact else None
