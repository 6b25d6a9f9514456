"""A simulated fleet of placements on a network with configurable faults."""

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any

from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.utils import ManualTimers, decode_message, encode_message

MESSAGE_DELAY_S = 0.001
# First-token target of each class of work, in seconds.
CLASSES = {"quick": 1.6, "long": 8.0}


def make_configuration(load_multiple=1.25):
    """Return a configuration with two classes for one model and one for a service."""
    classes = [
        {
            "name": name,
            "kind": "engine",
            "needs": "model",
            "repeatable": True,
            "first_token_s": target_s,
            "between_tokens_s": 0.1,
            "whole_s": 60.0,
        }
        for name, target_s in CLASSES.items()
    ]
    lookup = {**classes[0], "name": "lookup", "kind": "service", "needs": "balance"}
    return {
        "version": 1,
        "classes": [*classes, lookup],
        "workspaces": [],
        "load_multiple": load_multiple,
    }


def make_server(name, slots=16, domain="d", state="live", kind="engine"):
    """Return the published entry of a backend server."""
    return {
        "name": name,
        "failure_domain": domain,
        "kind": kind,
        "address": "127.0.0.1",
        "port": 1,
        "provides": ["model" if kind == "engine" else "balance"],
        "slots": slots,
        "state": state,
        "checks_fencing": True,
    }


class HostTimers:
    """The timer service of one host; callbacks are deferred while it is paused."""

    def __init__(self, timers):
        self.timers = timers
        self.paused = False
        self.dead = False
        self._deferred = []
        self._sequence = count()

    def now(self):
        """Return the monotonic clock in seconds."""
        return self.timers.now()

    def call_later(self, delay_s, callback):
        """Call back once, or at the end of the pause if the host is paused then."""
        return self.timers.call_later(delay_s, lambda: self.run_or_defer(callback))

    def subscribe(self, interval_s, callback):
        """Call back periodically; calls due during a pause are made once after it."""
        deferred = []

        def fire():
            if not deferred:
                deferred.append(True)
                self.run_or_defer(lambda: (deferred.clear(), callback()))

        return self.timers.subscribe(interval_s, fire)

    def run_or_defer(self, callback):
        """Call back now, or at the end of the pause."""
        if self.dead:
            return
        if self.paused:
            heapq.heappush(self._deferred, (self.now(), next(self._sequence), callback))
        else:
            callback()

    def pause(self, seconds):
        """Pause the host for some seconds."""
        self.paused = True
        self.timers.call_later(seconds, self._resume)

    def _resume(self):
        self.paused = False
        while self._deferred:
            heapq.heappop(self._deferred)[2]()


