"""Probes of other hosts, sent directly first and then through proxies.

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

# SWIM's protocol period, in which each host probes one other host.
PERIOD_S = 1.0
# A ping without an ack by then is repeated, and sent through proxies as well.
ACK_TIMEOUT_S = 0.4
# Deadline of a probe in periods; it lies just before the next probe starts.
DEADLINE_RATIO = 0.99
# Proxies for an indirect probe, and random hosts from which they are chosen.
PROXY_COUNT = 3
PROXY_CANDIDATE_COUNT = 16


class Probe(NamedTuple):
    """A probe that has not been acknowledged yet.

    Attributes:
        target: The probed host.
        sequence: Sequence number of its pings.
        deadline_s: When the target becomes suspect, on the monotonic clock.
    """

    target: str
    sequence: int
    deadline_s: float


class MemberSource(Protocol):
    """The part of ``Members`` that the probes use."""

    host: str

    def choose_hosts(self, limit: int) -> list[str]:
        """Return random other hosts that are alive, at most ``limit``."""

    def make_probe_message(self, message_class: type, sequence: int, host: str) -> Any:
        """Return a ping or ack for a host, with piggybacked updates."""


class HostProbes:
    """This host's probe of the current period, and its pings for other hosts.

    Args:
        source: Provides random hosts and probe messages.
        table: The records of all hosts.
        local_health: Scales the timeouts while this process is slow.
        timers: The timer service.
        generator: The random number generator.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        source: MemberSource,
        table: MemberTable,
        local_health: LocalHealth,
        timers: Timers,
        generator: Random,
        outbox: Outbox,
    ) -> None:
        self._source = source
        self._table = table
        self._local_health = local_health
        self._timers = timers
        self._generator = generator
        self._outbox = outbox
        self._probe: Probe | None = None
        # By the sequence number of a ping that is sent for another host: that
        # host, and the sequence number of its own probe.
        self._requesters: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._probe_order: list[str] = []
        self._callbacks: list[Callable[[str], None]] = []

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of each host that this host pings."""
        self._callbacks.append(callback)

    def ping(self, host: str) -> int:
        """Ping a host and return the ping's sequence number."""
        self._sequence += 1
        message = self._source.make_probe_message(Ping, self._sequence, host)
        self._outbox.send(host, message)
        for callback in self._callbacks:
            callback(host)
        return self._sequence

    def ping_for_peer(self, requester: str, query: ProbeQuery) -> None:
        """Ping a host as a proxy for another host."""
        self._sequence += 1
        sequence = self._sequence
        self._requesters[sequence] = (requester, query.sequence)
        self._timers.call_later(
            PERIOD_S * (1 + MAX_SCORE),
            lambda: self._requesters.pop(sequence, None),
        )
        message = self._source.make_probe_message(Ping, sequence, query.target)
        self._outbox.send(query.target, message)

    def pop_requester(self, sequence: int) -> tuple[str, int]:
        """Remove and return the host for which a ping was sent as a proxy.

        Returns:
            The host and the sequence number of its probe; an empty string and
            0 if the ping was sent on this host's own behalf.
        """
        return self._requesters.pop(sequence, ("", 0))

    def start_probe(self) -> None:
        """Probe the next host, unless a probe is still in progress."""
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

    def pop_failed_target(self) -> str | None:
        """Remove the probe if its deadline has passed, and return its target."""
        probe = self._probe
        if probe is None or self._timers.now() < probe.deadline_s:
            return None
        self._probe = None
        self._local_health.adjust_score(1)
        return probe.target

    def end_probe(self, sequence: int, target: str) -> None:
        """Remove the probe that a host has acknowledged, if it is the current one."""
        probe = self._probe
        if probe is None or (probe.sequence, probe.target) != (sequence, target):
            return
        self._probe = None
        self._local_health.adjust_score(-1)

    def cancel_probe(self) -> None:
        """Remove the probe, whose ack may have been missed during a pause."""
        self._probe = None

    def _choose_target(self) -> str | None:
        """Return the next host of a random order, which is redrawn when used up."""
        for _ in range(2):
            while self._probe_order:
                host = self._probe_order.pop()
                if host != self._source.host and self._is_present(host):
                    return host
            self._probe_order = list(self._table.list_alive())
            self._generator.shuffle(self._probe_order)
        return None

    def _is_present(self, host: str) -> bool:
        record = self._table.get(host)
        return record is not None and record.state in PRESENT_STATES

    def _probe_indirectly(self, sequence: int) -> None:
        """Repeat a ping that has no ack yet, also through proxies."""
        probe = self._probe
        if probe is None or probe.sequence != sequence:
            return
        message = self._source.make_probe_message(Ping, sequence, probe.target)
        self._outbox.send(probe.target, message)
        for proxy in self._choose_proxies(probe.target):
            self._outbox.send(proxy, ProbeQuery(sequence, probe.target))

    def _choose_proxies(self, target: str) -> list[str]:
        """Return proxies for a probe, one from another failure domain if possible."""
        hosts = self._source.choose_hosts(PROXY_CANDIDATE_COUNT)
        hosts = [host for host in hosts if host != target]
        domain = self._find_domain(self._source.host)
        outside = [host for host in hosts if self._find_domain(host) != domain]
        others = [host for host in hosts if host not in outside[:1]]
        return outside[:1] + others[: PROXY_COUNT - len(outside[:1])]

    def _find_domain(self, host: str) -> str | None:
        record = self._table.get(host)
        return record.failure_domain if record else None
