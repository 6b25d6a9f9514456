"""A few placements on a network that loses, delays and cuts by command."""

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any

from oleanderpier.placement import Outcome, Permit, PermitRequest, Placement
from oleanderpier.utils import ManualTimers, decode_message, encode_message

DELAY_S = 0.001
CLASSES = {"quick": 1.6, "long": 8.0}


def make_configuration(load_multiple=1.25):
    """Return a configuration with two classes of one model and one service."""
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
    """Return a published backend server."""
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
    """One host's view of the timers, which stops while the host is paused."""

    def __init__(self, timers):
        self.timers = timers
        self.paused = False
        self.dead = False
        self._held = []
        self._order = count()

    def now(self):
        """Return the monotonic clock in seconds."""
        return self.timers.now()

    def call_later(self, delay_s, callback):
        """Call back once, or after the pause that falls on that time."""
        return self.timers.call_later(delay_s, lambda: self.run(callback))

    def subscribe(self, interval_s, callback):
        """Call back again and again, once for all that fell into a pause."""
        waiting = []

        def fire():
            if not waiting:
                waiting.append(True)
                self.run(lambda: (waiting.clear(), callback()))

        return self.timers.subscribe(interval_s, fire)

    def run(self, callback):
        """Call back now, or when the pause ends."""
        if self.dead:
            return
        if self.paused:
            heapq.heappush(self._held, (self.now(), next(self._order), callback))
        else:
            callback()

    def pause(self, seconds):
        """Stop the host for some seconds."""
        self.paused = True
        self.timers.call_later(seconds, self._resume)

    def _resume(self):
        self.paused = False
        while self._held:
            heapq.heappop(self._held)[2]()


