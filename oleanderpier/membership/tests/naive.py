"""Baseline failure detector: every host sends heartbeats to every other."""

from collections.abc import Callable

from oleanderpier.membership import Ack, HostEndpoint, MemberState, Ping
from oleanderpier.membership.tests.fakes import FakeHost

PERIOD_S = 1.0
TIMEOUT_S = 3.0


class NaiveMembers:
    """Declares a host dead after a fixed time without a heartbeat from it."""

    def __init__(
        self, endpoint: HostEndpoint, host: FakeHost, seeds: list[HostEndpoint]
    ):
        self.own = endpoint.host
        self.host = host
        self.last_heartbeats_s = {
            s.host: host.timers.now() for s in seeds if s != endpoint
        }
        self.dead: set[str] = set()
        self.callbacks: list[Callable[[str, MemberState], None]] = []
        host.register_handler(self, Ping, Ack)
        host.timers.subscribe(PERIOD_S, self.tick)

    def subscribe(self, callback: Callable[[str, MemberState], None]) -> None:
        """Call back with a host and its state when it is declared dead."""
        self.callbacks.append(callback)

    def list_alive(self) -> list[str]:
        """Return the hosts that are not dead, including this one."""
        return [self.own] + [h for h in self.last_heartbeats_s if h not in self.dead]

    def handle(self, sender: str, message: Ping) -> None:
        """Record a heartbeat."""
        self.last_heartbeats_s[sender] = self.host.timers.now()
        self.dead.discard(sender)

    def tick(self) -> None:
        """Send a heartbeat to every host, and declare late ones dead."""
        for host, received_s in self.last_heartbeats_s.items():
            self.host.send(host, Ping(0, 0, 0, [], None))
            late = self.host.timers.now() - received_s > TIMEOUT_S
            if late and host not in self.dead:
                self.dead.add(host)
                for callback in self.callbacks:
                    callback(host, MemberState.DEAD)
