"""Asks the owners of servers for permits, and decides on the servers of this host.

Each backend server has an owner among the ready hosts, chosen by rendezvous hashing. It
counts the requests of all hosts to the server. The others ask it before each request,
and tell it when the request has ended. If it does not reply, or does not take itself
for the owner, a host sends without a permit; to a cold server, no more than its share.

The module answers this load pattern: many hosts send to few servers, whose loads they
know 1 to 2 s late, and cold servers crash if all hosts together send too much.
"""

import math
import random
from collections.abc import Callable
from itertools import count

from eliot import log_message

from oleanderpier.entry.metrics import EntryMetrics
from oleanderpier.entry.permit_owner import PermitOwner
from oleanderpier.entry.server_owners import ServerOwners
from oleanderpier.fleet import (
    PrefillEnd,
    ServerPermitQuery,
    ServerPermitRelease,
    ServerPermitReply,
)
from oleanderpier.forwarding import PermitAnswer, PermitQuery
from oleanderpier.routing import (
    SPEED_LIFETIME_S,
    ColdRate,
    LimitBuckets,
    PermitDecision,
    PermitDemand,
    PermitHolder,
    PermitOutcome,
    PermitRate,
    ServerEntry,
    ServerKey,
    ServerStatements,
    StatedLoad,
    compute_cold_rate,
    compute_cold_share_per_s,
)
from oleanderpier.utils import Outbox, Subscription, Timers

__all__ = ["PermitRequests"]

# Several times the time that a message takes to a busy host and back, and short against
# the latency targets.
REPLY_TIMEOUT_S = 0.1
# How long an owner that did not reply is not asked. The time doubles while it is
# silent: with many hosts out of reach, each request would otherwise wait in vain.
SILENT_OWNER_WAIT_S = 1.0
MAX_SILENT_OWNER_WAIT_S = 8.0
# Upper bound of the time for which a server whose rate is used up is left out: it may
# stop being cold meanwhile.
MAX_USED_UP_S = 1.0
# With fewer uncached tokens a prompt delays the requests beside it for less time than
# the message would save.
MIN_PREFILL_TOKENS = 1000
# A share that was not used for longer begins anew: hosts that all have saved a token
# would send together more than a cold server takes.
SHARE_KEPT_S = 3.0
SHARE_BURST = 1.0
REMOVAL_INTERVAL_S = 5.0
UNKNOWN = -1
# Numbers of queries begin at random, so that the permits of a host that restarts are
# not taken for those of its previous run.
MAX_FIRST_NUMBER = 1 << 30


