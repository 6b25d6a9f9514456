"""Decides on the requests of all hosts to the servers that this host owns."""

from collections.abc import Callable

from oleanderpier.entry.server_owners import ServerOwners
from oleanderpier.fleet import (
    PrefillEnd,
    ServerPermitQuery,
    ServerPermitRelease,
    ServerPermitReply,
)
from oleanderpier.routing import (
    TICK_S,
    DecidedPermits,
    PermitDecision,
    PermitDemand,
    PermitHolder,
    PermitOutcome,
    PermitRate,
    ServerKey,
    ServerPermits,
    StatedLoad,
)
from oleanderpier.utils import Outbox, Timers

__all__ = ["PermitOwner"]

# How long the requests that hosts report count for a server that this host owns since
# just now: its previous owner granted them.
NEW_OWNER_S = 3.0
# How often expired permits are removed while no request is queued.
REMOVAL_INTERVAL_S = 0.5

_NOT_OWNER = PermitDecision(PermitOutcome.NOT_OWNER, 0.0, 0)


class PermitOwner:
    """Grants permits for requests to the servers that this host owns.

    Args:
        host: The name of this host.
        owners: The owner of each server.
        count_in_flight: Returns the requests in flight at a server that hosts report.
        timers: The timer service.
        outbox: Sends messages to other hosts.
    """

    def __init__(
        self,
        host: str,
        owners: ServerOwners,
        count_in_flight: Callable[[str], int],
        timers: Timers,
        outbox: Outbox,
    ) -> None:
        self._host = host
        self._owners = owners
        self._count_in_flight = count_in_flight
        self._timers = timers
        self._outbox = outbox
        self._permits = ServerPermits()
        # Since when this host has owned each server that it was asked for.
        self._owned_since_s: dict[str, float] = {}
        self._ticks = False
        self._notify_own: Callable[[int, PermitDecision], None] = lambda *decided: None
        timers.subscribe(REMOVAL_INTERVAL_S, self._remove_expired)

    def subscribe_decided(
        self, callback: Callable[[int, PermitDecision], None]
    ) -> None:
        """Call back with the number and the decision of this host's queued queries."""
        self._notify_own = callback

    def count_queued(self) -> int:
        """Return the requests that wait here for permits."""
        return self._permits.count_queued()

    def request(self, key: ServerKey, demand: PermitDemand) -> PermitDecision:
        """Decide on a query, or queue it."""
        if self._owners.find(key.identity) != self._host:
            self._owned_since_s.pop(key.identity, None)
            return _NOT_OWNER
        if demand.rate is not None and not self._owners.has_majority():
            # Each part of a divided fleet would grant the whole rate.
            return _NOT_OWNER
        now_s = self._timers.now()
        until_s = self._owned_since_s.setdefault(key.identity, now_s) + NEW_OWNER_S
        if now_s < until_s:
            in_flight = self._count_in_flight(key.identity)
            self._permits.assume_in_flight(key, in_flight, until_s)
        decision = self._permits.request(key, demand, now_s)
        if decision.outcome is PermitOutcome.QUEUED:
            self._start_ticks()
        return decision

    def release(self, holder: PermitHolder, load: StatedLoad | None) -> None:
        """Take a permit back, or drop a query that was withdrawn."""
        self._send_decided(self._permits.release(holder, self._timers.now(), load))

    def end_prefill(self, holder: PermitHolder) -> None:
        """Record that the server has read the prompt of a request."""
        self._send_decided(self._permits.end_prefill(holder, self._timers.now()))

    def remove_host(self, host: str) -> None:
        """Remove the permits and queries of a host that is gone."""
        self._send_decided(self._permits.remove_host(host, self._timers.now()))

    def receive_query(self, sender: str, message: ServerPermitQuery) -> None:
        """Decide on a query of another host."""
        rate = PermitRate(message.rate_per_s, message.rate_burst)
        demand = PermitDemand(
            PermitHolder(sender, message.number),
            message.slots,
            rate if message.rate_per_s > 0 else None,
            message.urgency,
            message.workspace,
            message.is_repeat,
            message.uncached_tokens,
            message.max_wait_s,
            message.expires_after_s,
        )
        key = ServerKey(message.identity, message.born_ms)
        decision = self.request(key, demand)
        if decision.outcome is not PermitOutcome.QUEUED:
            self._send(demand.holder, decision)

    def receive_release(self, sender: str, message: ServerPermitRelease) -> None:
        """Take back the permit of another host."""
        figures = (
            None if figure < 0 else figure
            for figure in (
                message.running,
                message.waiting,
                message.slots,
                message.slow_factor,
            )
        )
        self.release(PermitHolder(sender, message.number), StatedLoad(*figures))

    def receive_prefill_end(self, sender: str, message: PrefillEnd) -> None:
        """Record that the server has read the prompt of another host's request."""
        self.end_prefill(PermitHolder(sender, message.number))

    def _send_decided(self, decided: DecidedPermits) -> None:
        for holder, decision in decided:
            self._send(holder, decision)

    def _send(self, holder: PermitHolder, decision: PermitDecision) -> None:
        if holder.host == self._host:
            self._notify_own(holder.number, decision)
            return
        outcome, wait_s, in_flight = decision
        reply = ServerPermitReply(holder.number, int(outcome), wait_s, in_flight)
        self._outbox.send(holder.host, reply)

    def _start_ticks(self) -> None:
        """Decide on queued requests by time too, while there are any."""
        if not self._ticks:
            self._ticks = True
            self._timers.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticks = False
        self._send_decided(self._permits.remove_expired(self._timers.now()))
        if self._permits.count_queued():
            self._start_ticks()

    def _remove_expired(self) -> None:
        self._send_decided(self._permits.remove_expired(self._timers.now()))
        self._owned_since_s = {
            identity: since_s
            for identity, since_s in self._owned_since_s.items()
            if self._owners.find(identity) == self._host
        }
