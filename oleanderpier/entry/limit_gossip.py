"""Gossip between hosts on the limits that backend servers name."""

import math
import random
from collections.abc import Callable

from oleanderpier.entry.send_limits import report_limit
from oleanderpier.fleet import LimitedServers
from oleanderpier.forwarding import log_limit
from oleanderpier.routing import LimitStatement, ServerEntry, ServerStatements
from oleanderpier.utils import Outbox, Timers

__all__ = ["LimitGossip"]

# Upper bound of the random delay before a host sends what it has heard. Most hosts get
# it from another one meanwhile and send nothing.
MAX_DELAY_S = 0.25
# A limit that differs by a smaller ratio from the one sent before is not sent: the
# owner of the limit gets it with each query.
MIN_CHANGE_RATIO = 0.1


class LimitGossip:
    """Sends and receives limits of servers.

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
        self._unsent: dict[str, LimitStatement] = {}
        # The last statement on each limited server that was sent or received.
        self._known_to_all: dict[str, LimitStatement] = {}

    def announce(self, server: ServerEntry, limit: LimitStatement) -> None:
        """Send the other hosts what a server has said to this host of its limit."""
        known = self._known_to_all.get(server.identity)
        if known is not None and _are_alike(known, limit):
            return
        if not self._unsent:
            delay_s = self._rng.uniform(0.0, MAX_DELAY_S)
            self._timers.call_later(delay_s, self._send_unsent)
        self._unsent[server.identity] = limit

    def receive(self, sender: str, message: LimitedServers) -> None:
        """Record what another host has heard."""
        now_s = self._timers.now()
        for identity, born_ms, per_s, age_s in message.limits:
            limit = LimitStatement(born_ms, per_s, now_s - age_s, sender)
            unsent = self._unsent.get(identity)
            if unsent is not None and _are_alike(unsent, limit):
                del self._unsent[identity]
            self._set_known(identity, limit)
            if self._statements.record_limit(identity, limit):
                log_limit(identity, limit)

    def send_all(self, newcomer: str) -> None:
        """Send every limit to a host that has just started."""
        limits = self._statements.list_limits()
        if limits and newcomer in self._list_receivers():
            self._outbox.send(newcomer, self._make_message(limits))

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, {}
        if not unsent:
            return
        for identity, limit in unsent.items():
            self._set_known(identity, limit)
        self._outbox.send_to_all(
            self._list_receivers(), self._make_message(list(unsent.items()))
        )

    def _make_message(self, limits: list[tuple[str, LimitStatement]]) -> LimitedServers:
        now_s = self._timers.now()
        return LimitedServers(
            [report_limit(identity, limit, now_s) for identity, limit in limits]
        )

    def _set_known(self, identity: str, limit: LimitStatement) -> None:
        if math.isinf(limit.per_s):
            self._known_to_all.pop(identity, None)
        else:
            self._known_to_all[identity] = limit


def _are_alike(first: LimitStatement, second: LimitStatement) -> bool:
    """Return whether two statements on a server differ too little to send both."""
    return first.born_ms == second.born_ms and math.isclose(
        first.per_s, second.per_s, rel_tol=MIN_CHANGE_RATIO
    )
