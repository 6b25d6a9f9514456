"""The table of what is known of each host."""

from collections.abc import Iterable

from oleanderpier.membership.messages import MemberFact, MemberState
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Timers

__all__ = ["PRESENT_STATES", "MemberTable"]

FORGET_S = 600.0
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """One fact for each host that is known, with its summary.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._facts: dict[str, MemberFact] = {}
        self._gone_s: dict[str, float] = {}
        self._alive: list[str] | None = None
        self.summary = Summary()

    def __len__(self) -> int:
        return len(self._facts)

    def get(self, host: str) -> MemberFact | None:
        """Return what is known of a host, or None."""
        return self._facts.get(host)

    def put(self, fact: MemberFact) -> None:
        """Replace what is known of a host."""
        known = self._facts.get(fact.host)
        self._facts[fact.host] = fact
        if _is_present(known) != _is_present(fact):
            self._alive = None
        if fact.state in PRESENT_STATES:
            self._gone_s.pop(fact.host, None)
        else:
            self._gone_s[fact.host] = self._timers.now()
        self.summary.replace(fact.host, _compare_by(known), _compare_by(fact))

    def load(self, facts: dict[str, MemberFact], summary: Summary) -> None:
        """Replace the whole table by present hosts with their summary."""
        self._facts = dict(facts)
        self._alive = None
        self.summary = summary.copy()

    def list_known(self) -> list[str]:
        """Return every host of the table, gone ones included."""
        return list(self._facts)

    def list_alive(self) -> list[str]:
        """Return the hosts that are not known to be gone."""
        if self._alive is None:
            facts = self._facts.values()
            self._alive = [fact.host for fact in facts if fact.state in PRESENT_STATES]
        return self._alive

    def list_dead(self) -> list[str]:
        """Return the hosts that were found dead, without those that left."""
        return [
            host for host in self._gone_s if self._facts[host].state is MemberState.DEAD
        ]

    def list_facts(self, buckets: Iterable[int]) -> list[MemberFact]:
        """Return the facts of some buckets, of hosts that were heard of."""
        wanted = set(buckets)
        return [
            fact
            for fact in self._facts.values()
            if fact.started and find_bucket(fact.host) in wanted
        ]

    def forget_gone(self, keep: set[str]) -> list[str]:
        """Drop the hosts that are long gone and return them.

        Args:
            keep: Hosts to keep all the same.
        """
        limit_s = self._timers.now() - FORGET_S
        gone = [
            host
            for host, gone_s in self._gone_s.items()
            if gone_s < limit_s and host not in keep
        ]
        for host in gone:
            del self._facts[host]
            del self._gone_s[host]
        return gone


def _is_present(fact: MemberFact | None) -> bool:
    return fact is not None and fact.state in PRESENT_STATES


def _compare_by(fact: MemberFact | None) -> tuple[int, int] | None:
    """Return what two hosts' tables have to agree on."""
    if fact is None or fact.started == 0 or fact.state not in PRESENT_STATES:
        return None
    return fact.life