class PermitRequests:
    """Asks for permits for the requests of this host.

    Args:
        host: The name of this host.
        owners: The owner of each server.
        owner: Decides on the servers that this host owns.
        statements: What the servers have said; it gets a wait for a server whose rate
            is used up.
        get_cold_rate: Returns the requests per second that a server takes while it is
            cold, None if it is not.
        timers: The timer service.
        rng: The source of randomness.
        outbox: Sends messages to other hosts.
        metrics: Counts the decisions.
    """

    def __init__(
        self,
        host: str,
        owners: ServerOwners,
        owner: PermitOwner,
        statements: ServerStatements,
        get_cold_rate: Callable[[ServerEntry], ColdRate | None],
        timers: Timers,
        rng: random.Random,
        outbox: Outbox,
        metrics: EntryMetrics,
    ) -> None:
        self._host = host
        self._owners = owners
        self._owner = owner
        self._statements = statements
        self._get_cold_rate = get_cold_rate
        self._timers = timers
        self._rng = rng
        self._outbox = outbox
        self._metrics = metrics
        self._numbers = count(1 + rng.randrange(MAX_FIRST_NUMBER))
        self._pending: dict[int, _SentQuery] = {}
        self._held: dict[int, _SentQuery] = {}
        # This host's shares of the rates whose owner can't be asked.
        self._shares = LimitBuckets()
        # When each of them was used last, by the server's id.
        self._shares_used_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        # The last of these times of each owner that has not replied since.
        self._silent_waits_s: dict[str, float] = {}
        # When this host found each of them silent.
        self._silence_known_s: dict[str, float] = {}
        owner.subscribe_decided(self._apply)
        timers.subscribe(REMOVAL_INTERVAL_S, self._remove_expired)

    def covers(self, service: str) -> bool:
        """Return whether requests to a service need permits."""
        return self._statements.loads.is_under_permits(service)

    def has_rate(self, server: ServerEntry) -> bool:
        """Return whether the requests per second to a server are limited now."""
        return self._get_cold_rate(server) is not None

    def count_held(self) -> int:
        """Return how many permits this host holds."""
        return len(self._held)

    def request(
        self, query: PermitQuery, notify: Callable[[PermitAnswer], None]
    ) -> "_SentQuery":
        """Ask for a permit; see ``PermitSource.request``."""
        now_s = self._timers.now()
        sent = _SentQuery(self, next(self._numbers), query, notify, now_s)
        owner = self._owners.find(query.server.identity)
        if owner != self._host and now_s < self._silent_until_s.get(owner, 0.0):
            self._go_without(sent)
            return sent
        if owner in self._silent_waits_s:
            # One request at a time tries whether the owner replies again.
            self._silent_until_s[owner] = now_s + query.max_wait_s + REPLY_TIMEOUT_S
        self._ask(sent, owner)
        return sent

    def receive_reply(self, sender: str, message: ServerPermitReply) -> None:
        """Apply the decision of an owner.

        A late one is ignored: the query was withdrawn when its time was over.
        """
        self._silent_until_s.pop(sender, None)
        self._silent_waits_s.pop(sender, None)
        self._silence_known_s.pop(sender, None)
        self._apply(
            message.number,
            PermitDecision(
                PermitOutcome(message.decision), message.wait_s, message.in_flight
            ),
        )

    def remove_host(self, host: str) -> None:
        """Send without permits what waits for the decision of a host that is gone."""
        for number, sent in list(self._pending.items()):
            if sent.owner == host and host != self._host:
                del self._pending[number]
                self._go_without(sent)

    def release(self, sent: "_SentQuery") -> None:
        """Return a permit, or withdraw a query."""
        self._pending.pop(sent.number, None)
        self._held.pop(sent.number, None)
        sent.cancel_timeout()
        if not sent.owner:
            return
        load = self._get_load(sent.query.server)
        if sent.owner == self._host:
            self._owner.release(PermitHolder(self._host, sent.number), load)
        else:
            self._outbox.send(sent.owner, _format_release(sent.number, load))
        sent.owner = ""

    def end_prefill(self, sent: "_SentQuery") -> None:
        """Tell the owner that the server has read the prompt of a request."""
        if sent.query.uncached_tokens <= MIN_PREFILL_TOKENS or not sent.owner:
            return
        if sent.owner == self._host:
            self._owner.end_prefill(PermitHolder(self._host, sent.number))
        else:
            self._outbox.send(sent.owner, PrefillEnd(sent.number))

    def _ask(self, sent: "_SentQuery", owner: str) -> None:
        query, number = sent.query, sent.number
        server = query.server
        # Without permits for the service only the rate of a cold server counts.
        is_covered = self.covers(server.service)
        slots = self._statements.get_slots(server) if is_covered else math.inf
        demand = PermitDemand(
            PermitHolder(self._host, number),
            0 if math.isinf(slots) else int(slots),
            self._compute_rate(server),
            query.urgency,
            query.workspace,
            query.is_repeat,
            query.uncached_tokens if is_covered else 0,
            query.max_wait_s,
            query.expires_after_s,
        )
        sent.owner = owner
        self._pending[number] = sent
        sent.timeout = self._timers.call_later(
            query.max_wait_s + REPLY_TIMEOUT_S, lambda: self._handle_timeout(number)
        )
        if owner == self._host:
            key = ServerKey(server.identity, server.born_ms)
            decision = self._owner.request(key, demand)
            if decision.outcome is not PermitOutcome.QUEUED:
                self._apply(number, decision)
        else:
            self._outbox.send(owner, _format_query(server, demand))

    def _compute_rate(self, server: ServerEntry) -> PermitRate | None:
        """Return the rate at which the owner of a server may grant requests."""
        cold_rate = self._get_cold_rate(server)
        return None if cold_rate is None else compute_cold_rate(cold_rate.per_s)

    def _apply(self, number: int, decision: PermitDecision) -> None:
        sent = self._pending.pop(number, None)
        if sent is None:
            return
        sent.cancel_timeout()
        server = sent.query.server
        if decision.outcome is PermitOutcome.NOT_OWNER:
            self._go_without(sent)
            return
        self._shares.remove(server)
        if decision.outcome is PermitOutcome.GRANTED:
            self._held[number] = sent
        else:
            sent.owner = ""
        if decision.outcome is PermitOutcome.USED_UP:
            self._record_used_up(server, decision.wait_s)
        self._finish(sent, decision)

    def _handle_timeout(self, number: int) -> None:
        """Withdraw a query without a reply, and do without the permit."""
        sent = self._pending.pop(number, None)
        if sent is None:
            return
        owner, now_s = sent.owner, self._timers.now()
        self._metrics.record_permit_timeout()
        if owner != self._host:
            self._record_silence(owner, sent.sent_s, now_s)
        # If the owner or its reply is only late, it must not keep the permit.
        self.release(sent)
        self._go_without(sent)

    def _record_silence(self, owner: str, sent_s: float, now_s: float) -> None:
        """Record that an owner has not replied to a query in time.

        Queries that were sent before the last silence was known do not prolong it.
        """
        last_wait_s = self._silent_waits_s.get(owner, 0.0)
        if last_wait_s and sent_s < self._silence_known_s.get(owner, 0.0):
            return
        wait_s = min(MAX_SILENT_OWNER_WAIT_S, max(SILENT_OWNER_WAIT_S, 2 * last_wait_s))
        log_message("permits:owner_silent", host=owner, waits_s=wait_s)
        self._silent_waits_s[owner] = wait_s
        self._silent_until_s[owner] = now_s + wait_s
        self._silence_known_s[owner] = now_s

    def _go_without(self, sent: "_SentQuery") -> None:
        """Decide without the owner: by this host's share of a rate, if there is one.

        A bucket begins with a random part of a token: then all hosts together send at
        an even rate from the first moment, also if the share of each is far below one.
        """
        sent.cancel_timeout()
        sent.owner = ""
        server = sent.query.server
        cold_rate = self._get_cold_rate(server)
        wait_s = 0.0
        if cold_rate is not None:
            wait_s = self._use_share(server, cold_rate)
        outcome = PermitOutcome.USED_UP if wait_s else PermitOutcome.NOT_OWNER
        if wait_s:
            self._record_used_up(server, wait_s)
        self._finish(sent, PermitDecision(outcome, wait_s, 0))

    def _use_share(self, server: ServerEntry, cold_rate: ColdRate) -> float:
        """Take a token of this host's share; return the seconds until the next one."""
        now_s = self._timers.now()
        used_s = self._shares_used_s.get(server.identity, -math.inf)
        if now_s > used_s + SHARE_KEPT_S:
            self._shares.remove(server)
        self._shares_used_s[server.identity] = now_s
        per_s = compute_cold_share_per_s(cold_rate.per_s, self._owners.count_hosts())
        return self._shares.acquire(
            server, per_s, now_s, self._rng.random(), burst=SHARE_BURST
        )

    def _record_used_up(self, server: ServerEntry, wait_s: float) -> None:
        until_s = self._timers.now() + min(wait_s, MAX_USED_UP_S)
        self._statements.record_wait(server, until_s)

    def _finish(self, sent: "_SentQuery", decision: PermitDecision) -> None:
        waited_s = self._timers.now() - sent.sent_s
        self._metrics.record_permit_decision(decision.outcome, waited_s)
        sent.notify(PermitAnswer(*decision, waited_s))

    def _get_load(self, server: ServerEntry) -> StatedLoad | None:
        """Return what a server has stated last, None if that is too old."""
        heard = self._statements.loads.get(server)
        if not self.covers(server.service):
            return None
        if heard is None or self._timers.now() - heard.heard_s > SPEED_LIFETIME_S:
            return None
        running, waiting, slots, slow_factor = heard.load
        return StatedLoad(running, waiting, slots or None, slow_factor)

    def _remove_expired(self) -> None:
        now_s = self._timers.now()
        self._shares.remove_expired(now_s)
        self._shares_used_s = {
            identity: used_s
            for identity, used_s in self._shares_used_s.items()
            if now_s < used_s + SHARE_KEPT_S
        }
        self._owners.clear()
        for host, until_s in list(self._silent_until_s.items()):
            if now_s >= until_s + MAX_SILENT_OWNER_WAIT_S:
                del self._silent_until_s[host]
                self._silent_waits_s.pop(host, None)
                self._silence_known_s.pop(host, None)


