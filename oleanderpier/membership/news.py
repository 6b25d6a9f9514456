"""What a host has to tell others of their fellow hosts."""

from enum import IntEnum

from oleanderpier.membership.messages import MemberFact, MemberState
from oleanderpier.membership.rumours import RumourQueue, count_tellings

__all__ = ["MemberNews"]


class Priority(IntEnum):
    """The order in which kinds of news are told."""

    REFUTATION = 0
    BAD_NEWS = 1
    JOIN = 2


class MemberNews:
    """Facts of hosts to pass on, those that end a suspicion first.

    Examples:
        >>> news = MemberNews()
        >>> fact = MemberFact("h1", MemberState.ALIVE, 1, 0, 0, "", "a", "", 1, "")
        >>> news.spread(fact, None)
        >>> [told.host for told in news.take(16, hosts=8)]
        ['h1']
    """

    def __init__(self) -> None:
        self._queues: dict[Priority, RumourQueue[MemberFact]] = {
            priority: RumourQueue() for priority in Priority
        }

    def spread(self, fact: MemberFact, known: MemberFact | None) -> None:
        """Queue a fact in place of what was queued of its host.

        Args:
            fact: The news.
            known: What was known of the host before, if anything.
        """
        self.discard(fact.host)
        priority = Priority.BAD_NEWS
        if fact.state is MemberState.ALIVE:
            calm = known is None or known.state is MemberState.ALIVE
            priority = Priority.JOIN if calm else Priority.REFUTATION
        self._queues[priority].add(fact.host, fact)

    def spread_again(self, fact: MemberFact) -> None:
        """Queue a suspicion once more, since another host shares it."""
        self._queues[Priority.BAD_NEWS].add(fact.host, fact)

    def discard(self, host: str) -> None:
        """Drop what is queued of a host."""
        for queue in self._queues.values():
            queue.discard(host)

    def take(self, limit: int, hosts: int) -> list[MemberFact]:
        """Return the next facts and count them as told once more.

        Args:
            limit: At most so many.
            hosts: How many hosts are to hear of each.
        """
        tellings = count_tellings(hosts)
        facts: list[MemberFact] = []
        for queue in self._queues.values():
            facts += queue.take(limit - len(facts), tellings)
        return facts
