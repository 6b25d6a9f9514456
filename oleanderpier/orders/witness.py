"""What a witness remembers of each subject's lease, and what it grants."""

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
    """The newest grant of a subject's lease.

    Attributes:
        round_id: The round to which it was granted.
        fence: The first fencing token of that round.
        granted_s: When, by the monotonic clock.
        released: Whether the holder gave it up.
    """

    round_id: RoundId
    fence: int
    granted_s: float
    released: bool


def make_fence(wall_s: float) -> int:
    """Return the fencing token that belongs to a wall clock.

    Examples:
        >>> make_fence(1_700_000_000.25)
        1700000000250
    """
    return int(wall_s * MILLISECONDS_PER_S)


class LeaseWitness:
    """Grants each subject's lease to one process at a time, from memory.

    A process that has just started grants nothing until every lease that its
    predecessor may have granted has ended.

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
        """Whether every lease that a predecessor granted has ended."""
        return self._timers.now() - self._started_s >= WITNESS_START_DELAY_S

    def grant(self, query: LeaseQuery) -> LeaseGranted | LeaseHeld | LeaseRefused:
        """Grant a lease, or say why not."""
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
        """Take back a grant whose holder gave it up; the fence is kept."""
        record = self._records.get(release.subject)
        if record is None or record.round_id.process != release.round_id.process:
            return
        if record.round_id.sequence <= release.round_id.sequence:
            released = record._replace(round_id=release.round_id, released=True)
            self._records[release.subject] = released

    def drop_expired(self) -> None:
        """Forget grants so old that every clock is past their fences."""
        oldest_s = self._timers.now() - LEASE_RECORD_LIFETIME_S
        for subject, record in list(self._records.items()):
            if record.granted_s < oldest_s:
                del self._records[subject]

    def _find_refusal(self, query: LeaseQuery) -> LeaseRefusal | None:
        checks = {
            LeaseRefusal.OLD_LIST: query.list_version < self._lists.highest_version,
            LeaseRefusal.NOT_READY: not (self.ready and self._lists.ready),
        }
        return next((reason for reason, applies in checks.items() if applies), None)

    def _find_fence_refusal(
        self, query: LeaseQuery, record: LeaseRecord | None
    ) -> LeaseRefusal | None:
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
    """Whether another process has the lease."""
    if record.released or record.round_id.process == round_id.process:
        return False
    return now < record.granted_s + LEASE_TERM_S


def _is_old_round(record: LeaseRecord, round_id: RoundId) -> bool:
    """Whether a process's ask arrives after a later round or a release."""
    if record.round_id.process != round_id.process:
        return False
    last = record.round_id.sequence
    return round_id.sequence < last or (record.released and round_id.sequence == last)


def _find_min_fence(record: LeaseRecord, round_id: RoundId) -> int:
    """Return the lowest fence that may follow a grant."""
    if record.round_id.process == round_id.process:
        return record.fence
    return record.fence + TERM_FENCE_COUNT
