"""Messages between the hosts of a simulation run."""

from collections.abc import Callable, Iterable

from oleanderpier.fleet import DomainLoads, LeavingServers
from oleanderpier.utils import Timers

__all__ = ["NETWORK_LATENCY_S", "DelayedOutbox", "HostMessage"]

# One-way network latency.
NETWORK_LATENCY_S = 0.002

HostMessage = DomainLoads | LeavingServers


class DelayedOutbox:
    """Sends the messages of one host, with the network latency.

    Args:
        timers: The timer service.
        sender: The name of the host.
        deliver: Called with the sender, the receiver and the message.
    """

    def __init__(
        self,
        timers: Timers,
        sender: str,
        deliver: Callable[[str, str, HostMessage], None],
    ) -> None:
        self._timers = timers
        self._sender = sender
        self._deliver = deliver

    def send(self, host: str, message: HostMessage) -> bool:
        """Send a message to one host."""
        self.send_to_all([host], message)
        return True

    def send_to_all(self, hosts: Iterable[str], message: HostMessage) -> None:
        """Send a message to several hosts."""
        receivers = list(hosts)
        self._timers.call_later(
            NETWORK_LATENCY_S, lambda: self._deliver_to_all(receivers, message)
        )

    def _deliver_to_all(self, receivers: list[str], message: HostMessage) -> None:
        for receiver in receivers:
            self._deliver(self._sender, receiver, message)
