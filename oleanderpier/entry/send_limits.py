"""Holds the limits that servers name, over all hosts together.

Each server's limit has an owner among the ready hosts, chosen by rendezvous hashing.
The others ask it before each request to the server. If it does not reply, or does not
take itself for the owner, a host uses its share of the limit.
"""

import random
from collections.abc import Callable
from enum import IntEnum
from itertools import count
from typing import NamedTuple

from eliot import log_message

from oleanderpier.entry.server_owners import ServerOwners
from oleanderpier.fleet import LimitQuery, LimitReply, ReportedLimit
from oleanderpier.forwarding import log_limit
from oleanderpier.routing import (
    LimitBuckets,
    LimitStatement,
    ServerEntry,
    ServerStatements,
    compute_owner_per_s,
    compute_share_per_s,
)
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["LimitDecision", "SendLimits", "report_limit"]

# Several times the time that a message takes to a busy host and back, and short against
# the latency targets.
REPLY_TIMEOUT_S = 0.1
# How long an owner that did not reply is not asked.
SILENT_OWNER_WAIT_S = 1.0
# Upper bound of the time for which a server whose limit is used up is left out: the
# limit may rise or end meanwhile.
MAX_USED_UP_S = 1.0
REMOVAL_INTERVAL_S = 5.0


class LimitDecision(IntEnum):
    """The reply of a host that was asked for one more request to a server.

    Attributes:
        GRANTED: It may be sent.
        USED_UP: The limit is used up.
        NOT_OWNER: The host that was asked takes another one for the owner.
    """

    GRANTED = 0
    USED_UP = 1
    NOT_OWNER = 2


class _Pending(NamedTuple):
    """A query without a reply.

    Attributes:
        server: The server.
        owner: The host that was asked.
        notify: Called with whether the request may be sent.
        timeout: The timer that ends the wait for the reply.
    """

    server: ServerEntry
    owner: str
    notify: Callable[[bool], None]
    timeout: Subscription


class SendLimits:
    """Decides whether a request may be sent to a server that names a limit.

    Args:
        host: The name of this host.
        statements: What the servers have said; it gets a wait for a server whose limit
            is used up.
        list_hosts: Returns the ready hosts that reply to queries, with this one if it
            is ready.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        host: str,
        statements: ServerStatements,
        list_hosts: Callable[[], list[str]],
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
    ) -> None:
        self._host = host
        self._statements = statements
        self._owners = ServerOwners(host, list_hosts, timers)
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._numbers = count(1)
        self._pending: dict[int, _Pending] = {}
        # The limits that this host owns, and its shares of those whose owner is silent.
        self._owned = LimitBuckets()
        self._shares = LimitBuckets()
        self._silent_until_s: dict[str, float] = {}
        timers.subscribe(REMOVAL_INTERVAL_S, self._remove_expired)

    def request_send(self, server: ServerEntry, notify: Callable[[bool], None]) -> None:
        """Ask whether a request may be sent to a server now.

        Args:
            server: The server.
            notify: Called once with the decision, within ``REPLY_TIMEOUT_S``.
        """
        limit = self._statements.get_limit(server)
        if limit is None:
            notify(True)
            return
        now_s = self._timers.now()
        owner = self._owners.find(server.identity)
        if owner == self._host:
            per_s = compute_owner_per_s(limit.per_s)
            self._finish(server, self._owned.acquire(server, per_s, now_s), notify)
        elif now_s < self._silent_until_s.get(owner, 0.0):
            self._use_share(server, notify)
        else:
            self._ask_owner(server, limit, owner, notify)

    def receive_query(self, sender: str, message: LimitQuery) -> None:
        """Reply to another host."""
        now_s = self._timers.now()
        identity, born_ms, per_s, age_s = message.limit
        known = LimitStatement(born_ms, per_s, now_s - age_s, sender)
        if self._statements.record_limit(identity, known):
            log_limit(identity, known)
        server = ServerEntry(identity, "", "", "", False, born_ms)
        limit = self._statements.get_limit(server)
        wait_s = 0.0
        if limit is None:
            decision = LimitDecision.GRANTED
        elif self._owners.find(identity) != self._host:
            decision = LimitDecision.NOT_OWNER
        else:
            per_s = compute_owner_per_s(limit.per_s)
            wait_s = self._owned.acquire(server, per_s, now_s)
            decision = LimitDecision.USED_UP if wait_s else LimitDecision.GRANTED
        self._outbox.send(sender, LimitReply(message.number, int(decision), wait_s))

    def receive_reply(self, sender: str, message: LimitReply) -> None:
        """Apply the decision of an owner; a late one is ignored."""
        self._silent_until_s.pop(sender, None)
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        pending.timeout.cancel()
        if message.decision == LimitDecision.NOT_OWNER:
            self._use_share(pending.server, pending.notify)
            return
        self._shares.remove(pending.server)
        self._finish(pending.server, message.wait_s, pending.notify)

    def _ask_owner(
        self,
        server: ServerEntry,
        limit: LimitStatement,
        owner: str,
        notify: Callable[[bool], None],
    ) -> None:
        number = next(self._numbers)
        timeout = self._timers.call_later(
            REPLY_TIMEOUT_S, lambda: self._handle_timeout(number)
        )
        self._pending[number] = _Pending(server, owner, notify, timeout)
        reported = report_limit(server.identity, limit, self._timers.now())
        self._outbox.send(owner, LimitQuery(number, reported))

    def _handle_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        owner, now_s = pending.owner, self._timers.now()
        if now_s >= self._silent_until_s.get(owner, 0.0):
            log_message("limits:owner_silent", host=owner, waits_s=SILENT_OWNER_WAIT_S)
        self._silent_until_s[owner] = now_s + SILENT_OWNER_WAIT_S
        self._use_share(pending.server, pending.notify)

    def _use_share(self, server: ServerEntry, notify: Callable[[bool], None]) -> None:
        """Decide by this host's share of the limit.

        A bucket begins with a random part of a token: then all hosts together send at
        an even rate from the first moment, also if the share of each is far below one.
        """
        limit = self._statements.get_limit(server)
        if limit is None:
            notify(True)
            return
        per_s = compute_share_per_s(limit.per_s, len(self._owners.hosts))
        wait_s = self._shares.acquire(
            server, per_s, self._timers.now(), self._rng.random()
        )
        self._finish(server, wait_s, notify)

    def _finish(
        self, server: ServerEntry, wait_s: float, notify: Callable[[bool], None]
    ) -> None:
        if wait_s:
            until_s = self._timers.now() + min(wait_s, MAX_USED_UP_S)
            self._statements.record_wait(server, until_s)
        notify(not wait_s)

    def _remove_expired(self) -> None:
        now_s = self._timers.now()
        self._owned.remove_expired(now_s)
        self._shares.remove_expired(now_s)
        self._owners.clear()
        self._silent_until_s = {
            host: until_s
            for host, until_s in self._silent_until_s.items()
            if now_s < until_s
        }


def report_limit(identity: str, limit: LimitStatement, now_s: float) -> ReportedLimit:
    """Return a limit in the form in which hosts send it to each other."""
    return ReportedLimit(identity, limit.born_ms, limit.per_s, now_s - limit.heard_s)
