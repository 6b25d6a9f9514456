"""Gossip between hosts on the backend servers that have said that they leave."""

import random
from collections.abc import Callable

from eliot import log_message

from oleanderpier.fleet import LeavingServers
from oleanderpier.routing import ServerEntry, ServerStatements
from oleanderpier.utils import Outbox, Timers

__all__ = ["LeavingGossip"]

# Upper bound of the random delay before a host sends what it has heard. Most hosts get
# it from another one meanwhile and send nothing.
MAX_DELAY_S = 0.25
REMOVAL_INTERVAL_S = 5.0


class LeavingGossip:
    """Sends and receives statements of servers that leave.

    Args:
        statements: What the servers have said.
        list_receivers: Returns the other hosts that take these messages.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        statements: ServerStatements,
        list_receivers: Callable[[], list[str]],
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
    ) -> None:
        self._statements = statements
        self._list_receivers = list_receivers
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._unsent: dict[str, int] = {}
        timers.subscribe(
            REMOVAL_INTERVAL_S, lambda: statements.remove_expired(timers.now())
        )

    def announce(self, server: ServerEntry) -> None:
        """Send the other hosts that a server has said to this host that it leaves."""
        if not self._unsent:
            delay_s = self._rng.uniform(0.0, MAX_DELAY_S)
            self._timers.call_later(delay_s, self._send_unsent)
        self._unsent[server.identity] = server.born_ms

    def receive(self, sender: str, message: LeavingServers) -> None:
        """Record the servers of which another host has heard that they leave."""
        for identity, born_ms in message.servers:
            if self._unsent.get(identity, -1) <= born_ms:
                self._unsent.pop(identity, None)
            if self._statements.record_leaving(
                identity, born_ms, self._timers.now(), sender
            ):
                log_message("statements:leaving", identity=identity, source=sender)

    def send_all(self, newcomer: str) -> None:
        """Send every known statement to a host that has just started."""
        servers = self._statements.list_leaving()
        if servers and newcomer in self._list_receivers():
            self._outbox.send(newcomer, LeavingServers(servers))

    def _send_unsent(self) -> None:
        servers, self._unsent = list(self._unsent.items()), {}
        if servers:
            self._outbox.send_to_all(self._list_receivers(), LeavingServers(servers))