class FakeOutbox:
    """Fake outbox of one host on the fleet's network."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    def send(self, host, message):
        """Send a message; it is lost if the link is blocked or the host is dead."""
        data = encode_message(message)
        self.fleet.last_send_s = self.fleet.timers.now()

        def deliver():
            placement = self.fleet.placements.get(host)
            if (
                placement is not None
                and (self.host, host) not in self.fleet.blocked_links
            ):
                placement.handle(self.host, decode_message(data))

        if self.fleet.rng.random() >= self.fleet.loss_probability:
            timers = self.fleet.host_timers[host]
            self.fleet.timers.call_later(
                MESSAGE_DELAY_S, lambda: timers.run_or_defer(deliver)
            )
        return True


class Fleet:
    """Simulated hosts with placements, and servers that count their requests.

    Attributes:
        blocked_links: Pairs of sending and receiving host between which
            messages are lost.
        loss_probability: The probability that a message is lost.
        running: The requests in flight by server, counted at the servers.
        results: The permit or failure of each request.
        wait_times_s: The time until each request got its result, in seconds.
        live_permits: The permits in use, by host and request.
        last_send_s: The time at which the last message was sent.
        pending_at_pause: The requests that were waiting for a permit at a host
            when it paused.
    """

    def __init__(self, hosts=4, servers=9, slots=16, seed=1, can_migrate=True):
        self.timers = ManualTimers()
        self.rng = random.Random(seed)
        self.names = [f"h{i}" for i in range(hosts)]
        self.servers = [make_server(f"e{i}", slots) for i in range(servers)]
        self.blocked_links = set()
        self.loss_probability = 0.0
        self.running = Counter()
        self.results: dict[str, Any] = {}
        self.wait_times_s: dict[str, float] = {}
        self.live_permits: dict[tuple[str, str], Permit] = {}
        self.host_timers = {}
        self.placements = {}
        self.can_migrate = can_migrate
        self.last_send_s = 0.0
        self.pending_at_pause: set[str] = set()
        self._requests = count()
        for name in self.names:
            self.start_host(name)
        for name in self.names:
            self.set_live_hosts(name, self.names)
        self.timers.advance(1.0)

    def start_host(self, name):
        """Start a host with an empty state."""
        self.host_timers[name] = HostTimers(self.timers)
        self.placements[name] = Placement(
            name,
            self.host_timers[name],
            random.Random(f"{name}{self.timers.now()}"),
            FakeOutbox(self, name),
            (lambda permit: self.migrate(name, permit)) if self.can_migrate else None,
        )
        self.placements[name].update_configuration(make_configuration())
        self.placements[name].update_backend_servers(self.servers)

    def kill_host(self, name):
        """Kill a host; its streams end."""
        del self.placements[name]
        self.host_timers[name].dead = True
        for key in [key for key in self.live_permits if key[0] == name]:
            self.running[self.live_permits.pop(key).backend_server] -= 1

    def set_live_hosts(self, name, alive):
        """Set the live hosts as known to one host."""
        if name in self.placements:
            self.placements[name].update_hosts(alive)

    def set_live_hosts_on_all(self, alive, leaving=()):
        """Set the live and leaving hosts as known to all hosts."""
        for name in list(self.placements):
            self.placements[name].update_hosts(alive, leaving)

    def publish_servers(self, servers, names=None):
        """Publish a list of servers to some hosts, or to all."""
        for name in names or list(self.placements):
            self.placements[name].update_backend_servers(servers)

    def find_owners(self):
        """Return the hosts that consider themselves owners of the engines' pool."""
        return [
            name
            for name, placement in self.placements.items()
            if placement.owns_pool_of(self.servers[0]["name"])
        ]

    def pause_host(self, name, seconds):
        """Pause a host for some seconds."""
        self.host_timers[name].pause(seconds)
        pending = self.placements[name]._client._pending.values()
        self.pending_at_pause.update(item.request.request for item in pending)

    def get_admission(self, name):
        """Return the admission controller of the first pool that a host owns."""
        return next(iter(self.placements[name]._admissions.values()))

    def request_permit(
        self,
        host,
        chat="",
        workspace="w0",
        work_class="quick",
        hold_s=4.0,
        outcome=None,
    ):
        """Request a permit, use it for ``hold_s`` seconds and release it.

        Returns:
            The request's id.
        """
        request = f"r{next(self._requests)}"
        requested_s = self.timers.now()

        def record_result(result):
            self.results[request] = result.ok if result.is_ok() else result.error
            self.wait_times_s[request] = self.timers.now() - requested_s
            if result.is_ok():
                self._run(host, request, result.ok, hold_s, outcome or Outcome.DONE)

        if host in self.placements:
            self.placements[host].request(
                PermitRequest(request, chat, workspace, work_class), record_result
            )
        return request

    def migrate(self, host, permit):
        """Resume a stream on another server, if it is still running."""
        key = (host, permit.request)

        def move_stream(result):
            if not result.is_ok():
                return
            if self.live_permits.get(key) is not permit:
                self.placements[host].release(result.ok, Outcome.ABANDONED)
                return
            self.running[permit.backend_server] -= 1
            self.running[result.ok.backend_server] += 1
            self.live_permits[key] = result.ok
            self.placements[host].release(permit, Outcome.ABANDONED)

        self.placements[host].request(
            PermitRequest(
                permit.request, "", "w0", "quick", avoid=permit.backend_server
            ),
            move_stream,
        )

    def _run(self, host, request, permit, hold_s, outcome):
        self.running[permit.backend_server] += 1
        self.live_permits[host, request] = permit
        timers = self.host_timers[host]

        def end():
            ended = self.live_permits.pop((host, request), None)
            if ended is not None:
                self.running[ended.backend_server] -= 1
                self.placements[host].release(ended, outcome)

        timers.call_later(hold_s, end)

    def settle(self):
        """Advance until no message is in transit."""
        self.timers.advance(0.1)
        while self.timers.now() - self.last_send_s < 3 * MESSAGE_DELAY_S:
            self.timers.advance(MESSAGE_DELAY_S)

    def list_active_hosts(self):
        """Return the names of the hosts that are neither dead nor paused."""
        return [
            n
            for n in self.names
            if n in self.placements and not self.host_timers[n].paused
        ]

    def run_load(self, rate_per_s, seconds, hold_s=4.0, workspaces=4):
        """Send requests of recurring chats from all active hosts at a steady rate."""
        for _ in range(round(rate_per_s * seconds)):
            host = self.rng.choice(self.list_active_hosts())
            chat = f"c{self.rng.randrange(200)}"
            workspace = f"w{self.rng.randrange(workspaces)}"
            self.request_permit(
                host, chat, workspace, hold_s=self.rng.expovariate(1 / hold_s)
            )
            self.timers.advance(1 / rate_per_s)
