"""The table of what is known of each host."""

from collections.abc import Iterable

from oleanderpier.membership.messages import MemberRecord, MemberState
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Timers

__all__ = ["PRESENT_STATES", "MemberTable"]

GONE_RETENTION_S = 600.0
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """One fact for each host that is known, with its summary.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._records: dict[str, MemberRecord] = {}
        self._gone_since_s: dict[str, float] = {}
        self._alive: list[str] | None = None
        self.summary = Summary()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, host: str) -> MemberRecord | None:
        """Return what is known of a host, or None."""
        return self._records.get(host)

    def put(self, fact: MemberRecord) -> None:
        """Replace what is known of a host."""
        known = self._records.get(fact.host)
        self._records[fact.host] = fact
        if _is_present(known) != _is_present(fact):
            self._alive = None
        if fact.state in PRESENT_STATES:
            self._gone_since_s.pop(fact.host, None)
        else:
            self._gone_since_s[fact.host] = self._timers.now()
        self.summary.replace_entry(
            fact.host, _make_summary_key(known), _make_summary_key(fact)
        )

    def load(self, facts: dict[str, MemberRecord], summary: Summary) -> None:
        """Replace the whole table by present hosts with their summary."""
        self._records = dict(facts)
        self._alive = None
        self.summary = summary.copy()

    def list_known(self) -> list[str]:
        """Return every host of the table, gone ones included."""
        return list(self._records)

    def list_alive(self) -> list[str]:
        """Return the hosts that are not known to be gone."""
        if self._alive is None:
            facts = self._records.values()
            self._alive = [fact.host for fact in facts if fact.state in PRESENT_STATES]
        return self._alive

    def list_dead(self) -> list[str]:
        """Return the hosts that were found dead, without those that left."""
        return [
            host
            for host in self._gone_since_s
            if self._records[host].state is MemberState.DEAD
        ]

    def list_records(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the facts of some buckets, of hosts that were heard of."""
        wanted = set(buckets)
        return [
            fact
            for fact in self._records.values()
            if fact.started and find_bucket(fact.host) in wanted
        ]

    def remove_gone(self, keep: set[str]) -> list[str]:
        """Drop the hosts that are long gone and return them.

        Args:
            keep: Hosts to keep all the same.
        """
        limit_s = self._timers.now() - GONE_RETENTION_S
        gone = [
            host
            for host, gone_s in self._gone_since_s.items()
            if gone_s < limit_s and host not in keep
        ]
        for host in gone:
            del self._records[host]
            del self._gone_since_s[host]
        return gone


def _is_present(fact: MemberRecord | None) -> bool:
    return fact is not None and fact.state in PRESENT_STATES


def _make_summary_key(fact: MemberRecord | None) -> tuple[int, int] | None:
    """Return what two hosts' tables have to agree on."""
    if fact is None or fact.started == 0 or fact.state not in PRESENT_STATES:
        return None
    return fact.incarnation_key
