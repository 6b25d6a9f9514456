"""The table of host records."""

from collections.abc import Iterable

from oleanderpier.membership.messages import MemberRecord, MemberState
from oleanderpier.membership.summaries import Summary, find_bucket
from oleanderpier.utils import Timers

__all__ = ["PRESENT_STATES", "MemberTable"]

# How long the record of a dead or departed host is kept.
GONE_RETENTION_S = 600.0
# States in which a host counts as a member of the fleet.
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """One record for each known host, and the summary of the table.

    Args:
        timers: The timer service.

    Attributes:
        summary: Hashes by which two hosts find where their tables differ.
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
        """Return the record of a host, or None if it is not known."""
        return self._records.get(host)

    def put(self, record: MemberRecord) -> None:
        """Insert a host's record or replace it."""
        known = self._records.get(record.host)
        self._records[record.host] = record
        if _is_present(known) != _is_present(record):
            self._alive = None
        if record.state in PRESENT_STATES:
            self._gone_since_s.pop(record.host, None)
        else:
            self._gone_since_s[record.host] = self._timers.now()
        self.summary.replace_entry(
            record.host, _make_summary_key(known), _make_summary_key(record)
        )

    def load(self, records: dict[str, MemberRecord], summary: Summary) -> None:
        """Replace the whole table by records of present hosts and their summary."""
        self._records = dict(records)
        self._alive = None
        self.summary = summary.copy()

    def list_known(self) -> list[str]:
        """Return every host of the table, also dead and departed ones."""
        return list(self._records)

    def list_alive(self) -> list[str]:
        """Return the hosts that are alive or suspect."""
        if self._alive is None:
            records = self._records.values()
            self._alive = [
                record.host for record in records if record.state in PRESENT_STATES
            ]
        return self._alive

    def list_dead(self) -> list[str]:
        """Return the hosts that are dead, without those that left."""
        return [
            host
            for host in self._gone_since_s
            if self._records[host].state is MemberState.DEAD
        ]

    def list_records(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the records in some buckets, without hosts that are only listed."""
        wanted = set(buckets)
        return [
            record
            for record in self._records.values()
            if record.started and find_bucket(record.host) in wanted
        ]

    def remove_gone(self, keep: set[str]) -> list[str]:
        """Remove hosts that have been gone for ``GONE_RETENTION_S``.

        Args:
            keep: Hosts to keep, however long they have been gone.

        Returns:
            The names of the removed hosts.
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


def _is_present(record: MemberRecord | None) -> bool:
    return record is not None and record.state in PRESENT_STATES


def _make_summary_key(record: MemberRecord | None) -> tuple[int, int] | None:
    """Return the part of a record that enters the summary, None for nothing.

    Hosts that are gone, or of whose process nothing is known, are left out.
    """
    if record is None or record.started == 0 or record.state not in PRESENT_STATES:
        return None
    return record.incarnation_key
