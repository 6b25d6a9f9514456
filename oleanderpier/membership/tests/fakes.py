"""A fake network with hosts and backend servers, driven by manual timers."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from oleanderpier.membership import (
    Ack,
    BackendServers,
    HostEndpoint,
    MemberQuery,
    MemberRecords,
    Members,
    MemberSummary,
    Outcome,
    Ping,
    ProbeQuery,
    ProbeReply,
    ServerProbeRequest,
    ServerQuery,
    ServerRecords,
    ServerSummary,
)
from oleanderpier.utils import ManualTimers, Subscription, encode_message

MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 0.003


class HostTimers:
    """The timer service of one host, whose process can be paused or stopped.

    Attributes:
        timers: The manual timers of the whole network.
        wall_offset_s: Error of the host's wall clock, in seconds.
        paused: Whether the process is paused.
        stopped: Whether the process has ended.
        deferred_callbacks: Callbacks that fell due during the pause.
        deferred_messages: Deliveries of messages that arrived during the pause.
    """

    def __init__(self, timers: ManualTimers, wall_offset_s: float):
        self.timers = timers
        self.wall_offset_s = wall_offset_s
        self.paused = False
        self.stopped = False
        self.deferred_callbacks: list[Callable[[], None]] = []
        self.deferred_messages: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return self.timers.now()

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970."""
        return self.timers.wall() + self.wall_offset_s

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once after a delay, or at the end of a pause if that is later."""
        subscription = Subscription()
        self.timers.call_later(delay_s, lambda: self._run(callback, subscription))
        return subscription

    def subscribe(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back repeatedly at an interval in seconds."""
        subscription = Subscription()

        def fire() -> None:
            if not subscription.cancelled:
                self.call_later(interval_s, fire)
                callback()

        self.call_later(interval_s, fire)
        return subscription

    def resume(self) -> None:
        """End a pause: run callbacks that fell due, then deliver messages."""
        self.paused = False
        deferred = self.deferred_callbacks + self.deferred_messages
        self.deferred_callbacks, self.deferred_messages = [], []
        for callback in deferred:
            callback()

    def _run(self, callback: Callable[[], None], subscription: Subscription) -> None:
        if self.stopped or subscription.cancelled:
            return
        if self.paused:
            self.deferred_callbacks.append(lambda: self._run(callback, subscription))
        else:
            callback()


class FakeHost:
    """A host on the fake network, which is also the outbox of its components.

    Attributes:
        handlers: Handler of each message class.
        components: Components that run on the host, by name.
    """

    def __init__(self, network: "FakeNetwork", name: str):
        self.network = network
        self.name = name
        self.timers = HostTimers(network.timers, network.wall_offsets_s.get(name, 0.0))
        self.handlers: dict[type, Callable[[str, Any], None]] = {}
        self.components: dict[str, Any] = {}

    def send(self, host: str, message: Any) -> bool:
        """Send a message over the fake network."""
        return self.network.transmit(self.name, host, message)

    def register_handler(self, component: Any, *classes: type) -> None:
        """Let a component handle messages of some classes."""
        for message_class in classes:
            self.handlers[message_class] = component.handle

    def deliver(self, sender: str, message: Any) -> None:
        """Pass a message to its handler, at the end of a pause if there is one."""
        if self.timers.paused:
            self.timers.deferred_messages.append(lambda: self.deliver(sender, message))
        elif not self.timers.stopped:
            self.handlers[type(message)](sender, message)


