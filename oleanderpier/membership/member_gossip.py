"""What a host has to tell others of their fellow hosts."""

from enum import IntEnum

from oleanderpier.membership.messages import MemberRecord, MemberState
from oleanderpier.membership.update_queue import UpdateQueue, compute_transmit_limit

__all__ = ["MemberGossip"]


class Priority(IntEnum):
    """The order in which kinds of news are told."""

    REFUTATION = 0
    FAILURE = 1
    JOIN = 2


class MemberGossip:
    """Facts of hosts to pass on, those that end a suspicion first.

    Examples:
        >>> news = MemberGossip()
        >>> fact = MemberRecord("h1", MemberState.ALIVE, 1, 0, 0, "", "a", "", 1, "")
        >>> news.enqueue(fact, None)
        >>> [told.host for told in news.take(16, hosts=8)]
        ['h1']
    """

    def __init__(self) -> None:
        self._queues: dict[Priority, UpdateQueue[MemberRecord]] = {
            priority: UpdateQueue() for priority in Priority
        }

    def enqueue(self, fact: MemberRecord, known: MemberRecord | None) -> None:
        """Queue a fact in place of what was queued of its host.

        Args:
            fact: The news.
            known: What was known of the host before, if anything.
        """
        self.discard(fact.host)
        priority = Priority.FAILURE
        if fact.state is MemberState.ALIVE:
            calm = known is None or known.state is MemberState.ALIVE
            priority = Priority.JOIN if calm else Priority.REFUTATION
        self._queues[priority].add(fact.host, fact)

    def enqueue_again(self, fact: MemberRecord) -> None:
        """Queue a suspicion once more, since another host shares it."""
        self._queues[Priority.FAILURE].add(fact.host, fact)

    def discard(self, host: str) -> None:
        """Drop what is queued of a host."""
        for queue in self._queues.values():
            queue.discard(host)

    def take(self, limit: int, hosts: int) -> list[MemberRecord]:
        """Return the next facts and count them as told once more.

        Args:
            limit: At most so many.
            hosts: How many hosts are to hear of each.
        """
        tellings = compute_transmit_limit(hosts)
        facts: list[MemberRecord] = []
        for queue in self._queues.values():
            facts += queue.take(limit - len(facts), tellings)
        return facts