class _SentQuery:
    """A query of this host, and the permit once it is granted.

    Args:
        requests: The permits of this host.
        number: The number of the query.
        query: The query.
        notify: Called with the answer.
        sent_s: When it was sent.

    Attributes:
        owner: The host that knows of the query; empty if none does.
        timeout: The timer that ends the wait for the reply, None without one.
    """

    def __init__(
        self,
        requests: PermitRequests,
        number: int,
        query: PermitQuery,
        notify: Callable[[PermitAnswer], None],
        sent_s: float,
    ) -> None:
        self.number = number
        self.query = query
        self.notify = notify
        self.sent_s = sent_s
        self.owner = ""
        self.timeout: Subscription | None = None
        self._requests = requests

    def cancel_timeout(self) -> None:
        """Wait for the reply no longer."""
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def release(self) -> None:
        """Return the permit, or withdraw the query."""
        self._requests.release(self)

    def end_prefill(self) -> None:
        """Record that the first event of the response has arrived."""
        self._requests.end_prefill(self)


def _format_query(server: ServerEntry, demand: PermitDemand) -> ServerPermitQuery:
    rate = demand.rate or PermitRate(0.0, 0.0)
    return ServerPermitQuery(
        demand.holder.number,
        server.identity,
        server.born_ms,
        demand.slots,
        rate.per_s,
        rate.burst,
        demand.urgency,
        demand.workspace,
        demand.is_repeat,
        demand.uncached_tokens,
        demand.max_wait_s,
        demand.expires_after_s,
    )


def _format_release(number: int, load: StatedLoad | None) -> ServerPermitRelease:
    figures = [] if load is None else load
    known = [UNKNOWN if figure is None else figure for figure in figures]
    running, waiting, slots, slow_factor = known or [UNKNOWN] * len(StatedLoad._fields)
    return ServerPermitRelease(number, running, waiting, slots, float(slow_factor))
