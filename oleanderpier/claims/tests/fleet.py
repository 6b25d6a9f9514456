"""A simulated fleet: hosts, a network that fails, and a plain service.

Manual timers drive all of it in one thread, and seeded randomness makes each run
repeatable.
"""

import random
from collections import Counter
from typing import Any, NamedTuple

from oleanderpier.claims import Claims, HostLists
from oleanderpier.results import Code, Fate, describe_code
from oleanderpier.utils import ManualTimers, decode_message, encode_message, make_key

CALL_TIMEOUT_S = 4.0
FAILURE_DOMAINS = ("duluth", "alpena", "erie-port")
SKEWS_S = (0.0, 0.9, -0.9, 0.4, -0.4, 0.7, -0.7)


class ClaimsNode:
    """A process with the claims under test and the host lists they need."""

    def __init__(self, process: "Process", rng: random.Random):
        self.lists = HostLists(process.name, process.incarnation, process, process)
        args = (process.name, process.incarnation, process, rng, process, self.lists)
        self.claims = Claims(*args)
        self.claim, self.settle = self.claims.claim, self.claims.settle
        self.handle = self.claims.handle
        self.void, self.look_up = self.claims.void, self.claims.look_up
        self.apply_document = self.lists.apply_document


class Process:
    """A simulated process of a host; serves as its timers and its outbox.

    Attributes:
        fleet: The fleet that it belongs to.
        name: The host's name.
        incarnation: Id of the process.
        alive: Whether it has not been killed.
        paused: Whether its callbacks are held back.
        node: The code under test.
    """

    def __init__(self, fleet: "Fleet", name: str, incarnation: str, skew_s: float):
        self.fleet, self.name, self.incarnation = fleet, name, incarnation
        self.alive, self.paused = True, False
        self._skew_s = skew_s
        self._queue: list[Any] = []
        self.node = fleet.make_node(self, random.Random(f"{fleet.seed}{incarnation}"))

    def now(self) -> float:
        """Return the monotonic clock, which all processes share, in seconds."""
        return self.fleet.timers.now()

    def wall(self) -> float:
        """Return the wall clock of this host, in seconds since 1970."""
        return self.fleet.timers.wall() + self._skew_s

    def call_later(self, delay_s: float, callback: Any) -> Any:
        """Call back once after a delay, unless the process is dead by then."""
        subscription = None

        def run() -> None:
            if not subscription.cancelled:
                callback()

        subscription = self.fleet.timers.call_later(
            delay_s, lambda: self.run_unless_paused(run)
        )
        return subscription

    def subscribe(self, interval_s: float, callback: Any) -> Any:
        """Call back at an interval while the process lives."""
        return self.fleet.timers.subscribe(
            interval_s, lambda: self.run_unless_paused(callback)
        )

    def send(self, host: str, message: Any) -> bool:
        """Send a message to another host."""
        return self.fleet.transmit(self.name, host, message)

    def run_unless_paused(self, callback: Any) -> None:
        """Run a callback at once; after the pause if paused; never if dead."""
        if self.alive and self.paused:
            self._queue.append(callback)
        elif self.alive:
            callback()

    def resume(self) -> None:
        """End a pause, and run the callbacks that it held back, in order."""
        self.paused = False
        queue, self._queue = self._queue, []
        for callback in queue:
            self.run_unless_paused(callback)


class Call(NamedTuple):
    """One request of a caller.

    Attributes:
        key: The request's key.
        host: Name of the host that it was sent to.
        received_codes: The result codes that the caller received.
    """

    key: str
    host: str
    received_codes: list[Code]


