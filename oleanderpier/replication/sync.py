"""Anti-entropy between the replicas of the hosts.

Hosts compare summaries of their replicas and query peers that have newer
changes. So a host stays up to date while the platform is unreachable for it, or
while other hosts watch the platform on its behalf.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NamedTuple

from eliot import log_message

from oleanderpier.replication.messages import (
    PLATFORM,
    ItemsQuery,
    ItemsUpdate,
    ReplicaSummary,
)
from oleanderpier.replication.positions import get_era, get_revision
from oleanderpier.replication.replica import Change, Replica
from oleanderpier.utils import Outbox, Timers

__all__ = ["MAX_REPORTED_AGE_S", "ReplicaSync"]

# A query is delayed by this much, since a host that watches the platform receives
# a change within this time of its peers and then needs no query.
QUERY_DELAY_S = 0.15
# A query without a reply is sent again after this time, to the next peer that
# reports a newer change.
QUERY_RETRY_S = 0.4
DELETIONS_SUFFIX = ":deletions"
# Upper bound of reported ages; a replica without any state has an infinite age.
MAX_REPORTED_AGE_S = 3600.0


class _PendingQuery(NamedTuple):
    """A query for a change that a peer has and this host's replica lacks.

    Attributes:
        as_of: The replica's revision when the change was found to be missing.
        due_s: When to send the query, in seconds on the timer service's clock.
    """

    as_of: int
    due_s: float


class ReplicaSync:
    """Queries peers with newer changes and pushes changes to followers.

    Args:
        replicas: The replicas by key space.
        timers: The timer service.
        outbox: Sends messages to other hosts.
        list_followers: Returns the hosts that do not watch the platform and
            that this one sends its changes to.
        list_neighbours: Returns all hosts of this failure domain. They get the
            snapshot of a new era, since the ones that have just started may have
            read an old copy.
    """

    def __init__(
        self,
        replicas: dict[str, Replica],
        timers: Timers,
        outbox: Outbox,
        list_followers: Callable[[], list[str]],
        list_neighbours: Callable[[], list[str]] = list,
    ) -> None:
        self._replicas = replicas
        self._timers = timers
        self._outbox = outbox
        self._list_followers = list_followers
        self._list_neighbours = list_neighbours
        self._pending_queries: dict[str, _PendingQuery] = {}
        for replica in replicas.values():
            replica.subscribe(
                lambda change, replica=replica: self._push_change(replica, change)
            )

    def summarize(self) -> dict[str, ReplicaSummary]:
        """Return the summary of each replica, by key space.

        What is known of its deletions is a summary by a name of its own, which hosts of
        an earlier version skip.
        """
        summaries = {}
        for space, replica in self._replicas.items():
            age_s = min(replica.get_age_s(), MAX_REPORTED_AGE_S)
            summaries[space] = ReplicaSummary(replica.as_of, replica.last_change, age_s)
            summaries[space + DELETIONS_SUFFIX] = ReplicaSummary(
                replica.deletions_after, 0, age_s
            )
        return summaries

    def receive_summaries(
        self, host: str, summaries: dict[str, ReplicaSummary]
    ) -> None:
        """Compare a peer's summaries with the replicas; query it for changes.

        Args:
            host: The name of the peer.
            summaries: The summaries of its replicas, by key space.
        """
        for space, summary in summaries.items():
            replica = self._replicas.get(space)
            if replica is None:
                continue
            deletions = summaries.get(space + DELETIONS_SUFFIX)
            deletions_after = deletions.as_of if deletions else 0
            if replica.apply_summary(*summary, deletions_after):
                continue
            if self._is_query_due(replica):
                self._outbox.send(host, ItemsQuery(space, replica.as_of))

    def _is_query_due(self, replica: Replica) -> bool:
        """Return whether to query a peer now for a change that it has."""
        now_s = self._timers.now()
        query = self._pending_queries.get(replica.space)
        if query is None or query.as_of != replica.as_of:
            delay_s = QUERY_DELAY_S if replica.as_of else 0.0
            query = _PendingQuery(replica.as_of, now_s + delay_s)
        due = now_s >= query.due_s
        if due:
            query = query._replace(due_s=now_s + QUERY_RETRY_S)
        self._pending_queries[replica.space] = query
        return due

    def receive_message(self, sender: str, message: Any) -> None:
        """Handle an ``ItemsQuery`` or ``ItemsUpdate`` of another host."""
        self._handle_message(message, sender)

    @singledispatchmethod
    def _handle_message(self, message: Any, sender: str) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_handle_message.register
    def _handle_query(self, message: ItemsQuery, sender: str) -> None:
        replica = self._replicas.get(message.space)
        if replica is not None:
            self._outbox.send(sender, replica.list_changes_since(message.after))

    @_handle_message.register
    def _handle_update(self, message: ItemsUpdate, sender: str) -> None:
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
            before=get_revision(before),
            as_of=get_revision(replica.as_of),
            era=get_era(replica.as_of),
            items=len(message.items),
        )

    def _push_change(self, replica: Replica, change: Change) -> None:
        """Send a change that came from the platform to the followers."""
        if change.source != PLATFORM:
            return
        if get_era(change.after) < get_era(replica.as_of) and change.after:
            # Another host may still send keys that this one knows to be deleted.
            updates = [replica.list_changes_since(0), replica.list_tombstones()]
            receivers = self._list_neighbours()
        else:
            # A follower behind a snapshot may have missed a deletion before it.
            after = max(change.after, replica.deletions_after)
            update = ItemsUpdate(
                replica.space, after, replica.as_of, False, change.items
            )
            updates, receivers = [update], self._list_followers()
        for host in receivers:
            for update in updates:
                self._outbox.send(host, update)