class Outbox:
    """Sends from one host over the fleet's network."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    def send(self, host, message):
        """Send, unless the way is cut or the receiver is dead."""
        data = encode_message(message)
        self.fleet.sent_s = self.fleet.timers.now()

        def deliver():
            placement = self.fleet.placements.get(host)
            if placement is not None and (self.host, host) not in self.fleet.cuts:
                placement.handle(self.host, decode_message(data))

        if self.fleet.rng.random() >= self.fleet.loss:
            timers = self.fleet.host_timers[host]
            self.fleet.timers.call_later(DELAY_S, lambda: timers.run(deliver))
        return True


class Fleet:
    """Hosts with placements, and servers that count what truly runs on them.

    Attributes:
        running: Requests in flight by server, as the servers see it.
        results: What each request came to: a permit or a failure.
        waits: How long each request waited for that.
        paused_with: Requests that were asked at a host that then paused.
    """

    def __init__(self, hosts=4, servers=9, slots=16, seed=1, migrates=True):
        self.timers = ManualTimers()
        self.rng = random.Random(seed)
        self.names = [f"h{i}" for i in range(hosts)]
        self.servers = [make_server(f"e{i}", slots) for i in range(servers)]
        self.cuts = set()
        self.loss = 0.0
        self.running = Counter()
        self.results: dict[str, Any] = {}
        self.waits: dict[str, float] = {}
        self.live: dict[tuple[str, str], Permit] = {}
        self.host_timers = {}
        self.placements = {}
        self.migrates = migrates
        self.sent_s = 0.0
        self.paused_with: set[str] = set()
        self._requests = count()
        for name in self.names:
            self.start_host(name)
        for name in self.names:
            self.tell_hosts(name, self.names)
        self.timers.advance(1.0)

    def start_host(self, name):
        """Start a host, with nothing remembered."""
        self.host_timers[name] = HostTimers(self.timers)
        self.placements[name] = Placement(
            name,
            self.host_timers[name],
            random.Random(f"{name}{self.timers.now()}"),
            Outbox(self, name),
            (lambda permit: self.migrate(name, permit)) if self.migrates else None,
        )
        self.placements[name].update_configuration(make_configuration())
        self.placements[name].update_backend_servers(self.servers)

    def kill_host(self, name):
        """Stop a host for good; its streams end."""
        del self.placements[name]
        self.host_timers[name].dead = True
        for key in [key for key in self.live if key[0] == name]:
            self.running[self.live.pop(key).backend_server] -= 1

    def tell_hosts(self, name, alive):
        """Have a host believe that just some hosts are alive."""
        if name in self.placements:
            self.placements[name].update_hosts(alive)

    def tell_all_hosts(self, alive, leaving=()):
        """Have all hosts believe that just some hosts are alive."""
        for name in list(self.placements):
            self.placements[name].update_hosts(alive, leaving)

    def tell_servers(self, servers, names=None):
        """Publish a list of servers to some hosts."""
        for name in names or list(self.placements):
            self.placements[name].update_backend_servers(servers)

    def find_owners(self):
        """Return the hosts that own an engines' pool."""
        return [
            name
            for name, placement in self.placements.items()
            if placement.owns_pool_of(self.servers[0]["name"])
        ]

    def pause_host(self, name, seconds):
        """Stop a host for some seconds."""
        self.host_timers[name].pause(seconds)
        pending = self.placements[name]._client._pending.values()
        self.paused_with.update(item.request.request for item in pending)

    def get_admission(self, name):
        """Return the first admission of a host."""
        return next(iter(self.placements[name]._admissions.values()))

    def query(
        self,
        host,
        chat="",
        workspace="w0",
        work_class="quick",
        hold_s=4.0,
        outcome=None,
    ):
        """Ask for a permit, run for a while on the server, and release."""
        request = f"r{next(self._requests)}"
        asked_s = self.timers.now()

        def notify(result):
            self.results[request] = result.ok if result.is_ok() else result.error
            self.waits[request] = self.timers.now() - asked_s
            if result.is_ok():
                self._run(host, request, result.ok, hold_s, outcome or Outcome.DONE)

        if host in self.placements:
            self.placements[host].request(
                PermitRequest(request, chat, workspace, work_class), notify
            )
        return request

    def migrate(self, host, permit):
        """Resume a stream elsewhere, if it still runs."""
        key = (host, permit.request)

        def notify(result):
            if not result.is_ok():
                return
            if self.live.get(key) is not permit:
                self.placements[host].release(result.ok, Outcome.ABANDONED)
                return
            self.running[permit.backend_server] -= 1
            self.running[result.ok.backend_server] += 1
            self.live[key] = result.ok
            self.placements[host].release(permit, Outcome.ABANDONED)

        self.placements[host].request(
            PermitRequest(
                permit.request, "", "w0", "quick", avoid=permit.backend_server
            ),
            notify,
        )

    def _run(self, host, request, permit, hold_s, outcome):
        self.running[permit.backend_server] += 1
        self.live[host, request] = permit
        timers = self.host_timers[host]

        def end():
            ended = self.live.pop((host, request), None)
            if ended is not None:
                self.running[ended.backend_server] -= 1
                self.placements[host].release(ended, outcome)

        timers.call_later(hold_s, end)

    def settle(self):
        """Advance to a moment when no message is on its way."""
        self.timers.advance(0.1)
        while self.timers.now() - self.sent_s < 3 * DELAY_S:
            self.timers.advance(DELAY_S)

    def list_running(self):
        """Return the hosts that are neither dead nor paused."""
        return [
            n
            for n in self.names
            if n in self.placements and not self.host_timers[n].paused
        ]

    def load(self, rate, seconds, hold_s=4.0, workspaces=4):
        """Ask at a steady rate from all live hosts, chats returning."""
        for _ in range(round(rate * seconds)):
            host = self.rng.choice(self.list_running())
            chat = f"c{self.rng.randrange(200)}"
            workspace = f"w{self.rng.randrange(workspaces)}"
            self.query(host, chat, workspace, hold_s=self.rng.expovariate(1 / hold_s))
            self.timers.advance(1 / rate)