class Fleet:
    """Hosts in three failure domains that send requests to one plain service.

    Args:
        seed: Seed of all randomness.
        make_node: Makes the code under test from a process and a random generator.
        hosts: Number of hosts.

    Attributes:
        cut_links: Pairs of sender and receiver between which messages are lost.
        loss_ratio: Probability that a message is lost.
        duplicate_ratio: Probability that a message is sent twice.
        reorder_ratio: Probability that a message is late and may be overtaken.
        response_loss_ratio: Probability that a response of the service is lost.
        response_delay_s: Delay of a response of the service, in seconds.
        refusal_ratio: Probability that a request is refused after its claim.
        executions: Number of times that the service ran each key.
        calls: All requests of callers.
        message_bytes: Bytes of messages sent, by message class.
        message_counts: Number of messages sent, by message class.
        failure_at_step: Functions of a host's name, by host and step of a request;
            each is called once when the host gets to the step.
        documents: The published ``hosts`` documents, the oldest first.
        processes: The latest process of each host.
    """

    def __init__(self, seed: int, make_node: Any = ClaimsNode, hosts: int = 8):
        self.seed, self.make_node = seed, make_node
        self.rng = random.Random(seed)
        self.timers = ManualTimers()
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_ratio = self.duplicate_ratio = self.reorder_ratio = 0.0
        self.response_loss_ratio, self.refusal_ratio = 0.0, 0.0
        self.response_delay_s = 0.01
        self.executions: Counter[str] = Counter()
        self.calls: list[Call] = []
        self.message_bytes: Counter[str] = Counter()
        self.message_counts: Counter[str] = Counter()
        self.failure_at_step: dict[tuple[str, str], Any] = {}
        self.documents: list[Any] = []
        self.processes: dict[str, Process] = {}
        self._start_count = 0
        self._last_arrival_s: dict[tuple[str, str], float] = {}
        self.publish([f"host-{index}" for index in range(hosts)])
        for name in self.names:
            self.start(name)

    @property
    def names(self) -> list[str]:
        """Names of the hosts of the newest list."""
        return [host["name"] for host in self.documents[-1]["hosts"]]

    def publish(self, names: list[str]) -> None:
        """Publish a list; hosts get it only through ``show_list``."""
        domains = {name: FAILURE_DOMAINS[int(name[5:]) % 3] for name in names}
        hosts = [{"name": name, "failure_domain": domains[name]} for name in names]
        self.documents.append({"version": len(self.documents) + 1, "hosts": hosts})

    def show_list(self, names: list[str], version: int = 0) -> None:
        """Deliver a published version to hosts, by default the newest."""
        for name in names:
            process = self.processes[name]
            document = self.documents[version - 1]
            process.run_unless_paused(
                lambda node=process.node, shown=document: node.apply_document(shown)
            )

    def start(self, name: str, version: int = 0) -> None:
        """Start a process without any state in place of the host's latest one."""
        self.kill(name)
        self._start_count += 1
        skew_s = SKEWS_S[self._start_count % len(SKEWS_S)]
        process = Process(self, name, f"i{self._start_count}", skew_s)
        self.processes[name] = process
        self.show_list([name], version)

    def kill(self, name: str) -> None:
        """Kill a host's process."""
        if name in self.processes:
            self.processes[name].alive = False

    def pause(self, name: str, pause_s: float = 30.0) -> None:
        """Pause a host's process for some seconds."""
        process = self.processes[name]
        if process.alive and not process.paused:
            process.paused = True
            self.timers.call_later(pause_s, process.resume)

    def split(self, *groups: list[str]) -> None:
        """Cut all links between hosts of different groups."""
        side = {name: index for index, group in enumerate(groups) for name in group}
        self.cut_links = {(a, b) for a in side for b in side if side[a] != side[b]}

    def transmit(self, sender: str, host: str, message: Any) -> bool:
        """Send a message to the process that the host runs when it arrives.

        Returns:
            Whether the host runs a process now, as a connection would show.
        """
        if host not in self.processes or not self.processes[host].alive:
            return False
        if type(message).__module__.startswith("oleanderpier.claims.messages"):
            data = encode_message(message)
            self.message_counts[type(message).__name__] += 1
            self.message_bytes[type(message).__name__] += len(data)
            message = decode_message(data)
        for _ in range(1 + (self.rng.random() < self.duplicate_ratio)):
            if (
                sender,
                host,
            ) not in self.cut_links and self.rng.random() >= self.loss_ratio:
                self._deliver(sender, host, message)
        return True

    def _deliver(self, sender: str, host: str, message: Any) -> None:
        """Deliver a message after a delay, in order unless it is to be late."""
        delay_s = self.rng.uniform(0.0005, 0.002)
        due_s = self.timers.now() + delay_s
        if self.rng.random() < self.reorder_ratio:
            due_s += self.rng.uniform(0.0, 3.0)
        else:
            due_s = max(due_s, self._last_arrival_s.get((sender, host), 0.0))
            self._last_arrival_s[sender, host] = due_s

        def arrive() -> None:
            process = self.processes[host]
            process.run_unless_paused(lambda: process.node.handle(sender, message))

        self.timers.call_later(due_s - self.timers.now(), arrive)

    def make_key(self, ahead_s: float = 0.0) -> str:
        """Return a key that a caller makes now, with its clock ahead by some time."""
        return make_key(self.timers.wall() + ahead_s, self.rng)

    def request(self, host: str, key: str) -> Call:
        """Let a caller send a request to a host, which runs it as the daemon does."""
        call = Call(key, host, [])
        self.calls.append(call)
        process = self.processes[host]
        deadline_s = self.timers.now() + CALL_TIMEOUT_S
        self._fail_at_step(process, "claim")

        def receive_result(result: Any) -> None:
            if result.is_ok():
                self._fail_at_step(process, "check")
                process.call_later(0.0005, lambda: check_request(result.ok))
            else:
                call.received_codes.append(result.error.code)

        def check_request(right: Any) -> None:
            if process.now() >= deadline_s or self.rng.random() < self.refusal_ratio:
                process.node.void(right)
                call.received_codes.append(Code.TARGET_UNREACHABLE)
                return
            self._fail_at_step(process, "send")
            process.call_later(0.0005, lambda: self._send_request(process, call, right))

        process.run_unless_paused(
            lambda: process.node.claim(key, CALL_TIMEOUT_S, receive_result)
        )
        return call

    def _send_request(self, process: Process, call: Call, right: Any) -> None:
        """Send a request to the service and handle its response or a time-out."""

        def execute() -> None:
            self.executions[call.key] += 1
            self._fail_at_step(process, "response")
            if self.rng.random() >= self.response_loss_ratio:
                self.timers.call_later(
                    self.response_delay_s,
                    lambda: process.run_unless_paused(receive_response),
                )

        def receive_response() -> None:
            self._fail_at_step(process, "settle")
            process.run_unless_paused(
                lambda: process.node.settle(right, Code.DONE, b"paid")
            )
            if not call.received_codes:
                process.run_unless_paused(lambda: call.received_codes.append(Code.DONE))

        def time_out() -> None:
            if not call.received_codes:
                process.node.settle(right, Code.TARGET_MISSED, b"")
                call.received_codes.append(Code.TARGET_MISSED)

        self.timers.call_later(0.001, execute)
        process.call_later(CALL_TIMEOUT_S, time_out)

    def _fail_at_step(self, process: Process, step: str) -> None:
        """Cause the failure that is set for a host and a step of its requests."""
        failure = self.failure_at_step.pop((process.name, step), None)
        if failure is not None:
            failure(process.name)

    def look_up(self, host: str, key: str) -> list[Any]:
        """Look up a key's result on a host; return the list that will receive it."""
        results: list[Any] = []
        node = self.processes[host].node
        node.look_up(
            key, lambda result: results.append(result.default_with(lambda e: e))
        )
        return results

    def find_violations(self) -> list[str]:
        """Return each breach of a guarantee.

        A key must run at most once, and a key whose caller received a code of fate
        not-run must never run.
        """
        twice = [f"ran twice: {key}" for key, n in self.executions.items() if n > 1]
        return twice + [
            f"reported {code.name} but ran: {call.key}"
            for call in self.calls
            for code in call.received_codes
            if describe_code(code).fate is Fate.NOT_RUN and self.executions[call.key]
        ]
