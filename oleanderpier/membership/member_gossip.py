"""Updates of host records that are piggybacked on pings and acks."""

from enum import IntEnum

from oleanderpier.membership.messages import MemberRecord, MemberState
from oleanderpier.membership.update_queue import UpdateQueue, compute_transmit_limit

__all__ = ["MemberGossip"]


class Priority(IntEnum):
    """The order in which kinds of updates are sent."""

    REFUTATION = 0
    FAILURE = 1
    JOIN = 2


class MemberGossip:
    """Queued updates of host records, those that refute a suspicion first.

    Examples:
        >>> gossip = MemberGossip()
        >>> record = MemberRecord("h1", MemberState.ALIVE, 1, 0, 0, "", "a", "", 1)
        >>> gossip.enqueue(record, None)
        >>> [update.host for update in gossip.pop_updates(16, hosts=8)]
        ['h1']
    """

    def __init__(self) -> None:
        self._queues: dict[Priority, UpdateQueue[MemberRecord]] = {
            priority: UpdateQueue() for priority in Priority
        }

    def enqueue(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Queue a record in place of any queued update of the same host.

        Args:
            record: The record to disseminate.
            known: The record that it replaces in this host's table, if any.
        """
        self.discard(record.host)
        priority = Priority.FAILURE
        if record.state is MemberState.ALIVE:
            is_join = known is None or known.state is MemberState.ALIVE
            priority = Priority.JOIN if is_join else Priority.REFUTATION
        self._queues[priority].add(record.host, record)

    def enqueue_again(self, record: MemberRecord) -> None:
        """Queue a suspicion that another host has confirmed as if it were new."""
        self._queues[Priority.FAILURE].add(record.host, record)

    def discard(self, host: str) -> None:
        """Remove the queued update of a host, if there is one."""
        for queue in self._queues.values():
            queue.discard(host)

    def pop_updates(self, limit: int, hosts: int) -> list[MemberRecord]:
        """Return the next updates to send and count a transmission of each.

        Args:
            limit: Maximum number of updates to return.
            hosts: Number of hosts that each update has to reach.
        """
        transmit_limit = compute_transmit_limit(hosts)
        records: list[MemberRecord] = []
        for queue in self._queues.values():
            records += queue.pop_updates(limit - len(records), transmit_limit)
        return records
