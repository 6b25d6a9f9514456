"""Failure detection as first thought of: everyone pings everyone."""

from collections.abc import Callable

from oleanderpier.membership import Ack, HostEndpoint, MemberState, Ping
from oleanderpier.membership.tests.fakes import FakeHost

PERIOD_S = 1.0
TIMEOUT_S = 3.0


class NaiveMembers:
    """Takes a host for dead after a fixed time without a heartbeat from it."""

    def __init__(self, card: HostEndpoint, host: FakeHost, seeds: list[HostEndpoint]):
        self.own = card.host
        self.host = host
        self.heard_s = {s.host: host.timers.now() for s in seeds if s != card}
        self.dead: set[str] = set()
        self.callbacks: list[Callable[[str, MemberState], None]] = []
        host.register_handler(self, Ping, Ack)
        host.timers.subscribe(PERIOD_S, self.tick)

    def subscribe(self, callback: Callable[[str, MemberState], None]) -> None:
        """Call back with a host and its state whenever that changes."""
        self.callbacks.append(callback)

    def list_alive(self) -> list[str]:
        """Return the hosts that were heard lately, this one included."""
        return [self.own] + [h for h in self.heard_s if h not in self.dead]

    def handle(self, sender: str, message: Ping) -> None:
        """Note a heartbeat."""
        self.heard_s[sender] = self.host.timers.now()
        self.dead.discard(sender)

    def tick(self) -> None:
        """Send a heartbeat to all, and judge all."""
        for host, heard_s in self.heard_s.items():
            self.host.send(host, Ping(0, 0, 0, [], None))
            late = self.host.timers.now() - heard_s > TIMEOUT_S
            if late and host not in self.dead:
                self.dead.add(host)
                for callback in self.callbacks:
                    callback(host, MemberState.DEAD)
