"""The witness of leases: grants each subject's lease to one process at a time."""

from typing import NamedTuple

from oleanderpier.claims import MAX_CLOCK_SKEW_S, HostLists, RoundId
from oleanderpier.orders.limits import (
    LEASE_RECORD_LIFETIME_S,
    LEASE_TERM_S,
    SWEEP_INTERVAL_S,
    TERM_FENCE_COUNT,
    WITNESS_START_DELAY_S,
)
from oleanderpier.orders.messages import (
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRefusal,
    LeaseRefused,
    LeaseRelease,
)
from oleanderpier.utils import Timers

__all__ = ["LeaseRecord", "LeaseWitness", "make_fence"]

MILLISECONDS_PER_S = 1000


class LeaseRecord(NamedTuple):
    """What a witness keeps of the newest grant of a subject's lease.

    Attributes:
        round_id: The round that got the grant, or the later one that released it.
        fence: First fencing token of the grant.
        granted_s: Time of the grant, in seconds of the monotonic clock.
        released: Whether the holder gave the lease up.
    """

    round_id: RoundId
    fence: int
    granted_s: float
    released: bool


def make_fence(wall_s: float) -> int:
    """Return the fencing token for a time: its milliseconds since 1970.

    Args:
        wall_s: Wall-clock time, in seconds since 1970.

    Examples:
        >>> make_fence(1_700_000_000.25)
        1700000000250
    """
    return int(wall_s * MILLISECONDS_PER_S)


class LeaseWitness:
    """Grants each subject's lease to one process; keeps its records in memory only.

    A new process grants nothing until every lease that the host's previous process
    may have granted has ended. So it needs no record of them.

    Args:
        timers: The timer service.
        lists: The host lists that this host knows.
    """

    def __init__(self, timers: Timers, lists: HostLists):
        self._timers = timers
        self._lists = lists
        self._started_s = timers.now()
        self._records: dict[str, LeaseRecord] = {}
        timers.subscribe(SWEEP_INTERVAL_S, self.drop_expired)

    @property
    def ready(self) -> bool:
        """Whether every lease that the previous process granted has ended."""
        return self._timers.now() - self._started_s >= WITNESS_START_DELAY_S

    def grant(self, query: LeaseQuery) -> LeaseGranted | LeaseHeld | LeaseRefused:
        """Return the reply to a query, and record the lease if it is granted."""
        now = self._timers.now()
        record = self._records.get(query.subject)
        reason = self._find_refusal(query)
        if reason is not None:
            return self._make_refused(query, reason)
        if record is not None and _is_held_by_other(record, query.round_id, now):
            remaining_s = record.granted_s + LEASE_TERM_S - now
            holder = record.round_id.host
            return LeaseHeld(*self._make_common_fields(query), holder, remaining_s)
        reason = self._find_fence_refusal(query, record)
        if reason is not None:
            return self._make_refused(query, reason)
        granted = LeaseRecord(query.round_id, query.fence, now, False)
        self._records[query.subject] = granted
        return LeaseGranted(*self._make_common_fields(query))

    def release(self, release: LeaseRelease) -> None:
        """Withdraw a grant that its holder gave up, but keep its fencing token.

        The record then also refuses queries of released rounds that arrive late.
        """
        record = self._records.get(release.subject)
        if record is None or record.round_id.process != release.round_id.process:
            return
        if record.round_id.sequence <= release.round_id.sequence:
            released = record._replace(round_id=release.round_id, released=True)
            self._records[release.subject] = released

    def drop_expired(self) -> None:
        """Drop records so old that every clock is past their fencing tokens."""
        oldest_s = self._timers.now() - LEASE_RECORD_LIFETIME_S
        for subject, record in list(self._records.items()):
            if record.granted_s < oldest_s:
                del self._records[subject]

    def _find_refusal(self, query: LeaseQuery) -> LeaseRefusal | None:
        """Return a reason to refuse that is independent of the lease's record."""
        checks = {
            LeaseRefusal.OLD_LIST: query.list_version < self._lists.highest_version,
            LeaseRefusal.NOT_READY: not (self.ready and self._lists.ready),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _find_fence_refusal(
        self, query: LeaseQuery, record: LeaseRecord | None
    ) -> LeaseRefusal | None:
        """Return a reason to refuse a lease that no other process holds."""
        ahead_s = self._timers.wall() + MAX_CLOCK_SKEW_S
        checks = {
            LeaseRefusal.OLD_ROUND: record is not None
            and _is_old_round(record, query.round_id),
            LeaseRefusal.FENCE_TOO_LOW: record is not None
            and query.fence < _find_min_fence(record, query.round_id),
            LeaseRefusal.FENCE_AHEAD: query.fence > make_fence(ahead_s),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _make_common_fields(self, query: LeaseQuery) -> tuple[str, RoundId, int]:
        return (query.subject, query.round_id, self._lists.highest_version)

    def _make_refused(self, query: LeaseQuery, reason: LeaseRefusal) -> LeaseRefused:
        age_s = self._timers.now() - self._started_s
        retry_after_s = max(WITNESS_START_DELAY_S - age_s, 0.0)
        record = self._records.get(query.subject)
        fence = record.fence if record is not None else 0
        return LeaseRefused(
            *self._make_common_fields(query), reason, fence, retry_after_s
        )


def _is_held_by_other(record: LeaseRecord, round_id: RoundId, now: float) -> bool:
    """Return whether a process other than that of the round holds the lease."""
    if record.released or record.round_id.process == round_id.process:
        return False
    return now < record.granted_s + LEASE_TERM_S


def _is_old_round(record: LeaseRecord, round_id: RoundId) -> bool:
    """Return whether the process has started a later round or released this one."""
    if record.round_id.process != round_id.process:
        return False
    last = record.round_id.sequence
    return round_id.sequence < last or (record.released and round_id.sequence == last)


def _find_min_fence(record: LeaseRecord, round_id: RoundId) -> int:
    """Return the lowest fencing token that a round may get after a grant.

    The process that got the grant may ask for the same tokens again; other processes
    need tokens above all of them.
    """
    if record.round_id.process == round_id.process:
        return record.fence
    return record.fence + TERM_FENCE_COUNT
