"""What a host that has just started gets from the ready ones."""

from collections.abc import Callable, Iterable

from eliot import log_message

from oleanderpier.fleet import CachePlacements
from oleanderpier.replication import Replica
from oleanderpier.routing import CacheMap
from oleanderpier.utils import Outbox, Timers, rank_candidates

__all__ = ["NewcomerUpdates"]

# For this long after the store returned from an old copy, hosts that start get the
# replicas of others: more than the 2 s in which all is written again and the three
# heartbeat intervals after which the entry of a server that is gone expires.
ERA_SETTLE_S = 10.0

# The hosts that send what is urgent, for each that starts. All of a large fleet would
# fill the link of a small host.
URGENT_SENDER_COUNT = 4


class NewcomerUpdates:
    """Sends a host that appears what it cannot learn from the store, and receives it.

    Args:
        host: The name of this host.
        list_ready: Returns all ready hosts, including this one if it is ready.
        caches: The known contents of the servers' caches.
        replicas: The replicas of this host.
        timers: The timer service.
        outbox: Sends messages to other hosts.
        senders: Each sends a host one kind of further knowledge.
        urgent_senders: Each sends what a host must know before it serves requests.
            ``URGENT_SENDER_COUNT`` hosts call them, in any state.
    """

    def __init__(
        self,
        host: str,
        list_ready: Callable[[], list[str]],
        caches: CacheMap,
        replicas: Iterable[Replica],
        timers: Timers,
        outbox: Outbox,
        senders: Iterable[Callable[[str], None]],
        urgent_senders: Iterable[Callable[[str], None]] = (),
    ) -> None:
        self._host = host
        self._list_ready = list_ready
        self._caches = caches
        self._replicas = list(replicas)
        self._timers = timers
        self._outbox = outbox
        self._senders = list(senders)
        self._urgent_senders = list(urgent_senders)

    def send(self, newcomer: str) -> None:
        """Send the updates to a host, if this is the one that has to.

        Only one of the ready hosts, selected by rendezvous hashing, sends all of them.
        It may begin to drain, or hear of the host late, while the others still select
        it; so the next ones, and those that drain, send what is urgent.
        """
        senders = [host for host in self._list_ready() if host != newcomer]
        if rank_candidates(newcomer, senders)[:1] != [self._host]:
            ranked = rank_candidates(newcomer, {*senders, self._host})
            if self._host in ranked[:URGENT_SENDER_COUNT]:
                for send in self._urgent_senders:
                    send(newcomer)
            return
        placements = self._caches.list_entries()
        if placements:
            self._outbox.send(newcomer, CachePlacements(placements))
        for send in self._senders:
            send(newcomer)
        self._send_retained_items(newcomer)

    def receive(self, sender: str, message: CachePlacements) -> None:
        """Apply the cache contents that a ready host has sent to this one."""
        self._caches.apply_updates(message.placements)
        log_message(
            "node:caches_learnt", host=sender, placements=len(message.placements)
        )

    def _send_retained_items(self, newcomer: str) -> None:
        """Send the replicas to a host that may know only the copy of the store.

        Until the operator and the servers have written again, the store has older
        values than the hosts that saw it before.
        """
        for replica in self._replicas:
            if self._timers.now() < replica.era_changed_s + ERA_SETTLE_S:
                self._outbox.send(newcomer, replica.list_changes_since(0))
                self._outbox.send(newcomer, replica.list_tombstones())
