"""Hosts bring each other up to date where the platform does not reach them."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NamedTuple

from eliot import log_message

from oleanderpier.replication.messages import (
    PLATFORM,
    ItemNews,
    ItemsQuery,
    Knowledge,
)
from oleanderpier.replication.replica import Change, Replica
from oleanderpier.utils import Outbox, Timers

__all__ = ["OLDEST_S", "Sharing"]

# A host that watches learns of a change by itself within this time of its peers.
PATIENCE_S = 0.15
# A request for items without an answer is repeated after this, to another host.
ASK_AGAIN_S = 0.4
# Greater ages are reported as this one.
OLDEST_S = 3600.0


class _Behind(NamedTuple):
    """That a replica lacks a change which a peer has.

    Attributes:
        as_of: Up to where the replica knew all then.
        ask_s: When to ask for it, on the timer service's clock.
    """

    as_of: int
    ask_s: float


class Sharing:
    """Asks peers that know more, and tells those that do not watch.

    Args:
        replicas: The replicas by key space.
        timers: The timer service.
        outbox: Where messages to other hosts go.
        list_followers: Returns the hosts that this one tells at once.
    """

    def __init__(
        self,
        replicas: dict[str, Replica],
        timers: Timers,
        outbox: Outbox,
        list_followers: Callable[[], list[str]],
    ) -> None:
        self._replicas = replicas
        self._timers = timers
        self._outbox = outbox
        self._list_followers = list_followers
        self._behind: dict[str, _Behind] = {}
        for replica in replicas.values():
            replica.subscribe(
                lambda change, replica=replica: self._tell(replica, change)
            )

    def describe(self) -> dict[str, Knowledge]:
        """Return how much this host knows of each key space."""
        return {
            space: Knowledge(
                replica.as_of, replica.changed, min(replica.get_age_s(), OLDEST_S)
            )
            for space, replica in self._replicas.items()
        }

    def note_peer(self, host: str, knowledge: dict[str, Knowledge]) -> None:
        """Take in how much a peer knows, and ask it if that is more.

        Args:
            host: The peer.
            knowledge: What it knows of each key space.
        """
        for space, theirs in knowledge.items():
            replica = self._replicas.get(space)
            if replica is None:
                continue
            if replica.note_equal(*theirs):
                continue
            if self._is_ask_due(replica):
                self._outbox.send(host, ItemsQuery(space, replica.as_of))

    def _is_ask_due(self, replica: Replica) -> bool:
        """Return whether to ask a peer now for a change that it has."""
        now_s = self._timers.now()
        known = self._behind.get(replica.space)
        if known is None or known.as_of != replica.as_of:
            patience_s = PATIENCE_S if replica.as_of else 0.0
            known = _Behind(replica.as_of, now_s + patience_s)
        due = now_s >= known.ask_s
        if due:
            known = known._replace(ask_s=now_s + ASK_AGAIN_S)
        self._behind[replica.space] = known
        return due

    def handle(self, sender: str, message: Any) -> None:
        """Take in a message of another host."""
        self._receive(message, sender)

    @singledispatchmethod
    def _receive(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_receive.register
    def _handle_query(self, message: ItemsQuery, sender: str) -> None:
        replica = self._replicas.get(message.space)
        if replica is not None:
            self._outbox.send(sender, replica.list_since(message.after))

    @_receive.register
    def _handle_news(self, message: ItemNews, sender: str) -> None:
        replica = self._replicas.get(message.space)
        if replica is None:
            log_message("sharing:space_unknown", space=message.space, sender=sender)
            return
        before = replica.as_of
        replica.apply(message, sender)
        log_message(
            "sharing:news",
            space=message.space,
            sender=sender,
            before=before,
            as_of=replica.as_of,
            items=len(message.items),
        )

    def _tell(self, replica: Replica, change: Change) -> None:
        """Pass what the platform said on to those who do not ask it."""
        if change.source != PLATFORM:
            return
        followers = self._list_followers()
        if not followers:
            return
        news = ItemNews(replica.space, change.after, replica.as_of, False, change.items)
        for host in followers:
            self._outbox.send(host, news)