class FakeNetwork:
    """Delivers messages with latency, loss and partitions, and counts bytes.

    Attributes:
        loss_ratio: Probability that a message is lost.
        blocked: Pairs of sender and receiver whose messages are all lost.
        wall_offsets_s: Error of a host's wall clock, in seconds.
        receive_delays_s: Additional time that a slow host needs to receive a
            message, in seconds.
        sent_bytes: Bytes sent, by message class.
        sent_counts: Number of messages sent, by message class.
        host_bytes: Bytes sent, by host.
    """

    def __init__(self, seed: int, *, loss_ratio: float = 0.0):
        self.timers = ManualTimers()
        self.generator = Random(seed)
        self.loss_ratio = loss_ratio
        self.blocked: set[tuple[str, str]] = set()
        self.receive_delays_s: dict[str, float] = {}
        self.wall_offsets_s: dict[str, float] = {}
        self.hosts: dict[str, FakeHost] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.sent_counts: Counter[str] = Counter()
        self.host_bytes: Counter[str] = Counter()

    def add(self, name: str) -> FakeHost:
        """Start a host; a running one of the same name is stopped."""
        if name in self.hosts:
            self.hosts[name].timers.stopped = True
        self.hosts[name] = FakeHost(self, name)
        return self.hosts[name]

    def transmit(self, sender: str, receiver: str, message: Any) -> bool:
        """Deliver a message after a random latency, unless it is lost."""
        size = len(encode_message(message))
        self.sent_bytes[type(message).__name__] += size
        self.sent_counts[type(message).__name__] += 1
        self.host_bytes[sender] += size
        lost = self.generator.random() < self.loss_ratio
        if lost or (sender, receiver) in self.blocked or receiver not in self.hosts:
            return False
        host = self.hosts[receiver]
        delay_s = self.generator.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        delay_s += self.receive_delays_s.get(receiver, 0.0)
        self.timers.call_later(delay_s, lambda: host.deliver(sender, message))
        return True

    def block(self, senders: list[str], receivers: list[str]) -> None:
        """Lose all messages from some hosts to others, in this direction only."""
        self.blocked |= {
            (sender, receiver) for sender in senders for receiver in receivers
        }

    def stop(self, name: str) -> None:
        """Stop a host's process without a leave."""
        self.hosts[name].timers.stopped = True

    def pause(self, name: str) -> None:
        """Pause a host's process."""
        self.hosts[name].timers.paused = True

    def resume(self, name: str) -> None:
        """Resume a host's paused process."""
        self.hosts[name].timers.resume()


def make_endpoints(hosts: int, domains: int) -> list[HostEndpoint]:
    """Return endpoints of hosts, spread evenly over failure domains."""
    return [
        HostEndpoint(f"h{i}", f"domain-{i % domains}", f"10.0.{i >> 8}.{i & 255}", 7000)
        for i in range(hosts)
    ]


def make_hosts_document(endpoints: list[HostEndpoint], version: int) -> dict[str, Any]:
    """Return the value of a hosts document that lists the endpoints."""
    entries = [
        {
            "name": endpoint.host,
            "failure_domain": endpoint.failure_domain,
            "address": endpoint.address,
            "caller_port": 8000,
            "peer_port": endpoint.peer_port,
            "operator_port": 9000,
            "state": "live",
        }
        for endpoint in endpoints
    ]
    return {"version": version, "hosts": entries}


def add_members(
    network: FakeNetwork, endpoint: HostEndpoint, seeds: list[HostEndpoint]
) -> Members:
    """Start a host that runs ``Members``."""
    host = network.add(endpoint.host)
    generator = Random(network.generator.random())
    members = Members(endpoint, host.timers, generator, host, seeds)
    host.register_handler(members, Ping, Ack, ProbeQuery, ProbeReply)
    host.register_handler(members, MemberRecords, MemberSummary, MemberQuery)
    host.components["members"] = members
    members.start()
    return members


class FakeServers:
    """Backend servers whose responses to probes are set by the test.

    Attributes:
        down: Servers that refuse connections.
        silent: Servers that accept requests but do not respond.
        slow: Servers that respond late.
        leaving: Servers that announce that they are leaving.
        blocked: Pairs of host and server that cannot reach each other.
        probe_counts: Number of probes of each server.
    """

    def __init__(self, network: FakeNetwork):
        self.network = network
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.slow: set[str] = set()
        self.leaving: set[str] = set()
        self.blocked: set[tuple[str, str]] = set()
        self.probe_counts: Counter[str] = Counter()

    def find_outcome(self, host: str, server: str) -> tuple[float, Outcome]:
        """Return the duration of a probe in seconds, and its outcome."""
        if server in self.silent or (host, server) in self.blocked:
            return 2.0, Outcome.TIMED_OUT
        if server in self.down:
            return 0.001, Outcome.REFUSED
        if server in self.leaving:
            return 0.002, Outcome.LEAVING
        if server in self.slow:
            return 1.7, Outcome.SLOW
        return 0.002, Outcome.ANSWERED

    def add(self, host: FakeHost) -> BackendServers:
        """Start ``BackendServers`` on a host."""

        def probe(server: str) -> None:
            self.probe_counts[server] += 1
            delay_s, outcome = self.find_outcome(host.name, server)
            host.timers.call_later(
                delay_s, lambda: view.record_probe_outcome(server, outcome)
            )

        generator = Random(self.network.generator.random())
        members = host.components["members"]
        view = BackendServers(members, host.timers, generator, host, probe)
        host.register_handler(
            view, ServerQuery, ServerProbeRequest, ServerRecords, ServerSummary
        )
        host.components["servers"] = view
        view.start()
        return view
